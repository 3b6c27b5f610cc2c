"""Places queued requests on upstreams that have free capacity."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import Placed, PlacementDue, RequestEnded, RequestRequeued
from azureturn.core._peers import PeerWorkTable
from azureturn.core._queue import QueueTable
from azureturn.core._requests import PREFIX_BLOCK_TOKENS, Request, RequestTable
from azureturn.core._upstreams import Upstream, UpstreamTable
from azureturn.core.placement import (
    AFFINITY_BLOCKS,
    LIMITS,
    PLACEMENT_POLICIES,
    Candidate,
    CandidateFilters,
    Estimator,
    LimitInputs,
    PlacementInputs,
    PrefixReuseTable,
    PrefixTable,
    SpeedTable,
    affinity_key,
    prefill_ms,
    work_tokens,
)
from azureturn.framework import (
    Blackboard,
    Context,
    Controller,
    DrainTable,
    RequestQueue,
    RestrictedBlackboard,
    on,
)
from azureturn.settings import PolicySettings, Settings

#: Number of upstreams sampled by the prompt's hash, and again by random choice.
_SAMPLE_SIZE = 8
#: Number of requests at the head of a tier's queue that are considered for placement.
_HEADS_PER_TIER = 8
#: A request may wait for an upstream that has its prompt prefix cached for this share of its
#: timeout, but no longer than ``_MAX_WAIT_MS``.
_MAX_WAIT_SHARE = 0.1
_MAX_WAIT_MS = 10_000


@dataclass(frozen=True)
class _EligibleUpstreams:
    """The upstreams that one request can be placed on."""

    #: Whether any sampled upstream serves the request, with or without free capacity.
    has_upstream: bool
    #: All sampled upstreams that serve the request; empty if none has free capacity.
    all: Sequence[Candidate] = ()
    #: Those of ``all`` that have free capacity.
    accepting: Sequence[Candidate] = ()


@controller("placement")
class PlacementController(Controller[Settings]):
    """Takes the most urgent request that some upstream has capacity for and places it there."""

    reads = (ConfigurationTable, SpeedTable, PeerWorkTable)
    writes = (
        RequestTable,
        QueueTable,
        UpstreamTable,
        PrefixTable,
        PrefixReuseTable,
        DrainTable,
    )
    after = ("admission", "learning")

    def __init__(
        self, board: RestrictedBlackboard, settings: Settings, filters: CandidateFilters
    ) -> None:
        super().__init__(board, settings)
        self._filters = filters
        self._estimator = Estimator(board.read(SpeedTable), board.read(PrefixTable))
        self._placement_count = 0

    @classmethod
    def from_settings(cls, settings: Settings, board: Blackboard) -> "PlacementController":
        """Return the controller with every candidate filter registered so far."""
        view = RestrictedBlackboard(
            board, cls.name, reads=frozenset(cls.reads), writes=frozenset(cls.writes)
        )
        return cls(view, settings, CandidateFilters.from_board(board))

    @on(PlacementDue)
    def _on_due(self, event: PlacementDue, context: Context) -> None:
        queue = self.board.write(QueueTable).of(event.target)
        while len(queue) and self._place_next(queue, event.freed_upstream, context):
            pass

    @on(RequestEnded)
    def _on_ended(self, event: RequestEnded, context: Context) -> None:
        self._release(event.request, context)
        context.post(PlacementDue(event.request.target, freed_upstream=event.request.upstream))

    @on(RequestRequeued)
    def _on_requeued(self, event: RequestRequeued, context: Context) -> None:
        self._release(event.request, context)

    def _release(self, request: Request, context: Context) -> None:
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(request.upstream)
        if upstream is not None:
            updated_upstream = upstream.with_outstanding(
                requests=-1, tokens=-work_tokens(request), now_ms=context.now_ms
            )
            upstreams.put(request.upstream, updated_upstream)

    def _place_next(
        self, queue: RequestQueue[Request], freed_upstream: str, context: Context
    ) -> bool:
        """Place one request and return whether one was placed.

        A tier whose first requests wait for free capacity blocks all less urgent tiers. Requests
        that no upstream serves at present, or that wait for a particular upstream, block nothing.
        """
        for rank in queue.waiting_ranks():
            for request in queue.heads(rank, _HEADS_PER_TIER):
                eligible = self._eligible_upstreams(request, freed_upstream, context)
                if eligible.has_upstream and not eligible.accepting:
                    return False
                chosen = self._choose(request, eligible, context) if eligible.accepting else None
                if chosen is not None:
                    self._place(queue, request, chosen, context)
                    return True
        return False

    def _eligible_upstreams(
        self, request: Request, freed_upstream: str, context: Context
    ) -> _EligibleUpstreams:
        serving = self._candidates(request, freed_upstream, context)
        with_capacity = self._names_with_capacity(request, serving, context.now_ms)
        if not with_capacity:
            return _EligibleUpstreams(has_upstream=len(serving) > 0)
        candidates = self._estimator.candidates(request, serving, context.now_ms)
        return _EligibleUpstreams(
            has_upstream=True,
            all=candidates,
            accepting=[candidate for candidate in candidates if candidate.name in with_capacity],
        )

    def _names_with_capacity(
        self, request: Request, serving: Sequence[Upstream], now_ms: int
    ) -> frozenset[str]:
        has_capacity = LIMITS[self._policy().limits]
        vms = self.board.read(PeerWorkTable).vm_count()
        speeds = self.board.read(SpeedTable)
        return frozenset(
            upstream.settings.name
            for upstream in serving
            if has_capacity(
                LimitInputs(
                    upstream=upstream,
                    requests=upstream.estimated_requests(now_ms),
                    tier_rank=request.tier_rank,
                    vms=vms,
                    now_ms=now_ms,
                    answer_ms=speeds.of(upstream).answer_ms,
                )
            )
        )

    def _candidates(
        self, request: Request, freed_upstream: str, context: Context
    ) -> Sequence[Upstream]:
        """Return the sampled upstreams eligible for the request, with or without free capacity."""
        upstreams = self.board.read(UpstreamTable)
        key = affinity_key(request) or request.request_id
        sampled = upstreams.sample(
            request.target,
            context.random,
            start_hash=xxhash.xxh3_64_intdigest(key.encode()),
            sample_size=_SAMPLE_SIZE,
        )
        freed_row = upstreams.get(freed_upstream) if freed_upstream else None
        if (
            freed_row is not None
            and request.target in freed_row.settings.targets
            and freed_row not in sampled
        ):
            sampled.append(freed_row)
        serving = [upstream for upstream in sampled if upstream.takes_work(context.now_ms)]
        return self._filters.apply(request, _without_silent(serving, context.now_ms))

    def _choose(
        self, request: Request, eligible: _EligibleUpstreams, context: Context
    ) -> Candidate | None:
        reuse = self.board.write(PrefixReuseTable)
        choice = PlacementInputs(
            request=request,
            accepting=eligible.accepting,
            all=eligible.all,
            random=context.random,
            placed=self._placement_count,
            prefix_reuse=reuse.of(request),
            may_wait=self._may_wait(request, context.now_ms),
        )
        chosen = PLACEMENT_POLICIES[self._policy().placement](choice)
        if chosen is not None and request.prefix_digests:
            reuse.learn(request, seen=_prefix_was_seen(request, eligible))
        return chosen

    def _may_wait(self, request: Request, now_ms: int) -> bool:
        """Return whether the request may stay queued for an upstream with its prefix cached."""
        requests = self.board.write(RequestTable)
        row = requests.get(request.request_id) or request
        if not row.deferred_at_ms:
            requests.put(request.request_id, row.with_deferral(now_ms))
            return True
        timeout_ms = request.deadline_ms - request.arrived_at_ms
        max_wait_ms = min(_MAX_WAIT_MS, _MAX_WAIT_SHARE * timeout_ms)
        return now_ms - row.deferred_at_ms < max_wait_ms

    def _place(
        self, queue: RequestQueue[Request], request: Request, chosen: Candidate, context: Context
    ) -> None:
        self._placement_count += 1
        queue.take(request)
        drain = self.board.read(DrainTable).of(request.target)
        self.board.write(DrainTable).put(request.target, drain.with_placed(work_tokens(request)))
        self._record_placement(request, chosen, context.now_ms)
        placed = request.with_placement(
            chosen.name, now_ms=context.now_ms, expected_cached_tokens=chosen.cached_tokens
        )
        self.board.write(RequestTable).put(request.request_id, placed)
        context.post(Placed(request.request_id))

    def _record_placement(self, request: Request, chosen: Candidate, now_ms: int) -> None:
        speed = self.board.read(SpeedTable).of(chosen.upstream)
        updated_upstream = chosen.upstream.with_outstanding(
            requests=1, tokens=work_tokens(request), now_ms=now_ms
        ).with_prefill(prefill_ms(request, chosen.cached_tokens, speed), now_ms=now_ms)
        self.board.write(UpstreamTable).put(chosen.name, updated_upstream)
        if request.prefix_digests:
            self.board.write(PrefixTable).record_sent_prompt(chosen.name, request.prefix_digests)

    def _policy(self) -> PolicySettings:
        return self.board.read(ConfigurationTable).get_active().shared.policy


def _prefix_was_seen(request: Request, eligible: _EligibleUpstreams) -> bool:
    needed_tokens = min(AFFINITY_BLOCKS, len(request.prefix_digests)) * PREFIX_BLOCK_TOKENS
    return any(candidate.cached_tokens >= needed_tokens > 0 for candidate in eligible.all)


def _without_silent(upstreams: list[Upstream], now_ms: int) -> list[Upstream]:
    """Return the upstreams without the silent ones, or all of them if every one is silent."""
    reachable = [upstream for upstream in upstreams if not upstream.is_silent(now_ms)]
    return reachable or upstreams
