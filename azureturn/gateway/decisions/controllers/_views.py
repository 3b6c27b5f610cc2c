"""Takes newer views in and keeps what rests on them in step."""

from azureturn.core import Context, on
from azureturn.gateway.decisions._events import GatewayStarted, PlacementWanted, ViewChanged
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._work import UpstreamStateTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)


@gateway_controller("views")
class ViewController(GatewayController):
    """Accepts only rising revisions, so that what was in force never comes back."""

    reads = (GatewayQueueTable,)
    writes = (ViewTable, PeerTable, UpstreamStateTable)

    @on(GatewayStarted)
    def _on_started(self, event: GatewayStarted, context: Context) -> None:
        peers = self.board.write(PeerTable)
        peers.own_name = event.vm
        peers.started_at_ms = context.now_ms

    @on(ViewChanged)
    def _on_changed(self, event: ViewChanged, context: Context) -> None:
        if not self.board.write(ViewTable).accept(event.view):
            return
        self.board.write(PeerTable).registered = frozenset(event.view.vms)
        states = self.board.write(UpstreamStateTable)
        for name in [name for name, _ in states.items() if name not in event.view.upstreams]:
            # Requests that are still there are released by name, which is then unknown.
            states.remove(name)
        for service, queue in self.board.read(GatewayQueueTable).items():
            if len(queue):
                context.post(PlacementWanted(service))
