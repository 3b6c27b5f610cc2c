"""Places queued requests on upstreams that have room."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import Placed, PlacementDue, RequestEnded, RequestReturned
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
    PlacementChoice,
    PrefixReuseTable,
    PrefixTable,
    SpeedTable,
    affinity_key,
    prefill_ms,
    work_tokens,
)
from azureturn.framework import (
    Blackboard,
    BlackboardView,
    Context,
    Controller,
    DrainTable,
    RequestQueue,
    on,
)
from azureturn.settings import PolicySettings, Settings

#: Upstreams that are looked at: this many around the prompt's hash, and this many by chance.
_SAMPLE_EACH = 8
#: Requests of a tier that are looked at before its queue is taken to wait for room.
_HEADS = 8
#: Share of a request's time in which it may wait for an upstream that holds its prefix.
_PATIENCE_SHARE = 0.1
_PATIENCE_LIMIT_MS = 10_000


@dataclass(frozen=True)
class _Options:
    """What one request could be given to."""

    #: Whether some upstream serves it, with room or without.
    has_upstream: bool
    #: Every upstream that serves it; empty where none has room.
    all: Sequence[Candidate] = ()
    open: Sequence[Candidate] = ()


@controller("placement")
class PlacementController(Controller[Settings]):
    """Takes the most urgent request for which some upstream has room, and chooses the upstream."""

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
        self, board: BlackboardView, settings: Settings, filters: CandidateFilters
    ) -> None:
        super().__init__(board, settings)
        self._filters = filters
        self._estimator = Estimator(board.read(SpeedTable), board.read(PrefixTable))
        self._placed = 0

    @classmethod
    def from_settings(cls, settings: Settings, board: Blackboard) -> "PlacementController":
        """Return the controller with every candidate filter that is registered by now."""
        view = BlackboardView(
            board, cls.name, reads=frozenset(cls.reads), writes=frozenset(cls.writes)
        )
        return cls(view, settings, CandidateFilters.from_board(board))

    @on(PlacementDue)
    def _on_due(self, event: PlacementDue, context: Context) -> None:
        queue = self.board.write(QueueTable).of(event.target)
        while len(queue) and self._place_next(queue, event.freed, context):
            pass

    @on(RequestEnded)
    def _on_ended(self, event: RequestEnded, context: Context) -> None:
        self._release(event.request, context)
        context.post(PlacementDue(event.request.target, freed=event.request.upstream))

    @on(RequestReturned)
    def _on_returned(self, event: RequestReturned, context: Context) -> None:
        self._release(event.request, context)

    def _release(self, request: Request, context: Context) -> None:
        upstreams = self.board.write(UpstreamTable)
        upstream = upstreams.get(request.upstream)
        if upstream is not None:
            released = upstream.with_outstanding(
                requests=-1, tokens=-work_tokens(request), now_ms=context.now_ms
            )
            upstreams.put(request.upstream, released)

    def _place_next(self, queue: RequestQueue[Request], freed: str, context: Context) -> bool:
        """Place one request and return whether one was placed.

        A tier whose first requests wait for room holds back the tiers below it. Requests that
        no upstream serves at present, or that wait for a certain upstream, hold back nothing.
        """
        for rank in queue.waiting_ranks():
            for request in queue.heads(rank, _HEADS):
                options = self._options(request, freed, context)
                if options.has_upstream and not options.open:
                    return False
                chosen = self._choose(request, options, context) if options.open else None
                if chosen is not None:
                    self._place(queue, request, chosen, context)
                    return True
        return False

    def _options(self, request: Request, freed: str, context: Context) -> _Options:
        serving = self._candidates(request, freed, context)
        with_room = self._with_room(request, serving, context.now_ms)
        if not with_room:
            return _Options(has_upstream=len(serving) > 0)
        found = self._estimator.candidates(request, serving, context.now_ms)
        return _Options(
            has_upstream=True, all=found, open=[one for one in found if one.name in with_room]
        )

    def _with_room(
        self, request: Request, serving: Sequence[Upstream], now_ms: int
    ) -> frozenset[str]:
        allows = LIMITS[self._policy().limits]
        vms = self.board.read(PeerWorkTable).vms()
        speeds = self.board.read(SpeedTable)
        return frozenset(
            one.settings.name
            for one in serving
            if allows(
                LimitInputs(
                    upstream=one,
                    requests=one.estimated_requests(now_ms),
                    tier_rank=request.tier_rank,
                    vms=vms,
                    now_ms=now_ms,
                    answer_ms=speeds.of(one).answer_ms,
                )
            )
        )

    def _candidates(self, request: Request, freed: str, context: Context) -> Sequence[Upstream]:
        """Return the upstreams that the request may be given to, with room or without."""
        upstreams = self.board.read(UpstreamTable)
        key = affinity_key(request) or request.request_id
        sampled = upstreams.sample(
            request.target,
            context.random,
            around=xxhash.xxh3_64_intdigest(key.encode()),
            each=_SAMPLE_EACH,
        )
        last = upstreams.get(freed) if freed else None
        if last is not None and request.target in last.settings.targets and last not in sampled:
            sampled.append(last)
        serving = [one for one in sampled if one.takes_work(context.now_ms)]
        return self._filters.apply(request, _without_silent(serving, context.now_ms))

    def _choose(self, request: Request, options: _Options, context: Context) -> Candidate | None:
        reuse = self.board.write(PrefixReuseTable)
        choice = PlacementChoice(
            request=request,
            open=options.open,
            all=options.all,
            random=context.random,
            placed=self._placed,
            prefix_reuse=reuse.of(request),
            may_wait=self._may_wait(request, context.now_ms),
        )
        chosen = PLACEMENT_POLICIES[self._policy().placement](choice)
        if chosen is not None and request.prefix_digests:
            reuse.learn(request, seen=_was_seen(request, options))
        return chosen

    def _may_wait(self, request: Request, now_ms: int) -> bool:
        """Return whether a request may be left to wait for an upstream that holds its prefix."""
        requests = self.board.write(RequestTable)
        row = requests.get(request.request_id) or request
        if not row.passed_over_at_ms:
            requests.put(request.request_id, row.with_passed_over(now_ms))
            return True
        timeout_ms = request.deadline_ms - request.arrived_at_ms
        patience_ms = min(_PATIENCE_LIMIT_MS, _PATIENCE_SHARE * timeout_ms)
        return now_ms - row.passed_over_at_ms < patience_ms

    def _place(
        self, queue: RequestQueue[Request], request: Request, chosen: Candidate, context: Context
    ) -> None:
        self._placed += 1
        queue.take(request)
        drain = self.board.read(DrainTable).of(request.target)
        self.board.write(DrainTable).put(request.target, drain.with_placed(work_tokens(request)))
        self._note_sent(request, chosen, context.now_ms)
        placed = request.with_placement(
            chosen.name, now_ms=context.now_ms, expected_cached_tokens=chosen.held_tokens
        )
        self.board.write(RequestTable).put(request.request_id, placed)
        context.post(Placed(request.request_id))

    def _note_sent(self, request: Request, chosen: Candidate, now_ms: int) -> None:
        speed = self.board.read(SpeedTable).of(chosen.upstream)
        taken = chosen.upstream.with_outstanding(
            requests=1, tokens=work_tokens(request), now_ms=now_ms
        ).with_prefill(prefill_ms(request, chosen.held_tokens, speed), now_ms=now_ms)
        self.board.write(UpstreamTable).put(chosen.name, taken)
        if request.prefix_digests:
            self.board.write(PrefixTable).note_sent(chosen.name, request.prefix_digests)

    def _policy(self) -> PolicySettings:
        return self.board.read(ConfigurationTable).in_force().shared.policy


def _was_seen(request: Request, options: _Options) -> bool:
    wanted = min(AFFINITY_BLOCKS, len(request.prefix_digests)) * PREFIX_BLOCK_TOKENS
    return any(one.held_tokens >= wanted > 0 for one in options.all)


def _without_silent(upstreams: list[Upstream], now_ms: int) -> list[Upstream]:
    """Leave out what has fallen silent, unless nothing would be left."""
    heard = [one for one in upstreams if not one.is_silent(now_ms)]
    return heard or upstreams
