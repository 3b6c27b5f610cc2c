"""Updates the state of the upstream after each attempt, and decides on retries."""

from azureturn.errors import DEFAULT_RETRY_AFTER_MS, ErrorKind
from azureturn.framework import AwaitPlacement, Context, QueuedRequest, Refuse, Tick, on
from azureturn.gateway.decisions._actions import ProbeConnection, ReturnLastResult
from azureturn.gateway.decisions._allotments import AllotmentTable
from azureturn.gateway.decisions._availability import PauseTable, spread_retry_after_ms
from azureturn.gateway.decisions._events import (
    NOT_RUN_RESULTS,
    NOT_SENT_RESULTS,
    AttemptEnded,
    AttemptResult,
    AttemptStalled,
    FirstEventReceived,
    PlacementRequested,
    ReportRequested,
    RequestClosed,
    TakeOverRequested,
    UpstreamConnectionFailed,
    UpstreamReconnected,
    UpstreamSilent,
)
from azureturn.gateway.decisions._moves import MoveTable
from azureturn.gateway.decisions._prefill_speed import PrefillSpeedTable
from azureturn.gateway.decisions._quarantine import QuarantineTable
from azureturn.gateway.decisions._requests import GatewayRequest, GatewayRequestTable, Stage
from azureturn.gateway.decisions._retries import RetryBudgetTable
from azureturn.gateway.decisions._route_answers import EndedAnswer
from azureturn.gateway.decisions._slot_sharing import TurnoverTable
from azureturn.gateway.decisions._speeds import PLAIN_ANSWER_MS, SpeedReport, SpeedTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._upstream_state import UpstreamState, UpstreamStateTable
from azureturn.gateway.decisions._usual_times import AnswerTime
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)

#: Number of attempts that an upstream may reject, or in which nothing is sent, before the request
#: is refused.
_UNRUN_ATTEMPTS_LIMIT = 3
#: Time that must be left before the request's time limit for another attempt.
_MIN_ATTEMPT_MS = 60
#: Interval of connection probes to unreachable upstreams.
_PROBE_INTERVAL_MS = 250
#: Minimum number of events of a stream from which its pace is measured.
_MIN_TIMED_EVENTS = 3

_FAILURES = (AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.SILENT)


@gateway_controller("attempts")
class AttemptController(GatewayController):
    """Retries a request unless it may have run already and its route forbids a second run."""

    reads = (ViewTable, QuarantineTable, PauseTable)
    writes = (
        GatewayRequestTable,
        GatewayQueueTable,
        UpstreamStateTable,
        RetryBudgetTable,
        MoveTable,
        AllotmentTable,
        TurnoverTable,
        SpeedTable,
        PrefillSpeedTable,
    )
    after = ("admission", "crashes", "request_limits", "paths", "cold_upstreams")

    _probed_at_ms = 0

    @on(FirstEventReceived)
    def _on_first_event(self, event: FirstEventReceived, context: Context) -> None:
        requests = self.board.write(GatewayRequestTable)
        request = requests.get(event.request_id)
        if request is None or request.stage is not Stage.SENT:
            return
        state = self._state_of(request)
        if state is not None:
            prefilled = state.with_prefilled(request.pending_tokens)
            self.board.write(UpstreamStateTable).put(request.upstream, prefilled)
        if self.settings.policy.shares_speeds and request.prompt is not None:
            self._record_prefill(request, context.now_ms)
        requests.put(request.request_id, request.with_first_event(context.now_ms))

    def _record_prefill(self, request: GatewayRequest, now_ms: int) -> None:
        upstream = self.board.read(ViewTable).current().upstreams.get(request.upstream)
        if upstream is None:
            return
        speeds = self.board.write(SpeedTable)
        serving = self.board.read(ViewTable).serving_upstreams(request.service, now_ms)
        estimate = speeds.estimates(request.service, serving, now_ms).get(request.upstream)
        self.board.write(PrefillSpeedTable).of(request.service).record(
            request.pending_tokens,
            now_ms - request.sent_at_ms,
            self.settings.policy.engine,
            slowdown=1.0 if estimate is None else estimate.slowdown(1, upstream.slots),
        )

    @on(AttemptEnded)
    def _on_attempt_ended(self, event: AttemptEnded, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(event.request_id)
        if request is None or request.stage is not Stage.SENT:
            return
        self._release(request, event, context.now_ms)
        context.post(PlacementRequested(request.service))
        if event.result in (AttemptResult.ANSWERED, AttemptResult.ABANDONED):
            self.board.write(GatewayRequestTable).remove(request.request_id)
            return
        ran = event.result not in NOT_RUN_RESULTS
        refusal = self._retry_refusal(request, event, ran, context.now_ms)
        if not refusal and event.result not in NOT_SENT_RESULTS:
            self.board.write(RetryBudgetTable).take(request.service)
        if refusal:
            self._finish(request, event.result, refusal, context)
            return
        connected = event.result is not AttemptResult.UNREACHABLE
        requeued = request.with_requeued(ran=ran, connected=connected)
        self.board.write(GatewayRequestTable).put(request.request_id, requeued)
        self.board.write(GatewayQueueTable).of(request.service).push(
            QueuedRequest(requeued, cost_tokens=0.0, weight=1.0, give_up_at_ms=request.ends_at_ms)
        )
        context.act(AwaitPlacement(request.request_id))

    @on(AttemptStalled)
    def _on_attempt_stalled(self, event: AttemptStalled, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(event.ended.request_id)
        if request is None or request.stage is not Stage.SENT:
            return
        if not self._retry_refusal(request, event.ended, True, context.now_ms):
            context.post(TakeOverRequested(event))

    @on(UpstreamReconnected)
    def _on_upstream_reconnected(self, event: UpstreamReconnected, context: Context) -> None:
        states = self.board.write(UpstreamStateTable)
        state = states.get(event.upstream)
        upstream = self.board.read(ViewTable).current().upstreams.get(event.upstream)
        if state is not None:
            states.put(event.upstream, state.with_reachable(True))
        if upstream is not None:
            context.post(PlacementRequested(upstream.service))

    @on(UpstreamConnectionFailed)
    def _on_connection_failed(self, event: UpstreamConnectionFailed, context: Context) -> None:
        upstream = self.board.read(ViewTable).current().upstreams.get(event.run[0])
        if upstream is None or upstream.run != event.run:
            return
        states = self.board.write(UpstreamStateTable)
        if not states.is_unreachable(event.run):
            states.put(upstream.name, states.of(event.run).with_reachable(False))
            context.post(ReportRequested())

    @on(UpstreamSilent)
    def _on_upstream_silent(self, event: UpstreamSilent, context: Context) -> None:
        upstream = self.board.read(ViewTable).current().upstreams.get(event.run[0])
        if upstream is None or upstream.run != event.run:
            return
        states = self.board.write(UpstreamStateTable)
        if not states.is_silent(event.run):
            states.put(upstream.name, states.of(event.run).with_silent())
            context.post(ReportRequested())

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        """Probe unreachable upstreams, so that no request has to be sent to test them."""
        if context.now_ms - self._probed_at_ms < _PROBE_INTERVAL_MS:
            return
        self._probed_at_ms = context.now_ms
        states = self.board.read(UpstreamStateTable)
        view = self.board.read(ViewTable).current()
        pauses = self.board.read(PauseTable)
        evacuated = self.board.read(ViewTable).evacuated_zones(context.now_ms)
        for upstream in view.upstreams.values():
            if pauses.is_paused(upstream.run, context.now_ms):
                continue
            if upstream.availability_zone in evacuated:
                continue
            if states.is_unreachable(upstream.run):
                is_silent = states.is_silent(upstream.run)
                status_path = view.status_path(upstream.service) if is_silent else ""
                context.act(ProbeConnection(upstream, status_path=status_path))

    @on(RequestClosed)
    def _on_request_closed(self, event: RequestClosed, context: Context) -> None:
        request = self.board.read(GatewayRequestTable).get(event.request_id)
        if request is not None and request.stage is Stage.SENT:
            ended = AttemptEnded(event.request_id, AttemptResult.ABANDONED)
            self._release(request, ended, context.now_ms)
            self.board.write(GatewayRequestTable).remove(request.request_id)
            context.post(PlacementRequested(request.service))

    def _retry_refusal(
        self, request: GatewayRequest, event: AttemptEnded, ran: bool, now_ms: int
    ) -> str:
        """Return why the request is not retried; an empty string means that it is retried."""
        if not event.is_resumable:
            return "events without a number have been relayed"
        if self.board.read(QuarantineTable).match(request.traits):
            return "request is in quarantine"
        if ran and not request.may_repeat:
            return "route does not allow a second run"
        if ran and request.run_attempts + 1 >= request.route.attempts:
            return "attempt limit of the route reached"
        if not ran and request.unrun_attempts >= _UNRUN_ATTEMPTS_LIMIT:
            return "rejected or unreachable too often"
        if now_ms + _MIN_ATTEMPT_MS > request.ends_at_ms:
            return "too little time left for a retry"
        if not self._has_untried_upstream(request, now_ms):
            return "no untried upstream available"
        if event.result in NOT_SENT_RESULTS or self.board.read(RetryBudgetTable).allows(
            request.service
        ):
            return ""
        return "no retry budget left"

    def _has_untried_upstream(self, request: GatewayRequest, now_ms: int) -> bool:
        serving_upstreams = self.board.read(ViewTable).serving_upstreams(request.service, now_ms)
        pauses = self.board.read(PauseTable)
        return any(
            upstream.name not in request.tried_upstreams
            and not pauses.is_paused(upstream.run, now_ms)
            for upstream in serving_upstreams
        )

    def _finish(
        self, request: GatewayRequest, result: AttemptResult, reason: str, context: Context
    ) -> None:
        self.board.write(GatewayRequestTable).remove(request.request_id)
        if result in NOT_RUN_RESULTS and request.run_attempts == 0:
            kind = ErrorKind.OVERLOADED
            self.board.write(AllotmentTable).refund(request)
            retry_after_ms = self._retry_after_ms(request, context)
            context.act(Refuse(request.request_id, kind, retry_after_ms, detail=reason))
            return
        context.act(ReturnLastResult(request.request_id, reason))

    def _retry_after_ms(self, request: GatewayRequest, context: Context) -> int:
        views = self.board.read(ViewTable)
        serving = views.serving_upstreams(request.service, context.now_ms)
        pause_ms = self.board.read(PauseTable).wait_ms(serving, context.now_ms)
        if not pause_ms:
            return DEFAULT_RETRY_AFTER_MS
        return spread_retry_after_ms(pause_ms, context.random)

    def _release(self, request: GatewayRequest, event: AttemptEnded, now_ms: int) -> None:
        state = self._state_of(request)
        if state is None:
            return
        state = state.with_ended(request.pending_tokens)
        if self.settings.policy.shares_speeds:
            self._record_speed(request, event, now_ms)
        state = self._with_result(state, request, event, now_ms)
        self.board.write(UpstreamStateTable).put(request.upstream, state)
        if event.event_count >= _MIN_TIMED_EVENTS and request.version_choice.is_compared:
            self.board.write(MoveTable).record_stream(
                request.service,
                request.version,
                event_count=event.event_count,
                streamed_ms=event.streamed_ms,
            )
        if event.result is not AttemptResult.ABANDONED and event.result not in NOT_RUN_RESULTS:
            turnover = self.board.write(TurnoverTable)
            turnover.record(request.service, float(now_ms - request.sent_at_ms))
            answer = self._ended_answer(request, event, now_ms)
            self.board.write(MoveTable).record_answer(answer, now_ms=now_ms)

    def _ended_answer(
        self, request: GatewayRequest, event: AttemptEnded, now_ms: int
    ) -> EndedAnswer:
        took_ms = (request.first_event_at_ms or now_ms) - request.sent_at_ms
        time = None
        if event.result is AttemptResult.ANSWERED and request.found_slot:
            expected = request.expected_start(self.settings.policy.engine)
            pace_ms = None
            if event.event_count >= _MIN_TIMED_EVENTS:
                pace_ms = event.streamed_ms / (event.event_count - 1)
            time = AnswerTime(took_ms / expected, pace_ms)
        return EndedAnswer(
            request.service,
            request.version,
            request.route.name,
            request.upstream_run,
            failed=event.result in _FAILURES,
            is_complete=event.result in (AttemptResult.ANSWERED, AttemptResult.FAILED),
            took_ms=took_ms,
            time=time,
            choice=request.version_choice,
        )

    def _record_speed(self, request: GatewayRequest, event: AttemptEnded, now_ms: int) -> None:
        """Record how long an answer took, if that says something about the upstream's speed."""
        took_ms: int
        if event.event_count >= _MIN_TIMED_EVENTS:
            intervals = event.event_count - 1
            tokens = intervals * self._tokens_per_event(request.service)
            assumed_ms = tokens * self.settings.policy.engine.ms_per_token
            # The prefill of other prompts delays events, but says nothing of the engine's speed.
            took_ms = intervals * event.pace_ms or event.streamed_ms
        elif event.result is AttemptResult.ANSWERED and request.prompt is None:
            assumed_ms, took_ms = PLAIN_ANSWER_MS, now_ms - request.sent_at_ms
        else:
            return
        row = SpeedReport(request.upstream_run, request.level, int(assumed_ms), took_ms)
        self.board.write(SpeedTable).record(row, now_ms)

    def _with_result(
        self, state: UpstreamState, request: GatewayRequest, event: AttemptEnded, now_ms: int
    ) -> UpstreamState:
        if event.result is AttemptResult.UNREACHABLE:
            return state if request.relay else state.with_reachable(False)
        if event.result is AttemptResult.WITHHELD:
            return state
        is_paused = self.board.read(PauseTable).is_paused(state.run, now_ms)
        if event.result is AttemptResult.REJECTED and is_paused:
            # It has said when it takes requests again; there is no need to expect more rejections.
            return state
        if event.result is AttemptResult.REJECTED:
            return state.with_outcome(failed=True, now_ms=now_ms)
        if event.result is not AttemptResult.ABANDONED:
            state = state.with_outcome(failed=event.result in _FAILURES, now_ms=now_ms)
        if event.event_count >= _MIN_TIMED_EVENTS:
            tokens = (event.event_count - 1) * self._tokens_per_event(request.service)
            assumed_ms = tokens * self.settings.policy.engine.ms_per_token
            return state.with_slowdown(event.streamed_ms / assumed_ms, now_ms)
        if event.result is AttemptResult.ANSWERED and request.prompt is None:
            return state.with_answer_time(float(now_ms - request.sent_at_ms), now_ms)
        return state

    def _tokens_per_event(self, service_name: str) -> int:
        configuration = self.board.read(ViewTable).current().configuration
        service = None if configuration is None else configuration.service(service_name)
        return 1 if service is None or service.engine is None else service.engine.tokens_per_event

    def _state_of(self, request: GatewayRequest) -> UpstreamState | None:
        return self.board.read(UpstreamStateTable).get(request.upstream)
