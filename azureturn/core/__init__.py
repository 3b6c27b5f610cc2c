"""The decision core: events in, actions out; it does no I/O and holds no clock."""

from azureturn.core import controllers
from azureturn.core._actions import (
    Action,
    AskClaimant,
    CancelAtUpstream,
    Dispatch,
    Refuse,
    RequestAction,
    WriteClaim,
)
from azureturn.core._blackboard import Blackboard, BlackboardView, Table, UndeclaredTableError
from azureturn.core._claims import ClaimHolder, ClaimResult
from azureturn.core._configuration import Configuration, ConfigurationSource, ConfigurationTable
from azureturn.core._controllers import CONTROLLERS, Context, Controller, controller, on
from azureturn.core._core import Core
from azureturn.core._events import (
    AnswerProgressed,
    CallerLeft,
    ClaimDecided,
    ConfigurationInForce,
    ConfigurationReceived,
    Event,
    FirstByteSent,
    LoadReported,
    Placed,
    PlacementDue,
    RequestAnswered,
    RequestArrived,
    RequestEnded,
    RequestFailed,
    Started,
    Tick,
    UpstreamLeaving,
)
from azureturn.core._queue import QueueTable, RequestQueue
from azureturn.core._requests import Request, RequestStage, RequestTable
from azureturn.core._upstreams import LoadReport, Upstream, UpstreamTable
from azureturn.core.placement import (
    CANDIDATE_FILTERS,
    PLACEMENT_POLICIES,
    CandidateFilter,
    PlacementPolicy,
    candidate_filter,
    placement_policy,
)

__all__ = [
    "Action",
    "AnswerProgressed",
    "AskClaimant",
    "Blackboard",
    "BlackboardView",
    "CANDIDATE_FILTERS",
    "CONTROLLERS",
    "CallerLeft",
    "CandidateFilter",
    "CancelAtUpstream",
    "ClaimDecided",
    "ClaimHolder",
    "ClaimResult",
    "Configuration",
    "ConfigurationInForce",
    "ConfigurationReceived",
    "ConfigurationSource",
    "ConfigurationTable",
    "Context",
    "Controller",
    "Core",
    "Dispatch",
    "Event",
    "FirstByteSent",
    "LoadReport",
    "LoadReported",
    "PLACEMENT_POLICIES",
    "Placed",
    "PlacementDue",
    "PlacementPolicy",
    "QueueTable",
    "Refuse",
    "Request",
    "RequestAction",
    "RequestAnswered",
    "RequestArrived",
    "RequestEnded",
    "RequestFailed",
    "RequestQueue",
    "RequestStage",
    "RequestTable",
    "Started",
    "Table",
    "Tick",
    "UndeclaredTableError",
    "Upstream",
    "UpstreamLeaving",
    "UpstreamTable",
    "WriteClaim",
    "candidate_filter",
    "controller",
    "controllers",
    "on",
    "placement_policy",
]
