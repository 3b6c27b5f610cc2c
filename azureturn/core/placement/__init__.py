"""Placement: which upstream gets a request."""

from azureturn.core.placement._candidates import (
    CANDIDATE_FILTERS,
    CandidateFilter,
    CandidateFilters,
    candidate_filter,
)
from azureturn.core.placement._policies import (
    PLACEMENT_POLICIES,
    PlacementPolicy,
    placement_policy,
)

__all__ = [
    "CANDIDATE_FILTERS",
    "CandidateFilter",
    "CandidateFilters",
    "PLACEMENT_POLICIES",
    "PlacementPolicy",
    "candidate_filter",
    "placement_policy",
]
