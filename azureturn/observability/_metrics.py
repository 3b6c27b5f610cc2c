"""Metrics, sent by statsd."""

from typing import Any, Protocol

import statsd

from azureturn.settings import DaemonSettings

METRIC_PREFIX = "azureturn"


class Metrics(Protocol):
    """What the daemon needs of a statsd client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """Takes every metric and sends none, where no statsd host is set."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Ignore a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Ignore a duration."""

    def gauge(self, stat: str, value: float) -> None:
        """Ignore a gauge."""


def metrics_from_settings(settings: DaemonSettings) -> Metrics:
    """Return a statsd client, or one that sends nothing where no host is set."""
    if not settings.statsd_host:
        return NoMetrics()
    client: Any = statsd.StatsClient(
        settings.statsd_host, settings.statsd_port, prefix=METRIC_PREFIX
    )
    return client  # type: ignore[no-any-return]
