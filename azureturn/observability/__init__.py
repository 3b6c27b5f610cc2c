"""Structured logs, metrics and service-level counts."""

from azureturn.observability._latency import LatencySketch, merge_sketches
from azureturn.observability._log_events import LOG_EVENTS, LOG_FIELDS, LogEvent, LogEventDefinition
from azureturn.observability._logs import (
    BoundedHandler,
    EventLog,
    JsonLinesHandler,
    describe_error,
)
from azureturn.observability._metrics import (
    METRIC_PREFIX,
    METRICS,
    Metric,
    MetricDefinition,
    MetricKind,
    Metrics,
)
from azureturn.observability._prometheus import (
    PROMETHEUS_CONTENT_TYPE,
    PrometheusMetrics,
    prometheus_name,
)
from azureturn.observability._service_levels import (
    EXCLUDED_KINDS,
    HOUR_MS,
    LONGEST_WINDOW_MS,
    MINUTE_MS,
    NO_ERROR,
    OTHER_NAMES,
    UNKNOWN_TIER,
    SliCounts,
    SliKey,
    SliRecorder,
    SliWindow,
)

__all__ = [
    "BoundedHandler",
    "EXCLUDED_KINDS",
    "EventLog",
    "HOUR_MS",
    "JsonLinesHandler",
    "LOG_EVENTS",
    "LOG_FIELDS",
    "LONGEST_WINDOW_MS",
    "LatencySketch",
    "LogEvent",
    "LogEventDefinition",
    "METRICS",
    "METRIC_PREFIX",
    "MINUTE_MS",
    "Metric",
    "MetricDefinition",
    "MetricKind",
    "Metrics",
    "NO_ERROR",
    "OTHER_NAMES",
    "PROMETHEUS_CONTENT_TYPE",
    "PrometheusMetrics",
    "SliCounts",
    "SliKey",
    "SliRecorder",
    "SliWindow",
    "UNKNOWN_TIER",
    "describe_error",
    "merge_sketches",
    "prometheus_name",
]
