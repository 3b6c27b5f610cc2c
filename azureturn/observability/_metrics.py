"""Metrics, sent by statsd; the one table of them is here."""

import re
import string
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import statsd

if TYPE_CHECKING:
    from azureturn.settings import DaemonSettings


METRIC_PREFIX = "azureturn"
_NOT_IN_NAMES = re.compile(r"[^A-Za-z0-9_-]")


class MetricKind(StrEnum):
    """The kinds of metric that statsd knows and azureturn uses."""

    COUNTER = "counter"
    TIMER = "timer"
    GAUGE = "gauge"


class Metric(StrEnum):
    """Every metric's name; tags stand in braces, since statsd itself has none."""

    REQUESTS_ENDED = "requests.{route}.{ended}"
    REQUEST_TIME = "requests.{route}.time_ms"
    REQUESTS_IN_PROGRESS = "requests.in_progress"
    REQUESTS_REFUSED = "refused.{kind}"

    @property
    def tags(self) -> tuple[str, ...]:
        """Return the names of the tags within the name."""
        return tuple(name for _, name, _, _ in string.Formatter().parse(self.value) if name)


@dataclass(frozen=True)
class MetricRow:
    """What one metric is."""

    kind: MetricKind
    unit: str
    summary: str


METRICS: Mapping[Metric, MetricRow] = MappingProxyType(
    {
        Metric.REQUESTS_ENDED: MetricRow(
            MetricKind.COUNTER,
            "requests",
            "Requests that ended, by route; `ended` is `answered` or the error kind.",
        ),
        Metric.REQUEST_TIME: MetricRow(
            MetricKind.TIMER, "ms", "From a request's arrival to its end, by route."
        ),
        Metric.REQUESTS_IN_PROGRESS: MetricRow(
            MetricKind.GAUGE, "requests", "Requests that this VM has queued or under way."
        ),
        Metric.REQUESTS_REFUSED: MetricRow(
            MetricKind.COUNTER,
            "requests",
            "Every refusal and failure by error kind, also of requests that name no route.",
        ),
    }
)


class Metrics:
    """Sends metrics by statsd, or nowhere where no host is set.

    >>> Metrics(None).count(Metric.REQUESTS_REFUSED, kind="overloaded")
    """

    def __init__(self, client: Any) -> None:
        self._client = client

    @classmethod
    def from_settings(cls, settings: "DaemonSettings") -> "Metrics":
        """Return metrics that go to the statsd host of the settings."""
        if not settings.statsd_host:
            return cls(None)
        client = statsd.StatsClient(
            settings.statsd_host, settings.statsd_port, prefix=METRIC_PREFIX
        )
        return cls(client)

    def count(self, metric: Metric, *, by: int = 1, **tags: str) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(_name(metric, tags), by)

    def time(self, metric: Metric, took_ms: float, **tags: str) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(_name(metric, tags), took_ms)

    def set(self, metric: Metric, value: float, **tags: str) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(_name(metric, tags), value)


def _name(metric: Metric, tags: Mapping[str, str]) -> str:
    safe = {name: _NOT_IN_NAMES.sub("_", value) for name, value in tags.items()}
    return metric.value.format(**safe)
