"""Estimates of the latency, cost and free capacity of each upstream for a request."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._peers import OutstandingWork
from azureturn.gateway.decisions._prefix_cache import PrefixCacheEstimate
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.decisions._slot_sharing import expected_requests
from azureturn.gateway.decisions._upstream_state import UpstreamState
from azureturn.gateway.settings import GatewayPolicy
from azureturn.gateway.site import EngineCapacity, Prompt, RegisteredUpstream

#: Expected time lost through a failure.
FAILURE_COST_MS = 1_500.0
#: Additional cost of an upstream in an availability zone other than this VM's.
_OTHER_ZONE_MS = 3.0
#: Weight of a prompt's prefill time in the cost, for each answer that the prefill delays.
_INTERFERENCE_WEIGHT = 0.05
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


@dataclass(frozen=True)
class PlacementSnapshot:
    """The state of all upstreams of one service, as the basis for placing its requests."""

    upstreams: tuple[UpstreamSnapshot, ...]
    #: None for a plain service.
    engine: EngineCapacity | None
    own_zone: str
    now_ms: int

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
            slots = max(1, snapshot.upstream.slots)
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
        return cls(tuple(with_capacity), engine, own_zone, now_ms)


def _with_renewed_work(
    upstreams: Iterable[UpstreamSnapshot], remaining_share: float
) -> list[UpstreamSnapshot]:
    """Return the upstreams with the work of peers that is expected since their reports.

    Prefills take less time than reports, so that those in progress are others than reported.
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


def _plain_candidate(upstream_snapshot: UpstreamSnapshot, snapshot: PlacementSnapshot) -> Candidate:
    slots = max(1, upstream_snapshot.upstream.slots)
    answer_ms = max(upstream_snapshot.state.expected_answer_ms(snapshot.now_ms), 1.0)
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
    slowdown = state.expected_slowdown(snapshot.now_ms)
    cached_tokens = (
        upstream_snapshot.prefix_cache.cached_tokens(prompt.prefixes)
        if upstream_snapshot.prefix_cache
        else 0
    )
    uncached_tokens = max(0, prompt.prompt_tokens - cached_tokens)
    ms_per_token = slowdown / policy.engine.prefill_tokens_per_ms
    queued_prefill_ms = (
        state.pending_tokens + upstream_snapshot.peer_work.pending_tokens
    ) * ms_per_token
    prefill_ms = uncached_tokens * ms_per_token
    slots = max(1, upstream_snapshot.upstream.slots)
    answer_ms = policy.engine.answer_tokens * policy.engine.ms_per_token * slowdown
    slot_wait_ms = max(0, requests + 1 - slots) / slots * answer_ms
    expected_ms = (
        queued_prefill_ms + prefill_ms + slot_wait_ms + policy.engine.first_event_ms * slowdown
    )
    cost_ms = (
        expected_ms
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
        request, queued_tokens + uncached_tokens, slowdown, snapshot, policy
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
    )


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
