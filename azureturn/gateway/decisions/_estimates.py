"""What a request would meet at each upstream, and whether there is room for it."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._peers import WorkReport
from azureturn.gateway.decisions._prompts import PromptRecord
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.decisions._work import UpstreamState
from azureturn.gateway.settings import GatewayPolicy
from azureturn.gateway.site import EngineShape, Prompt, RegisteredUpstream

#: Expected time lost by a failure.
_FAILURE_COST_MS = 1_500.0
#: Extra cost of another availability zone.
_OTHER_ZONE_MS = 3.0
#: Weight of the time for which a prompt holds up the answers that run beside it.
_OTHERS_WEIGHT = 0.05
#: Requests that a plain upstream may have waiting, as a multiple of its slots.
_PLAIN_QUEUE = 3
#: Part of the longest pause allowed that prompts may take up; the rest is for what is not known.
_HOLD_UP_SHARE = 0.85


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
    #: Its answers would pause for longer than they may while it works off this prompt.
    is_held_up: bool = False


@dataclass(frozen=True)
class KnownUpstream:
    """One upstream and what is known of it."""

    upstream: RegisteredUpstream
    state: UpstreamState
    peers: WorkReport
    #: None for a plain service.
    record: PromptRecord | None
    #: Requests there from all VMs, by estimate.
    requests: int = 0
    #: More requests that it may be given: those of any tier, and the most urgent ones.
    room_left: int = 0
    urgent_room_left: int = 0


@dataclass(frozen=True)
class Surroundings:
    """What the requests of one service find."""

    upstreams: tuple[KnownUpstream, ...]
    #: None for a plain service.
    engine: EngineShape | None
    own_zone: str
    now_ms: int

    @classmethod
    def of(
        cls,
        upstreams: Iterable[KnownUpstream],
        engine: EngineShape | None,
        *,
        vms: int,
        heard_share: float,
        own_zone: str,
        policy: GatewayPolicy,
        now_ms: int,
    ) -> "Surroundings":
        """Return the surroundings with the room at each upstream.

        ``heard_share`` is the share of VMs whose work is known: the others are thought to have
        as much there as those.
        """
        found = []
        for one in upstreams:
            requests = round((one.state.requests + one.peers.requests) / heard_share)
            slots = max(1, one.upstream.slots)
            if engine is None:
                room = urgent_room = slots * _PLAIN_QUEUE - requests
            else:
                room = math.ceil(slots - policy.reserved_slots - requests)
                urgent_room = math.ceil(slots + policy.ahead_requests - requests)
                # A VM's share is open to it even where peers have taken more than theirs.
                if one.state.requests < math.ceil(slots / vms):
                    urgent_room += math.ceil(policy.ahead_requests)
            found.append(
                changed(one, requests=requests, room_left=room, urgent_room_left=urgent_room)
            )
        return cls(tuple(found), engine, own_zone, now_ms)


def candidate(
    request: GatewayRequest, known: KnownUpstream, site: Surroundings, policy: GatewayPolicy
) -> Candidate:
    """Return the estimates for one upstream."""
    if site.engine is None or request.prompt is None:
        return _plain(known, site)
    return _engine(request, request.prompt, known, site, policy)


def _plain(known: KnownUpstream, site: Surroundings) -> Candidate:
    slots = max(1, known.upstream.slots)
    answer_ms = max(known.state.expected_answer_ms(site.now_ms), 1.0)
    waiting = max(0, known.requests + 1 - slots)
    expected_ms = answer_ms * (1.0 + waiting / slots)
    cost_ms = expected_ms + answer_ms * known.requests / slots + _common_cost(known, site)
    has_room = known.room_left > 0
    return Candidate(known.upstream, known.requests, 0, expected_ms, cost_ms, has_room)


def _engine(
    request: GatewayRequest,
    prompt: Prompt,
    known: KnownUpstream,
    site: Surroundings,
    policy: GatewayPolicy,
) -> Candidate:
    state = known.state
    requests = known.requests
    pace = state.expected_pace(site.now_ms)
    held = known.record.held_tokens(prompt) if known.record else 0
    pending = max(0, prompt.prompt_tokens - held)
    ms_per_token = pace / policy.engine.prefill_tokens_per_ms
    ahead_ms = (state.pending_tokens + known.peers.pending_tokens) * ms_per_token
    own_ms = pending * ms_per_token
    slots = max(1, known.upstream.slots)
    answer_ms = policy.engine.answer_tokens * policy.engine.ms_per_token * pace
    slot_wait_ms = max(0, requests + 1 - slots) / slots * answer_ms
    expected_ms = ahead_ms + own_ms + slot_wait_ms + policy.engine.first_event_ms * pace
    cost_ms = expected_ms + _OTHERS_WEIGHT * requests * own_ms + _common_cost(known, site)
    room = known.urgent_room_left if request.urgency_rank == 0 else known.room_left
    before = state.pending_tokens + known.peers.pending_tokens
    held_up = requests > 0 and _holds_up(request, before + pending, pace, site, policy)
    return Candidate(known.upstream, requests, pending, expected_ms, cost_ms, room > 0, held_up)


def _holds_up(
    request: GatewayRequest,
    pending_tokens: int,
    pace: float,
    site: Surroundings,
    policy: GatewayPolicy,
) -> bool:
    """Return whether answers beside these prompt tokens would pause for too long.

    An engine works prompts off in chunks, one for each token of the answers, so that an event
    waits for as many chunks as it has tokens, at the most.
    """
    assert site.engine is not None
    if not request.route.pause_limit_ms:
        return False
    engine = policy.engine
    event_tokens = site.engine.tokens_per_event
    event_ms = event_tokens * engine.ms_per_token * pace
    tokens = min(pending_tokens, event_tokens * engine.chunk_tokens)
    pause_ms = tokens / engine.prefill_tokens_per_ms * pace
    return pause_ms > _HOLD_UP_SHARE * (request.route.pause_limit_ms - event_ms)


def _common_cost(known: KnownUpstream, site: Surroundings) -> float:
    cost_ms = known.state.failures(site.now_ms) * _FAILURE_COST_MS
    if known.upstream.availability_zone != site.own_zone:
        cost_ms += _OTHER_ZONE_MS
    return cost_ms
