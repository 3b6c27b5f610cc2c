"""How much may be outstanding at an upstream before more is held back in the queue."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from azureturn.core._upstreams import Upstream
from azureturn.settings import UpstreamKind

#: Requests beyond the batch, as a share of it, so that a free place is filled at once.
_EXTRA_SHARE = 0.125
#: What the most urgent tier may add to that, so that it finds room where others find none.
_URGENT_EXTRA_SHARE = 0.125
#: How old the figures of other VMs' work are, which answers may have ended since.
_FIGURES_AGE_MS = 300.0
_EXTRA_LIMIT_SHARE = 0.5
#: Prompts that may wait to be worked off, in milliseconds of one VM's prefill, by tier.
_PREFILL_BACKLOG_MS = (4_000.0, 2_000.0, 1_000.0)


@dataclass(frozen=True)
class LimitInputs:
    """What a limit decides by."""

    upstream: Upstream
    #: Requests there by now, from all VMs, by estimate.
    requests: float
    #: Tier of the request that would be added; 0 is the most urgent.
    tier_rank: int
    #: VMs that share the upstreams.
    vms: int
    now_ms: int
    #: Mean time of an answer there; 0 where it is not known.
    answer_ms: float = 0.0


Limit = Callable[[LimitInputs], bool]

#: Limits by name; each says whether one more request may be sent.
LIMITS: dict[str, Limit] = {}


def limit(name: str) -> Callable[[Limit], Limit]:
    """Register a limit under the name that settings use."""

    def register(function: Limit) -> Limit:
        LIMITS[name] = function
        return function

    return register


@limit("slots")
def by_slots(inputs: LimitInputs) -> bool:
    """Allow as many requests of this VM as the upstream works on at once."""
    return inputs.upstream.outstanding_requests < inputs.upstream.settings.slots


@limit("work")
def by_work(inputs: LimitInputs) -> bool:
    """Keep what all VMs have at an upstream just large enough for its batch.

    A VM's own share of the batch is open to it while the batch as a whole is not full. More
    than its share it takes only where room is left for what the others may be sending at this
    moment. A few requests beyond the batch keep it full, the more the faster answers end; the
    most urgent tier has room for some more. Prompts that wait to be worked off are limited by
    time, less for lower tiers.
    """
    upstream = inputs.upstream
    if upstream.settings.kind is UpstreamKind.PLAIN_SERVICE:
        return by_slots(inputs)
    return _batch_has_room(inputs) and _prefill_has_room(inputs)


def _batch_has_room(inputs: LimitInputs) -> bool:
    slots = inputs.upstream.settings.slots
    extra_share = _EXTRA_SHARE
    if inputs.answer_ms > 0:
        extra_share += min(_EXTRA_LIMIT_SHARE, _FIGURES_AGE_MS / inputs.answer_ms)
    if inputs.tier_rank == 0:
        return inputs.requests < slots * (1 + extra_share + _URGENT_EXTRA_SHARE)
    ceiling = slots * (1 + extra_share)
    if inputs.upstream.outstanding_requests < math.ceil(slots / inputs.vms):
        return inputs.requests < ceiling
    return inputs.requests + inputs.vms / 2 < ceiling


def _prefill_has_room(inputs: LimitInputs) -> bool:
    backlog_ms = inputs.upstream.prefill_until_ms - inputs.now_ms
    if backlog_ms <= 0:
        return True
    rank = min(inputs.tier_rank, len(_PREFILL_BACKLOG_MS) - 1)
    return backlog_ms < _PREFILL_BACKLOG_MS[rank]
