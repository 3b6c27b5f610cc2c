"""Finds out which upstreams are cold, and tells the peers."""

import math

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogColdUpstream
from azureturn.gateway.decisions._cold_limit import ColdLimit
from azureturn.gateway.decisions._cold_upstreams import (
    ColdSource,
    ColdUpstreamTable,
    may_be_starting,
)
from azureturn.gateway.decisions._events import (
    AttemptEnded,
    AvailabilityStated,
    FirstEventReceived,
    GatewayStarted,
    PeerReportReceived,
    ReportRequested,
    UpstreamProcessEnded,
    UpstreamReconnected,
    ViewChanged,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._requests import GatewayRequestTable, Stage
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions._upstream_paths import UpstreamPathTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import RegisteredUpstream, UpstreamRun

_CHECK_INTERVAL_MS = 250
#: Time in which the registration of an upstream that has started is known while the store answers.
_REGISTRATION_MS = 1_500
#: Time in which peers notice and report that an upstream has ended, if it has for them, too.
_PEERS_NOTICE_MS = 3_000
#: Maximum number of runs whose registrations are remembered; a run that was absent for a while is
#: then known when it comes back.
_ENTRIES_LIMIT = 1_000


@gateway_controller("cold_upstreams")
class ColdUpstreamController(GatewayController):
    """Applies what registrations, responses and peers state of cold upstreams.

    Nothing is done for services whose upstreams have no limit while they are cold.
    """

    reads = (ViewTable, PeerTable, GatewayRequestTable, UpstreamPathTable)
    writes = (ColdUpstreamTable,)
    after = ("views", "admission")

    _checked_at_ms = 0
    _evacuated: frozenset[str] = frozenset()
    #: Revision and time left of the registration of each run that was last applied.
    _entries: dict[UpstreamRun, tuple[int, int | None]]
    #: When runs first refused a connection, of those that have not accepted one since.
    _refused_at_ms: dict[UpstreamRun, int]

    @on(GatewayStarted)
    def _on_gateway_started(self, event: GatewayStarted, context: Context) -> None:
        self._entries = {}
        self._refused_at_ms = {}
        cold = self.board.write(ColdUpstreamTable)
        cold.vms.own_name = event.vm
        cold.started_at_ms = context.now_ms

    @on(ViewChanged)
    def _on_view_changed(self, event: ViewChanged, context: Context) -> None:
        view = self.board.read(ViewTable).current()
        cold = self.board.write(ColdUpstreamTable)
        cold.vms.record_registered(frozenset(view.vms), context.now_ms)
        self._update_limits()
        limited = {
            upstream.run: upstream
            for upstream in view.upstreams.values()
            if upstream.service in cold.limits
        }
        for run, upstream in limited.items():
            entry = (view.upstream_revisions[upstream.name], upstream.cold_left_ms)
            if self._entries.get(run) != entry:
                self._apply_entry(upstream, is_new=run not in self._entries, context=context)
                self._entries[run] = entry
        self._update_evacuated(context)
        if len(self._entries) > _ENTRIES_LIMIT:
            for run in self._entries.keys() - limited.keys():
                del self._entries[run]
                self._refused_at_ms.pop(run, None)

    @on(AvailabilityStated)
    def _on_availability_stated(self, event: AvailabilityStated, context: Context) -> None:
        left_ms = event.availability.cold_left_ms
        cold = self.board.write(ColdUpstreamTable)
        if left_ms is None or event.run[0] not in cold.start_ms:
            return
        cold.record_contact(event.run, self._start_until_ms(event.run, context), context.now_ms)
        if cold.record_answer(
            event.run, left_ms, asked_at_ms=event.asked_at_ms, now_ms=context.now_ms
        ):
            self._log_cold(event.run, ColdSource.ANSWER.value, left_ms, context)
            context.post(ReportRequested())

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        cold = self.board.write(ColdUpstreamTable)
        report = event.report
        if report.vm == self.settings.vm.name:
            return
        cold.vms.record_heard((report.vm, *report.peers), context.now_ms)
        if not cold.limits:
            return
        for row in report.cold:
            until_ms = context.now_ms + row.left_ms
            for run in self._runs_concerned(row.run):
                if cold.claim(run, ColdSource.PEER, until_ms, context.now_ms):
                    self._log_cold(run, f"peer {report.vm}", row.left_ms, context)

    @on(UpstreamProcessEnded)
    def _on_process_ended(self, event: UpstreamProcessEnded, context: Context) -> None:
        """Take whatever serves under the upstream's name next for one that has just started.

        A VM that is cut off from all upstreams learns nothing of them from refused connections.
        """
        cold = self.board.write(ColdUpstreamTable)
        upstream_count = len(self.board.read(ViewTable).current().upstreams)
        if event.run[0] not in cold.start_ms:
            return
        if self.board.read(UpstreamPathTable).is_isolated(upstream_count):
            return
        refused_at_ms = self._refused_at_ms.setdefault(event.run, context.now_ms)
        peers = self.board.read(PeerTable).reaching(event.run[0], context.now_ms)
        if peers and context.now_ms - refused_at_ms >= _PEERS_NOTICE_MS:
            # It refuses only this VM. What goes through a peer is limited by what the peer knows.
            self._record_contact(event.run, context)
            return
        if cold.claim(event.run, ColdSource.ENDED, math.inf, context.now_ms):
            self._log_cold(event.run, ColdSource.ENDED.value, -1, context)

    @on(UpstreamReconnected)
    def _on_upstream_reconnected(self, event: UpstreamReconnected, context: Context) -> None:
        upstream = self.board.read(ViewTable).current().upstreams.get(event.upstream)
        if upstream is None:
            return
        self._record_contact(upstream.run, context)
        if self._refused_at_ms.pop(upstream.run, None) is not None:
            until_ms = self._start_until_ms(upstream.run, context)
            self.board.write(ColdUpstreamTable).claim(
                upstream.run, ColdSource.ENDED, until_ms, context.now_ms
            )

    @on(FirstEventReceived)
    def _on_first_event(self, event: FirstEventReceived, context: Context) -> None:
        self._record_answer_to(event.request_id, context)

    @on(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded, context: Context) -> None:
        if event.answering_ms is not None:
            self._record_answer_to(event.request_id, context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if context.now_ms - self._checked_at_ms < _CHECK_INTERVAL_MS:
            return
        self._checked_at_ms = context.now_ms
        cold = self.board.write(ColdUpstreamTable)
        for run in cold.remove_warm(context.now_ms):
            context.act(LogColdUpstream(run[0], "", 0, "no longer cold"))
        self._update_limits()
        self._update_evacuated(context)
        cold.keep_only(self.board.read(ViewTable).current().upstreams)

    def _update_limits(self) -> None:
        view = self.board.read(ViewTable).current()
        cold = self.board.write(ColdUpstreamTable)
        services = view.configuration.services if view.configuration else ()
        limited = {service.name: service for service in services if service.cold_per_s > 0}
        if not limited:
            cold.limits, cold.start_ms = {}, {}
            return
        cold.limits = {
            name: ColdLimit.of(service.cold_per_s, self.settings.bounds.cold)
            for name, service in limited.items()
        }
        cold.start_ms = {
            upstream.name: limited[upstream.service].cold_start_ms
            for upstream in view.upstreams.values()
            if upstream.service in limited
        }

    def _update_evacuated(self, context: Context) -> None:
        """Take the upstreams of zones for cold that have just been returned to service.

        They may have become cold before, and their registrations may not say so yet.
        """
        views = self.board.read(ViewTable)
        cold = self.board.write(ColdUpstreamTable)
        evacuated = views.evacuated_zones(context.now_ms)
        returned, self._evacuated = self._evacuated - evacuated, evacuated
        if not returned:
            return
        view = views.current()
        for upstream in view.upstreams.values():
            if upstream.availability_zone not in returned or upstream.name not in cold.start_ms:
                continue
            start_ms = cold.start_ms[upstream.name]
            if cold.record_evacuation_ended(
                upstream.run,
                context.now_ms + start_ms,
                revision=view.revision,
                now_ms=context.now_ms,
            ):
                self._log_cold(upstream.run, ColdSource.EVACUATION.value, start_ms, context)

    def _apply_entry(self, upstream: RegisteredUpstream, *, is_new: bool, context: Context) -> None:
        cold = self.board.write(ColdUpstreamTable)
        left_ms = upstream.cold_left_ms
        if left_ms is not None:
            revision = self.board.read(ViewTable).current().upstream_revisions[upstream.name]
            if cold.record_entry(upstream.run, left_ms, revision=revision, now_ms=context.now_ms):
                self._log_cold(upstream.run, ColdSource.ENTRY.value, left_ms, context)
            return
        start_ms = cold.start_ms[upstream.name]
        unix_ms = self.board.read(PeerTable).unix_ms(context.now_ms)
        if is_new and may_be_starting(upstream.started_unix_ms, start_ms, unix_ms):
            until_ms = context.now_ms + start_ms
            if cold.claim(upstream.run, ColdSource.START, until_ms, context.now_ms):
                self._log_cold(upstream.run, ColdSource.START.value, start_ms, context)

    def _runs_concerned(self, run: UpstreamRun) -> set[UpstreamRun]:
        """Return the runs that are cold if a peer reports one.

        The peer may know of a later run than this VM, which would send it requests for the earlier
        one.
        """
        name, started_unix_ms = run
        registered = self.board.read(ViewTable).current().upstreams.get(name)
        if registered is None or registered.started_unix_ms > started_unix_ms:
            return {run}
        return {run, registered.run}

    def _record_answer_to(self, request_id: str, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(request_id)
        if request is not None and request.stage is Stage.SENT:
            self._record_contact(request.upstream_run, context)

    def _record_contact(self, run: UpstreamRun, context: Context) -> None:
        until_ms = self._start_until_ms(run, context)
        self.board.write(ColdUpstreamTable).record_contact(run, until_ms, context.now_ms)

    def _start_until_ms(self, run: UpstreamRun, context: Context) -> int:
        """Return until when an upstream is cold that may have started just now.

        If the store answers, the registration of a new run arrives soon.
        """
        start_ms = self.board.read(ColdUpstreamTable).start_ms.get(run[0], 0)
        contact_ms = self.board.read(ViewTable).store_contact_ms(context.now_ms)
        if contact_ms is not None and contact_ms >= _REGISTRATION_MS:
            start_ms = min(start_ms, _REGISTRATION_MS)
        return context.now_ms + start_ms

    def _log_cold(self, run: UpstreamRun, source: str, left_ms: int, context: Context) -> None:
        context.act(LogColdUpstream(run[0], source, left_ms, "cold"))
