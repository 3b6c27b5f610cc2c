"""The table of all metrics, and the recorder that exports them by statsd and to Prometheus."""

import re
import string
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import statsd

if TYPE_CHECKING:
    from azureturn.observability._prometheus import PrometheusMetrics
    from azureturn.settings import DaemonSettings


METRIC_PREFIX = "azureturn"
_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


class MetricKind(StrEnum):
    """The statsd metric types that azureturn uses."""

    COUNTER = "counter"
    TIMER = "timer"
    GAUGE = "gauge"


class Metric(StrEnum):
    """Names of all metrics; tags are placeholders in the name, since plain statsd has no tags."""

    REQUESTS_ENDED = "requests.{route}.{ended}"
    REQUEST_TIME = "requests.{route}.time_ms"
    UNREAD_TIME = "requests.{route}.unread_ms"
    REQUESTS_UNREAD = "requests.unread"
    REQUESTS_IN_PROGRESS = "requests.in_progress"
    REQUESTS_REFUSED = "refused.{kind}"
    ATTEMPTS_ENDED = "attempts.{service}.{result}"
    FIRST_EVENT_TIME = "attempts.{service}.first_event_ms"
    QUEUE_TIME = "attempts.{service}.queued_ms"
    LONGEST_PAUSE_TIME = "attempts.{service}.longest_pause_ms"
    STRAINED = "strained"
    REQUESTS_WAITING = "requests.waiting"
    CALLER_CONNECTIONS = "callers.connections"
    ROOM_RECLAIMED = "callers.room_reclaimed.{phase}"
    ROOM_REFUSED = "callers.room_refused"
    BODY_BYTES = "process.body_bytes"
    TASKS = "process.tasks"
    THREADS = "process.threads"
    LOOP_LAG = "process.loop_lag_ms"
    COLD_UPSTREAMS = "upstreams.cold"
    EVACUATED_ZONES = "zones.evacuated"
    STORE_READS = "store.reads"

    @property
    def tags(self) -> tuple[str, ...]:
        """Return the names of the tags in the metric's name."""
        return tuple(name for _, name, _, _ in string.Formatter().parse(self.value) if name)


@dataclass(frozen=True)
class MetricDefinition:
    """Type, unit and description of one metric."""

    kind: MetricKind
    unit: str
    summary: str


METRICS: Mapping[Metric, MetricDefinition] = MappingProxyType(
    {
        Metric.REQUESTS_ENDED: MetricDefinition(
            MetricKind.COUNTER,
            "requests",
            "Requests that ended, by route; `ended` is `answered` or the error kind.",
        ),
        Metric.REQUEST_TIME: MetricDefinition(
            MetricKind.TIMER, "ms", "From a request's arrival to its end, by route."
        ),
        Metric.UNREAD_TIME: MetricDefinition(
            MetricKind.TIMER,
            "ms",
            "From the arrival of a request's first bytes, as early as it may have been, to its "
            "reading (gateways only).",
        ),
        Metric.REQUESTS_UNREAD: MetricDefinition(
            MetricKind.COUNTER,
            "requests",
            "Requests that were not read, since their callers had left (gateways only).",
        ),
        Metric.REQUESTS_IN_PROGRESS: MetricDefinition(
            MetricKind.GAUGE, "requests", "Requests that this VM has queued or under way."
        ),
        Metric.REQUESTS_REFUSED: MetricDefinition(
            MetricKind.COUNTER,
            "requests",
            "Every refusal and failure by error kind, also of requests that name no route.",
        ),
        Metric.ATTEMPTS_ENDED: MetricDefinition(
            MetricKind.COUNTER, "attempts", "Attempts of the gateway at upstreams, by result."
        ),
        Metric.FIRST_EVENT_TIME: MetricDefinition(
            MetricKind.TIMER, "ms", "From a request's arrival to the first event of its stream."
        ),
        Metric.QUEUE_TIME: MetricDefinition(
            MetricKind.TIMER, "ms", "From a request's arrival to its sending to an upstream."
        ),
        Metric.LONGEST_PAUSE_TIME: MetricDefinition(
            MetricKind.TIMER, "ms", "Longest time between two events of a stream."
        ),
        Metric.STRAINED: MetricDefinition(
            MetricKind.GAUGE, "yes or no", "1 while this VM lacks processor time, else 0."
        ),
        Metric.REQUESTS_WAITING: MetricDefinition(
            MetricKind.GAUGE, "requests", "Requests that wait for an upstream (gateways only)."
        ),
        Metric.CALLER_CONNECTIONS: MetricDefinition(
            MetricKind.GAUGE,
            "connections",
            "Callers' connections on which a request is being read or served (gateways only).",
        ),
        Metric.ROOM_RECLAIMED: MetricDefinition(
            MetricKind.COUNTER,
            "connections",
            "Connections that lost the memory that they held to one that makes more progress or is "
            "more urgent; `phase` is `reading`, `waiting`, `kept` or `responding` (gateways only).",
        ),
        Metric.ROOM_REFUSED: MetricDefinition(
            MetricKind.COUNTER,
            "requests",
            "Requests that were refused since there was no memory for their body in time "
            "(gateways only).",
        ),
        Metric.BODY_BYTES: MetricDefinition(
            MetricKind.GAUGE,
            "bytes",
            "Memory that bodies of requests and responses take up, as far as it is limited "
            "(gateways only).",
        ),
        Metric.TASKS: MetricDefinition(
            MetricKind.GAUGE, "tasks", "Tasks of the process that have not ended (gateways only)."
        ),
        Metric.THREADS: MetricDefinition(
            MetricKind.GAUGE, "threads", "Threads of the process (gateways only)."
        ),
        Metric.LOOP_LAG: MetricDefinition(
            MetricKind.GAUGE,
            "ms",
            "How late the loop that serves requests last resumed a task (gateways only).",
        ),
        Metric.COLD_UPSTREAMS: MetricDefinition(
            MetricKind.GAUGE,
            "upstreams",
            "Upstreams that this VM takes for cold and sends its share of requests only "
            "(gateways only).",
        ),
        Metric.EVACUATED_ZONES: MetricDefinition(
            MetricKind.GAUGE,
            "zones",
            "Availability zones whose upstreams get nothing more, by operators' order (gateways "
            "only).",
        ),
        Metric.STORE_READS: MetricDefinition(
            MetricKind.COUNTER,
            "calls",
            "Calls to the key-value service that read or watch it, answered or not (gateways "
            "only).",
        ),
    }
)


class Metrics:
    """Records metrics to statsd, to the Prometheus registry, to both or to neither.

    >>> Metrics(None).count(Metric.REQUESTS_REFUSED, kind="overloaded")
    """

    def __init__(self, client: Any, prometheus: "PrometheusMetrics | None" = None) -> None:
        self._client = client
        self._prometheus = prometheus

    @classmethod
    def from_settings(cls, settings: "DaemonSettings") -> "Metrics":
        """Return metrics that are sent to the statsd host of the settings, if one is set."""
        if not settings.statsd_host:
            return cls(None)
        client = statsd.StatsClient(
            settings.statsd_host, settings.statsd_port, prefix=METRIC_PREFIX
        )
        return cls(client)

    def count(self, metric: Metric, *, by: int = 1, **tags: str) -> None:
        """Increment a counter."""
        if self._client is not None:
            self._client.incr(_statsd_name(metric, tags), by)
        if self._prometheus is not None:
            self._prometheus.count(metric, by, tags)

    def time(self, metric: Metric, took_ms: float, **tags: str) -> None:
        """Record a duration in ms."""
        if self._client is not None:
            self._client.timing(_statsd_name(metric, tags), took_ms)
        if self._prometheus is not None:
            self._prometheus.time(metric, took_ms, tags)

    def set(self, metric: Metric, value: float, **tags: str) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(_statsd_name(metric, tags), value)
        if self._prometheus is not None:
            self._prometheus.set(metric, value, tags)


def _statsd_name(metric: Metric, tags: Mapping[str, str]) -> str:
    safe_tags = {name: _UNSAFE_CHARACTERS.sub("_", value) for name, value in tags.items()}
    return metric.value.format(**safe_tags)
