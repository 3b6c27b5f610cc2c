"""Learns the limits that upstreams state in their answers."""

from azureturn.framework import Context, on
from azureturn.gateway.decisions._events import (
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    PeerReportReceived,
    ViewChanged,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._request_limits import LimitReport, RequestLimitTable
from azureturn.gateway.decisions._requests import GatewayRequestTable, Stage
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import StatedLimits


@gateway_controller("request_limits")
class RequestLimitController(GatewayController):
    """Applies the limits that each answer states, and those that peers report.

    An answer that states no limit ends the upstream's limits.
    """

    reads = (ViewTable, PeerTable, GatewayRequestTable)
    writes = (RequestLimitTable,)
    after = ("views", "admission")

    @on(FirstEventReceived)
    def _on_first_event(self, event: FirstEventReceived, context: Context) -> None:
        self._observe_answer(event.request_id, event.limits, 0, context)

    @on(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded, context: Context) -> None:
        if event.answering_ms is not None:
            self._observe_answer(event.request_id, event.limits, event.answering_ms, context)
        request = self.board.read(GatewayRequestTable).get(event.request_id)
        if event.result is AttemptResult.REJECTED and request is not None:
            vm_count = self.board.read(PeerTable).vms(context.now_ms)
            limits = self.board.write(RequestLimitTable)
            limits.record_rejected(request.upstream_run, vm_count, context.now_ms)

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        if event.report.vm != self.settings.vm.name:
            for report in event.report.limits:
                self._observe(report, context)

    @on(ViewChanged)
    def _on_view(self, event: ViewChanged, context: Context) -> None:
        """Forget upstreams that are no longer registered."""
        upstreams = self.board.read(ViewTable).current().upstreams
        limits = self.board.write(RequestLimitTable)
        for name in [name for name, _ in limits.items() if name not in upstreams]:
            limits.remove(name)

    def _observe_answer(
        self, request_id: str, limits: StatedLimits, age_ms: int, context: Context
    ) -> None:
        request = self.board.read(GatewayRequestTable).get(request_id)
        if request is not None and request.stage is Stage.SENT:
            self._observe(LimitReport(request.upstream_run, limits, age_ms), context)

    def _observe(self, report: LimitReport, context: Context) -> None:
        self.board.write(RequestLimitTable).observe(
            report,
            vm_count=self.board.read(PeerTable).vms(context.now_ms),
            now_ms=context.now_ms,
            random=context.random,
        )
