"""Parts shared by all serving programs: the core runtime, the HTTP server, the planned stop."""

from azureturn.serving._bodies import BodyRoom, read_whole_body
from azureturn.serving._bounded_server import (
    BACKLOG_LIMIT,
    DRAIN_LIMIT_BYTES,
    DRAIN_LIMIT_MS,
    BoundedServer,
    RefusalMessage,
    ServerLimits,
)
from azureturn.serving._caller_io import UNREAD_TIMEOUT_S, CallerConnectionError
from azureturn.serving._caller_watch import (
    CallerWatch,
    LoopCallerWatch,
    ThreadCallerWatch,
    has_disconnected,
)
from azureturn.serving._request_end import RequestEnd
from azureturn.serving._runtime import CoreRuntime, next_action, now_ms
from azureturn.serving._stop import IDLE_POLLS, PlannedStop, StopLimits, StopStage

__all__ = [
    "BACKLOG_LIMIT",
    "BodyRoom",
    "BoundedServer",
    "CallerConnectionError",
    "CallerWatch",
    "CoreRuntime",
    "DRAIN_LIMIT_BYTES",
    "DRAIN_LIMIT_MS",
    "IDLE_POLLS",
    "LoopCallerWatch",
    "PlannedStop",
    "RefusalMessage",
    "RequestEnd",
    "ServerLimits",
    "StopLimits",
    "StopStage",
    "ThreadCallerWatch",
    "UNREAD_TIMEOUT_S",
    "has_disconnected",
    "next_action",
    "now_ms",
    "read_whole_body",
]
