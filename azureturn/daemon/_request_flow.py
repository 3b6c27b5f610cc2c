"""Processes one request: admission by the core, dispatch to an upstream, and the answer."""

import socket
from collections.abc import Iterator
from dataclasses import dataclass

from azureturn.core import (
    AnswerProgressed,
    CallerDisconnected,
    Dispatch,
    FirstByteSent,
    ForwardToPeer,
    QueryClaimHolder,
    Request,
    RequestAnswered,
    RequestArrived,
    RequestFailed,
)
from azureturn.daemon._answers import CallerAnswer, identity_headers
from azureturn.daemon._context import DaemonContext
from azureturn.daemon._duplicate_calls import query_claim_holder, settle_call
from azureturn.daemon._offers import CallerMessage, OfferAdapter
from azureturn.daemon._outcomes import answered_outcome, unknown_outcome
from azureturn.daemon._relay import StreamedBody, relayed_headers, whole_events
from azureturn.errors import (
    AzureturnError,
    ErrorKind,
    RefusedError,
    RunState,
    UpstreamError,
    UpstreamUnreachableError,
)
from azureturn.framework import AwaitPlacement, Refuse, RequestAction
from azureturn.serving import RequestEnd, next_action, now_ms
from azureturn.settings import UpstreamKind
from azureturn.tasks import Mailbox
from azureturn.upstreams import (
    INCOMPLETE_AT_DEADLINE,
    AnswerAssembler,
    CompleteAnswer,
    ResumingStream,
    StreamedAnswer,
    UpstreamRequest,
    Usage,
    check_answer_id,
    parse_json_or_none,
    parse_usage,
)

#: How long after a request's deadline to wait for the core's action before it is an error.
DEADLINE_GRACE_MS = 2_000
#: In a request, selects the model version; in an answer, names the version that answered.
VERSION_HEADER = "X-Model-Version"
#: Headers of an upstream's answer that are passed on, and the maximum length of each value.
_RELAYED_HEADERS = ("Content-Type", "Content-Encoding", VERSION_HEADER)
_RELAYED_HEADER_LIMIT = 256


@dataclass(frozen=True)
class OutgoingRequest:
    """A validated request with the HTTP message for the upstream."""

    request: Request
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    #: Whether the caller requested a streamed answer.
    streamed: bool
    #: The caller's original message, if the request may be forwarded to another VM.
    message: CallerMessage | None = None


class RequestFlow:
    """Serves one request on the thread of the caller's connection."""

    def __init__(
        self,
        context: DaemonContext,
        outgoing: OutgoingRequest,
        caller: socket.socket | None,
        *,
        offers: OfferAdapter | None = None,
        end: RequestEnd | None = None,
    ) -> None:
        self._context = context
        #: Whether the request may still run, or a planned stop has answered it.
        self._end = end or RequestEnd()
        self._offers = offers
        self._outgoing = outgoing
        self._request = outgoing.request
        self._caller = caller
        self._watched_descriptor = -1
        self._upstream = ""
        self._forwarded_to_vm = ""
        self._claim_nonce = ""
        self._stream: ResumingStream | None = None
        self._caller_disconnected = False
        #: Whether the core queued the request again after its upstream refused the connection.
        self._is_requeued = False

    def serve(self) -> CallerAnswer:
        """Return the answer, or raise the error to be returned to the caller."""
        request_id = self._request.request_id
        mailbox = self._context.runtime.open_mailbox(request_id)
        if self._caller is not None:
            self._watched_descriptor = self._context.caller_watch.watch(
                self._caller, self._on_caller_disconnected
            )
        try:
            self._context.runtime.submit(RequestArrived(self._request))
            answer = self._run_until_answered(mailbox)
        except AzureturnError as error:
            self._record_end(error)
            raise
        except Exception:
            self._record_end(AzureturnError(ErrorKind.INTERNAL))
            raise
        if isinstance(answer.body, bytes):
            self._record_end(None, status=answer.status)
        return answer

    def _run_until_answered(self, mailbox: Mailbox[RequestAction]) -> CallerAnswer:
        while True:
            try:
                return self._handle_next_action(mailbox)
            except UpstreamUnreachableError:
                if not self._is_requeued:
                    raise
                self._end.end_run(may_have_run=False)

    def _handle_next_action(self, mailbox: Mailbox[RequestAction]) -> CallerAnswer:
        self._is_requeued = False
        wait_ms = self._request.deadline_ms - now_ms() + DEADLINE_GRACE_MS
        action = next_action(mailbox, self._request.request_id, wait_ms=wait_ms)
        while isinstance(action, QueryClaimHolder):
            answer = query_claim_holder(self._context, self._request, action)
            if answer is not None:
                return answer
            # The holder guarantees that it will never run the call, so the claim may be replaced.
            self._request = self._request.with_released_nonce(action.claim.nonce)
            self._context.runtime.submit(RequestArrived(self._request))
            action = next_action(mailbox, self._request.request_id, wait_ms=wait_ms)
        if isinstance(action, Dispatch):
            return self._dispatch(action)
        if isinstance(action, ForwardToPeer):
            return self._forward(action)
        assert isinstance(action, Refuse)
        raise RefusedError(
            action.kind, run_state=action.run_state, retry_after_ms=action.retry_after_ms
        )

    def _dispatch(self, action: Dispatch) -> CallerAnswer:
        self._upstream = action.upstream
        self._claim_nonce = action.claim_nonce
        try:
            if self._request.kind is UpstreamKind.MODEL_ENGINE:
                return self._call_engine(action)
            return self._call_service(action)
        except UpstreamError as error:
            self._report_failure(error)
            if not self._request.idempotent:
                self._settle_failed(error)
            elif self._caller_disconnected:
                raise AzureturnError(ErrorKind.CALLER_GONE) from error
            raise
        except Exception as error:
            failure = (
                error if isinstance(error, AzureturnError) else AzureturnError(ErrorKind.INTERNAL)
            )
            self._report_failure(failure)
            if failure.run_state is not RunState.NOT_RUN:
                settle_call(self._context, self._claim_nonce, unknown_outcome())
            raise

    def _forward(self, action: ForwardToPeer) -> CallerAnswer:
        """Forward the request to the VM that accepted it, and relay its answer."""
        assert self._offers is not None and self._outgoing.message is not None
        self._check_may_run()
        answer = self._offers.forward(self._request, self._outgoing.message, action.vm)
        self._forwarded_to_vm = action.vm
        if self._outgoing.streamed and answer.is_event_stream:
            body = StreamedBody(
                whole_events(self._parts_of(answer)),
                self._request.request_id,
                close=answer.close,
                on_end=self._record_end,
            )
            return CallerAnswer(answer.status, relayed_headers(answer), body)
        complete_answer = answer.read_complete(remaining_ms=self._remaining_ms)
        return CallerAnswer(complete_answer.status, relayed_headers(answer), complete_answer.body)

    def _parts_of(self, answer: StreamedAnswer) -> Iterator[bytes]:
        """Yield a forwarded stream; only after the deadline, a silence ends it."""
        silence_timeout_ms = self._context.settings.daemon.silence_timeout_ms
        for part in answer.iter_body():
            yield part
            answer.set_read_timeout(max(self._remaining_ms(), silence_timeout_ms))

    def _call_engine(self, action: Dispatch) -> CallerAnswer:
        silence_timeout_ms = self._context.settings.daemon.silence_timeout_ms
        client = self._context.upstream_client(self._upstream)
        request = self._upstream_request(
            action, read_timeout_ms=min(self._remaining_ms(), silence_timeout_ms)
        )
        stream = ResumingStream(
            client,
            request,
            remaining_ms=self._remaining_ms,
            on_first_event=self._report_first_token,
        )
        self._stream = stream
        if self._caller_disconnected:
            stream.abort()
        answer = stream.open()
        if answer.status != 200:
            answer.close()
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, f"status {answer.status}")
        if not answer.is_event_stream:
            return self._engine_answer(answer.read_complete(remaining_ms=self._remaining_ms))
        headers = self._relayed_headers(answer.headers)
        if self._outgoing.streamed:
            body = StreamedBody(
                stream.blocks(),
                self._request.request_id,
                close=stream.close,
                on_end=self._on_stream_end,
            )
            return CallerAnswer(200, self._with_identity_headers(headers), body)
        return self._assembled_answer(stream, headers)

    def _engine_answer(self, complete_answer: CompleteAnswer) -> CallerAnswer:
        document = parse_json_or_none(complete_answer.body)
        if not isinstance(document, dict):
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the answer is not a JSON object")
        check_answer_id(document.get("id"), self._request.request_id)
        return self._complete_answer(complete_answer, parse_usage(complete_answer.body))

    def _assembled_answer(self, stream: ResumingStream, headers: dict[str, str]) -> CallerAnswer:
        assembler = AnswerAssembler()
        for number, block in enumerate(stream.blocks()):
            if number == 0:
                self._report_first_token()
            assembler.add(block)
            remaining_ms = self._remaining_ms()
            if remaining_ms <= 0:
                stream.close()
                raise UpstreamError(ErrorKind.UPSTREAM_SILENT, INCOMPLETE_AT_DEADLINE)
            if remaining_ms < self._context.settings.daemon.silence_timeout_ms:
                stream.set_read_timeout(remaining_ms)
        headers = {**headers, "Content-Type": "application/json"}
        return self._complete_answer(CompleteAnswer(200, headers, assembler.body()), stream.usage)

    def _call_service(self, action: Dispatch) -> CallerAnswer:
        client = self._context.upstream_client(self._upstream)
        answer = client.send(self._upstream_request(action, read_timeout_ms=self._remaining_ms()))
        return self._complete_answer(answer.read_complete(remaining_ms=self._remaining_ms), Usage())

    def _upstream_request(self, action: Dispatch, *, read_timeout_ms: int) -> UpstreamRequest:
        self._check_may_run()
        self._context.runtime.submit(FirstByteSent(self._request.request_id))
        return UpstreamRequest(
            method=self._outgoing.method,
            path=self._outgoing.path,
            headers=self._upstream_headers(action),
            body=self._outgoing.body,
            request_id=self._request.request_id,
            connect_timeout_ms=self._context.settings.daemon.connect_timeout_ms,
            read_timeout_ms=max(1, read_timeout_ms),
        )

    def _check_may_run(self) -> None:
        """Raise :class:`RefusedError` if a planned stop has told the caller that it does not."""
        if not self._end.begin_run():
            raise RefusedError(ErrorKind.STOPPING)

    def _upstream_headers(self, action: Dispatch) -> dict[str, str]:
        if not action.version:
            return self._outgoing.headers
        return {**self._outgoing.headers, VERSION_HEADER: action.version}

    def _remaining_ms(self) -> int:
        return self._request.deadline_ms - now_ms()

    def _complete_answer(self, complete_answer: CompleteAnswer, usage: Usage) -> CallerAnswer:
        request = self._request
        self._report_answered(usage, status=complete_answer.status)
        headers = self._relayed_headers(complete_answer.headers)
        if not request.idempotent:
            outcome = answered_outcome(
                complete_answer.status, headers, complete_answer.body, upstream=self._upstream
            )
            settle_call(self._context, self._claim_nonce, outcome)
        return CallerAnswer(
            complete_answer.status, self._with_identity_headers(headers), complete_answer.body
        )

    def _report_first_token(self) -> None:
        self._context.runtime.submit(AnswerProgressed(self._request.request_id, 1))

    def _report_answered(self, usage: Usage, *, status: int = 200) -> None:
        event = RequestAnswered(
            self._request.request_id,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            output_tokens=usage.output_tokens,
            status=status,
        )
        self._context.runtime.submit(event)

    def _on_stream_end(self, error: AzureturnError | None) -> None:
        """Report the end of a stream, which is complete if ``error`` is None."""
        assert self._stream is not None
        if error is not None and self._caller_disconnected:
            error = AzureturnError(ErrorKind.CALLER_GONE)
        if error is None:
            self._report_answered(self._stream.usage)
        elif error.kind is ErrorKind.CALLER_GONE:
            self._context.runtime.submit(CallerDisconnected(self._request.request_id))
        else:
            self._report_failure(error)
        # Streamed answers are not stored, so a duplicate of a call that was answered with a stream
        # is told that the outcome is unknown.
        settle_call(self._context, self._claim_nonce, unknown_outcome())
        self._record_end(error)

    def _on_caller_disconnected(self) -> None:
        """Abort the answer if the request is idempotent; other requests run to completion."""
        self._caller_disconnected = True
        self._context.runtime.submit(CallerDisconnected(self._request.request_id))
        if self._request.idempotent and self._stream is not None:
            self._stream.abort()

    def _report_failure(self, error: AzureturnError) -> None:
        """Report a failure to the core, and cancel the request at the engine if it may run."""
        event = RequestFailed(self._request.request_id, error.kind, error.run_state)
        actions = self._context.runtime.submit(event)
        self._is_requeued = any(isinstance(action, AwaitPlacement) for action in actions)
        if error.run_state is RunState.UNKNOWN:
            self._context.cancel_at_engine(self._upstream, self._request.request_id)

    def _settle_failed(self, error: UpstreamError) -> None:
        # If nothing was sent, the core has already abandoned the claim.
        if error.run_state is not RunState.NOT_RUN:
            settle_call(self._context, self._claim_nonce, unknown_outcome())
            error.kind = ErrorKind.OUTCOME_UNKNOWN
            error.run_state = RunState.UNKNOWN

    def _relayed_headers(self, headers: dict[str, str]) -> dict[str, str]:
        # A folded header contains line breaks, which must not be copied to the caller's headers.
        return {
            name: " ".join(headers[name].split())[:_RELAYED_HEADER_LIMIT]
            for name in _RELAYED_HEADERS
            if name in headers
        }

    def _with_identity_headers(self, headers: dict[str, str]) -> dict[str, str]:
        identity = identity_headers(
            request_id=self._request.request_id,
            vm=self._context.settings.vm.name,
            upstream=self._upstream,
        )
        return {**headers, **identity}

    def _record_end(self, error: AzureturnError | None, *, status: int = 200) -> None:
        if self._caller is not None:
            self._context.caller_watch.unwatch(self._watched_descriptor)
        self._context.runtime.close_mailbox(self._request.request_id)
        self._context.accounting.request_ended(
            self._request,
            upstream=self._upstream,
            error=error,
            status=status,
            forwarded_to_vm=self._forwarded_to_vm,
        )
