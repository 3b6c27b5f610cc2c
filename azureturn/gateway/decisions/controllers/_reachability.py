"""Logs when this VM can connect to no upstream of a service any more, and when it can again."""

from collections import defaultdict

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogReachability
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions._upstream_paths import UpstreamPathTable
from azureturn.gateway.decisions._upstream_state import UpstreamStateTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)

_CHECK_INTERVAL_MS = 250


@gateway_controller("reachability")
class ReachabilityController(GatewayController):
    """Compares the upstreams of each service that this VM can connect to with all of them."""

    reads = (ViewTable, UpstreamStateTable, PeerTable, UpstreamPathTable)
    after = ("attempts",)

    _checked_at_ms = 0
    _unreachable_services: frozenset[str] = frozenset()

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if context.now_ms - self._checked_at_ms < _CHECK_INTERVAL_MS:
            return
        self._checked_at_ms = context.now_ms
        states = self.board.read(UpstreamStateTable)
        reachable: defaultdict[str, list[bool]] = defaultdict(list)
        upstreams = self.board.read(ViewTable).current().upstreams
        is_isolated = self.board.read(UpstreamPathTable).is_isolated(len(upstreams))
        for upstream in upstreams.values():
            is_unreachable = is_isolated or states.is_unreachable(upstream.run)
            reachable[upstream.service].append(not is_unreachable)
        unreachable = frozenset(service for service, row in reachable.items() if not any(row))
        for service in sorted(unreachable ^ self._unreachable_services):
            live_peers = len(self.board.read(PeerTable).live_peers(context.now_ms))
            row = reachable[service]
            context.act(LogReachability(service, sum(row), len(row), live_peers))
        self._unreachable_services = unreachable
