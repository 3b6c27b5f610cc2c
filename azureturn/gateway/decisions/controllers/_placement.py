"""Chooses the upstream of each queued request as soon as one has room for it."""

from azureturn.framework import Context, DrainTable, RequestQueue, on
from azureturn.gateway.decisions._actions import PlacementReason, SendAttempt
from azureturn.gateway.decisions._allotments import AllotmentTable
from azureturn.gateway.decisions._estimates import (
    Candidate,
    KnownUpstream,
    Surroundings,
    candidate,
)
from azureturn.gateway.decisions._events import PlacementWanted, ReportWanted
from azureturn.gateway.decisions._moves import MoveTable
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._prompts import PromptTable, SentPrompt
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._work import UpstreamStateTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import EngineShape

#: Requests of a tier that are looked at before the tier is taken to wait for room.
_HEADS = 4
#: Candidates whose costs differ by less than this are equal; chance decides.
_EQUAL_MS = 4.0
#: Room is left for more urgent requests of peers where there are fewer VMs than this.
_HANDED_OVER_VMS = 32


@gateway_controller("placement")
class PlacementController(GatewayController):
    """Serves the most urgent tier first, at the upstream where it costs least."""

    reads = (ViewTable, PeerTable, MoveTable)
    writes = (
        GatewayRequestTable,
        GatewayQueueTable,
        UpstreamStateTable,
        PromptTable,
        DrainTable,
        AllotmentTable,
    )
    after = ("admission", "attempts")

    @on(PlacementWanted)
    def _on_wanted(self, event: PlacementWanted, context: Context) -> None:
        queue = self.board.write(GatewayQueueTable).of(event.service)
        while len(queue) and self._place_next(queue, event.service, context):
            pass

    def _place_next(
        self, queue: "RequestQueue[GatewayRequest]", service: str, context: Context
    ) -> bool:
        """Place one request and return whether one was placed.

        A tier whose first requests wait for room holds back the tiers below it, unless there is
        only room where their prompts would hold up the answers under way.
        """
        site = self._surroundings(service, context)
        if not any(one.urgent_room_left > 0 for one in site.upstreams):
            return False
        for rank in queue.waiting_ranks():
            for request in queue.heads(rank, _HEADS):
                found = self._candidates(request, site, context)
                with_room = [one for one in found if one.has_room]
                if found and not with_room:
                    return False
                suitable = _suitable(found, with_room)
                if suitable and self._is_owed_to_peers(request, site, context):
                    context.post(ReportWanted())
                    return False
                if suitable:
                    self._place(queue, request, _best(suitable, context), len(found), context)
                    return True
        return False

    def _is_owed_to_peers(
        self, request: GatewayRequest, site: Surroundings, context: Context
    ) -> bool:
        """Return whether the room that is left should go to requests that wait at peers.

        Where VMs are so many that word of free room goes round slowly, it would lie idle.
        """
        peers = self.board.read(PeerTable)
        if len(peers) >= _HANDED_OVER_VMS or site.engine is None:
            return False
        before = peers.waiting_before(
            request.service, request.tier_rank, request.deadline_ms, context.now_ms
        )
        if not before:
            return False
        room = sum(max(0, one.room_left) for one in site.upstreams)
        return room <= before

    def _candidates(
        self, request: GatewayRequest, site: Surroundings, context: Context
    ) -> list[Candidate]:
        untried = [one for one in site.upstreams if one.upstream.name not in request.tried]
        serving = self._of_version(request, untried, context)
        return [candidate(request, one, site, self.settings.policy) for one in serving]

    def _surroundings(self, service: str, context: Context) -> Surroundings:
        """Return what all requests of a service find at its upstreams now."""
        peers = self.board.read(PeerTable)
        states = self.board.write(UpstreamStateTable)
        prompts = self.board.write(PromptTable)
        engine = self._engine_of(service)
        upstreams = []
        for one in self.board.read(ViewTable).serving(service, context.now_ms):
            state = states.of(one.run)
            if not state.is_unreachable:
                record = prompts.of(one.run, engine.memory_tokens) if engine else None
                known = KnownUpstream(one, state, peers.work_at(one.name), record)
                upstreams.append(known)
        vms = peers.vms_outside(self._cut_off_zones(context.now_ms), context.now_ms)
        return Surroundings.of(
            upstreams,
            engine,
            vms=vms,
            heard_share=(len(peers.heard(context.now_ms)) + 1) / vms,
            own_zone=self.settings.vm.availability_zone,
            policy=self.settings.policy,
            now_ms=context.now_ms,
        )

    def _cut_off_zones(self, now_ms: int) -> frozenset[str]:
        """Return the zones from which no VM is heard and where no upstream can be reached.

        The VMs there can't reach the upstreams that this one can, and so have no work there.
        """
        silent = self.board.read(PeerTable).silent_zones(now_ms)
        silent -= {self.settings.vm.availability_zone}
        if not silent:
            return silent
        states = self.board.read(UpstreamStateTable)
        unreachable: set[str] = set()
        reachable: set[str] = set()
        for one in self.board.read(ViewTable).current().upstreams.values():
            state = states.get(one.name)
            lost = state is not None and state.run == one.run and state.is_unreachable
            (unreachable if lost else reachable).add(one.availability_zone)
        return silent & (unreachable - reachable)

    def _of_version(
        self, request: GatewayRequest, serving: list[KnownUpstream], context: Context
    ) -> list[KnownUpstream]:
        """Return the upstreams of the version that this request goes to."""
        move = self.board.read(MoveTable).get(request.service)
        if move is None:
            return serving
        new = [one for one in serving if one.upstream.version == move.version]
        old = [one for one in serving if one.upstream.version != move.version]
        share = move.share(context.now_ms, self.settings.bounds.move.share)
        if move.completed:
            return new or old
        if new and old:
            return new if context.random.random() < share else old
        return old

    def _place(
        self,
        queue: "RequestQueue[GatewayRequest]",
        request: GatewayRequest,
        chosen: Candidate,
        candidates: int,
        context: Context,
    ) -> None:
        queue.take(request)
        drains = self.board.write(DrainTable)
        drains.put(request.service, drains.of(request.service).with_placed(1.0))
        upstream = chosen.upstream
        states = self.board.write(UpstreamStateTable)
        states.put(upstream.name, states.of(upstream.run).with_sent(chosen.pending_tokens))
        engine = self._engine_of(request.service)
        if engine is not None and request.prompt is not None and request.prompt.parts:
            prompts = self.board.write(PromptTable)
            prompts.of(upstream.run, engine.memory_tokens).note(
                request.prompt.model, request.prompt.parts
            )
            prompts.untold.append(
                SentPrompt(upstream.name, request.prompt.model, request.prompt.parts)
            )
        if request.tried and request.allotment_units:
            # Another run counts like another request.
            window = self.board.write(AllotmentTable).of(request.organisation)
            window.note_passed(request.allotment_units, context.now_ms)
        sent = request.with_sent(
            upstream.name,
            version=upstream.version,
            now_ms=context.now_ms,
            pending_tokens=chosen.pending_tokens,
        )
        self.board.write(GatewayRequestTable).put(request.request_id, sent)
        context.act(
            SendAttempt(
                request.request_id, upstream, self._reason(request, chosen, candidates, context)
            )
        )

    def _reason(
        self, request: GatewayRequest, chosen: Candidate, candidates: int, context: Context
    ) -> PlacementReason:
        ages = [
            context.now_ms - peer.heard_at_ms
            for peer in self.board.read(PeerTable).heard(context.now_ms)
        ]
        return PlacementReason(
            candidates=candidates,
            expected_ms=int(chosen.expected_ms),
            outstanding=chosen.requests,
            queued_ms=context.now_ms - request.arrived_at_ms,
            report_age_ms=max(ages, default=-1),
        )

    def _engine_of(self, service: str) -> EngineShape | None:
        configuration = self.board.read(ViewTable).current().configuration
        found = None if configuration is None else configuration.service(service)
        return None if found is None else found.engine


def _suitable(found: list[Candidate], with_room: list[Candidate]) -> list[Candidate]:
    """Return those whose answers are not held up, or all where that holds for none at all."""
    if all(one.is_held_up for one in found):
        return with_room
    return [one for one in with_room if not one.is_held_up]


def _best(found: list[Candidate], context: Context) -> Candidate:
    least = min(one.cost_ms for one in found)
    return context.random.choice([one for one in found if one.cost_ms <= least + _EQUAL_MS])
