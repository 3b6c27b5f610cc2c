"""Follows what upstreams say of their availability in their responses."""

from azureturn.framework import Context, on
from azureturn.gateway.decisions._actions import LogAvailability
from azureturn.gateway.decisions._events import (
    AvailabilityStated,
    PeerReportReceived,
    ReportRequested,
)
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import UpstreamRun

_THIS_VM = "this VM"


@gateway_controller("availability")
class AvailabilityController(GatewayController):
    """Sends nothing more to an upstream that says that it leaves, and tells the peers."""

    writes = (ViewTable,)
    after = ("views",)

    @on(AvailabilityStated)
    def _on_availability_stated(self, event: AvailabilityStated, context: Context) -> None:
        if event.availability.is_leaving:
            self._record_leaving(event.run, _THIS_VM, context)

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        for report in event.report.availability:
            if report.is_leaving:
                self._record_leaving(report.run, event.report.vm, context)

    def _record_leaving(self, run: UpstreamRun, source: str, context: Context) -> None:
        if not self.board.write(ViewTable).record_leaving(run):
            return
        context.act(LogAvailability(run[0], source, -1, "leaving"))
        if source == _THIS_VM:
            context.post(ReportRequested())
