"""Logs and metrics."""

from azureturn.observability._logs import EventLog, JsonLinesHandler, LogEvent
from azureturn.observability._metrics import Metrics, NoMetrics, metrics_from_settings

__all__ = [
    "EventLog",
    "JsonLinesHandler",
    "LogEvent",
    "Metrics",
    "NoMetrics",
    "metrics_from_settings",
]
