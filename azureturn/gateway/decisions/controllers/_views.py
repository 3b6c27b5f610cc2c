"""Takes newer views in and keeps what rests on them in step."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._events import (
    GatewayStarted,
    PlacementWanted,
    StoreRegained,
    ViewChanged,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._work import UpstreamStateTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)

#: Upstreams that are gone and still remembered, in case that they come back.
_GONE_LIMIT = 32


@gateway_controller("views")
class ViewController(GatewayController):
    """Accepts only rising revisions, so that what was in force never comes back."""

    reads = (GatewayQueueTable,)
    writes = (ViewTable, PeerTable, UpstreamStateTable)

    @on(GatewayStarted)
    def _on_started(self, event: GatewayStarted, context: Context) -> None:
        peers = self.board.write(PeerTable)
        peers.own_name = event.vm
        peers.own_boot = context.random.getrandbits(62)
        peers.started_at_ms = context.now_ms
        peers.started_unix_ms = event.unix_ms

    @on(StoreRegained)
    def _on_regained(self, event: StoreRegained, context: Context) -> None:
        self.board.write(ViewTable).note_regained(context.now_ms)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        """Forget upstreams that are gone and have nothing left of this VM's work."""
        upstreams = self.board.read(ViewTable).current().upstreams
        states = self.board.write(UpstreamStateTable)
        gone = [n for n, one in states.items() if n not in upstreams and not one.requests]
        for name in gone if len(gone) > _GONE_LIMIT else ():
            states.remove(name)

    @on(ViewChanged)
    def _on_changed(self, event: ViewChanged, context: Context) -> None:
        if not self.board.write(ViewTable).accept(event.view, now_ms=context.now_ms):
            return
        self.board.write(PeerTable).registered = frozenset(event.view.vms)
        for service, queue in self.board.read(GatewayQueueTable).items():
            if len(queue):
                context.post(PlacementWanted(service))
