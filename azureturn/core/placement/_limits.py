"""Concurrency limits: decide whether a request may be sent to an upstream or stays queued."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from azureturn.core._upstreams import Upstream
from azureturn.settings import UpstreamKind

#: Requests allowed beyond the batch size, as a share of it, so that a free slot is
#: refilled immediately.
_HEADROOM_SHARE = 0.125
#: Additional headroom for requests of the most urgent tier, so that an upstream still gets these
#: when it gets no requests of other tiers.
_URGENT_HEADROOM_SHARE = 0.125
#: Assumed age of the load reported by other VMs; some of the reported requests may have ended
#: since the report.
_REPORT_AGE_MS = 300.0
#: Upper bound of the headroom added for the age of reports.
_MAX_REPORT_AGE_HEADROOM_SHARE = 0.5
#: Allowed prefill backlog by tier, in milliseconds of prefill of one VM.
_PREFILL_BACKLOG_MS = (4_000.0, 2_000.0, 1_000.0)


@dataclass(frozen=True)
class LimitInputs:
    """Inputs of a limit.

    A tier is a priority class of requests; its rank is 0 for the most urgent tier and grows with
    each less urgent one.
    """

    upstream: Upstream
    #: Estimated requests in progress at the upstream, from all VMs.
    requests: float
    #: Rank of the tier of the request to be sent.
    tier_rank: int
    #: Number of VMs that share the upstreams.
    vms: int
    now_ms: int
    #: Mean answer time of the upstream; 0 if unknown.
    answer_ms: float = 0.0


Limit = Callable[[LimitInputs], bool]

#: Limits by name; each returns whether one more request may be sent to the upstream.
LIMITS: dict[str, Limit] = {}


def limit(name: str) -> Callable[[Limit], Limit]:
    """Register a limit under the name that settings use."""

    def register(function: Limit) -> Limit:
        LIMITS[name] = function
        return function

    return register


@limit("slots")
def by_slots(inputs: LimitInputs) -> bool:
    """Allow as many outstanding requests of this VM as the upstream has slots."""
    return inputs.upstream.outstanding_requests < inputs.upstream.settings.slots


@limit("work")
def by_work(inputs: LimitInputs) -> bool:
    """Keep the requests of all VMs at an upstream just above its batch size.

    A VM may use its own share of the batch while the batch as a whole is not full. A VM exceeds
    its share only if there is room left for requests that other VMs may be sending
    concurrently. Some headroom beyond the batch size keeps the batch full. The headroom is larger
    for an upstream with short answers, and larger for the most urgent tier. The prefill backlog
    is limited by time, and more tightly for less urgent tiers.
    """
    upstream = inputs.upstream
    if upstream.settings.kind is UpstreamKind.PLAIN_SERVICE:
        return by_slots(inputs)
    return _batch_has_room(inputs) and _prefill_has_room(inputs)


def _batch_has_room(inputs: LimitInputs) -> bool:
    slots = inputs.upstream.settings.slots
    headroom_share = _HEADROOM_SHARE
    if inputs.answer_ms > 0:
        headroom_share += min(_MAX_REPORT_AGE_HEADROOM_SHARE, _REPORT_AGE_MS / inputs.answer_ms)
    if inputs.tier_rank == 0:
        return inputs.requests < slots * (1 + headroom_share + _URGENT_HEADROOM_SHARE)
    max_requests = slots * (1 + headroom_share)
    if inputs.upstream.outstanding_requests < math.ceil(slots / inputs.vms):
        return inputs.requests < max_requests
    return inputs.requests + inputs.vms / 2 < max_requests


def _prefill_has_room(inputs: LimitInputs) -> bool:
    backlog_ms = inputs.upstream.prefill_until_ms - inputs.now_ms
    if backlog_ms <= 0:
        return True
    rank = min(inputs.tier_rank, len(_PREFILL_BACKLOG_MS) - 1)
    return backlog_ms < _PREFILL_BACKLOG_MS[rank]
