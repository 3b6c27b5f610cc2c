"""Finds out which upstreams' processes ended while they answered requests."""

from azureturn.framework import Context, on
from azureturn.gateway.decisions._actions import ProbeConnection
from azureturn.gateway.decisions._crashes import CrashTable
from azureturn.gateway.decisions._events import AttemptEnded, AttemptResult
from azureturn.gateway.decisions._requests import GatewayRequestTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)


@gateway_controller("crashes")
class CrashController(GatewayController):
    """Probes each upstream that broke off an answer; one that refuses connections has ended."""

    reads = (GatewayRequestTable, ViewTable)
    writes = (CrashTable,)
    after = ("admission",)

    @on(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(event.request_id)
        if request is None or event.result is not AttemptResult.BROKEN:
            return
        upstream = self.board.read(ViewTable).current().upstreams.get(request.upstream)
        if upstream is None:
            return
        if self.board.write(CrashTable).take_probe(upstream.run, context.now_ms):
            context.act(ProbeConnection(upstream, after_broken_answer=True))
