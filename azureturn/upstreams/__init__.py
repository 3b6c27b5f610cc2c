"""HTTP clients for upstreams: model engines and plain services."""

from azureturn.upstreams._assembly import AnswerAssembler, streaming_request_body
from azureturn.upstreams._client import (
    INCOMPLETE_AT_DEADLINE,
    CompleteAnswer,
    StreamedAnswer,
    UpstreamClient,
    UpstreamRequest,
    parse_load_report,
)
from azureturn.upstreams._events import (
    EVENT_LIMIT_BYTES,
    EventSplitter,
    Usage,
    check_answer_id,
    error_event,
    parse_json_or_none,
    parse_usage,
)
from azureturn.upstreams._orders import EngineOrder, OrderClient
from azureturn.upstreams._resuming import ResumingStream

__all__ = [
    "AnswerAssembler",
    "CompleteAnswer",
    "EVENT_LIMIT_BYTES",
    "EngineOrder",
    "EventSplitter",
    "INCOMPLETE_AT_DEADLINE",
    "OrderClient",
    "ResumingStream",
    "StreamedAnswer",
    "UpstreamClient",
    "UpstreamRequest",
    "Usage",
    "check_answer_id",
    "error_event",
    "parse_json_or_none",
    "parse_load_report",
    "parse_usage",
    "streaming_request_body",
]
