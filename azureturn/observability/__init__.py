"""Logs, metrics and service levels."""

from azureturn.observability._latency import LatencySketch, merged_sketch
from azureturn.observability._log_events import LOG_EVENTS, LOG_FIELDS, LogEvent, LogEventRow
from azureturn.observability._logs import (
    BoundedHandler,
    EventLog,
    JsonLinesHandler,
    describe_error,
)
from azureturn.observability._metric_text import CONTENT_TYPE, MetricText, metric_text_name
from azureturn.observability._metrics import (
    METRIC_PREFIX,
    METRICS,
    Metric,
    MetricKind,
    MetricRow,
    Metrics,
)
from azureturn.observability._service_levels import (
    HOUR_MS,
    LONGEST_WINDOW_MS,
    MINUTE_MS,
    NO_ERROR,
    NOT_COUNTED,
    OTHER_NAMES,
    UNKNOWN_TIER,
    LevelCounts,
    LevelKey,
    LevelWindow,
    ServiceLevels,
)

__all__ = [
    "BoundedHandler",
    "CONTENT_TYPE",
    "EventLog",
    "HOUR_MS",
    "JsonLinesHandler",
    "LOG_EVENTS",
    "LOG_FIELDS",
    "LONGEST_WINDOW_MS",
    "LatencySketch",
    "LevelCounts",
    "LevelKey",
    "LevelWindow",
    "LogEvent",
    "LogEventRow",
    "METRICS",
    "METRIC_PREFIX",
    "MINUTE_MS",
    "Metric",
    "MetricKind",
    "MetricRow",
    "MetricText",
    "Metrics",
    "NOT_COUNTED",
    "NO_ERROR",
    "OTHER_NAMES",
    "ServiceLevels",
    "UNKNOWN_TIER",
    "describe_error",
    "merged_sketch",
    "metric_text_name",
]
