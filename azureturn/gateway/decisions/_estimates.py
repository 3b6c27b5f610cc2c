"""Estimates of the latency, cost and free capacity of each upstream for a request."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._peers import OutstandingWork
from azureturn.gateway.decisions._prefix_cache import PrefixCacheEstimate
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.decisions._slot_sharing import expected_requests
from azureturn.gateway.decisions._speeds import PLAIN_ANSWER_MS, SpeedEstimate
from azureturn.gateway.decisions._upstream_state import UpstreamState
from azureturn.gateway.decisions._work import request_work
from azureturn.gateway.settings import GatewayPolicy
from azureturn.gateway.site import EngineCapacity, Prompt, RegisteredUpstream

#: Expected time lost through a failure.
FAILURE_COST_MS = 1_500.0
#: Additional cost of an upstream in an availability zone other than this VM's.
_OTHER_ZONE_MS = 3.0
#: Weight of a prompt's prefill time in the cost, for each answer that the prefill delays.
_INTERFERENCE_WEIGHT = 0.05
#: Weight of the time from the first event to the end of the answer in the cost. The objective
#: counts to the first event, but slots that long answers hold are missing to others.
_ANSWER_WEIGHT = 0.1
#: Cost of the last slot, and of each request that waits, at an engine that is much faster than the
#: usual one. All VMs prefer it, so that it rejects what they send between two reports.
_CROWDING_MS = 1_000.0
#: Maximum number of requests at an upstream of a plain service (one that runs no model), as a
#: multiple of its slots.
_PLAIN_QUEUE_FACTOR = 3
#: Fraction of a route's pause limit that prefill may use; the rest is a margin for work that this
#: VM does not know of.
_PAUSE_LIMIT_SHARE = 0.85


@dataclass(frozen=True)
class Candidate:
    """An upstream that a request could be placed on."""

    upstream: RegisteredUpstream
    #: Requests at the upstream from all VMs.
    requests: float
    #: Prompt tokens that the upstream would have to prefill for the request.
    pending_tokens: int
    #: Expected time to the first event of a stream, or to a plain answer.
    expected_ms: float
    #: Cost by which candidates are compared: ``expected_ms`` plus the delay of other requests and
    #: the expected loss through failures.
    cost_ms: float
    has_capacity: bool
    #: Whether this VM sends to the upstream through a peer.
    is_relayed: bool = False
    #: Whether the prefill of this prompt would pause concurrent answers beyond the route's limit.
    exceeds_pause_limit: bool = False
    #: Whether the answer would not end within the time limit of the request.
    exceeds_timeout: bool = False


@dataclass(frozen=True)
class UpstreamSnapshot:
    """An upstream with the part of its state that placement depends on."""

    upstream: RegisteredUpstream
    state: UpstreamState
    peer_work: OutstandingWork
    #: None for a plain service.
    prefix_cache: PrefixCacheEstimate | None
    #: Whether a limit of requests that the upstream states lets this VM send one now.
    may_send: bool = True
    #: Whether this VM sends to it through a peer.
    is_relayed: bool = False
    #: What is known of its speed.
    speed: SpeedEstimate = SpeedEstimate()
    #: Whether it falls over if it has to reject many requests.
    is_brittle: bool = False
    #: Requests of peers that are expected now.
    peer_requests: float = 0
    #: Estimated number of requests at the upstream, from all VMs.
    requests: float = 0
    #: Number of further requests that may be placed on it: of any tier, and of the most urgent
    #: tier.
    capacity_left: float = 0
    urgent_capacity_left: float = 0

    @property
    def slots(self) -> int:
        """Return the number of requests that it runs at the same time without serving less."""
        slots = max(1, self.upstream.slots)
        return slots if self.prefix_cache is None else min(slots, self.speed.limit)


@dataclass(frozen=True)
class PlacementSnapshot:
    """The state of all upstreams of one service, as the basis for placing its requests."""

    upstreams: tuple[UpstreamSnapshot, ...]
    #: None for a plain service.
    engine: EngineCapacity | None
    own_zone: str
    now_ms: int
    #: Mean slowdown of the upstreams when all their slots are in use; None if each VM goes by its
    #: own answers, which are too few to compare upstreams.
    usual_slowdown: float | None = None

    @classmethod
    def of(
        cls,
        upstreams: Iterable[UpstreamSnapshot],
        engine: EngineCapacity | None,
        *,
        vm_count: int,
        live_share: float,
        own_zone: str,
        policy: GatewayPolicy,
        now_ms: int,
        has_old_reports: bool = False,
        remaining_share: float = 1.0,
    ) -> "PlacementSnapshot":
        """Return the snapshot with the free capacity of each upstream.

        ``live_share`` is the live VMs' share of all VMs; the work of the VMs that are not live is
        extrapolated from it. ``remaining_share`` is the share of the requests reported by peers
        that have not ended since, if their reports are old.
        """
        with_capacity = []
        rows = _with_renewed_work(upstreams, remaining_share) if has_old_reports else upstreams
        for snapshot in rows:
            reported = snapshot.state.requests + snapshot.peer_work.requests
            requests: float = round(reported / live_share)
            if has_old_reports:
                expected = (snapshot.state.requests + snapshot.peer_requests) / live_share
                requests = max(requests, expected) if snapshot.is_brittle else expected
            slots = snapshot.slots
            if engine is None:
                capacity = urgent_capacity = slots * _PLAIN_QUEUE_FACTOR - requests
            else:
                capacity = math.ceil(slots - policy.reserved_slots - requests)
                urgent_capacity = math.ceil(slots + policy.ahead_requests - requests)
                # A VM may always use its own share, even if peers exceed theirs. With many VMs it
                # owns whole slots instead, as the shares rounded up exceed what there is.
                own_share = 0 if has_old_reports else math.ceil(slots / vm_count)
                if snapshot.state.requests < own_share:
                    urgent_capacity += math.ceil(policy.ahead_requests)
            if snapshot.is_brittle:
                # No request may wait there, and the VMs' shares bound what reports miss.
                own_share = math.ceil(slots / vm_count)
                capacity = min(capacity, slots - requests, own_share - snapshot.state.requests)
                urgent_capacity = min(urgent_capacity, capacity)
            if not snapshot.may_send:
                capacity = urgent_capacity = 0
            with_capacity.append(
                changed(
                    snapshot,
                    requests=requests,
                    capacity_left=capacity,
                    urgent_capacity_left=urgent_capacity,
                )
            )
        usual_slowdown = None
        if policy.shares_speeds and with_capacity:
            usual_slowdown = sum(row.speed.slowdowns[-1] for row in with_capacity)
            usual_slowdown /= len(with_capacity)
        return cls(tuple(with_capacity), engine, own_zone, now_ms, usual_slowdown)


def _with_renewed_work(
    upstreams: Iterable[UpstreamSnapshot], remaining_share: float
) -> list[UpstreamSnapshot]:
    """Return the upstreams with the work of peers that is expected since their reports.

    The prefills that peers reported have ended before their next reports, so that their tokens are
    spread over all upstreams.
    """
    rows = list(upstreams)
    at_peers = expected_requests(
        [float(row.peer_work.requests) for row in rows],
        [row.upstream.slots for row in rows],
        remaining_share,
    )
    pending_tokens = sum(row.peer_work.pending_tokens for row in rows) // max(1, len(rows))
    return [
        changed(
            row,
            peer_requests=requests,
            peer_work=OutstandingWork(row.peer_work.requests, pending_tokens),
        )
        for row, requests in zip(rows, at_peers, strict=True)
    ]


def estimate_candidate(
    request: GatewayRequest,
    upstream_snapshot: UpstreamSnapshot,
    snapshot: PlacementSnapshot,
    policy: GatewayPolicy,
) -> Candidate:
    """Return the estimates for placing a request on one upstream."""
    if snapshot.engine is None or request.prompt is None:
        return _plain_candidate(upstream_snapshot, snapshot)
    return _engine_candidate(request, request.prompt, upstream_snapshot, snapshot, policy)


def own_speed(state: UpstreamState, *, is_engine: bool, now_ms: int) -> SpeedEstimate:
    """Return the speed of an upstream by the answers that this VM itself got from it."""
    if is_engine:
        return SpeedEstimate.constant(state.expected_slowdown(now_ms))
    return SpeedEstimate.constant(max(1.0, state.expected_answer_ms(now_ms)) / PLAIN_ANSWER_MS)


def _plain_candidate(upstream_snapshot: UpstreamSnapshot, snapshot: PlacementSnapshot) -> Candidate:
    slots = max(1, upstream_snapshot.upstream.slots)
    answer_ms = PLAIN_ANSWER_MS * upstream_snapshot.speed.slowdowns[0]
    waiting = max(0, upstream_snapshot.requests + 1 - slots)
    expected_ms = answer_ms * (1.0 + waiting / slots)
    cost_ms = (
        expected_ms
        + answer_ms * upstream_snapshot.requests / slots
        + _common_cost(upstream_snapshot, snapshot)
    )
    has_capacity = upstream_snapshot.capacity_left > 0
    return Candidate(
        upstream_snapshot.upstream,
        upstream_snapshot.requests,
        0,
        expected_ms,
        cost_ms,
        has_capacity,
        upstream_snapshot.is_relayed,
    )


def _engine_candidate(
    request: GatewayRequest,
    prompt: Prompt,
    upstream_snapshot: UpstreamSnapshot,
    snapshot: PlacementSnapshot,
    policy: GatewayPolicy,
) -> Candidate:
    state = upstream_snapshot.state
    requests = upstream_snapshot.requests
    slowdown = upstream_snapshot.speed.slowdown(requests, upstream_snapshot.upstream.slots)
    cached_tokens = (
        upstream_snapshot.prefix_cache.cached_tokens(prompt.prefixes)
        if upstream_snapshot.prefix_cache
        else 0
    )
    work = request_work(request, policy.engine, cached_tokens)
    uncached_tokens = work.prefill_tokens
    ms_per_token = slowdown / policy.engine.prefill_tokens_per_ms
    queued_prefill_ms = (
        state.pending_tokens + upstream_snapshot.peer_work.pending_tokens
    ) * ms_per_token
    prefill_ms = uncached_tokens * ms_per_token
    slots = upstream_snapshot.slots
    usual_answer_ms = policy.engine.answer_tokens * policy.engine.ms_per_token * slowdown
    slot_wait_ms = max(0, requests + 1 - slots) / slots * usual_answer_ms
    expected_ms = (
        queued_prefill_ms + prefill_ms + slot_wait_ms + policy.engine.first_event_ms * slowdown
    )
    answer_ms = work.answer_ms * slowdown
    cost_ms = (
        expected_ms
        + _speed_cost(answer_ms, slowdown, requests + 2 - slots, snapshot.usual_slowdown)
        + _INTERFERENCE_WEIGHT * requests * prefill_ms
        + _common_cost(upstream_snapshot, snapshot)
    )
    capacity = (
        upstream_snapshot.urgent_capacity_left
        if request.urgency_rank == 0
        else upstream_snapshot.capacity_left
    )
    queued_tokens = state.pending_tokens + upstream_snapshot.peer_work.pending_tokens
    exceeds_limit = requests > 0 and _exceeds_pause_limit(
        request,
        queued_tokens + uncached_tokens,
        # An answer of this VM shows at once that this engine is slow now.
        max(slowdown, state.expected_slowdown(snapshot.now_ms)),
        snapshot,
        policy,
    )
    return Candidate(
        upstream_snapshot.upstream,
        requests,
        uncached_tokens,
        expected_ms,
        cost_ms,
        capacity > 0,
        upstream_snapshot.is_relayed,
        exceeds_limit,
        snapshot.usual_slowdown is not None
        and snapshot.now_ms + expected_ms + answer_ms > request.ends_at_ms,
    )


def _speed_cost(
    answer_ms: float, slowdown: float, crowding_requests: float, usual_slowdown: float | None
) -> float:
    """Return the part of an engine's cost that depends on how its speed compares with others'."""
    if usual_slowdown is None:
        return 0.0
    crowding = max(0.0, crowding_requests) * max(0.0, 1.0 - slowdown / usual_slowdown)
    return _CROWDING_MS * crowding + _ANSWER_WEIGHT * answer_ms


def _exceeds_pause_limit(
    request: GatewayRequest,
    pending_tokens: int,
    slowdown: float,
    snapshot: PlacementSnapshot,
    policy: GatewayPolicy,
) -> bool:
    """Return whether prefilling these tokens would pause concurrent answers beyond the limit.

    An engine prefills prompts in chunks, one per generated token, so that the wait for an
    event contains at most as many chunks as the event has tokens.
    """
    assert snapshot.engine is not None
    if not request.route.pause_limit_ms:
        return False
    engine = policy.engine
    event_tokens = snapshot.engine.tokens_per_event
    event_ms = event_tokens * engine.ms_per_token * slowdown
    tokens = min(pending_tokens, event_tokens * engine.chunk_tokens)
    pause_ms = tokens / engine.prefill_tokens_per_ms * slowdown
    return pause_ms > _PAUSE_LIMIT_SHARE * (request.route.pause_limit_ms - event_ms)


def _common_cost(upstream_snapshot: UpstreamSnapshot, snapshot: PlacementSnapshot) -> float:
    cost_ms = upstream_snapshot.state.expected_failure_share(snapshot.now_ms) * FAILURE_COST_MS
    if upstream_snapshot.upstream.availability_zone != snapshot.own_zone:
        cost_ms += _OTHER_ZONE_MS
    return cost_ms
