"""What a site consists of, as operators and upstreams declare it."""

from azureturn.gateway.site._allotment_use import AllotmentRecord, ProcessUse, SpentUnits
from azureturn.gateway.site._configuration import (
    Allotment,
    CallerLimits,
    EngineShape,
    Organisation,
    RequestKind,
    Route,
    RouteTarget,
    Service,
    SiteConfiguration,
)
from azureturn.gateway.site._facts import (
    Fact,
    MoveOrder,
    MoveState,
    MoveStatus,
    RegisteredUpstream,
    RegisteredVm,
)
from azureturn.gateway.site._ports import Dialect, SiteDocuments
from azureturn.gateway.site._requests import (
    AnswerFacts,
    AttemptHeaders,
    CallerFacts,
    Prompt,
    PromptPart,
)
from azureturn.gateway.site._view import SiteView, StoredFact

__all__ = [
    "Allotment",
    "AllotmentRecord",
    "AnswerFacts",
    "AttemptHeaders",
    "CallerFacts",
    "CallerLimits",
    "Dialect",
    "EngineShape",
    "Fact",
    "MoveOrder",
    "MoveState",
    "MoveStatus",
    "Organisation",
    "ProcessUse",
    "Prompt",
    "PromptPart",
    "RegisteredUpstream",
    "RegisteredVm",
    "RequestKind",
    "Route",
    "RouteTarget",
    "Service",
    "SiteConfiguration",
    "SiteDocuments",
    "SiteView",
    "SpentUnits",
    "StoredFact",
]
