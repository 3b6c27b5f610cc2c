"""Estimates of the latency, cost and free capacity of each upstream for a request."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import NamedTuple

from azureturn.gateway.decisions._peer_report import OutstandingWork
from azureturn.gateway.decisions._prefix_cache import PrefixCacheEstimate
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.decisions._slot_sharing import expected_requests
from azureturn.gateway.decisions._speeds import PLAIN_ANSWER_MS, SpeedEstimate
from azureturn.gateway.decisions._upstream_state import UpstreamState
from azureturn.gateway.decisions._work import RequestWork, request_work
from azureturn.gateway.settings import GatewayPolicy
from azureturn.gateway.site import EngineCapacity, RegisteredUpstream

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


class Candidate(NamedTuple):
    """An upstream that a request could be placed on.

    Below 0.4 of all slots in use, each placement creates one for each upstream, and one of the
    tuples below: they are created in a quarter of the time that a data class takes.
    """

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
    #: Whether this VM sends to the upstream through a peer.
    is_relayed: bool = False
    #: Whether the answer would not end within the time limit of the request.
    exceeds_timeout: bool = False
    #: Expected time from the first event of a stream to its end; 0 for a plain answer.
    answer_ms: float = 0.0


@dataclass(frozen=True)
class SnapshotBasis:
    """What a snapshot is computed from; the rows of all lists are those of the same upstreams."""

    upstreams: list[RegisteredUpstream]
    states: list[UpstreamState]
    peer_work: list[OutstandingWork]
    #: Empty for a plain service.
    prefix_caches: list[PrefixCacheEstimate]
    #: Whether limits that an upstream states let this VM send a request to it now.
    may_send: Callable[[int], bool]
    #: Whether this VM sends to them through a peer.
    is_relayed: bool
    #: Whether they fall over if they have to reject many requests.
    is_brittle: bool
    #: Speeds that all VMs together have measured, by name; empty if each VM goes by its own.
    speeds: Mapping[str, SpeedEstimate]


class UpstreamSnapshot(NamedTuple):
    """An upstream with the part of its state that its estimates depend on."""

    upstream: RegisteredUpstream
    state: UpstreamState
    #: None for a plain service.
    prefix_cache: PrefixCacheEstimate | None
    #: Whether this VM sends to it through a peer.
    is_relayed: bool
    #: What is known of its speed.
    speed: SpeedEstimate
    #: Number of requests that it runs at the same time without serving less.
    slots: int
    #: Estimated number of requests at the upstream, from all VMs.
    requests: float
    #: Prompt tokens that it still has to prefill for requests of peers.
    peer_pending_tokens: int


class PlacementSnapshot:
    """The state of all upstreams of one service, as the basis for placing its requests.

    An upstream is given by its index. Rows and capacities are computed for the upstreams for which
    they are asked, since most placements look at few of them.
    """

    def __init__(
        self,
        basis: SnapshotBasis,
        engine: EngineCapacity | None,
        *,
        vm_count: int,
        live_share: float,
        own_zone: str,
        policy: GatewayPolicy,
        now_ms: int,
        has_old_reports: bool = False,
        remaining_share: float = 1.0,
    ) -> None:
        """Compute the requests at each upstream.

        ``live_share`` is the live VMs' share of all VMs; the work of the VMs that are not live is
        extrapolated from it. ``remaining_share`` is the share of the requests reported by peers
        that have not ended since, if their reports are old.
        """
        self._basis = basis
        #: None for a plain service.
        self.engine = engine
        self.own_zone = own_zone
        self.now_ms = now_ms
        self._vm_count = vm_count
        self._policy = policy
        self._has_old_reports = has_old_reports
        self._rows: dict[int, UpstreamSnapshot] = {}
        self._capacities: dict[int, float] = {}
        self._urgent_capacities: dict[int, float] = {}
        self._pause_slowdowns: dict[int, float] = {}
        self.upstreams = basis.upstreams
        self.states = basis.states
        #: Number of requests that each runs at the same time without serving less.
        self.slots = [max(1, upstream.slots) for upstream in basis.upstreams]
        if basis.speeds and engine is not None:
            self.slots = [
                min(slots, self.speed(index).limit) for index, slots in enumerate(self.slots)
            ]
        #: Estimated number of requests at each, from all VMs.
        self.requests: list[float] = self._requests(live_share, remaining_share)
        #: Mean slowdown of the upstreams when all their slots are in use; None if each VM goes by
        #: its own answers, which are too few to compare upstreams.
        self.usual_slowdown: float | None = None
        if policy.shares_speeds and self.upstreams:
            speeds = [self.speed(index) for index in range(len(self.upstreams))]
            self.usual_slowdown = sum(speed.slowdowns[-1] for speed in speeds) / len(speeds)

    def _requests(self, live_share: float, remaining_share: float) -> list[float]:
        basis = self._basis
        own = [state.requests for state in basis.states]
        at_peers = [work.requests for work in basis.peer_work]
        reported = zip(own, at_peers, strict=True)
        if not self._has_old_reports:
            return [round((mine + others) / live_share) for mine, others in reported]
        expected = expected_requests(
            at_peers, [upstream.slots for upstream in basis.upstreams], remaining_share
        )
        requests = [
            (mine + others) / live_share for mine, others in zip(own, expected, strict=True)
        ]
        if basis.is_brittle:
            requests = [
                max(round((mine + others) / live_share), count)
                for (mine, others), count in zip(reported, requests, strict=True)
            ]
        return requests

    def capacity_left(self, index: int, *, urgent: bool) -> float:
        """Return the number of further requests that may be placed on an upstream.

        They are of any tier, or only of the most urgent one.
        """
        capacities = self._urgent_capacities if urgent else self._capacities
        capacity = capacities.get(index)
        if capacity is None:
            capacity = capacities[index] = self._capacity_left(index, urgent=urgent)
        return capacity

    def _capacity_left(self, index: int, *, urgent: bool) -> float:
        basis = self._basis
        if not basis.may_send(index):
            return 0
        slots, requests = self.slots[index], self.requests[index]
        own_requests = basis.states[index].requests
        capacity: float
        if self.engine is None:
            capacity = slots * _PLAIN_QUEUE_FACTOR - requests
        elif urgent:
            capacity = math.ceil(slots + self._policy.ahead_requests - requests)
            # A VM may always use its own share, even if peers exceed theirs. With many VMs it owns
            # whole slots instead, as the shares rounded up exceed what there is.
            own_share = 0 if self._has_old_reports else math.ceil(slots / self._vm_count)
            if own_requests < own_share:
                capacity += math.ceil(self._policy.ahead_requests)
        else:
            capacity = math.ceil(slots - self._policy.reserved_slots - requests)
        if basis.is_brittle:
            # No request may wait there, and the VMs' shares bound what reports miss.
            own_share = math.ceil(slots / self._vm_count)
            capacity = min(capacity, slots - requests, own_share - own_requests)
            if urgent:
                capacity = min(capacity, self.capacity_left(index, urgent=False))
        return capacity

    def row(self, index: int) -> UpstreamSnapshot:
        """Return an upstream with the part of its state that its estimates depend on."""
        row = self._rows.get(index)
        if row is None:
            basis = self._basis
            row = self._rows[index] = UpstreamSnapshot(
                basis.upstreams[index],
                basis.states[index],
                self.prefix_cache(index),
                basis.is_relayed,
                self.speed(index),
                self.slots[index],
                self.requests[index],
                self._pending_tokens_of_peers(index),
            )
        return row

    def speed(self, index: int) -> SpeedEstimate:
        """Return what is known of the speed of an upstream."""
        basis = self._basis
        return basis.speeds.get(basis.upstreams[index].name) or own_speed(
            basis.states[index], is_engine=self.engine is not None, now_ms=self.now_ms
        )

    def prefix_cache(self, index: int) -> PrefixCacheEstimate | None:
        """Return the cache estimate of an engine; None for an upstream of a plain service."""
        return self._basis.prefix_caches[index] if self._basis.prefix_caches else None

    def queued_tokens(self, index: int) -> int:
        """Return the prompt tokens that an engine still has to prefill, for all VMs."""
        return self.states[index].pending_tokens + self._pending_tokens_of_peers(index)

    def pause_slowdown(self, index: int) -> float:
        """Return the slowdown from which pauses of running answers are expected.

        An answer of this VM shows at once that an engine is slow now.
        """
        slowdown = self._pause_slowdowns.get(index)
        if slowdown is None:
            slots = self.upstreams[index].slots
            slowdown = self._pause_slowdowns[index] = max(
                self.speed(index).slowdown(self.requests[index], slots),
                self.states[index].expected_slowdown(self.now_ms),
            )
        return slowdown

    @cached_property
    def _mean_pending_tokens(self) -> int:
        peer_work = self._basis.peer_work
        return sum(work.pending_tokens for work in peer_work) // max(1, len(peer_work))

    def _pending_tokens_of_peers(self, index: int) -> int:
        """Return the prompt tokens that peers' requests still have to prefill at an upstream.

        The prefills that old reports contain have ended before the next reports, so that their
        tokens are spread over all upstreams.
        """
        if self._has_old_reports:
            return self._mean_pending_tokens
        return self._basis.peer_work[index].pending_tokens


def estimate_candidate(
    request: GatewayRequest,
    upstream_snapshot: UpstreamSnapshot,
    snapshot: PlacementSnapshot,
    policy: GatewayPolicy,
    works: dict[int, RequestWork],
) -> Candidate:
    """Return the estimates for placing a request on one upstream.

    ``works`` has the work of this request by cached tokens, which is the same at most upstreams.
    """
    if snapshot.engine is None or request.prompt is None:
        return _plain_candidate(upstream_snapshot, snapshot)
    return _engine_candidate(request, upstream_snapshot, snapshot, policy, works)


def exceeds_pause_limit(
    request: GatewayRequest,
    index: int,
    snapshot: PlacementSnapshot,
    policy: GatewayPolicy,
    works: dict[int, RequestWork],
) -> bool:
    """Return whether prefilling a prompt at an engine would pause concurrent answers too long.

    Load pattern: the fast engines are full, and those with capacity are too slow for the requests
    at the head of the queue. Each placement then checks all of these for each of them, for which
    full estimates would take four times as long.
    """
    if snapshot.requests[index] <= 0:
        return False
    work = _work_at(request, snapshot.prefix_cache(index), policy, works)
    return _exceeds_pause_limit(
        request,
        snapshot.queued_tokens(index) + work.prefill_tokens,
        snapshot.pause_slowdown(index),
        snapshot,
        policy,
    )


def _work_at(
    request: GatewayRequest,
    prefix_cache: PrefixCacheEstimate | None,
    policy: GatewayPolicy,
    works: dict[int, RequestWork],
) -> RequestWork:
    cached_tokens = 0
    if request.prompt is not None and prefix_cache is not None:
        cached_tokens = prefix_cache.cached_tokens(request.prompt.prefixes)
    work = works.get(cached_tokens)
    if work is None:
        work = works[cached_tokens] = request_work(request, policy.engine, cached_tokens)
    return work


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
    return Candidate(
        upstream_snapshot.upstream,
        upstream_snapshot.requests,
        0,
        expected_ms,
        cost_ms,
        upstream_snapshot.is_relayed,
    )


def _engine_candidate(
    request: GatewayRequest,
    upstream_snapshot: UpstreamSnapshot,
    snapshot: PlacementSnapshot,
    policy: GatewayPolicy,
    works: dict[int, RequestWork],
) -> Candidate:
    state = upstream_snapshot.state
    requests = upstream_snapshot.requests
    slowdown = upstream_snapshot.speed.slowdown(requests, upstream_snapshot.upstream.slots)
    work = _work_at(request, upstream_snapshot.prefix_cache, policy, works)
    uncached_tokens = work.prefill_tokens
    ms_per_token = slowdown / policy.engine.prefill_tokens_per_ms
    queued_prefill_ms = (
        state.pending_tokens + upstream_snapshot.peer_pending_tokens
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
    return Candidate(
        upstream_snapshot.upstream,
        requests,
        uncached_tokens,
        expected_ms,
        cost_ms,
        upstream_snapshot.is_relayed,
        snapshot.usual_slowdown is not None
        and snapshot.now_ms + expected_ms + answer_ms > request.ends_at_ms,
        answer_ms,
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
