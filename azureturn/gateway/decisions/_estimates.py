"""What a request would meet at each upstream, and whether there is room for it."""

import math
from dataclasses import dataclass

from azureturn.gateway.decisions._peers import WorkReport
from azureturn.gateway.decisions._prompts import PromptRecord
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.decisions._work import UpstreamState
from azureturn.gateway.settings import GatewayPolicy
from azureturn.gateway.site import EngineShape, RegisteredUpstream

#: Expected time lost by a failure.
_FAILURE_COST_MS = 1_500.0
#: Extra cost of another availability zone.
_OTHER_ZONE_MS = 3.0
#: Weight of the time for which a prompt holds up the answers that run beside it.
_OTHERS_WEIGHT = 0.05
#: A plain answer's time until one was seen.
_PLAIN_ANSWER_MS = 25.0
#: Requests that a plain upstream may have waiting, as a multiple of its slots.
_PLAIN_QUEUE = 3


@dataclass(frozen=True)
class Candidate:
    """One upstream that could be given a request."""

    upstream: RegisteredUpstream
    #: Requests there from all VMs.
    requests: int
    #: Prompt tokens that it would have to work off for the request.
    pending_tokens: int
    #: Time to the first event, or to a plain answer.
    expected_ms: float
    #: What is compared: the time, and what the choice costs others.
    cost_ms: float
    has_room: bool


@dataclass(frozen=True)
class Surroundings:
    """What the estimates for one upstream rest on."""

    upstream: RegisteredUpstream
    state: UpstreamState
    peers: WorkReport
    #: None for a plain service.
    engine: EngineShape | None
    record: PromptRecord | None
    vms: int
    #: Share of the VMs whose work is known, this one included.
    heard_share: float
    own_zone: str
    now_ms: int


def candidate(request: GatewayRequest, around: Surroundings, policy: GatewayPolicy) -> Candidate:
    """Return the estimates for one upstream."""
    if around.engine is None or request.prompt is None:
        return _plain(request, around)
    return _engine(request, around, policy, around.engine)


def _plain(request: GatewayRequest, around: Surroundings) -> Candidate:
    state = around.state
    requests = state.requests + around.peers.requests
    slots = max(1, around.upstream.slots)
    answer_ms = max(state.expected_answer_ms(around.now_ms), 1.0) or _PLAIN_ANSWER_MS
    waiting = max(0, requests + 1 - slots)
    expected_ms = answer_ms * (1.0 + waiting / slots)
    cost_ms = expected_ms + answer_ms * requests / slots + _common_cost(around)
    room = requests < slots * _PLAIN_QUEUE
    return Candidate(around.upstream, requests, 0, expected_ms, cost_ms, room)


def _engine(
    request: GatewayRequest, around: Surroundings, policy: GatewayPolicy, engine: EngineShape
) -> Candidate:
    assert request.prompt is not None
    state = around.state
    # VMs that are not heard are thought to have as much there as those that are.
    requests = round((state.requests + around.peers.requests) / around.heard_share)
    pace = state.expected_pace(around.now_ms)
    held = around.record.held_tokens(request.prompt) if around.record else 0
    pending = max(0, request.prompt.prompt_tokens - held)
    ms_per_token = pace / policy.engine.prefill_tokens_per_ms
    ahead_ms = (state.pending_tokens + around.peers.pending_tokens) * ms_per_token
    own_ms = pending * ms_per_token
    slots = max(1, around.upstream.slots or engine.slots)
    answer_ms = policy.engine.answer_tokens * policy.engine.ms_per_token * pace
    slot_wait_ms = max(0, requests + 1 - slots) / slots * answer_ms
    expected_ms = ahead_ms + own_ms + slot_wait_ms + policy.engine.first_event_ms * pace
    cost_ms = expected_ms + _OTHERS_WEIGHT * requests * own_ms + _common_cost(around)
    room = _engine_has_room(request, around, policy, requests, slots)
    return Candidate(around.upstream, requests, pending, expected_ms, cost_ms, room)


def _engine_has_room(
    request: GatewayRequest,
    around: Surroundings,
    policy: GatewayPolicy,
    requests: int,
    slots: int,
) -> bool:
    if request.tier_rank == 0:
        if requests < slots + policy.ahead_requests:
            return True
        # A VM's share is open to it even where peers have taken more than theirs.
        share = math.ceil(slots / max(1, around.vms))
        return around.state.requests < share and requests < slots + 2 * policy.ahead_requests
    return requests < slots - policy.reserved_slots


def _common_cost(around: Surroundings) -> float:
    cost_ms = around.state.failures(around.now_ms) * _FAILURE_COST_MS
    if around.upstream.availability_zone != around.own_zone:
        cost_ms += _OTHER_ZONE_MS
    return cost_ms
