"""Learns from each attempt, and decides whether there is another."""

from azureturn.errors import DEFAULT_RETRY_AFTER_MS, ErrorKind
from azureturn.framework import AwaitPlacement, Context, QueuedRequest, Refuse, Tick, on
from azureturn.gateway.decisions._actions import Conclude, TryConnection
from azureturn.gateway.decisions._events import (
    AttemptEnded,
    AttemptResult,
    FirstEventCame,
    PlacementWanted,
    RequestClosed,
    UpstreamReached,
)
from azureturn.gateway.decisions._moves import MoveTable
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._retries import RetryTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._work import UpstreamState, UpstreamStateTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)

#: Attempts that came back without having been run, before the caller is told.
_RETURN_LIMIT = 3
#: Time that must be left for another attempt.
_LEAST_TIME_MS = 60
#: How often upstreams that could not be reached are tried.
_TRY_INTERVAL_MS = 250
#: Events of a stream from which its pace is learned.
_PACED_EVENTS = 3

_NOT_RUN = (AttemptResult.REJECTED, AttemptResult.UNREACHABLE)
_FAILURES = (AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.SILENT)


@gateway_controller("attempts")
class AttemptController(GatewayController):
    """Gives each request another try only where that can't run it twice against its kind."""

    reads = (ViewTable,)
    writes = (
        GatewayRequestTable,
        GatewayQueueTable,
        UpstreamStateTable,
        RetryTable,
        MoveTable,
    )
    after = ("admission",)

    _tried_at_ms = 0

    @on(FirstEventCame)
    def _on_first_event(self, event: FirstEventCame, context: Context) -> None:
        requests = self.board.write(GatewayRequestTable)
        request = requests.get(event.request_id)
        if request is None or request.stage is not Stage.SENT:
            return
        state = self._state_of(request)
        if state is not None:
            worked_off = state.with_worked_off(request.pending_tokens)
            self.board.write(UpstreamStateTable).put(request.upstream, worked_off)
        requests.put(request.request_id, request.with_first_event(context.now_ms))

    @on(AttemptEnded)
    def _on_ended(self, event: AttemptEnded, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(event.request_id)
        if request is None or request.stage is not Stage.SENT:
            return
        self._release(request, event, context.now_ms)
        context.post(PlacementWanted(request.service))
        if event.result in (AttemptResult.ANSWERED, AttemptResult.ABANDONED):
            self.board.write(GatewayRequestTable).remove(request.request_id)
            return
        ran = event.result not in _NOT_RUN
        refusal = self._reason_against(request, event.result, ran, context.now_ms)
        if refusal:
            self._conclude(request, event.result, refusal, context)
            return
        again = request.with_return(ran=ran)
        self.board.write(GatewayRequestTable).put(request.request_id, again)
        self.board.write(GatewayQueueTable).of(request.service).push(
            QueuedRequest(again, cost_tokens=0.0, weight=1.0, give_up_at_ms=request.ends_at_ms)
        )
        context.act(AwaitPlacement(request.request_id))

    @on(UpstreamReached)
    def _on_reached(self, event: UpstreamReached, context: Context) -> None:
        states = self.board.write(UpstreamStateTable)
        state = states.get(event.upstream)
        upstream = self.board.read(ViewTable).current().upstreams.get(event.upstream)
        if state is not None:
            states.put(event.upstream, state.with_reachable(True))
        if upstream is not None:
            context.post(PlacementWanted(upstream.service))

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        """Try the upstreams that could not be reached, instead of sending requests there."""
        if context.now_ms - self._tried_at_ms < _TRY_INTERVAL_MS:
            return
        self._tried_at_ms = context.now_ms
        states = self.board.read(UpstreamStateTable)
        for name, upstream in self.board.read(ViewTable).current().upstreams.items():
            state = states.get(name)
            if state is not None and state.is_unreachable and state.run == upstream.run:
                context.act(TryConnection(upstream))

    @on(RequestClosed)
    def _on_closed(self, event: RequestClosed, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(event.request_id)
        if request is not None and request.stage is Stage.SENT:
            ended = AttemptEnded(event.request_id, AttemptResult.ABANDONED)
            self._release(request, ended, context.now_ms)
            self.board.write(GatewayRequestTable).remove(request.request_id)
            context.post(PlacementWanted(request.service))

    def _reason_against(
        self, request: GatewayRequest, result: AttemptResult, ran: bool, now_ms: int
    ) -> str:
        """Return why there is no other attempt, or an empty string where there is one."""
        if ran and not request.may_repeat:
            return "may not be repeated"
        if ran and request.runs + 1 >= request.route.attempts:
            return "no attempts left"
        if not ran and request.returns >= _RETURN_LIMIT:
            return "returned too often"
        if now_ms + _LEAST_TIME_MS > request.ends_at_ms:
            return "no time left"
        if not self._another_serves(request, now_ms):
            return "no other upstream"
        if result is AttemptResult.UNREACHABLE:
            return ""
        return "" if self.board.write(RetryTable).take(request.service) else "retry budget spent"

    def _another_serves(self, request: GatewayRequest, now_ms: int) -> bool:
        serving = self.board.read(ViewTable).serving(request.service, now_ms)
        return any(one.name not in request.tried for one in serving)

    def _conclude(
        self, request: GatewayRequest, result: AttemptResult, reason: str, context: Context
    ) -> None:
        self.board.write(GatewayRequestTable).remove(request.request_id)
        if result in _NOT_RUN and request.runs == 0:
            kind = ErrorKind.OVERLOADED
            context.act(Refuse(request.request_id, kind, DEFAULT_RETRY_AFTER_MS))
            return
        context.act(Conclude(request.request_id, reason))

    def _release(self, request: GatewayRequest, event: AttemptEnded, now_ms: int) -> None:
        state = self._state_of(request)
        if state is None:
            return
        state = state.with_ended(request.pending_tokens)
        state = self._learned(state, request, event, now_ms)
        self.board.write(UpstreamStateTable).put(request.upstream, state)
        if event.result is not AttemptResult.ABANDONED and event.result not in _NOT_RUN:
            first_at_ms = request.first_event_at_ms or now_ms
            self.board.write(MoveTable).note(
                request.service,
                request.version,
                failed=event.result in _FAILURES,
                took_ms=first_at_ms - request.sent_at_ms,
            )

    def _learned(
        self, state: UpstreamState, request: GatewayRequest, event: AttemptEnded, now_ms: int
    ) -> UpstreamState:
        if event.result is AttemptResult.UNREACHABLE:
            return state.with_reachable(False)
        if event.result is AttemptResult.REJECTED:
            return state.with_outcome(failed=True, now_ms=now_ms)
        if event.result is not AttemptResult.ABANDONED:
            state = state.with_outcome(failed=event.result in _FAILURES, now_ms=now_ms)
        if event.events >= _PACED_EVENTS:
            tokens = (event.events - 1) * self._tokens_per_event(request.service)
            assumed_ms = tokens * self.settings.policy.engine.ms_per_token
            return state.with_pace(event.streamed_ms / assumed_ms, now_ms)
        if event.result is AttemptResult.ANSWERED and request.prompt is None:
            return state.with_answer_time(float(now_ms - request.sent_at_ms), now_ms)
        return state

    def _tokens_per_event(self, service: str) -> int:
        configuration = self.board.read(ViewTable).current().configuration
        found = None if configuration is None else configuration.service(service)
        return 1 if found is None or found.engine is None else found.engine.tokens_per_event

    def _state_of(self, request: GatewayRequest) -> UpstreamState | None:
        return self.board.read(UpstreamStateTable).get(request.upstream)
