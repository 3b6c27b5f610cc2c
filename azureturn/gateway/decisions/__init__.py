"""The gateway's decision core: maps events to actions, without I/O or a clock of its own."""

from azureturn.gateway.decisions._actions import (
    FetchView,
    LogAllotmentRestore,
    LogAvailability,
    LogProcessingLimit,
    LogQuarantineChange,
    LogReachability,
    LogRetainedUpstreams,
    LogSilentUpstreams,
    PlacementReason,
    ProbeConnection,
    ReturnLastResult,
    SendAttempt,
    SendReport,
    WriteAllotmentRecord,
    WriteMoveStatus,
    WriteQuarantineRecord,
)
from azureturn.gateway.decisions._availability import AvailabilityReport
from azureturn.gateway.decisions._crashes import CrashReport, Suspect
from azureturn.gateway.decisions._events import (
    AttemptEnded,
    AttemptResult,
    AvailabilityStated,
    FirstEventReceived,
    GatewayStarted,
    PeerReportReceived,
    PlacementRequested,
    RequestClosed,
    RequestReceived,
    StoreLost,
    StoreReached,
    UpstreamConnectionFailed,
    UpstreamProcessEnded,
    UpstreamReconnected,
    UpstreamSilent,
    ViewChanged,
    VmLeaving,
)
from azureturn.gateway.decisions._moves import MoveTable
from azureturn.gateway.decisions._peers import (
    MoveReport,
    OutstandingWork,
    PeerReport,
    PeerTable,
    QueueReport,
    StreamPace,
    VersionCount,
)
from azureturn.gateway.decisions._prefix_cache import SentPrompt
from azureturn.gateway.decisions._quarantine import QuarantineTable
from azureturn.gateway.decisions._request_limits import LimitReport, RequestLimitTable
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._sending import may_send
from azureturn.gateway.decisions._speeds import SpeedReport, SpeedTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._upstream_state import UpstreamState, UpstreamStateTable
from azureturn.gateway.decisions._view_lag import watch_delay_ms
from azureturn.gateway.decisions._work import RequestWork, request_work
from azureturn.gateway.decisions.controllers import GATEWAY_CONTROLLERS

__all__ = [
    "AttemptEnded",
    "AttemptResult",
    "AvailabilityReport",
    "AvailabilityStated",
    "CrashReport",
    "FetchView",
    "FirstEventReceived",
    "GATEWAY_CONTROLLERS",
    "GatewayQueueTable",
    "GatewayRequest",
    "GatewayRequestTable",
    "GatewayStarted",
    "LimitReport",
    "LogAllotmentRestore",
    "LogAvailability",
    "LogProcessingLimit",
    "LogQuarantineChange",
    "LogReachability",
    "LogRetainedUpstreams",
    "LogSilentUpstreams",
    "MoveReport",
    "MoveTable",
    "OutstandingWork",
    "PeerReport",
    "PeerReportReceived",
    "PeerTable",
    "PlacementRequested",
    "PlacementReason",
    "ProbeConnection",
    "QuarantineTable",
    "QueueReport",
    "RequestClosed",
    "RequestReceived",
    "RequestLimitTable",
    "RequestWork",
    "ReturnLastResult",
    "SendAttempt",
    "SendReport",
    "SentPrompt",
    "SpeedReport",
    "SpeedTable",
    "Stage",
    "StoreLost",
    "StoreReached",
    "UpstreamConnectionFailed",
    "UpstreamProcessEnded",
    "UpstreamReconnected",
    "UpstreamSilent",
    "UpstreamState",
    "UpstreamStateTable",
    "StreamPace",
    "Suspect",
    "VersionCount",
    "ViewChanged",
    "ViewTable",
    "ViewTable",
    "VmLeaving",
    "WriteAllotmentRecord",
    "WriteMoveStatus",
    "WriteQuarantineRecord",
    "may_send",
    "request_work",
    "watch_delay_ms",
]
