"""Logs which engines get fewer requests than they have slots, if VMs share speeds."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogUpstreamLimit
from azureturn.gateway.decisions._events import GatewayStarted
from azureturn.gateway.decisions._speeds import LEVELS, SpeedTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)

#: Interval at which limits are compared, and so the shortest between two lines of an upstream.
_CHECK_INTERVAL_MS = 5_000


@gateway_controller("speeds")
class SpeedController(GatewayController):
    """Logs each limit of requests that was learned for an engine, and its end."""

    reads = (ViewTable,)
    writes = (SpeedTable,)
    after = ("views", "reports")

    _checked_at_ms = 0
    #: Limits below the slots that were logged, by upstream.
    _limits: dict[str, int]

    @on(GatewayStarted)
    def _on_gateway_started(self, event: GatewayStarted, context: Context) -> None:
        self._limits = {}

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if not self.settings.policy.shares_speeds:
            return
        if context.now_ms - self._checked_at_ms < _CHECK_INTERVAL_MS:
            return
        self._checked_at_ms = context.now_ms
        configuration = self.board.read(ViewTable).current().configuration
        limits: dict[str, int] = {}
        for service in configuration.services if configuration else ():
            if service.engine is not None:
                limits.update(self._check(service.name, context))
        self._limits = limits

    def _check(self, service: str, context: Context) -> dict[str, int]:
        upstreams = self.board.read(ViewTable).serving_upstreams(service, context.now_ms)
        estimates = self.board.write(SpeedTable).estimates(service, upstreams, context.now_ms)
        limits = {}
        for upstream in upstreams:
            estimate = estimates[upstream.name]
            limit = min(upstream.slots, estimate.limit)
            if limit < upstream.slots:
                limits[upstream.name] = limit
            if limit != self._limits.get(upstream.name, upstream.slots):
                slowdown = estimate.slowdowns[LEVELS - 1]
                context.act(LogUpstreamLimit(upstream.name, limit, upstream.slots, slowdown))
        return limits
