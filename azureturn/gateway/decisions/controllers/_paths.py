"""Watches whether upstreams can be connected, and respond, over this VM's own connections."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogSilentUpstreams
from azureturn.gateway.decisions._events import (
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    ReportRequested,
    UpstreamConnectionFailed,
    UpstreamReconnected,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions._upstream_paths import UpstreamPathTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)

#: Time without any response from an upstream, and age of an attempt that waits for one, after
#: which the VM's paths to the upstreams are in doubt. Sound upstreams seldom take so long.
_SILENCE_MS = 800
_CHECK_INTERVAL_MS = 250

_RESPONSES = (AttemptResult.ANSWERED, AttemptResult.FAILED, AttemptResult.REJECTED)


@gateway_controller("paths")
class PathController(GatewayController):
    """Notices when nothing is heard from upstreams any more, although requests wait for them."""

    reads = (GatewayRequestTable, PeerTable, ViewTable)
    writes = (UpstreamPathTable,)

    _checked_at_ms = 0

    @on(FirstEventReceived)
    def _on_first_event(self, event: FirstEventReceived, context: Context) -> None:
        if self._direct_attempt(event.request_id) is not None:
            self.board.write(UpstreamPathTable).record_heard(context.now_ms)

    @on(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded, context: Context) -> None:
        request = self._direct_attempt(event.request_id)
        if request is None:
            return
        if event.result in _RESPONSES:
            self.board.write(UpstreamPathTable).record_heard(context.now_ms)
        elif event.result is AttemptResult.UNREACHABLE:
            self._record_failure(request.upstream, context)

    @on(UpstreamConnectionFailed)
    def _on_connection_failed(self, event: UpstreamConnectionFailed, context: Context) -> None:
        self._record_failure(event.run[0], context)

    @on(UpstreamReconnected)
    def _on_upstream_reconnected(self, event: UpstreamReconnected, context: Context) -> None:
        self.board.write(UpstreamPathTable).record_heard(context.now_ms)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if context.now_ms - self._checked_at_ms < _CHECK_INTERVAL_MS:
            return
        self._checked_at_ms = context.now_ms
        silent_ms = self.board.read(UpstreamPathTable).silent_ms(context.now_ms)
        if silent_ms < _SILENCE_MS:
            return
        waiting = [
            request
            for request in self.board.read(GatewayRequestTable).rows()
            if _waits_for_upstream(request, context.now_ms)
        ]
        if waiting:
            upstreams = {request.upstream for request in waiting}
            live_peers = len(self.board.read(PeerTable).live_peers(context.now_ms))
            context.act(LogSilentUpstreams(len(waiting), len(upstreams), silent_ms, live_peers))

    def _record_failure(self, upstream: str, context: Context) -> None:
        paths = self.board.write(UpstreamPathTable)
        upstream_count = len(self.board.read(ViewTable).current().upstreams)
        was_isolated = paths.is_isolated(upstream_count)
        paths.put(upstream, context.now_ms)
        if paths.is_isolated(upstream_count) and not was_isolated:
            # Peers that are cut off too must not be asked to relay.
            context.post(ReportRequested())

    def _direct_attempt(self, request_id: str) -> GatewayRequest | None:
        """Return the request if its current attempt is not relayed."""
        request = self.board.read(GatewayRequestTable).get(request_id)
        if request is None or request.stage is not Stage.SENT or request.relay is not None:
            return None
        return request


def _waits_for_upstream(request: GatewayRequest, now_ms: int) -> bool:
    """Return whether a direct attempt has been without any response for long."""
    return (
        request.stage is Stage.SENT
        and request.relay is None
        and not request.first_event_at_ms
        and now_ms - request.sent_at_ms >= _SILENCE_MS
    )
