"""Collects what this VM and its peers see of upstreams that end while they run requests."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import ProbeConnection
from azureturn.gateway.decisions._crashes import (
    CLEARED_ANSWERING_MS,
    SUSPECT_ANSWERING_MS,
    CrashTable,
    Suspect,
)
from azureturn.gateway.decisions._events import (
    AttemptEnded,
    AttemptResult,
    PeerReportReceived,
    ReportRequested,
    UpstreamProcessEnded,
)
from azureturn.gateway.decisions._quarantine import QuarantineTable
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions._upstream_state import UpstreamStateTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import UpstreamRun

#: Interval at which requests that are being answered are looked through for traits to clear.
_CLEARING_INTERVAL_MS = 250


@gateway_controller("crashes")
class CrashController(GatewayController):
    """Records which requests an upstream may have begun to run when its process ended.

    An upstream that breaks off an answer is probed; if it refuses the connection, its process has
    ended.
    """

    reads = (GatewayRequestTable, ViewTable, QuarantineTable)
    writes = (CrashTable, UpstreamStateTable)
    after = ("admission",)

    _cleared_at_ms = 0

    @on(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(event.request_id)
        if request is None or request.stage is not Stage.SENT:
            return
        if event.result is AttemptResult.BROKEN:
            suspect = _suspect(request, event.answering_ms, context.now_ms)
            self.board.write(CrashTable).record_broken(
                request.upstream_run, suspect, context.now_ms
            )
            self._probe(request, context)
        if event.result is AttemptResult.UNREACHABLE:
            self._confirm(request.upstream_run, context)
        is_long_answer = (event.answering_ms or 0) >= CLEARED_ANSWERING_MS
        if event.result is AttemptResult.ANSWERED or is_long_answer:
            self._record_cleared(request, context.now_ms)

    @on(UpstreamProcessEnded)
    def _on_process_ended(self, event: UpstreamProcessEnded, context: Context) -> None:
        upstream = self.board.read(ViewTable).current().upstreams.get(event.run[0])
        if upstream is not None and upstream.run == event.run:
            states = self.board.write(UpstreamStateTable)
            states.put(upstream.name, states.of(event.run).with_reachable(False))
        self._confirm(event.run, context)

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        report = event.report
        if report.vm == self.settings.vm.name:
            return
        crashes = self.board.write(CrashTable)
        for crash in report.crashes:
            crashes.record_report(report.vm, crash, context.now_ms)
        for trait, age_ms in report.cleared_traits_ms.items():
            crashes.record_cleared((trait,), context.now_ms - age_ms)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        """Clear the traits of requests that have been answered for long enough."""
        if not len(self.board.read(CrashTable)):
            return
        if context.now_ms - self._cleared_at_ms < _CLEARING_INTERVAL_MS:
            return
        self._cleared_at_ms = context.now_ms
        for request in self.board.read(GatewayRequestTable).rows():
            first_event_at_ms = request.first_event_at_ms
            if first_event_at_ms and context.now_ms - first_event_at_ms >= CLEARED_ANSWERING_MS:
                self._record_cleared(request, context.now_ms)

    def _record_cleared(self, request: GatewayRequest, now_ms: int) -> None:
        """Clear the traits of an answered request, its digest only if that is suspected.

        Digests of all requests would displace the other cleared traits.
        """
        crashes = self.board.write(CrashTable)
        cleared = request.traits
        for digest in request.digest_traits:
            if not crashes.is_suspected(digest) and digest not in self._quarantined_traits():
                cleared -= {digest}
        crashes.record_cleared(cleared, now_ms)

    def _quarantined_traits(self) -> frozenset[str]:
        return self.board.read(QuarantineTable).all_traits()

    def _probe(self, request: GatewayRequest, context: Context) -> None:
        upstream = self.board.read(ViewTable).current().upstreams.get(request.upstream)
        if upstream is None or upstream.run != request.upstream_run:
            self._confirm(request.upstream_run, context)
        elif self.board.read(ViewTable).is_evacuated(upstream, context.now_ms):
            return
        elif self.board.write(CrashTable).take_probe(upstream.run, context.now_ms):
            context.act(ProbeConnection(upstream, after_broken_answer=True, relay=request.relay))

    def _confirm(self, run: UpstreamRun, context: Context) -> None:
        if self.board.write(CrashTable).confirm(self.settings.vm.name, run, context.now_ms):
            context.post(ReportRequested())


def _suspect(request: GatewayRequest, answering_ms: int | None, now_ms: int) -> Suspect | None:
    """Return the suspect that a request is whose answer broke off, or None if it is none.

    An engine sends the head of its response when it begins to answer. A request without a head may
    run, or may still be waiting at the upstream; its digest is suspected, but no prompt part, since
    a part is in many requests that wait.
    """
    if answering_ms is not None and answering_ms >= SUSPECT_ANSWERING_MS:
        return None
    traits = request.digest_traits if answering_ms is None else request.traits
    return Suspect(traits, now_ms - request.sent_at_ms) if traits else None
