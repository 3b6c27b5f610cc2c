"""Concurrency limits: whether an upstream may receive one more request or it stays queued."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from azureturn.core._upstreams import Upstream
from azureturn.settings import UpstreamKind

#: Requests allowed beyond the batch size, as a share of it, so that a free slot is
#: refilled immediately.
_HEADROOM_SHARE = 0.125
#: Additional headroom of the most urgent tier, so that it is still admitted where other
#: tiers are not.
_URGENT_HEADROOM_SHARE = 0.125
#: Age of the load reported by other VMs; answers may have ended since then.
_REPORT_AGE_MS = 300.0
#: Upper bound of the headroom added for the age of reports.
_MAX_REPORT_AGE_HEADROOM_SHARE = 0.5
#: Allowed prefill backlog by tier, in milliseconds of prefill of one VM.
_PREFILL_BACKLOG_MS = (4_000.0, 2_000.0, 1_000.0)


@dataclass(frozen=True)
class LimitInputs:
    """Inputs of a limit."""

    upstream: Upstream
    #: Estimated requests in progress at the upstream, from all VMs.
    requests: float
    #: Tier of the request to be sent; 0 is the most urgent.
    tier_rank: int
    #: Number of VMs that share the upstreams.
    vms: int
    now_ms: int
    #: Mean answer time of the upstream; 0 if unknown.
    answer_ms: float = 0.0


Limit = Callable[[LimitInputs], bool]

#: Limits by name; each returns whether one more request may be sent.
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

    A VM may use its own share of the batch while the batch as a whole is not full. It exceeds
    its share only if there is room left for requests that other VMs may be sending
    concurrently. Some headroom beyond the batch size keeps the batch full; it is larger where
    answers are short, and larger for the most urgent tier. The prefill backlog is limited by
    time, and more tightly for lower tiers.
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
