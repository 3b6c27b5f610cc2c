"""Follows what upstreams say of their availability in their responses."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogAvailability
from azureturn.gateway.decisions._availability import MAX_PAUSE_MS, Pause, PauseTable
from azureturn.gateway.decisions._events import (
    AvailabilityStated,
    PeerReportReceived,
    ReportRequested,
    ServicePaused,
)
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import UpstreamRun

_THIS_VM = "this VM"
_CLEANUP_INTERVAL_MS = 5_000


@gateway_controller("availability")
class AvailabilityController(GatewayController):
    """Sends nothing to upstreams that leave or ask for a pause, and tells the peers.

    That an upstream leaves concerns all VMs. A pause concerns the VM that it was told to, and the
    peer that relayed the connection, as the upstream cannot tell the two apart.
    """

    writes = (ViewTable, PauseTable)
    after = ("views",)

    _cleaned_at_ms = 0

    @on(AvailabilityStated)
    def _on_availability_stated(self, event: AvailabilityStated, context: Context) -> None:
        availability = event.availability
        if availability.is_leaving:
            self._record_leaving(event.run, _THIS_VM, context)
        if availability.retry_after_ms is not None:
            asked_ms = availability.retry_after_ms
            pause = Pause(event.run, context.now_ms + min(asked_ms, MAX_PAUSE_MS), event.relay_vm)
            outcome = "paused" if asked_ms <= MAX_PAUSE_MS else f"paused, asked for {asked_ms} ms"
            self._record_pause(pause, _THIS_VM, outcome, context)
        if availability.invalid_retry_after:
            outcome = f"ignored, not a time: {availability.invalid_retry_after}"
            context.act(LogAvailability(event.run[0], _THIS_VM, -1, outcome))

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        for report in event.report.availability:
            if report.is_leaving:
                self._record_leaving(report.run, event.report.vm, context)
            if report.pause_ms and report.relay_vm == self.settings.vm.name:
                pause = Pause(report.run, context.now_ms + min(report.pause_ms, MAX_PAUSE_MS))
                self._record_pause(pause, event.report.vm, "paused", context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if context.now_ms - self._cleaned_at_ms >= _CLEANUP_INTERVAL_MS:
            self._cleaned_at_ms = context.now_ms
            self.board.write(PauseTable).remove_ended(context.now_ms)

    def _record_leaving(self, run: UpstreamRun, source: str, context: Context) -> None:
        if not self.board.write(ViewTable).record_leaving(run):
            return
        context.act(LogAvailability(run[0], source, -1, "leaving"))
        if source == _THIS_VM:
            context.post(ReportRequested())
        self._post_if_service_paused(run, context)

    def _record_pause(self, pause: Pause, source: str, outcome: str, context: Context) -> None:
        if not self.board.write(PauseTable).record(pause):
            return
        pause_ms = pause.until_ms - context.now_ms
        context.act(LogAvailability(pause.run[0], source, pause_ms, outcome))
        context.post(ReportRequested())
        self._post_if_service_paused(pause.run, context)

    def _post_if_service_paused(self, run: UpstreamRun, context: Context) -> None:
        views = self.board.read(ViewTable)
        upstream = views.current().upstreams.get(run[0])
        if upstream is None:
            return
        serving = views.serving_upstreams(upstream.service, context.now_ms)
        wait_ms = self.board.read(PauseTable).wait_ms(serving, context.now_ms)
        if wait_ms:
            context.post(ServicePaused(upstream.service, wait_ms))
