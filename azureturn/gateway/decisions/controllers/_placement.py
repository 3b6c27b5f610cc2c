"""Places each queued request on an upstream as soon as one has capacity for it."""

from azureturn.framework import Context, DrainTable, RequestQueue, on
from azureturn.gateway.decisions._actions import OfferTakeOver, PlacementReason, SendAttempt
from azureturn.gateway.decisions._allotments import AllotmentTable
from azureturn.gateway.decisions._availability import PauseTable
from azureturn.gateway.decisions._cold_upstreams import ColdUpstreamTable
from azureturn.gateway.decisions._estimates import (
    Candidate,
    PlacementSnapshot,
)
from azureturn.gateway.decisions._events import (
    PlacementRequested,
    ReportRequested,
    RequestClosed,
    RequestTakenOver,
    RequestUnservable,
    TakeOverRequested,
)
from azureturn.gateway.decisions._moves import MoveTable
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._planned_stop import PlannedStopTable
from azureturn.gateway.decisions._prefill_speed import PrefillSpeedTable
from azureturn.gateway.decisions._prefix_cache import PrefixCacheTable, SentPrompt
from azureturn.gateway.decisions._processing_limit import ProcessingLimitTable
from azureturn.gateway.decisions._request_limits import RequestLimitTable
from azureturn.gateway.decisions._requests import (
    GatewayRequest,
    GatewayRequestTable,
    Relay,
    TakeOverOffer,
)
from azureturn.gateway.decisions._slot_sharing import (
    LoanTable,
    SlotDivisionTable,
    TurnoverTable,
)
from azureturn.gateway.decisions._speeds import SpeedTable, level_of
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._upstream_paths import UpstreamPathTable
from azureturn.gateway.decisions._upstream_state import UpstreamStateTable
from azureturn.gateway.decisions._version_choice import VersionChoice, VersionDrawTable
from azureturn.gateway.decisions.controllers._placement_choice import (
    Options,
    SlotSharing,
    Snapshots,
    UsableOptions,
)
from azureturn.gateway.decisions.controllers._placement_snapshots import SnapshotMaker
from azureturn.gateway.decisions.controllers._registry import gateway_controller
from azureturn.gateway.site import RegisteredUpstream

#: Number of requests at the head of a tier for which an upstream is sought.
_HEADS_PER_TIER = 4
#: An answer may take longer than the mean by this factor, before a planned stop ends.
_ANSWER_TIME_MARGIN = 1.25
#: Capacity is left to more urgent requests at peers only if there are fewer peers than this.
_YIELD_PEERS_LIMIT = 32


@gateway_controller("placement")
class PlacementController(SnapshotMaker):
    """Places requests of the most urgent tier first, each on the upstream of least cost."""

    reads = (
        ViewTable,
        PeerTable,
        MoveTable,
        UpstreamPathTable,
        PauseTable,
        ProcessingLimitTable,
        TurnoverTable,
        SpeedTable,
        PrefillSpeedTable,
        PlannedStopTable,
    )
    writes = (
        GatewayRequestTable,
        GatewayQueueTable,
        UpstreamStateTable,
        PrefixCacheTable,
        DrainTable,
        AllotmentTable,
        RequestLimitTable,
        ColdUpstreamTable,
        SlotDivisionTable,
        LoanTable,
        VersionDrawTable,
    )
    after = ("admission", "attempts", "request_limits", "paths", "cold_upstreams")

    #: Where a request is placed whose attempt at a silent upstream is being ended.
    _take_over: tuple[Candidate, Options] | None = None

    @on(RequestClosed)
    def _on_request_closed(self, event: RequestClosed, context: Context) -> None:
        self.board.write(VersionDrawTable).remove(event.request_id)

    @on(PlacementRequested)
    def _on_requested(self, event: PlacementRequested, context: Context) -> None:
        for service in self._services_in_turn(event.service):
            queue = self.board.write(GatewayQueueTable).of(service)
            while len(queue) and self._may_process_another():
                if not self._place_next(queue, service, context):
                    break

    def _services_in_turn(self, service: str) -> list[str]:
        """Return the services to place requests of, those with the most urgent ones first.

        Usually upstreams bound what is placed, and each service has its own. What this VM can
        process is shared by all.
        """
        if self.board.read(ProcessingLimitTable).current() is None:
            return [service]
        queues = self.board.read(GatewayQueueTable)
        waiting = [(queue.waiting_ranks()[0], name) for name, queue in queues.items() if len(queue)]
        return [name for _, name in sorted(waiting)]

    def _may_process_another(self) -> bool:
        waiting = self.board.read(GatewayQueueTable).waiting_count()
        in_progress = len(self.board.read(GatewayRequestTable)) - waiting
        return self.board.read(ProcessingLimitTable).allows_another(in_progress)

    def _place_next(
        self, queue: "RequestQueue[GatewayRequest]", service: str, context: Context
    ) -> bool:
        """Place one request, and return whether one was placed.

        A request for which no upstream has capacity blocks all requests behind it. One that only
        has to avoid a long pause of running answers does not: the next one is tried. Nor does one
        that has tried the upstreams at which this VM owns slots, or that goes to the version of a
        move that has no capacity: others can use what there is.
        """
        if self._waits_for_own_slot(service, context):
            return False
        snapshots = Snapshots(
            lambda relayed: self._snapshot(service, context, relayed=relayed),
            is_isolated=self._is_isolated(),
        )
        if not snapshots.have_capacity:
            return False
        for rank in queue.waiting_ranks():
            for request in queue.heads(rank, _HEADS_PER_TIER):
                snapshot = snapshots.of(request)
                options = self._options(request, snapshot, context)
                if options.indexes and not options.have_capacity:
                    if options.version_choice.is_divided:
                        continue
                    return False
                sharing = self._sharing(service, snapshot, context)
                usable = UsableOptions.from_options(options, sharing)
                if usable is None:
                    continue
                if self._should_yield_to_peers(request, snapshot, context):
                    context.post(ReportRequested())
                    return False
                chosen = usable.choose(context)
                if chosen is None and request.tried_upstreams:
                    continue
                if chosen is None:
                    return False
                if not self._refuse_late(queue, request, chosen, context):
                    self._place(queue, request, chosen, options, context)
                return True
        return False

    def _refuse_late(
        self,
        queue: "RequestQueue[GatewayRequest]",
        request: GatewayRequest,
        chosen: Candidate,
        context: Context,
    ) -> bool:
        """Refuse a request whose answer would not end before a planned stop does.

        Return whether it was refused.
        """
        takes_ms = chosen.expected_ms + chosen.answer_ms
        if request.prompt is None or self._engine_of(request.service) is None:
            # The estimate of a plain answer compares upstreams; this is what answers have taken.
            mean_ms = self.board.read(TurnoverTable).get(request.service)
            takes_ms = takes_ms if mean_ms is None else _ANSWER_TIME_MARGIN * mean_ms
        if self.board.read(PlannedStopTable).allows_until(context.now_ms + takes_ms):
            return False
        queue.remove(request)
        detail = f"the answer is expected to take {takes_ms:.0f} ms, longer than the stop"
        context.post(RequestUnservable(request, detail))
        return True

    @on(TakeOverRequested)
    def _on_take_over_requested(self, event: TakeOverRequested, context: Context) -> None:
        """Offer another upstream to a request whose own one is silent, or send the request there.

        The attempt at the silent upstream ends only in the second case.
        """
        ended, offer = event.stalled.ended, event.stalled.offer
        request = self.board.read(GatewayRequestTable).get(ended.request_id)
        if request is None:
            return
        chosen = self._choose_other_upstream(request, offer, context)
        if chosen is None:
            return
        if offer is None:
            candidate, options = chosen
            relay = (
                self._choose_relay(candidate.upstream, context) if candidate.is_relayed else None
            )
            choice = options.version_choice
            context.act(OfferTakeOver(TakeOverOffer(candidate.upstream, relay, choice)))
            return
        self._take_over = chosen
        context.post(ended)
        context.post(RequestTakenOver(request.request_id))

    @on(RequestTakenOver)
    def _on_request_taken_over(self, event: RequestTakenOver, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(event.request_id)
        take_over, self._take_over = self._take_over, None
        if request is None or take_over is None:
            return
        queue = self.board.write(GatewayQueueTable).of(request.service)
        if request.request_id in queue:
            chosen, options = take_over
            self._place(queue, request, chosen, options, context)

    def _choose_other_upstream(
        self, request: GatewayRequest, offer: TakeOverOffer | None, context: Context
    ) -> tuple[Candidate, Options] | None:
        """Return an upstream that has room for a request which another one does not answer.

        With an offer, it is that one or none. Requests that wait go first, unless they are less
        urgent.
        """
        service = request.service
        queue = self.board.read(GatewayQueueTable).get(service)
        if queue is not None and len(queue) and queue.waiting_ranks()[0] <= request.tier_rank:
            return None
        if self._waits_for_own_slot(service, context):
            return None
        snapshots = Snapshots(
            lambda relayed: self._snapshot(service, context, relayed=relayed),
            is_isolated=self._is_isolated(),
        )
        snapshot = snapshots.of(request)
        options = self._options(request, snapshot, context)
        if offer is not None:
            options = options.of_offer(offer)
        usable = UsableOptions.from_options(options, self._sharing(service, snapshot, context))
        if usable is None or self._should_yield_to_peers(request, snapshot, context):
            return None
        chosen = usable.choose(context)
        return None if chosen is None else (chosen, options)

    def _sharing(
        self, service: str, snapshot: PlacementSnapshot, context: Context
    ) -> SlotSharing | None:
        """Return how slots are shared; None on a site whose VMs have recent reports."""
        peers = self.board.read(PeerTable)
        if not peers.has_old_reports(context.now_ms):
            return None
        vm_names = peers.vm_names_outside(self._partitioned_zones(context.now_ms), context.now_ms)
        owned = self.board.write(SlotDivisionTable).owned(
            service, snapshot.upstreams, snapshot.slots, vm_names, self.settings.vm.name
        )
        return SlotSharing(
            service,
            snapshot,
            owned,
            vm_count=len(vm_names),
            interval_ms=peers.interval_ms(self.settings.limits.report_interval_ms),
            loans=self.board.write(LoanTable),
        )

    def _waits_for_own_slot(self, service: str, context: Context) -> bool:
        """Return whether this VM is known to have no slot for a request of a service.

        Load pattern: in an overload every VM has requests that wait, and each report of a peer
        causes a placement, which without this check computes estimates for all upstreams.
        """
        division = self.board.read(SlotDivisionTable).get(service)
        if division is None or not self.board.read(LoanTable).is_used_up(service, context.now_ms):
            return False
        states = self.board.read(UpstreamStateTable)
        rows = [(states.get(name), slots) for name, slots in division.owned.items()]
        return all(state is not None and state.requests >= slots for state, slots in rows)

    def _should_yield_to_peers(
        self, request: GatewayRequest, snapshot: PlacementSnapshot, context: Context
    ) -> bool:
        """Return whether the remaining capacity should be left to requests queued at peers.

        With many VMs it is not: reports are then so infrequent that the capacity would stay
        unused until the peers learn of it.
        """
        peers = self.board.read(PeerTable)
        if len(peers) >= _YIELD_PEERS_LIMIT or snapshot.engine is None:
            return False
        requests_ahead = peers.requests_ahead_at_peers(
            request.service, request.tier_rank, request.deadline_ms, context.now_ms
        )
        if not requests_ahead:
            return False
        capacity = sum(
            max(0, snapshot.capacity_left(index, urgent=False))
            for index in range(len(snapshot.upstreams))
        )
        return capacity <= requests_ahead

    def _options(
        self, request: GatewayRequest, snapshot: PlacementSnapshot, context: Context
    ) -> Options:
        tried = request.tried_upstreams
        untried = (
            [
                index
                for index, upstream in enumerate(snapshot.upstreams)
                if upstream.name not in tried
            ]
            if tried
            else list(range(len(snapshot.upstreams)))
        )
        indexes, choice = self._for_version(request, snapshot, untried, context)
        return Options(request, snapshot, indexes, self._policy(request.service), choice)

    def _for_version(
        self,
        request: GatewayRequest,
        snapshot: PlacementSnapshot,
        indexes: list[int],
        context: Context,
    ) -> tuple[list[int], VersionChoice]:
        """Return the upstreams of the version that this request goes to, and how it was chosen."""
        moves = self.board.read(MoveTable)
        move = moves.get(request.service)
        if move is None:
            return indexes, VersionChoice()
        upstreams = snapshot.upstreams
        new = [index for index in indexes if upstreams[index].version == move.version]
        old = [index for index in indexes if upstreams[index].version != move.version]
        if move.completed:
            return new or old, VersionChoice()
        if not (new and old):
            return old, VersionChoice()
        is_new, choice = moves.choose_version(
            move,
            request.route.name,
            self.board.write(VersionDrawTable).of(request.request_id, context.random),
            now_ms=context.now_ms,
            exposure_share=self.settings.bounds.move.share,
        )
        return new if is_new else old, choice

    def _place(
        self,
        queue: "RequestQueue[GatewayRequest]",
        request: GatewayRequest,
        chosen: Candidate,
        options: Options,
        context: Context,
    ) -> None:
        cost = queue.take(request).cost_tokens
        # A further attempt may go to another version.
        self.board.write(VersionDrawTable).remove(request.request_id)
        drains = self.board.write(DrainTable)
        drains.put(request.service, drains.of(request.service).with_placed(cost))
        upstream = chosen.upstream
        states = self.board.write(UpstreamStateTable)
        states.put(upstream.name, states.of(upstream.run).with_sent(chosen.pending_tokens))
        vm_count = self.board.read(PeerTable).vms(context.now_ms)
        self.board.write(RequestLimitTable).record_sent(upstream.run, vm_count, context.now_ms)
        cold = self.board.write(ColdUpstreamTable)
        cold.record_sent(upstream, request.request_id, context.now_ms)
        engine = self._engine_of(request.service)
        if engine is not None and request.prompt is not None and request.prompt.parts:
            prefix_caches = self.board.write(PrefixCacheTable)
            prefix_caches.of(upstream.run, engine.memory_tokens)
            prefix_caches.record_prompt(upstream.run, request.prompt.prefixes)
            prefix_caches.add_unreported(
                SentPrompt(upstream.name, request.prompt.model, request.prompt.segments)
            )
        if request.charged_at_ms is not None:
            self.board.write(AllotmentTable).charge_attempt(request, context.now_ms)
            request = request.with_charge(context.now_ms)
        relay = options.offered_relay
        if relay is None and chosen.is_relayed:
            relay = self._choose_relay(upstream, context)
        sent_request = request.with_sent(
            upstream,
            relay,
            now_ms=context.now_ms,
            pending_tokens=chosen.pending_tokens,
            level=level_of(chosen.requests, upstream.slots),
            found_slot=chosen.requests < upstream.slots,
            version_choice=options.version_choice,
        )
        self.board.write(GatewayRequestTable).put(request.request_id, sent_request)
        context.act(
            SendAttempt(
                request.request_id,
                upstream,
                self._reason(request, chosen, len(options.indexes), context),
                relay,
            )
        )

    def _choose_relay(self, upstream: RegisteredUpstream, context: Context) -> Relay:
        """Return a peer that can connect to an upstream, if possible in this VM's zone."""
        peers = self.board.read(PeerTable).reaching(upstream.name, context.now_ms)
        zone = self.settings.vm.availability_zone
        nearby = [peer for peer in peers if peer.report.availability_zone == zone]
        report = context.random.choice(nearby or peers).report
        return Relay(report.vm, report.host)

    def _reason(
        self, request: GatewayRequest, chosen: Candidate, candidate_count: int, context: Context
    ) -> PlacementReason:
        return PlacementReason(
            candidates=candidate_count,
            expected_ms=int(chosen.expected_ms),
            outstanding=round(chosen.requests),
            queued_ms=context.now_ms - request.arrived_at_ms,
            report_age_ms=self.board.read(PeerTable).oldest_report_age_ms(context.now_ms),
        )
