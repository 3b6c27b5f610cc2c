"""The gateway's decision core: maps events to actions, without I/O or a clock of its own."""

from azureturn.gateway.decisions._actions import (
    FetchView,
    PlacementReason,
    ReturnLastResult,
    SendAttempt,
    SendReport,
    TellRecall,
    TryConnection,
    WriteAllotmentRecord,
    WriteStatus,
)
from azureturn.gateway.decisions._events import (
    AttemptEnded,
    AttemptResult,
    CallerArrived,
    FirstEventCame,
    GatewayStarted,
    PeerReported,
    RequestClosed,
    StoreRegained,
    UpstreamReached,
    ViewChanged,
    VmLeaving,
)
from azureturn.gateway.decisions._peers import (
    MoveReport,
    PeerReport,
    PeerTable,
    VersionCount,
    WaitingReport,
    WorkReport,
)
from azureturn.gateway.decisions._prefix_cache import SentPrompt
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._upstream_state import UpstreamState, UpstreamStateTable
from azureturn.gateway.decisions.controllers import GATEWAY_CONTROLLERS

__all__ = [
    "AttemptEnded",
    "AttemptResult",
    "CallerArrived",
    "FetchView",
    "FirstEventCame",
    "GATEWAY_CONTROLLERS",
    "GatewayQueueTable",
    "GatewayRequest",
    "GatewayRequestTable",
    "GatewayStarted",
    "MoveReport",
    "PeerReport",
    "PeerReported",
    "PeerTable",
    "PlacementReason",
    "RequestClosed",
    "ReturnLastResult",
    "SendAttempt",
    "SendReport",
    "SentPrompt",
    "Stage",
    "StoreRegained",
    "TellRecall",
    "TryConnection",
    "UpstreamReached",
    "UpstreamState",
    "UpstreamStateTable",
    "VersionCount",
    "ViewChanged",
    "ViewTable",
    "VmLeaving",
    "WaitingReport",
    "WorkReport",
    "WriteAllotmentRecord",
    "WriteStatus",
]
