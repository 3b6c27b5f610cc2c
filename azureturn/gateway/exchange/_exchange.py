"""Serves one request: reads it, makes attempts at upstreams, and relays the response."""

import json
from functools import partial

from azureturn.errors import (
    DEFAULT_RETRY_AFTER_MS,
    ERROR_RESPONSES,
    STOPPING_RETRY_AFTER_MS,
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
    NOT_RUN_RESULTS,
    AttemptEnded,
    AttemptResult,
    AvailabilityStated,
    FirstEventReceived,
    GatewayRequest,
    Relay,
    RequestClosed,
    RequestReceived,
    SendAttempt,
)
from azureturn.gateway.exchange._attempt import (
    Attempt,
    AttemptWithheldError,
    ResponseHead,
    UpstreamRequest,
)
from azureturn.gateway.exchange._body_budget import BodyReservation
from azureturn.gateway.exchange._caller import CallerChannel
from azureturn.gateway.exchange._exchange_reporter import ExchangeReporter, ExchangeResult
from azureturn.gateway.exchange._request_body import RequestBody
from azureturn.gateway.exchange._response_deadline import StallDeadline
from azureturn.gateway.exchange._response_progress import ResponseProgress
from azureturn.gateway.exchange._room_reporter import RoomReporter
from azureturn.gateway.exchange._routing import LEAST_URGENT_RANK, route_request
from azureturn.gateway.exchange._services import ExchangeServices
from azureturn.gateway.exchange._stream_relay import StreamRelay
from azureturn.gateway.exchange._take_over import TakeOver
from azureturn.gateway.site import (
    AttemptHeaders,
    RegisteredUpstream,
    RequestFacts,
    RequestKind,
    SiteConfiguration,
    StatedAvailability,
)
from azureturn.serving import CallerConnectionError, next_action, now_ms
from azureturn.tasks import Mailbox, Priority, current_task

#: How long to wait for an action of the core beyond the request's time limit; after that, its
#: absence is an error.
_CORE_ACTION_GRACE_MS = 1_000
#: How long the body of a rejection may take; after that its connection is closed.
_DISCARD_TIMEOUT_MS = 200
#: HTTP status by which an upstream refuses a request that is meant for another upstream.
_MISDIRECTED_REQUEST = 421


class ExchangeAbortedError(Exception):
    """The caller's connection must be closed, since no valid end of the response can be sent.

    Raised when a response that has been started cannot be completed, or when the caller has
    disconnected.
    """


class Exchange:
    """Serves one request, in a task of its own."""

    def __init__(self, services: ExchangeServices, caller: CallerChannel) -> None:
        self._services = services
        self._caller = caller
        self._request: GatewayRequest | None = None
        #: Attempts that an upstream has executed, as far as it is known.
        self._runs = 0
        self._attempt: Attempt | None = None
        self._caller_disconnected = False
        self._stream_relay = StreamRelay(None)
        #: Response of the latest attempt to which the upstream responded with a server error.
        self._failure_response: tuple[ResponseHead, bytes] | None = None
        self._failure_reservation = BodyReservation(services.pool.body_budget)
        self._attempt_count = 0
        self._arrived_at_ms = caller.arrived_at_ms
        self._task = current_task()
        request_id = caller.header_values.get("x-request-id", "")
        self._reporter = ExchangeReporter(services, request_id, self._arrived_at_ms)
        self._room_reporter = RoomReporter(services.log, services.metrics, request_id)
        self._body = RequestBody(services, caller, self._room_reporter)
        self._outcome = "internal"
        self._upstream = ""
        #: The error kind of a refusal; empty otherwise.
        self._refused_kind = ""
        #: Why the request was refused.
        self._detail = ""

    def serve(self) -> None:
        """Respond to the request.

        Raises :class:`ExchangeAbortedError` if the caller's connection must be closed.
        """
        try:
            self._serve_or_refuse()
        except CallerConnectionError as error:
            self._detail = str(error)
            self._abort_for_disconnected_caller()
        finally:
            # The relay refers to this exchange, so that the last part would stay in memory until
            # the next garbage collection.
            self._stream_relay = StreamRelay(None)
            self._failure_reservation.release()
            self._body.release_room()
            result = ExchangeResult(
                self._outcome, self._refused_kind, self._detail, self._upstream, self._attempt_count
            )
            self._reporter.report_result(self._request, result)

    def _serve_or_refuse(self) -> None:
        try:
            self._serve()
        except AzureturnError as error:
            if self._caller.response_started:
                # A refusal would become part of the response.
                self._outcome, self._detail = "cut", error.message
                raise ExchangeAbortedError(error.kind.value) from error
            self._refuse(error)

    def _serve(self) -> None:
        view = self._services.view()
        configuration = view.configuration
        self._body.read(configuration)
        if configuration is None:
            raise RefusedError(ErrorKind.CONFIGURATION_UNKNOWN)
        try:
            facts = self._services.dialect.decode_request_headers(self._caller.header_values)
        except ValueError as error:
            raise CallerError(ErrorKind.BAD_HEADER, str(error)) from error
        request = self._route(facts, configuration)
        if not self._fits_before_stop(request):
            raise RefusedError(ErrorKind.STOPPING, retry_after_ms=STOPPING_RETRY_AFTER_MS)
        self._request = request
        self._caller.set_time_limit(request.ends_at_ms - now_ms())
        self._stream_relay = StreamRelay(facts.last_event_number)
        runtime = self._services.runtime
        mailbox = runtime.open_mailbox(request.request_id)
        watch = self._services.caller_watch.watch(self._caller.socket, self._on_caller_disconnected)
        try:
            if self._caller_disconnected:
                self._abort_for_disconnected_caller()
            runtime.submit(RequestReceived(request))
            self._body.yield_while_waiting(partial(self._on_room_reclaimed, request.request_id))
            self._run_actions(request, mailbox)
        finally:
            self._services.caller_watch.unwatch(watch)
            runtime.submit(RequestClosed(request.request_id))
            runtime.close_mailbox(request.request_id)

    def _on_room_reclaimed(self, request_id: str) -> None:
        """Refuse the request, which has not been sent; called from another task."""
        refusal = Refuse(request_id, ErrorKind.SHED, 0, RunState.NOT_RUN)
        self._services.runtime.deliver(refusal)

    def _route(self, facts: RequestFacts, configuration: SiteConfiguration) -> GatewayRequest:
        """Return the routed request.

        A configuration that may be outdated does not show that a route or an organisation is
        unknown.
        """
        try:
            return route_request(
                facts,
                self._caller,
                configuration,
                self._services.runtime,
                body=self._body.data,
                arrived_at_ms=self._arrived_at_ms,
            )
        except CallerError as error:
            age_ms = self._services.configuration_age_ms()
            if age_ms <= self._services.settings().bounds.contact_ms:
                raise
            detail = f"{error.kind.value} by a configuration last confirmed {age_ms} ms ago"
            raise RefusedError(ErrorKind.CONFIGURATION_OUTDATED, detail) from error

    def _fits_before_stop(self, request: GatewayRequest) -> bool:
        """Return whether the request is answered, or over its time limit, before a stop ends.

        How long an answer takes is not known before: an estimate would let a request be cut.
        """
        time_left_ms = self._services.time_left_ms()
        return time_left_ms is None or time_left_ms > request.ends_at_ms - now_ms()

    def _run_actions(self, request: GatewayRequest, mailbox: Mailbox[RequestAction]) -> None:
        """Carry out the core's actions for the request until it has been answered."""
        take_over = TakeOver(
            self._services,
            request,
            self._reporter,
            new_attempt=partial(self._new_attempt, request.request_id),
            may_leave=lambda: self._can_try_another_upstream(request),
            ended=partial(self._ended, request, AttemptResult.SILENT),
        )
        try:
            self._follow_actions(request, mailbox, take_over)
        finally:
            take_over.close()

    def _follow_actions(
        self, request: GatewayRequest, mailbox: Mailbox[RequestAction], take_over: TakeOver
    ) -> None:
        while True:
            wait_ms = max(1, request.ends_at_ms - now_ms()) + _CORE_ACTION_GRACE_MS
            action = next_action(mailbox, request.request_id, wait_ms=wait_ms)
            if self._has_caller_left():
                self._abort_for_disconnected_caller()
                return
            if self._body.is_released and not self._attempt_count:
                detail = "a more urgent request needed the room of the body"
                raise RefusedError(ErrorKind.SHED, detail, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
            if isinstance(action, AwaitPlacement):
                continue
            if isinstance(action, SendAttempt) and not self._body.is_released:
                if self._make_attempt(request, action, take_over):
                    return
                continue
            self._respond_without_success(action)
            return

    def _respond_without_success(self, action: RequestAction) -> None:
        """Respond to a request that no upstream answered successfully."""
        if self._caller.response_started:
            self._outcome = "cut"
            raise ExchangeAbortedError(type(action).__name__)
        if isinstance(action, Refuse):
            self._detail = action.detail
            raise RefusedError(
                action.kind, run_state=action.run_state, retry_after_ms=action.retry_after_ms
            )
        if self._failure_response is not None:
            head, body = self._failure_response
            self._outcome = "upstream_failed"
            self._send_response(head, body, self._failure_reservation)
            return
        raise UpstreamError(ErrorKind.UPSTREAM_SILENT, getattr(action, "reason", ""))

    def _make_attempt(
        self, request: GatewayRequest, action: SendAttempt, take_over: TakeOver
    ) -> bool:
        """Make one attempt; return whether the exchange is finished."""
        self._attempt_count += 1
        self._body.keep()
        self._upstream = action.upstream.name
        self._reporter.report_placement(request, action)
        progress = ResponseProgress()
        attempt = take_over.begin_attempt(action.upstream, action.relay, progress)
        self._attempt = attempt
        attempt_started_at_ms = now_ms()
        detail = ""
        try:
            result = self._run_attempt(request, action, attempt, progress, take_over)
        except AttemptWithheldError:
            result = AttemptResult.WITHHELD
        except UpstreamUnreachableError as error:
            result, detail = AttemptResult.UNREACHABLE, error.message
        except CallerConnectionError as error:
            # The upstream is not at fault, and no other one could bring what the caller misses.
            self._caller_disconnected = True
            result, detail = AttemptResult.ABANDONED, str(error)
        except TimeoutError:
            result = AttemptResult.SILENT
        except UpstreamError as error:
            result, detail = AttemptResult.BROKEN, f"{error.kind.value}: {error.message}"
        finally:
            attempt.close()
        self._caller.end.end_run(may_have_run=result not in NOT_RUN_RESULTS)
        if self._caller_disconnected:
            result = AttemptResult.ABANDONED
        elif now_ms() >= request.ends_at_ms and result is not AttemptResult.ANSWERED:
            detail = f"time limit exceeded; {result.value} {detail}"
            result = AttemptResult.ABANDONED
        self._reporter.report_attempt(
            request,
            action,
            result,
            progress,
            took_ms=now_ms() - attempt_started_at_ms,
            detail=detail,
        )
        if not take_over.has_happened:
            self._services.runtime.submit(self._ended(request, result, progress))
        if result is AttemptResult.ABANDONED:
            self._raise_for_abandoned_attempt()
            return True
        return result is AttemptResult.ANSWERED

    def _new_attempt(
        self, request_id: str, upstream: RegisteredUpstream, relay: Relay | None
    ) -> Attempt:
        services = self._services
        asked_at_ms = now_ms()

        def report_availability(availability: StatedAvailability) -> None:
            relay_vm = relay.vm if relay else ""
            services.runtime.submit(
                AvailabilityStated(upstream.run, availability, relay_vm, asked_at_ms)
            )

        return Attempt(
            upstream,
            services.pool,
            services.connector,
            services.dialect,
            relay_host=relay.host if relay else "",
            report_availability=report_availability,
            may_send=lambda: (
                not self._has_caller_left()
                and services.may_send(upstream, request_id)
                and self._caller.end.begin_run()
            ),
        )

    def _run_attempt(
        self,
        request: GatewayRequest,
        action: SendAttempt,
        attempt: Attempt,
        progress: ResponseProgress,
        take_over: TakeOver,
    ) -> AttemptResult:
        attempt.send(
            self._upstream_request(request, action),
            unrepeatable=not request.may_repeat,
            ends_at_ms=request.ends_at_ms,
        )
        if self._caller_disconnected:
            return AttemptResult.ABANDONED
        head = attempt.read_head(deadline=take_over.head_deadline())
        progress.record_head(head.framing, now_ms(), head.facts)
        if head.facts.not_executed or head.status == _MISDIRECTED_REQUEST:
            discard_until_ms = min(request.ends_at_ms, now_ms() + _DISCARD_TIMEOUT_MS)
            attempt.discard_body(ends_at_ms=discard_until_ms)
            return AttemptResult.REJECTED
        self._runs += 1
        self._give_up_body_if_possible(request)
        if head.status < 300 and not head.facts.is_sealed:
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED, "successful response without a seal")
        if request.route.kind is RequestKind.STREAM and head.status == 200:
            self._relay_stream(request, attempt, head, progress, take_over.event_deadline())
            return AttemptResult.ANSWERED
        body = attempt.read_body(ends_at_ms=request.ends_at_ms)
        if head.failed:
            self._failure_reservation.release()
            self._failure_reservation = attempt.take_reservation()
            self._failure_response = (head, body)
            return AttemptResult.FAILED
        if self._caller.response_started:
            message = f"status {head.status} in place of the rest of a stream"
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED, message)
        self._outcome = "answered"
        reservation = attempt.take_reservation()
        try:
            self._send_response(head, body, reservation)
        finally:
            reservation.release()
        return AttemptResult.ANSWERED

    def _relay_stream(
        self,
        request: GatewayRequest,
        attempt: Attempt,
        head: ResponseHead,
        progress: ResponseProgress,
        deadline: StallDeadline,
    ) -> None:
        def write(data: bytes) -> None:
            self._start_stream(head)
            self._caller.write(data)

        relay = self._stream_relay
        relay.begin_attempt(progress, write)
        for part in attempt.iter_body(deadline):
            event_count = progress.event_count
            relay.feed(part)
            attempt.count_buffered(progress.partial_event_bytes)
            if progress.event_count == event_count:
                # Only whole events count, so that an upstream which sends a byte now and then is
                # left.
                continue
            deadline.restart()
            if not event_count:
                self._services.runtime.submit(
                    FirstEventReceived(request.request_id, progress.limits)
                )
        relay.finish()
        self._outcome = "answered"

    def _start_stream(self, head: ResponseHead) -> None:
        if not self._caller.response_started:
            self._caller.start_stream(
                head.status, head.reason, head.headers, close=self._services.closes_connections()
            )

    def _give_up_body_if_possible(self, request: GatewayRequest) -> None:
        """Drop the body if an upstream has it and no further attempt is possible.

        While one is possible, the body is kept, but a more urgent request may take its room. Then
        no further attempt is made.
        """
        if not self._body.takes_room:
            return
        if not request.may_repeat or self._runs >= request.route.attempts:
            self._body.release()
        else:
            self._body.yield_while_kept()

    def _send_response(self, head: ResponseHead, body: bytes, reservation: BodyReservation) -> None:
        """Send a response whose room another connection may take if the caller reads too slowly."""

        def reclaim(held_bytes: int) -> None:
            self._room_reporter.report_reclaimed("responding", reservation, held_bytes)
            self._caller.reset()

        if reservation.counted_bytes:
            reservation.rank = self._request.urgency_rank if self._request else LEAST_URGENT_RANK
            reservation.allow_reclaim(reclaim, is_moving=True)
        self._caller.send_response(
            head.status,
            head.reason,
            head.headers,
            body,
            close=self._services.closes_connections(),
            on_progress=reservation.record_progress,
        )

    def _upstream_request(self, request: GatewayRequest, action: SendAttempt) -> UpstreamRequest:
        attempt = AttemptHeaders(
            upstream=action.upstream.name,
            organisation=request.organisation,
            time_left_ms=max(1, request.ends_at_ms - now_ms()),
            last_event_number=self._stream_relay.last_event_number,
        )
        headers = self._services.dialect.encode_attempt_headers(list(self._caller.headers), attempt)
        return UpstreamRequest(
            method=self._caller.method,
            target=self._caller.target,
            headers=tuple(headers),
            body=self._body.data,
            request_id=request.request_id,
        )

    def _ended(
        self, request: GatewayRequest, result: AttemptResult, progress: ResponseProgress
    ) -> AttemptEnded:
        return AttemptEnded(
            request.request_id,
            result,
            progress.event_count,
            progress.streamed_ms,
            self._stream_relay.is_resumable,
            progress.answering_ms(now_ms()),
            progress.limits,
            progress.pace_ms,
        )

    def _can_try_another_upstream(self, request: GatewayRequest) -> bool:
        may_continue = (
            request.may_repeat and not self._body.is_released and self._stream_relay.is_resumable
        )
        if self._caller_disconnected:
            return False
        return may_continue and self._attempt_count < request.route.attempts

    def _has_caller_left(self) -> bool:
        """Return whether the caller has disconnected, even if that was not reported yet."""
        if not self._caller_disconnected and self._caller.has_disconnected():
            self._caller_disconnected = True
        return self._caller_disconnected

    def _on_caller_disconnected(self) -> None:
        """Abort the exchange; called while callers' sockets are watched, so it must not wait."""
        self._caller_disconnected = True
        if self._task is not None:
            # What is still done for the caller ends before other requests go on.
            self._task.priority = Priority.CONTROL
        if self._attempt is not None:
            self._attempt.abort()
        if self._request is not None:
            refusal = Refuse(self._request.request_id, ErrorKind.CALLER_GONE, 0, RunState.UNKNOWN)
            self._services.runtime.deliver(refusal)

    def _raise_for_abandoned_attempt(self) -> None:
        if self._caller_disconnected:
            self._abort_for_disconnected_caller()
        if self._caller.response_started:
            self._outcome = "time_limit"
            raise ExchangeAbortedError("time limit exceeded")
        raise UpstreamError(ErrorKind.UPSTREAM_SILENT, "time limit exceeded")

    def _abort_for_disconnected_caller(self) -> None:
        is_stopping = self._caller.end.is_ended_by_stop
        self._outcome = (ErrorKind.STOPPING if is_stopping else ErrorKind.CALLER_GONE).value
        raise ExchangeAbortedError(self._outcome)

    def _refuse(self, error: AzureturnError) -> None:
        self._outcome = self._refused_kind = error.kind.value
        answer = ERROR_RESPONSES[error.kind]
        request_id = self._caller.header_values.get("x-request-id", "")
        retry_after_ms = error.retry_after_ms if answer.retryable else None
        headers = [
            *self._services.dialect.encode_refusal_headers(retry_after_ms, request_id),
            ("Content-Type", "application/json"),
        ]
        body = json.dumps({"error": error.kind.value, "message": answer.summary}).encode()
        close = self._services.closes_connections()
        self._caller.send_response(answer.status, error.kind.value, headers, body, close=close)
