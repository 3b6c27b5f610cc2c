"""Data model of a site: what operators, upstreams and VMs declare in the store."""

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
    AttemptHeaders,
    CallerFacts,
    Prompt,
    PromptPart,
    ResponseFacts,
)
from azureturn.gateway.site._view import SiteView, StoredFact

__all__ = [
    "Allotment",
    "AllotmentRecord",
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
    "ResponseFacts",
    "Route",
    "RouteTarget",
    "Service",
    "SiteConfiguration",
    "SiteDocuments",
    "SiteView",
    "SpentUnits",
    "StoredFact",
]
