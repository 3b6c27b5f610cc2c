"""One request's way through the daemon: to the core, to one upstream, and back."""

import queue
from collections.abc import Iterator
from dataclasses import dataclass

from azureturn.core import (
    AskClaimant,
    CallerLeft,
    Dispatch,
    FirstByteSent,
    Refuse,
    Request,
    RequestAction,
    RequestAnswered,
    RequestArrived,
    RequestFailed,
)
from azureturn.daemon._answers import CallerAnswer, identity_headers
from azureturn.daemon._claimants import ask_claimant, settle_call
from azureturn.daemon._outcomes import answered_outcome, unknown_outcome
from azureturn.daemon._runtime import next_action, now_ms
from azureturn.daemon._services import Services
from azureturn.errors import (
    AzureturnError,
    ErrorKind,
    RefusedError,
    RunState,
    UpstreamError,
)
from azureturn.observability import LogEvent
from azureturn.settings import UpstreamKind
from azureturn.upstreams import (
    EventRelay,
    StreamedAnswer,
    UpstreamRequest,
    WholeAnswer,
    error_event,
    usage_of_whole,
)

#: How long after a request's deadline the core may still speak before that is an error.
DEADLINE_GRACE_MS = 2_000
#: Headers of an upstream's answer that are passed on.
_PASSED_HEADERS = ("Content-Type", "X-Model-Version")


@dataclass(frozen=True)
class OutgoingRequest:
    """A checked request together with the bytes that the upstream is to get."""

    request: Request
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    streamed: bool


class RequestFlow:
    """Serves one request on the caller's thread."""

    def __init__(self, services: Services, outgoing: OutgoingRequest) -> None:
        self._services = services
        self._outgoing = outgoing
        self._request = outgoing.request
        self._upstream = ""
        self._claim_nonce = ""

    @property
    def upstream(self) -> str:
        """Return the name of the upstream that was dispatched to, or an empty string."""
        return self._upstream

    def serve(self) -> CallerAnswer:
        """Return the answer, or raise the error that the caller is to be told."""
        request_id = self._request.request_id
        mailbox = self._services.runtime.open_mailbox(request_id)
        try:
            self._services.runtime.submit(RequestArrived(self._request))
            answer = self._follow(mailbox)
        except AzureturnError as error:
            self._services.runtime.close_mailbox(request_id)
            self._account(error.kind.value)
            raise
        if isinstance(answer.body, bytes):
            self._services.runtime.close_mailbox(request_id)
            self._account("answered")
        return answer

    def _follow(self, mailbox: "queue.SimpleQueue[RequestAction]") -> CallerAnswer:
        wait_ms = self._request.deadline_ms - now_ms() + DEADLINE_GRACE_MS
        action = next_action(mailbox, self._request.request_id, wait_ms=wait_ms)
        while isinstance(action, AskClaimant):
            answer = ask_claimant(self._services, self._request, action)
            if answer is not None:
                return answer
            # The holder gave its word never to run the call: the claim may be replaced.
            self._request = self._request.with_released_nonce(action.claim.nonce)
            self._services.runtime.submit(RequestArrived(self._request))
            action = next_action(mailbox, self._request.request_id, wait_ms=wait_ms)
        if isinstance(action, Dispatch):
            return self._dispatch(action)
        assert isinstance(action, Refuse)
        raise RefusedError(
            action.kind, run_state=action.run_state, retry_after_ms=action.retry_after_ms
        )

    def _dispatch(self, action: Dispatch) -> CallerAnswer:
        self._upstream = action.upstream
        self._claim_nonce = action.claim_nonce
        try:
            answer = self._send(action.upstream)
            if self._outgoing.streamed and answer.status == 200:
                return self._streamed_answer(answer)
            whole = answer.read_whole()
        except UpstreamError as error:
            self._failed(error)
            if not self._request.idempotent:
                self._settle_failed(error)
            raise
        return self._whole_answer(whole)

    def _send(self, upstream: str) -> StreamedAnswer:
        request = self._request
        self._services.runtime.submit(FirstByteSent(request.request_id))
        limits = self._services.settings.daemon
        left_ms = max(1, request.deadline_ms - now_ms())
        silence_ms = limits.silence_timeout_ms if self._outgoing.streamed else left_ms
        sent = UpstreamRequest(
            method=self._outgoing.method,
            path=self._outgoing.path,
            headers=self._outgoing.headers,
            body=self._outgoing.body,
            request_id=request.request_id,
            connect_timeout_ms=limits.connect_timeout_ms,
            read_timeout_ms=min(left_ms, silence_ms),
            fresh_connection=not request.idempotent,
        )
        return self._services.upstream_client(upstream).send(sent)

    def _whole_answer(self, whole: WholeAnswer) -> CallerAnswer:
        request = self._request
        if request.kind is UpstreamKind.MODEL_ENGINE and whole.status != 200:
            error = UpstreamError(ErrorKind.UPSTREAM_FAILED, f"status {whole.status}")
            self._failed(error)
            raise error
        usage = usage_of_whole(whole.body)
        answered = RequestAnswered(
            request.request_id,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            output_tokens=usage.output_tokens,
            status=whole.status,
        )
        self._services.runtime.submit(answered)
        headers = self._passed_headers(whole.headers)
        if not request.idempotent:
            outcome = answered_outcome(whole.status, headers, whole.body, upstream=self._upstream)
            settle_call(self._services, self._claim_nonce, outcome)
        return CallerAnswer(whole.status, self._with_identity(headers), whole.body)

    def _streamed_answer(self, answer: StreamedAnswer) -> CallerAnswer:
        headers = self._with_identity(self._passed_headers(answer.headers))
        return CallerAnswer(answer.status, headers, self._relay(answer))

    def _relay(self, answer: StreamedAnswer) -> Iterator[bytes]:
        request_id = self._request.request_id
        relay = EventRelay()
        ended = "answered"
        try:
            yield from relay.relay(answer.pieces())
            answer.release()
            usage = relay.usage
            answered = RequestAnswered(
                request_id, usage.prompt_tokens, usage.cached_tokens, usage.output_tokens
            )
            self._services.runtime.submit(answered)
        except UpstreamError as error:
            answer.close()
            ended = error.kind.value
            self._failed(error)
            yield error_event(error, request_id)
        except GeneratorExit:
            answer.close()
            ended = ErrorKind.CALLER_GONE.value
            self._services.runtime.submit(CallerLeft(request_id))
            raise
        finally:
            self._services.runtime.close_mailbox(request_id)
            self._account(ended)

    def _failed(self, error: UpstreamError) -> None:
        failed = RequestFailed(self._request.request_id, error.kind, error.run_state)
        self._services.runtime.submit(failed)

    def _settle_failed(self, error: UpstreamError) -> None:
        # Where nothing was sent, the core has given the claim up already.
        if error.run_state is not RunState.NOT_RUN:
            settle_call(self._services, self._claim_nonce, unknown_outcome())
            error.kind = ErrorKind.OUTCOME_UNKNOWN
            error.run_state = RunState.UNKNOWN

    def _passed_headers(self, headers: dict[str, str]) -> dict[str, str]:
        return {name: headers[name] for name in _PASSED_HEADERS if name in headers}

    def _with_identity(self, headers: dict[str, str]) -> dict[str, str]:
        identity = identity_headers(
            request_id=self._request.request_id,
            vm=self._services.settings.vm.name,
            upstream=self._upstream,
        )
        return {**headers, **identity}

    def _account(self, ended: str) -> None:
        took_ms = now_ms() - self._request.arrived_at_ms
        self._services.metrics.incr(f"requests.{self._request.route}.{ended}")
        self._services.metrics.timing(f"requests.{self._request.route}.time_ms", took_ms)
        self._services.log.info(
            LogEvent.REQUEST_ENDED,
            request_id=self._request.request_id,
            organisation=self._request.organisation,
            route=self._request.route,
            upstream=self._upstream,
            ended=ended,
            took_ms=took_ms,
        )
