"""In-process metrics, rendered in the Prometheus text exposition format."""

from collections.abc import Mapping
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from azureturn.observability._metrics import METRIC_PREFIX, METRICS, Metric, MetricKind

PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
#: Upper bounds of the histograms' buckets.
_BUCKETS_MS = (2, 5, 10, 20, 50, 100, 200, 350, 600, 1_000, 2_000, 5_000, 10_000, 30_000)


class PrometheusMetrics:
    """Counters, gauges and latency histograms of one process.

    >>> metrics = PrometheusMetrics()
    >>> metrics.count(Metric.REQUESTS_REFUSED, 2, {"kind": "overloaded"})
    >>> 'azureturn_requests_refused_total{kind="overloaded"} 2.0' in metrics.render().decode()
    True
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        #: Metrics with their tags, as looking one up by its tags takes longer than counting.
        self._children: dict[tuple[object, ...], Any] = {}
        self._counters: dict[Metric, Counter] = {}
        self._gauges: dict[Metric, Gauge] = {}
        self._histograms: dict[Metric, Histogram] = {}
        for metric, definition in METRICS.items():
            name, tags = prometheus_name(metric), metric.tags
            if definition.kind is MetricKind.COUNTER:
                self._counters[metric] = Counter(
                    name, definition.summary, tags, registry=self._registry
                )
            elif definition.kind is MetricKind.GAUGE:
                self._gauges[metric] = Gauge(
                    name, definition.summary, tags, registry=self._registry
                )
            else:
                self._histograms[metric] = Histogram(
                    name, definition.summary, tags, registry=self._registry, buckets=_BUCKETS_MS
                )

    def count(self, metric: Metric, by: int, tags: Mapping[str, str]) -> None:
        """Increment a counter."""
        self._child(self._counters, metric, tags).inc(by)

    def time(self, metric: Metric, took_ms: float, tags: Mapping[str, str]) -> None:
        """Record a duration in ms."""
        self._child(self._histograms, metric, tags).observe(took_ms)

    def set(self, metric: Metric, value: float, tags: Mapping[str, str]) -> None:
        """Set a gauge."""
        self._child(self._gauges, metric, tags).set(value)

    def _child(self, parents: Mapping[Metric, Any], metric: Metric, tags: Mapping[str, str]) -> Any:
        key = (metric, *tags.items())
        child = self._children.get(key)
        if child is None:
            parent = parents[metric]
            child = self._children[key] = parent.labels(**tags) if tags else parent
        return child

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self._registry)


def prometheus_name(metric: Metric) -> str:
    """Return a metric's Prometheus name, without the suffix ``_total`` that counters get."""
    return f"{METRIC_PREFIX}_{metric.name.lower()}"
