"""Finds out when this VM hears nothing from upstreams any more over its own connections."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogSilentUpstreams, ProbeConnection
from azureturn.gateway.decisions._availability import PauseTable
from azureturn.gateway.decisions._events import (
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    ReportRequested,
    UpstreamConnectionFailed,
    UpstreamReconnected,
    UpstreamSilent,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions._upstream_paths import ISOLATING_FAILURES, UpstreamPathTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import RegisteredUpstream

#: Time without any response, although requests wait for one, after which upstreams are probed.
#: Some sound upstream nearly always responds earlier.
_SILENCE_MS = 600
#: Attempts that end earlier without a response say nothing about the path.
_MIN_UNANSWERED_MS = 150
_CHECK_INTERVAL_MS = 100
_PROBE_INTERVAL_MS = 250

_RESPONSES = (AttemptResult.ANSWERED, AttemptResult.FAILED, AttemptResult.REJECTED)
_GIVEN_UP = (AttemptResult.SILENT, AttemptResult.ABANDONED)


@gateway_controller("paths")
class PathController(GatewayController):
    """Probes upstreams when none responds, and records which ones fail.

    A connection that opens does not show that responses come back, so the probes ask for one.
    """

    reads = (GatewayRequestTable, PeerTable, ViewTable, PauseTable)
    writes = (UpstreamPathTable,)

    _checked_at_ms = 0
    _probed_at_ms = 0

    @on(FirstEventReceived)
    def _on_first_event(self, event: FirstEventReceived, context: Context) -> None:
        if self._direct_attempt(event.request_id) is not None:
            self.board.write(UpstreamPathTable).record_heard(context.now_ms)

    @on(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded, context: Context) -> None:
        request = self._direct_attempt(event.request_id)
        if request is None:
            return
        paths = self.board.write(UpstreamPathTable)
        if event.result in _RESPONSES:
            paths.record_heard(context.now_ms)
        elif event.result is AttemptResult.UNREACHABLE:
            self._record_failure(request.upstream, context)
        elif event.result in _GIVEN_UP and _is_unanswered(request, context.now_ms):
            paths.record_unanswered(request.sent_at_ms)

    @on(UpstreamReconnected)
    def _on_upstream_reconnected(self, event: UpstreamReconnected, context: Context) -> None:
        paths = self.board.write(UpstreamPathTable)
        if event.has_responded:
            paths.record_heard(context.now_ms)
        else:
            paths.remove(event.upstream)

    @on(UpstreamConnectionFailed)
    def _on_connection_failed(self, event: UpstreamConnectionFailed, context: Context) -> None:
        self._record_failure(event.run[0], context)

    @on(UpstreamSilent)
    def _on_upstream_silent(self, event: UpstreamSilent, context: Context) -> None:
        self._record_failure(event.run[0], context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if context.now_ms - self._checked_at_ms < _CHECK_INTERVAL_MS:
            return
        self._checked_at_ms = context.now_ms
        paths = self.board.write(UpstreamPathTable)
        if paths.is_isolated(self._upstream_count()):
            self._probe_while_isolated(context)
            return
        if paths.heard_ago_ms(context.now_ms) < _SILENCE_MS:
            return
        waiting = self._unanswered_attempts(context.now_ms)
        for request in waiting:
            paths.record_unanswered(request.sent_at_ms)
        if paths.silent_ms(context.now_ms) - event.lag_ms < _SILENCE_MS:
            # A response may have arrived that this VM has not read yet.
            return
        if context.now_ms - self._probed_at_ms >= _PROBE_INTERVAL_MS:
            self._probed_at_ms = context.now_ms
            self._probe(waiting, context)

    def _probe_while_isolated(self, context: Context) -> None:
        """Ask one upstream at a time for its status, as no request is sent to any directly.

        Those that failed may have ended for good, so that they never end the isolation.
        """
        if context.now_ms - self._probed_at_ms < _PROBE_INTERVAL_MS:
            return
        self._probed_at_ms = context.now_ms
        untried = self._untried_upstreams(context)
        if untried:
            self._request_status(untried[0], context)

    def _probe(self, waiting: list[GatewayRequest], context: Context) -> None:
        """Ask some upstreams for a response, first those that requests wait for."""
        paths = self.board.read(UpstreamPathTable)
        live_peers = len(self.board.read(PeerTable).live_peers(context.now_ms))
        awaited = {request.upstream for request in waiting}
        silent_ms = paths.silent_ms(context.now_ms)
        context.act(LogSilentUpstreams(len(waiting), len(awaited), silent_ms, live_peers))
        untried = self._untried_upstreams(context)
        untried.sort(key=lambda upstream: upstream.name not in awaited)
        for upstream in untried[:ISOLATING_FAILURES]:
            self._request_status(upstream, context)

    def _untried_upstreams(self, context: Context) -> list[RegisteredUpstream]:
        """Return the upstreams that have not failed since one responded, in random order.

        Those that ask for a pause are left out: a request for the status is a request, too. So are
        those in zones that are out of service.
        """
        evacuated = self.board.read(ViewTable).evacuated_zones(context.now_ms)
        pauses = self.board.read(PauseTable)
        paths = self.board.read(UpstreamPathTable)
        upstreams = self.board.read(ViewTable).current().upstreams
        untried = [
            upstream
            for name, upstream in upstreams.items()
            if name not in paths
            and not pauses.is_paused(upstream.run, context.now_ms)
            and upstream.availability_zone not in evacuated
        ]
        context.random.shuffle(untried)
        return untried

    def _request_status(self, upstream: RegisteredUpstream, context: Context) -> None:
        status_path = self.board.read(ViewTable).current().status_path(upstream.service)
        context.act(ProbeConnection(upstream, status_path=status_path))

    def _record_failure(self, upstream: str, context: Context) -> None:
        paths = self.board.write(UpstreamPathTable)
        upstream_count = self._upstream_count()
        was_isolated = paths.is_isolated(upstream_count)
        paths.put(upstream, context.now_ms)
        if paths.is_isolated(upstream_count) and not was_isolated:
            # Peers that are cut off too must not be asked to relay.
            context.post(ReportRequested())

    def _upstream_count(self) -> int:
        return len(self.board.read(ViewTable).current().upstreams)

    def _direct_attempt(self, request_id: str) -> GatewayRequest | None:
        """Return the request if its current attempt is not relayed."""
        request = self.board.read(GatewayRequestTable).get(request_id)
        if request is None or request.stage is not Stage.SENT or request.relay is not None:
            return None
        return request

    def _unanswered_attempts(self, now_ms: int) -> list[GatewayRequest]:
        return [
            request
            for request in self.board.read(GatewayRequestTable).rows()
            if request.stage is Stage.SENT
            and request.relay is None
            and _is_unanswered(request, now_ms)
        ]


def _is_unanswered(request: GatewayRequest, now_ms: int) -> bool:
    """Return whether the current attempt has waited for a response for a while."""
    waited_ms = now_ms - request.sent_at_ms
    return not request.first_event_at_ms and waited_ms >= _MIN_UNANSWERED_MS
