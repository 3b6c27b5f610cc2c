"""Sends this VM's status reports to its peers, and applies the reports received from them."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import FetchView, SendReport
from azureturn.gateway.decisions._allotments import AllotmentTable
from azureturn.gateway.decisions._availability import AvailabilityReport, PauseTable
from azureturn.gateway.decisions._cold_upstreams import ColdUpstreamTable
from azureturn.gateway.decisions._crashes import CrashTable
from azureturn.gateway.decisions._events import (
    GatewayStarted,
    PeerReportReceived,
    PlacementRequested,
    ReportRequested,
    VmLeaving,
)
from azureturn.gateway.decisions._membership import (
    LIST_FANOUT,
    hosts_in_turn,
    informs_new_vm,
)
from azureturn.gateway.decisions._moves import MoveTable
from azureturn.gateway.decisions._peer_report import (
    MoveReport,
    OutstandingWork,
    PeerReport,
    QueueReport,
    StoreState,
)
from azureturn.gateway.decisions._peers import URGENT_INTERVAL_MS, Peer, PeerTable
from azureturn.gateway.decisions._prefix_cache import PrefixCacheTable
from azureturn.gateway.decisions._quarantine import QuarantineTable
from azureturn.gateway.decisions._request_limits import RequestLimitTable
from azureturn.gateway.decisions._route_evidence import RouteEvidence, RouteKey
from azureturn.gateway.decisions._speeds import SpeedTable
from azureturn.gateway.decisions._store_calls import StoreCallLimits, StoreCallTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._upstream_paths import UpstreamPathTable
from azureturn.gateway.decisions._upstream_state import UpstreamStateTable
from azureturn.gateway.decisions._view_lag import shares_store_calls, view_lag_limit_ms
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import era_of

#: One report in this many is also sent to the hosts of VMs that have not reported yet, and lists
#: all VMs known to the sender for some of its receivers.
_MEMBERSHIP_INTERVAL = 10
_FETCH_INTERVAL_MS = 400
#: How long a VM waits for a peer of its own zone that has a change, so that the few VMs that learn
#: of it first are not asked by all others.
_OTHER_ZONE_DELAY_MS = 150
#: A longer contact with the store is stated as this one, which is twice as long as the longest that
#: receivers ask for. A report is then the same as the one before it if nothing has changed.
_STATED_CONTACT_LIMIT_MS = 4_000
#: Shortest interval between two placements that peers' reports cause. Reports of one peer are at
#: least as far apart.
_PLACEMENT_INTERVAL_MS = URGENT_INTERVAL_MS


@gateway_controller("reports")
class ReportController(GatewayController):
    """Sends a report to every peer several times a second, and applies those received."""

    reads = (
        UpstreamStateTable,
        GatewayQueueTable,
        ViewTable,
        CrashTable,
        QuarantineTable,
        RequestLimitTable,
        UpstreamPathTable,
        PauseTable,
        ColdUpstreamTable,
        StoreCallTable,
    )
    writes = (PeerTable, PrefixCacheTable, AllotmentTable, MoveTable, SpeedTable)
    after = ("views", "moves", "store_calls")

    _sequence = 0
    _sent_at_ms = 0
    _leaving = False
    #: Whether a report is to be sent before the interval has elapsed.
    _is_requested = False
    #: Since when a peer has a newer view than this VM's, which is still of this revision.
    _behind_since_ms = 0
    _behind_revision = -1
    _fetched_at_ms = 0
    #: When reports last caused a placement.
    _placed_at_ms = 0
    #: Hosts of VMs that have reported for the first time and have not been told of the others yet.
    _new_hosts: list[str]

    @on(GatewayStarted)
    def _on_gateway_started(self, event: GatewayStarted, context: Context) -> None:
        self._new_hosts = []

    @on(VmLeaving)
    def _on_vm_leaving(self, event: VmLeaving, context: Context) -> None:
        self._leaving = True

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        self._send_if_due(context)

    @on(ReportRequested)
    def _on_report_requested(self, event: ReportRequested, context: Context) -> None:
        self._is_requested = True
        self._send_if_due(context)

    def _send_if_due(self, context: Context) -> None:
        interval_ms = self._interval_ms()
        if self._is_requested:
            interval_ms = min(interval_ms, self.board.read(PeerTable).urgent_interval_ms())
        if context.now_ms - self._sent_at_ms >= interval_ms:
            self._send(context)

    def _interval_ms(self) -> int:
        shortest_ms = self.settings.limits.report_interval_ms
        return self.board.read(PeerTable).interval_ms(shortest_ms)

    def _send(self, context: Context) -> None:
        self._is_requested = False
        self._sent_at_ms = context.now_ms
        self.board.write(PeerTable).recompute_work(context.now_ms)
        self._sequence += 1
        if self._sequence % _MEMBERSHIP_INTERVAL == 1:
            upstreams = self.board.read(ViewTable).current().upstreams
            self.board.write(SpeedTable).forget_except(row.run for row in upstreams.values())
        hosts = self._hosts()
        context.act(SendReport(self._report(), hosts, self._hosts_to_inform(hosts)))

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        report = event.report
        peers = self.board.write(PeerTable)
        if report.vm == self.settings.vm.name:
            return
        peer = peers.get(report.vm)
        if peer is not None and peer.report.is_not_older_than(report):
            return
        if report.leaving:
            peers.remove(report.vm)
            peers.recompute_work(context.now_ms)
            self._apply_usage(report, context.now_ms)
            return
        if peer is None:
            known_vms = [name for name, _ in peers.items()]
            if informs_new_vm(report.vm, known_vms, self.settings.vm.name):
                self._new_hosts.append(report.host)
        previous = peer.report if peer is not None and peer.is_live(context.now_ms) else None
        window_ms = self.settings.bounds.allotment.window_ms
        own_units = self.board.read(AllotmentTable).own_units(context.now_ms, window_ms)
        # Its prompts are needed only once, and would take up memory for each peer.
        kept_report = report.without_prompts() if report.prompts else report
        if kept_report.speeds:
            kept_report = kept_report.without_speeds()
        peers.put(report.vm, Peer(kept_report, context.now_ms, own_units, self._interval_ms()))
        peers.add_work(previous, report)
        if report.prompts:
            self._apply_prompts(report)
        # A report without usage takes back what earlier ones said.
        self._apply_usage(report, context.now_ms)
        if report.moves:
            self._apply_moves(report, context.now_ms)
        if report.speeds:
            self._apply_speeds(report, context.now_ms)
        self._fetch_newer_view(report, context)
        self._request_placement(context)

    def _request_placement(self, context: Context) -> None:
        """Request the placement of what waits, since peers may have left room at upstreams.

        Load pattern: in an overload every VM has requests that wait, and gets hundreds of reports a
        second. Placing after each of them would take the processor time that is needed for the
        requests themselves.
        """
        if context.now_ms - self._placed_at_ms < _PLACEMENT_INTERVAL_MS:
            return
        self._placed_at_ms = context.now_ms
        for service, queue in self.board.read(GatewayQueueTable).items():
            if len(queue):
                context.post(PlacementRequested(service))

    def _report(self) -> PeerReport:
        prefix_caches = self.board.write(PrefixCacheTable)
        reported_prompts = prefix_caches.take_unreported()
        moves = self.board.read(MoveTable)
        configuration = self.board.read(ViewTable).current().configuration
        peer_table = self.board.read(PeerTable)
        crashes = self.board.read(CrashTable)
        quarantine = self.board.read(QuarantineTable)
        return PeerReport(
            vm=self.settings.vm.name,
            host=self.settings.vm.host,
            boot=peer_table.own_boot,
            sequence=self._sequence,
            leaving=self._leaving,
            view_revision=self.board.read(ViewTable).current().revision,
            work={
                name: OutstandingWork(state.requests, state.pending_tokens)
                for name, state in self.board.read(UpstreamStateTable).items()
                if state.requests
            },
            spent=self.board.write(AllotmentTable).usage_to_report(
                configuration.organisations if configuration else (),
                self.settings.bounds.allotment,
                vm_count=peer_table.vms(self._sent_at_ms),
                now_ms=self._sent_at_ms,
            ),
            prompts=reported_prompts,
            versions=dict(moves.version_counts) if len(moves) else {},
            moves={
                service: MoveReport(
                    move.version,
                    self._sent_at_ms - move.began_at_ms,
                    move.condemned,
                    move.order_revision,
                )
                for service, move in moves.items()
            },
            peers={name: peer.report.host for name, peer in peer_table.items()},
            availability_zone=self.settings.vm.availability_zone,
            waiting=self._waiting(),
            crashes=crashes.reported_crashes(peer_table.own_name, self._sent_at_ms),
            cleared_traits_ms=crashes.reported_cleared_ages_ms(
                quarantine.all_traits(), self._sent_at_ms
            ),
            quarantined=tuple(quarantine.rows()),
            unreachable=self._unreachable_upstreams(),
            limits=self.board.read(RequestLimitTable).reports(self._sent_at_ms),
            availability=self._availability(),
            cold=self.board.read(ColdUpstreamTable).reports(self._sent_at_ms),
            configuration_version=configuration.version if configuration else 0,
            speeds=self.board.write(SpeedTable).take_unreported(),
            store_contact_ms=self._store_contact_ms(),
            store=self._store_state(),
            routes=self._routes(),
        )

    def _routes(self) -> dict[RouteKey, RouteEvidence]:
        moves = self.board.read(MoveTable)
        if not len(moves):
            return {}
        peers = [peer.report.routes for peer in self.board.read(PeerTable).rows()]
        return moves.reported_evidence(peers)

    def _store_state(self) -> StoreState | None:
        view = self.board.read(ViewTable).current()
        vm_count = self.board.read(PeerTable).vms(self._sent_at_ms)
        if not view.changed_revision or not shares_store_calls(vm_count):
            return None
        asked_at_ms = self.board.read(StoreCallTable).asked_at_ms
        if asked_at_ms is not None:
            ago_ms = self._sent_at_ms - asked_at_ms
            if ago_ms <= self._store_call_limits().known_age_ms:
                return StoreState(
                    view.changed_revision, view.digest, ago_ms, sent_at_ms=self._sent_at_ms
                )
        # Without these times, most reports are the same as the ones before them.
        return StoreState(view.changed_revision, view.digest)

    def _store_call_limits(self) -> StoreCallLimits:
        return StoreCallLimits.from_bounds(self.settings.bounds)

    def _store_contact_ms(self) -> int | None:
        contact_ms = self.board.read(ViewTable).store_contact_ms(self._sent_at_ms)
        if contact_ms is None:
            return None
        asked_at_ms = self.board.read(StoreCallTable).asked_at_ms
        vm_count = self.board.read(PeerTable).vms(self._sent_at_ms)
        if asked_at_ms is not None and shares_store_calls(vm_count):
            known_until_ms = asked_at_ms + self._store_call_limits().known_age_ms
            if self._sent_at_ms > known_until_ms:
                # The store may have been down for all since this VM's last call.
                return 0
        return min(contact_ms, _STATED_CONTACT_LIMIT_MS)

    def _availability(self) -> tuple[AvailabilityReport, ...]:
        now_ms = self._sent_at_ms
        leaving = self.board.read(ViewTable).unregistered_leaving_runs()
        reports = [AvailabilityReport(run, is_leaving=True) for run in leaving]
        for pause in self.board.read(PauseTable).running(now_ms):
            pause_ms = pause.until_ms - now_ms
            reports.append(AvailabilityReport(pause.run, False, pause_ms, pause.relay_vm))
        return tuple(reports)

    def _unreachable_upstreams(self) -> frozenset[str]:
        states = self.board.read(UpstreamStateTable)
        upstreams = self.board.read(ViewTable).current().upstreams
        if self.board.read(UpstreamPathTable).is_isolated(len(upstreams)):
            return frozenset(upstreams)
        return frozenset(
            name for name, upstream in upstreams.items() if states.is_unreachable(upstream.run)
        )

    def _waiting(self) -> dict[str, QueueReport]:
        reports: dict[str, QueueReport] = {}
        for service, queue in self.board.read(GatewayQueueTable).items():
            ranks = queue.waiting_ranks()
            if not ranks:
                continue
            first_request = queue.heads(ranks[0], 1)[0]
            deadline_in_ms = first_request.deadline_ms - self._sent_at_ms
            reports[service] = QueueReport(ranks[0], queue.length_of(ranks[0]), deadline_in_ms)
        return reports

    def _hosts(self) -> tuple[str, ...]:
        hosts = {peer.report.host for peer in self.board.read(PeerTable).rows()}
        if self._sequence % _MEMBERSHIP_INTERVAL == 1:
            hosts.update(self.settings.vm.seed_hosts)
            hosts.update(vm.host for vm in self.board.read(ViewTable).current().vms.values())
            for peer in self.board.read(PeerTable).rows():
                hosts.update(peer.report.peers.values())
        hosts.discard(self.settings.vm.host)
        return tuple(sorted(hosts))

    def _hosts_to_inform(self, hosts: tuple[str, ...]) -> frozenset[str]:
        """Return the hosts to which this report lists all known VMs."""
        # When all VMs start together, they learn of each other from their first reports anyway.
        informed = self._new_hosts[-LIST_FANOUT:]
        self._new_hosts.clear()
        if self._sequence % _MEMBERSHIP_INTERVAL == 1:
            turn = self._sequence // _MEMBERSHIP_INTERVAL
            informed += hosts_in_turn(hosts, self.settings.vm.host, turn)
        return frozenset(informed).intersection(hosts)

    def _apply_prompts(self, report: PeerReport) -> None:
        view = self.board.read(ViewTable).current()
        prefix_caches = self.board.write(PrefixCacheTable)
        for prompt in report.prompts:
            upstream = view.upstreams.get(prompt.upstream)
            if upstream is not None:
                prefix_caches.record_reported(upstream.run, prompt)

    def _apply_speeds(self, report: PeerReport, now_ms: int) -> None:
        upstreams = self.board.read(ViewTable).current().upstreams
        for row in report.speeds:
            upstream = upstreams.get(row.run[0])
            if upstream is not None and upstream.run == row.run:
                self.board.write(SpeedTable).merge(row, now_ms)

    def _apply_usage(self, report: PeerReport, now_ms: int) -> None:
        process = (report.vm, report.boot)
        self.board.write(AllotmentTable).record_report(process, report.spent, now_ms)

    def _apply_moves(self, report: PeerReport, now_ms: int) -> None:
        moves = self.board.write(MoveTable)
        for service, move_report in report.moves.items():
            move = moves.get(service)
            if move is None or move.version != move_report.version:
                continue
            if not move.is_of_order(move_report.order_revision):
                continue
            move = move.with_elapsed(move_report.elapsed_ms, now_ms)
            if move_report.condemned:
                move = move.with_condemned(f"judged worse by {report.vm}")
            moves.put(service, move)

    def _fetch_newer_view(self, report: PeerReport, context: Context) -> None:
        """Fetch a peer's view if the store does not deliver one as new in time."""
        view = self.board.read(ViewTable).current()
        own_revision = view.revision
        if report.configuration_version > view.configuration_version:
            if report.view_revision <= own_revision:
                # This VM has read an older one from a store that came back from a copy.
                self._fetch(report, own_revision, context)
                return
        elif report.view_revision <= own_revision:
            return
        vm_count = self.board.read(PeerTable).vms(context.now_ms)
        if (
            shares_store_calls(vm_count)
            and own_revision
            and not self._lacks_changes(report, context)
        ):
            return
        if self._behind_revision != own_revision:
            self._behind_revision = own_revision
            self._behind_since_ms = context.now_ms
        waited_ms = context.now_ms - self._behind_since_ms
        if self._fetches_changes(report, vm_count, context):
            if waited_ms >= self._changes_delay_ms(report):
                self._fetch(report, own_revision, context, takes_changes=True, takes_whole=False)
            return
        limit_ms = view_lag_limit_ms(vm_count)
        if shares_store_calls(vm_count) and self.board.read(StoreCallTable).known_at_ms is not None:
            # Meanwhile this VM calls the store itself.
            limit_ms += self._store_call_limits().known_age_ms
        if own_revision and waited_ms < limit_ms:
            return
        takes_changes = report.store is not None
        self._fetch(report, own_revision, context, takes_changes=takes_changes)

    def _lacks_changes(self, report: PeerReport, context: Context) -> bool:
        """Return whether a peer knows of a change, and not only of renewed entries."""
        view = self.board.read(ViewTable).current()
        if report.store is not None:
            is_same = report.store.view_digest == view.digest
            return not is_same and report.store.changed_revision > view.revision
        # An earlier build does not say. This VM has what it may lack from others.
        calls = self.board.read(StoreCallTable)
        return not calls.knows_all(self._store_call_limits(), context.now_ms)

    def _fetches_changes(self, report: PeerReport, vm_count: int, context: Context) -> bool:
        """Return whether this VM gets the changes since its view from a peer.

        Without contact it waits as long as before: entries that lapsed in an outage are removed
        first, and this VM does not retain them before the store answers it.
        """
        views = self.board.read(ViewTable)
        return (
            shares_store_calls(vm_count)
            and report.store is not None
            and views.store_contact_ms(context.now_ms) is not None
            and era_of(report.view_revision) == views.current().era
        )

    def _changes_delay_ms(self, report: PeerReport) -> int:
        is_own_zone = report.availability_zone == self.settings.vm.availability_zone
        return 0 if is_own_zone else _OTHER_ZONE_DELAY_MS

    def _fetch(
        self,
        report: PeerReport,
        own_revision: int,
        context: Context,
        *,
        takes_changes: bool = False,
        takes_whole: bool = True,
    ) -> None:
        if context.now_ms - self._fetched_at_ms < _FETCH_INTERVAL_MS:
            return
        self._fetched_at_ms = context.now_ms
        context.act(
            FetchView(
                report.vm,
                report.host,
                own_revision,
                report.configuration_version,
                takes_changes=takes_changes,
                takes_whole=takes_whole,
            )
        )
