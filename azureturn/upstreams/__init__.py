"""Clients of the upstreams: model engines and plain services."""

from azureturn.upstreams._client import (
    SOCKET_OPTIONS,
    StreamedAnswer,
    UpstreamClient,
    UpstreamRequest,
    WholeAnswer,
)
from azureturn.upstreams._events import EventRelay, Usage, error_event, usage_of_whole

__all__ = [
    "EventRelay",
    "SOCKET_OPTIONS",
    "StreamedAnswer",
    "UpstreamClient",
    "UpstreamRequest",
    "Usage",
    "WholeAnswer",
    "error_event",
    "usage_of_whole",
]
