"""Clients of the upstreams: model engines and plain services."""

from azureturn.upstreams._assembly import AnswerAssembler, streamed_body
from azureturn.upstreams._client import (
    NOT_WHOLE_IN_TIME,
    StreamedAnswer,
    UpstreamClient,
    UpstreamRequest,
    WholeAnswer,
    parse_load_report,
)
from azureturn.upstreams._events import (
    EventSplitter,
    Usage,
    check_answer_id,
    error_event,
    json_of,
    usage_of_whole,
)
from azureturn.upstreams._orders import EngineOrder, OrderClient
from azureturn.upstreams._resuming import ResumingStream

__all__ = [
    "AnswerAssembler",
    "EngineOrder",
    "EventSplitter",
    "NOT_WHOLE_IN_TIME",
    "OrderClient",
    "ResumingStream",
    "StreamedAnswer",
    "UpstreamClient",
    "UpstreamRequest",
    "Usage",
    "WholeAnswer",
    "check_answer_id",
    "error_event",
    "json_of",
    "parse_load_report",
    "streamed_body",
    "usage_of_whole",
]
