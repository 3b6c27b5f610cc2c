"""The gateway's decisions: events in, actions out; they do no I/O and hold no clock."""

from azureturn.gateway.decisions._actions import (
    Conclude,
    FetchView,
    PlacementReason,
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
from azureturn.gateway.decisions._prompts import SentPrompt
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._work import UpstreamState, UpstreamStateTable
from azureturn.gateway.decisions.controllers import GATEWAY_CONTROLLERS

__all__ = [
    "AttemptEnded",
    "AttemptResult",
    "CallerArrived",
    "Conclude",
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
