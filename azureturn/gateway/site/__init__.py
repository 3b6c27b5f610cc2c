"""Data model of a site: what operators, upstreams and VMs declare in the store.

A site is all gateway VMs that share one store, with the upstreams that they send requests to.
"""

from azureturn.gateway.site._allotment_usage import AllotmentRecord, AllotmentUsage, ProcessUsage
from azureturn.gateway.site._configuration import (
    Allotment,
    CallerLimits,
    EngineCapacity,
    Organisation,
    RequestKind,
    Route,
    RouteTarget,
    Service,
    SiteConfiguration,
)
from azureturn.gateway.site._document_types import (
    DocumentContent,
    EvacuationOrder,
    MoveOrder,
    MoveState,
    MoveStatus,
    RegisteredUpstream,
    RegisteredVm,
    UpstreamRun,
)
from azureturn.gateway.site._ports import Dialect, DocumentCodec
from azureturn.gateway.site._prompts import (
    Prompt,
    PromptPart,
    PromptPrefix,
    combine_parts,
    prefix_keys,
    prefixes_of,
)
from azureturn.gateway.site._quarantine import (
    QuarantinedTraits,
    QuarantineRecord,
    digest_trait,
    is_digest_trait,
)
from azureturn.gateway.site._requests import (
    AttemptHeaders,
    RequestFacts,
    ResponseFacts,
    StatedAvailability,
    StatedLimits,
)
from azureturn.gateway.site._revisions import era_of, join_revision, revision_in_era
from azureturn.gateway.site._view import SiteView
from azureturn.gateway.site._view_changes import StoredDocument, ViewDifference

__all__ = [
    "Allotment",
    "AllotmentRecord",
    "AllotmentUsage",
    "AttemptHeaders",
    "CallerLimits",
    "Dialect",
    "DocumentCodec",
    "DocumentContent",
    "EngineCapacity",
    "EvacuationOrder",
    "MoveOrder",
    "MoveState",
    "MoveStatus",
    "Organisation",
    "ProcessUsage",
    "Prompt",
    "PromptPart",
    "PromptPrefix",
    "QuarantineRecord",
    "QuarantinedTraits",
    "RegisteredUpstream",
    "RegisteredVm",
    "RequestFacts",
    "RequestKind",
    "ResponseFacts",
    "Route",
    "RouteTarget",
    "Service",
    "SiteConfiguration",
    "SiteView",
    "StatedAvailability",
    "StatedLimits",
    "StoredDocument",
    "UpstreamRun",
    "ViewDifference",
    "combine_parts",
    "digest_trait",
    "is_digest_trait",
    "era_of",
    "join_revision",
    "prefix_keys",
    "prefixes_of",
    "revision_in_era",
]
