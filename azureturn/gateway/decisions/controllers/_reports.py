"""Tells the peers of this VM's work, and takes in what they tell."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import FetchView, SendReport
from azureturn.gateway.decisions._allotments import AllotmentTable
from azureturn.gateway.decisions._events import (
    PeerReported,
    PlacementWanted,
    ReportWanted,
    VmLeaving,
)
from azureturn.gateway.decisions._moves import MoveTable
from azureturn.gateway.decisions._peers import (
    URGENT_INTERVAL_MS,
    MoveReport,
    Peer,
    PeerReport,
    PeerTable,
    WaitingReport,
    WorkReport,
)
from azureturn.gateway.decisions._prompts import PromptTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._work import UpstreamStateTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)

#: Every so many reports name the VMs that the sender knows.
_INTRODUCTION_INTERVAL = 10
#: A peer's newer view is fetched after this long without the store telling of it.
_VIEW_PATIENCE_MS = 300
_FETCH_INTERVAL_MS = 400
#: Prompts in one report; a datagram has to hold them.
_PROMPT_LIMIT = 40


@gateway_controller("reports")
class ReportController(GatewayController):
    """Sends a report to every peer many times a second."""

    reads = (UpstreamStateTable, GatewayQueueTable, ViewTable)
    writes = (PeerTable, PromptTable, AllotmentTable, MoveTable)
    after = ("views", "moves")

    _sequence = 0
    _sent_at_ms = 0
    _leaving = False
    _is_wanted = False
    _behind_since_ms = 0
    _fetched_at_ms = 0

    @on(VmLeaving)
    def _on_leaving(self, event: VmLeaving, context: Context) -> None:
        self._leaving = True

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        waited_ms = context.now_ms - self._sent_at_ms
        if self._is_wanted or waited_ms >= self._interval_ms():
            self._send(context)

    @on(ReportWanted)
    def _on_wanted(self, event: ReportWanted, context: Context) -> None:
        self._is_wanted = True
        least_ms = self.board.read(PeerTable).interval_ms(URGENT_INTERVAL_MS)
        if context.now_ms - self._sent_at_ms >= least_ms:
            self._send(context)

    def _interval_ms(self) -> int:
        shortest_ms = self.settings.limits.report_interval_ms
        return self.board.read(PeerTable).interval_ms(shortest_ms)

    def _send(self, context: Context) -> None:
        self._is_wanted = False
        self._sent_at_ms = context.now_ms
        self.board.write(PeerTable).sum_work(context.now_ms)
        self._sequence += 1
        context.act(SendReport(self._report(), self._hosts()))

    @on(PeerReported)
    def _on_reported(self, event: PeerReported, context: Context) -> None:
        report = event.report
        peers = self.board.write(PeerTable)
        if report.vm == self.settings.vm.name:
            return
        known = peers.get(report.vm)
        if known is not None and known.report.is_newer_than(report):
            return
        if report.leaving:
            peers.remove(report.vm)
            peers.sum_work(context.now_ms)
            self._take_spending(report, context.now_ms)
            return
        before = known.report if known is not None and known.is_heard(context.now_ms) else None
        window_ms = self.settings.bounds.allotment.window_ms
        own_units = self.board.read(AllotmentTable).own_units(context.now_ms, window_ms)
        peers.put(report.vm, Peer(report, context.now_ms, own_units, self._interval_ms()))
        peers.add_work(before, report)
        self._take_prompts(report)
        self._take_spending(report, context.now_ms)
        self._take_moves(report, context.now_ms)
        self._follow_view(report, context)
        for service, queue in self.board.read(GatewayQueueTable).items():
            if len(queue):
                context.post(PlacementWanted(service))

    def _report(self) -> PeerReport:
        prompts = self.board.write(PromptTable)
        told = tuple(prompts.untold[-_PROMPT_LIMIT:])
        prompts.untold.clear()
        peers = {}
        if self._sequence % _INTRODUCTION_INTERVAL == 1:
            peers = {name: peer.report.host for name, peer in self.board.read(PeerTable).items()}
        moves = self.board.read(MoveTable)
        configuration = self.board.read(ViewTable).current().configuration
        peer_table = self.board.read(PeerTable)
        return PeerReport(
            vm=self.settings.vm.name,
            host=self.settings.vm.host,
            boot=peer_table.own_boot,
            sequence=self._sequence,
            leaving=self._leaving,
            view_revision=self.board.read(ViewTable).current().revision,
            work={
                name: WorkReport(state.requests, state.pending_tokens)
                for name, state in self.board.read(UpstreamStateTable).items()
                if state.requests
            },
            spent=self.board.write(AllotmentTable).told(
                configuration.organisations if configuration else (),
                self.settings.bounds.allotment,
                vms=peer_table.vms(self._sent_at_ms),
                now_ms=self._sent_at_ms,
            ),
            prompts=told,
            versions=dict(moves.seen) if len(moves) else {},
            moves={
                service: MoveReport(
                    move.version, self._sent_at_ms - move.began_at_ms, move.condemned
                )
                for service, move in moves.items()
            },
            peers=peers,
            availability_zone=self.settings.vm.availability_zone,
            waiting=self._waiting(),
        )

    def _waiting(self) -> dict[str, WaitingReport]:
        found: dict[str, WaitingReport] = {}
        for service, queue in self.board.read(GatewayQueueTable).items():
            ranks = queue.waiting_ranks()
            if not ranks:
                continue
            first = queue.heads(ranks[0], 1)[0]
            deadline_in_ms = first.deadline_ms - self._sent_at_ms
            found[service] = WaitingReport(ranks[0], queue.length_of(ranks[0]), deadline_in_ms)
        return found

    def _hosts(self) -> tuple[str, ...]:
        hosts = {peer.report.host for peer in self.board.read(PeerTable).rows()}
        if self._sequence % _INTRODUCTION_INTERVAL == 1:
            hosts.update(self.settings.vm.seed_hosts)
            hosts.update(one.host for one in self.board.read(ViewTable).current().vms.values())
            for peer in self.board.read(PeerTable).rows():
                hosts.update(peer.report.peers.values())
        hosts.discard(self.settings.vm.host)
        return tuple(sorted(hosts))

    def _take_prompts(self, report: PeerReport) -> None:
        view = self.board.read(ViewTable).current()
        for sent in report.prompts:
            upstream = view.upstreams.get(sent.upstream)
            record = None if upstream is None else self.board.write(PromptTable).get(sent.upstream)
            if record is not None and upstream is not None and record.run == upstream.run:
                record.note(sent.model, sent.parts)

    def _take_spending(self, report: PeerReport, now_ms: int) -> None:
        process = (report.vm, report.boot)
        self.board.write(AllotmentTable).note_report(process, report.spent, now_ms)

    def _take_moves(self, report: PeerReport, now_ms: int) -> None:
        moves = self.board.write(MoveTable)
        for service, told in report.moves.items():
            move = moves.get(service)
            if move is None or move.version != told.version:
                continue
            move = move.with_elapsed(told.elapsed_ms, now_ms)
            moves.put(service, move.with_condemned() if told.condemned else move)

    def _follow_view(self, report: PeerReport, context: Context) -> None:
        """Fetch a peer's view where it stays newer than what the store has told this VM."""
        own_revision = self.board.read(ViewTable).current().revision
        if report.view_revision <= own_revision:
            if report.view_revision == own_revision:
                self._behind_since_ms = 0
            return
        if not self._behind_since_ms:
            self._behind_since_ms = context.now_ms
        waited_ms = context.now_ms - self._behind_since_ms
        if own_revision and waited_ms < _VIEW_PATIENCE_MS:
            return
        if context.now_ms - self._fetched_at_ms < _FETCH_INTERVAL_MS:
            return
        self._fetched_at_ms = context.now_ms
        context.act(FetchView(report.vm, report.host, own_revision))
