"""Placement: selects the upstream that serves a request.

Candidate filters remove the upstreams that must not get the request. A limit decides which of the
others can accept one more request now, and a placement policy selects one of these from estimates
of the cost on each. The estimates come from learned speeds and from a model of each upstream's
prefix cache, which holds the computed state of the prompts it has served.
"""

from azureturn.core.placement._candidates import (
    CANDIDATE_FILTERS,
    CandidateFilter,
    CandidateFilters,
    candidate_filter,
)
from azureturn.core.placement._estimates import Candidate, Estimator, prefill_ms, work_tokens
from azureturn.core.placement._limits import LIMITS, Limit, LimitInputs, limit
from azureturn.core.placement._policies import (
    PLACEMENT_POLICIES,
    PlacementInputs,
    PlacementPolicy,
    placement_policy,
)
from azureturn.core.placement._prefixes import (
    AFFINITY_BLOCKS,
    PrefixCacheEstimate,
    PrefixReuseTable,
    PrefixTable,
    SentPrefix,
    affinity_key,
)
from azureturn.core.placement._speeds import (
    AnswerTimeTable,
    LearnedSpeed,
    OutputLengthTable,
    SpeedTable,
)

__all__ = [
    "AFFINITY_BLOCKS",
    "AnswerTimeTable",
    "CANDIDATE_FILTERS",
    "Candidate",
    "CandidateFilter",
    "CandidateFilters",
    "Estimator",
    "LIMITS",
    "LearnedSpeed",
    "Limit",
    "LimitInputs",
    "OutputLengthTable",
    "PLACEMENT_POLICIES",
    "PlacementInputs",
    "PlacementPolicy",
    "PrefixCacheEstimate",
    "PrefixReuseTable",
    "PrefixTable",
    "SentPrefix",
    "SpeedTable",
    "affinity_key",
    "candidate_filter",
    "limit",
    "placement_policy",
    "prefill_ms",
    "work_tokens",
]
