"""One request's way: read, decided on, sent to upstreams one after another, and answered."""

import json
import queue

from azureturn.errors import (
    ANSWERS,
    AzureturnError,
    CallerError,
    ErrorKind,
    RefusedError,
    RunState,
    UpstreamError,
    UpstreamUnreachableError,
)
from azureturn.framework import AwaitPlacement, Refuse, RequestAction
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    CallerArrived,
    FirstEventCame,
    GatewayRequest,
    RequestClosed,
    SendAttempt,
)
from azureturn.gateway.exchange._attempt import AnswerHead, Attempt, OutgoingMessage
from azureturn.gateway.exchange._caller import CallerChannel
from azureturn.gateway.exchange._event_blocks import BlockSplitter
from azureturn.gateway.exchange._exchange_account import ExchangeAccount, ExchangeEnd
from azureturn.gateway.exchange._routing import route_request
from azureturn.gateway.exchange._services import ExchangeServices
from azureturn.gateway.exchange._stream_progress import StreamProgress
from azureturn.gateway.site import AttemptHeaders, RequestKind
from azureturn.serving import next_action, now_ms

#: How long after a request's end the core may still speak before that is an error.
_CORE_GRACE_MS = 1_000
#: Shortest wait for the first event of a stream that could be tried elsewhere, and the wait as a
#: multiple of the objective.
_FIRST_EVENT_LEAST_MS = 1_000
_FIRST_EVENT_OBJECTIVES = 2.0
#: The same for a pause within a stream.
_PAUSE_LEAST_MS = 600
_PAUSE_LIMITS = 2.0
#: The same for a plain answer.
_ANSWER_LEAST_MS = 150
_ANSWER_OBJECTIVES = 2.0
_MISDIRECTED = 421
#: A caller that another VM can serve need not wait before it turns there.
_ELSEWHERE_MS = 20
#: Part of a stream's expected time that must be left of a planned stop.
_STOP_MARGIN = 3.0


class CutError(Exception):
    """An answer under way can't be made whole: the caller's connection must be broken off."""


class Exchange:
    """Serves one request on the caller's thread."""

    def __init__(self, services: ExchangeServices, caller: CallerChannel) -> None:
        self._services = services
        self._caller = caller
        self._request: GatewayRequest | None = None
        self._body = b""
        self._attempt: Attempt | None = None
        self._caller_is_gone = False
        self._last_event_number: int | None = None
        #: What the last attempt that failed had answered.
        self._failure: tuple[AnswerHead, bytes] | None = None
        self._attempts = 0
        self._started_at_ms = now_ms()
        request_id = caller.header_values.get("x-request-id", "")
        self._account = ExchangeAccount(services, request_id, self._started_at_ms)
        self._outcome = "internal"
        self._upstream = ""
        #: The error kind of a refusal; empty for other ends.
        self._refused_kind = ""
        #: What decided a refusal.
        self._detail = ""

    def serve(self) -> None:
        """Answer the request; :class:`CutError` where the connection must be broken off."""
        try:
            self._serve()
        except CutError:
            raise
        except AzureturnError as error:
            self._refuse(error)
        finally:
            end = ExchangeEnd(
                self._outcome, self._refused_kind, self._detail, self._upstream, self._attempts
            )
            self._account.tell_end(self._request, end)

    def _serve(self) -> None:
        view = self._services.view()
        configuration = view.configuration
        body_limit = configuration.limits.body_bytes if configuration else 4 << 20
        self._body = self._caller.read_body(body_limit)
        if configuration is None:
            raise RefusedError(ErrorKind.CONFIGURATION_UNKNOWN)
        try:
            facts = self._services.dialect.decode_caller(self._caller.header_values)
        except ValueError as error:
            raise CallerError(ErrorKind.BAD_HEADER, str(error)) from error
        request = route_request(
            facts, self._caller, configuration, self._services.runtime, now_ms=self._started_at_ms
        )
        if not self._fits(request):
            raise RefusedError(ErrorKind.STOPPING, retry_after_ms=_ELSEWHERE_MS)
        self._request = request
        self._last_event_number = facts.last_event_number
        runtime = self._services.runtime
        mailbox = runtime.open_mailbox(request.request_id)
        watched = self._services.caller_watch.watch(self._caller.socket, self._on_caller_gone)
        try:
            runtime.submit(CallerArrived(request))
            self._follow(request, mailbox)
        finally:
            self._services.caller_watch.unwatch(watched)
            runtime.submit(RequestClosed(request.request_id))
            runtime.close_mailbox(request.request_id)

    def _fits(self, request: GatewayRequest) -> bool:
        """Return whether the request will be answered before a planned stop ends."""
        left_ms = self._services.time_left_ms()
        if left_ms is None:
            return True
        if request.prompt is None:
            return left_ms > request.ends_at_ms - self._started_at_ms
        policy = self._services.settings().policy.engine
        tokens = request.prompt.expected_answer_tokens or request.prompt.answer_limit_tokens
        answer_ms = tokens * policy.ms_per_token + request.route.objective_ms
        return left_ms > _STOP_MARGIN * answer_ms

    def _follow(self, request: GatewayRequest, mailbox: "queue.SimpleQueue[RequestAction]") -> None:
        while True:
            wait_ms = max(1, request.ends_at_ms - now_ms()) + _CORE_GRACE_MS
            action = next_action(mailbox, request.request_id, wait_ms=wait_ms)
            if self._caller_is_gone:
                self._end_for_absent_caller()
                return
            if isinstance(action, AwaitPlacement):
                continue
            if isinstance(action, SendAttempt):
                if self._try(request, action):
                    return
                continue
            self._conclude(action)
            return

    def _conclude(self, action: RequestAction) -> None:
        """Tell the caller how it ended without a good answer."""
        if self._caller.has_begun:
            self._outcome = "cut"
            raise CutError(type(action).__name__)
        if isinstance(action, Refuse):
            self._detail = action.detail
            raise RefusedError(
                action.kind, run_state=action.run_state, retry_after_ms=action.retry_after_ms
            )
        if self._failure is not None:
            head, body = self._failure
            self._outcome = "upstream_failed"
            self._deliver(head, body)
            return
        raise UpstreamError(ErrorKind.UPSTREAM_SILENT, getattr(action, "reason", ""))

    def _try(self, request: GatewayRequest, action: SendAttempt) -> bool:
        """Make one attempt and return whether the caller has its final answer."""
        self._attempts += 1
        self._upstream = action.upstream.name
        self._account.tell_placed(request, action)
        attempt = Attempt(action.upstream, self._services.pool, self._services.dialect)
        self._attempt = attempt
        progress = StreamProgress()
        began_at_ms = now_ms()
        detail = ""
        try:
            result = self._run(request, action, attempt, progress)
        except UpstreamUnreachableError as error:
            result, detail = AttemptResult.UNREACHABLE, error.message
        except TimeoutError:
            result = AttemptResult.SILENT
        except UpstreamError as error:
            result, detail = AttemptResult.BROKEN, f"{error.kind.value}: {error.message}"
        except OSError as error:
            # The caller's side broke: nobody waits for the answer.
            self._caller_is_gone = True
            result, detail = AttemptResult.ABANDONED, type(error).__name__
        finally:
            attempt.close()
        if self._caller_is_gone:
            result = AttemptResult.ABANDONED
        elif now_ms() >= request.ends_at_ms and result is not AttemptResult.ANSWERED:
            detail = f"time limit; {result.value} {detail}"
            result = AttemptResult.ABANDONED
        self._account.tell_attempt(
            request, action, result, progress, took_ms=now_ms() - began_at_ms, detail=detail
        )
        self._services.runtime.submit(
            AttemptEnded(request.request_id, result, progress.events, progress.streamed_ms)
        )
        if result is AttemptResult.ABANDONED:
            self._end_abandoned()
            return True
        return result is AttemptResult.ANSWERED

    def _run(
        self,
        request: GatewayRequest,
        action: SendAttempt,
        attempt: Attempt,
        progress: StreamProgress,
    ) -> AttemptResult:
        attempt.send(
            self._message(request, action),
            sure=not request.may_repeat,
            ends_at_ms=request.ends_at_ms,
        )
        if self._caller_is_gone:
            return AttemptResult.ABANDONED
        head = attempt.read_head(ends_at_ms=self._answer_limit_ms(request))
        if head.facts.not_run or head.status == _MISDIRECTED:
            attempt.read_whole(wait_ms=_PAUSE_LEAST_MS, ends_at_ms=request.ends_at_ms)
            return AttemptResult.REJECTED
        if head.status < 300 and not head.facts.is_sealed:
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED, "a success without a seal")
        if request.route.kind is RequestKind.STREAM and head.status == 200:
            self._relay_stream(request, attempt, head, progress)
            return AttemptResult.ANSWERED
        body = attempt.read_whole(
            wait_ms=request.ends_at_ms - now_ms(), ends_at_ms=request.ends_at_ms
        )
        if head.failed:
            self._failure = (head, body)
            return AttemptResult.FAILED
        self._outcome = "answered"
        self._deliver(head, body)
        return AttemptResult.ANSWERED

    def _relay_stream(
        self, request: GatewayRequest, attempt: Attempt, head: AnswerHead, progress: StreamProgress
    ) -> None:
        splitter = BlockSplitter()
        pause_ms = self._pause_limit_ms(request)
        for piece in attempt.read_pieces(wait_ms=pause_ms, ends_at_ms=request.ends_at_ms):
            try:
                blocks = splitter.feed(piece)
            except ValueError as error:
                raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, str(error)) from error
            for block in blocks:
                self._check_order(block.number)
            if not blocks:
                continue
            if not progress.events:
                self._services.runtime.submit(FirstEventCame(request.request_id))
            progress.note(len(blocks), now_ms())
            self._begin_stream(head)
            self._caller.write(b"".join(block.data for block in blocks))
        self._begin_stream(head)
        if splitter.rest:
            self._caller.write(splitter.rest)
        self._outcome = "answered"

    def _check_order(self, number: int | None) -> None:
        if number is None:
            return
        last = self._last_event_number
        if last is not None and number != last + 1:
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED, f"event {number} after {last}")
        self._last_event_number = number

    def _begin_stream(self, head: AnswerHead) -> None:
        if not self._caller.has_begun:
            self._caller.begin_stream(
                head.status, head.reason, head.headers, close=self._services.is_leaving()
            )

    def _deliver(self, head: AnswerHead, body: bytes) -> None:
        close = self._services.is_leaving()
        self._caller.answer(head.status, head.reason, head.headers, body, close=close)

    def _message(self, request: GatewayRequest, action: SendAttempt) -> OutgoingMessage:
        attempt = AttemptHeaders(
            upstream=action.upstream.name,
            organisation=request.organisation,
            time_left_ms=max(1, request.ends_at_ms - now_ms()),
            last_event_number=self._last_event_number,
        )
        headers = self._services.dialect.encode_attempt(list(self._caller.headers), attempt)
        return OutgoingMessage(
            method=self._caller.method,
            target=self._caller.target,
            headers=tuple(headers),
            body=self._body,
            request_id=request.request_id,
        )

    def _answer_limit_ms(self, request: GatewayRequest) -> int:
        """Return until when the head of an answer is awaited."""
        if not self._could_go_elsewhere(request):
            return request.ends_at_ms
        if request.route.kind is RequestKind.STREAM:
            objective_ms = _FIRST_EVENT_OBJECTIVES * request.route.objective_ms
            wait_ms = max(_FIRST_EVENT_LEAST_MS, objective_ms)
        else:
            wait_ms = max(_ANSWER_LEAST_MS, _ANSWER_OBJECTIVES * request.route.objective_ms)
        return min(request.ends_at_ms, int(now_ms() + wait_ms))

    def _pause_limit_ms(self, request: GatewayRequest) -> int:
        if not self._could_go_elsewhere(request):
            return request.ends_at_ms - now_ms()
        return int(max(_PAUSE_LEAST_MS, _PAUSE_LIMITS * request.route.pause_limit_ms))

    def _could_go_elsewhere(self, request: GatewayRequest) -> bool:
        return request.may_repeat and self._attempts < request.route.attempts

    def _on_caller_gone(self) -> None:
        """Give up what nobody waits for; called by the thread that watches callers."""
        self._caller_is_gone = True
        if self._attempt is not None:
            self._attempt.abort()
        if self._request is not None:
            gone = Refuse(self._request.request_id, ErrorKind.CALLER_GONE, 0, RunState.UNKNOWN)
            self._services.runtime.deliver(gone)

    def _end_abandoned(self) -> None:
        if self._caller_is_gone:
            self._end_for_absent_caller()
        if self._caller.has_begun:
            self._outcome = "time_limit"
            raise CutError("time limit")
        raise UpstreamError(ErrorKind.UPSTREAM_SILENT, "the time limit passed")

    def _end_for_absent_caller(self) -> None:
        self._outcome = ErrorKind.CALLER_GONE.value
        raise CutError(self._outcome)

    def _refuse(self, error: AzureturnError) -> None:
        self._outcome = self._refused_kind = error.kind.value
        answer = ANSWERS[error.kind]
        request_id = self._caller.header_values.get("x-request-id", "")
        retry_after_ms = error.retry_after_ms if answer.retryable else None
        headers = [
            *self._services.dialect.encode_refusal(retry_after_ms, request_id),
            ("Content-Type", "application/json"),
        ]
        body = json.dumps({"error": error.kind.value, "message": answer.summary}).encode()
        close = self._services.is_leaving()
        self._caller.answer(answer.status, error.kind.value, headers, body, close=close)
