"""Log lines and metrics of one exchange."""

from dataclasses import dataclass

from azureturn.gateway.decisions import AttemptResult, GatewayRequest, SendAttempt
from azureturn.gateway.exchange._response_progress import ResponseProgress
from azureturn.gateway.exchange._services import ExchangeServices
from azureturn.observability import LogEvent, Metric
from azureturn.serving import now_ms


@dataclass(frozen=True)
class ExchangeResult:
    """How an exchange ended."""

    #: ``answered``, an error kind, or why the response was aborted.
    outcome: str
    #: The error kind of a refusal; empty otherwise.
    refused_kind: str
    #: Why the request was refused.
    detail: str
    #: The last upstream that the request was sent to; empty for none.
    upstream: str
    attempts: int


class ExchangeReporter:
    """Logs and counts the placements, attempts and the result of one exchange."""

    def __init__(self, services: ExchangeServices, request_id: str, arrived_at_ms: int) -> None:
        self._services = services
        self._request_id = request_id
        self._arrived_at_ms = arrived_at_ms
        self._unread_ms = now_ms() - arrived_at_ms
        #: The upstream, and whether it was left, of the last stall that was logged.
        self._reported_stall: tuple[str, bool] | None = None

    def report_placement(self, request: GatewayRequest, action: SendAttempt) -> None:
        """Log the upstream that a request is placed on, and the inputs of the decision."""
        reason = action.reason
        self._services.log.info(
            LogEvent.ATTEMPT_PLACED,
            request_id=request.request_id,
            organisation=request.organisation,
            units=request.allotment_units,
            upstream=action.upstream.name,
            relay=action.relay.vm if action.relay else "",
            candidates=reason.candidates,
            expected_ms=reason.expected_ms,
            outstanding=reason.outstanding,
            queued_ms=reason.queued_ms,
            report_age_ms=reason.report_age_ms,
        )
        queued_ms = reason.queued_ms
        self._services.metrics.time(Metric.QUEUE_TIME, queued_ms, service=request.service)

    def report_attempt(
        self,
        request: GatewayRequest,
        action: SendAttempt,
        result: AttemptResult,
        progress: ResponseProgress,
        *,
        took_ms: int,
        detail: str,
    ) -> None:
        """Log and count the result of an attempt."""
        first_event_ms = (
            progress.first_event_at_ms - self._arrived_at_ms if progress.event_count else -1
        )
        answering_ms = progress.answering_ms(now_ms())
        prompt_parts = request.prompt.part_ids if request.prompt else ()
        self._services.log.info(
            LogEvent.ATTEMPT_ENDED,
            request_id=request.request_id,
            upstream=action.upstream.name,
            result=result.value,
            request_digest=request.digest,
            prompt_parts=",".join(prompt_parts),
            answering_ms=-1 if answering_ms is None else answering_ms,
            first_event_ms=first_event_ms,
            events=progress.event_count,
            framing=progress.framing.value if progress.framing else "",
            partial_event_bytes=progress.partial_event_bytes,
            limit_per_s=_number_or_minus_one(progress.limits.requests_per_s),
            rejection_limit_per_s=_number_or_minus_one(progress.limits.rejections_per_s),
            leaving=progress.availability.is_leaving,
            retry_after_ms=_number_or_minus_one(progress.availability.retry_after_ms),
            longest_pause_ms=progress.longest_pause_ms,
            took_ms=took_ms,
            error=detail,
        )
        service = request.service
        metrics = self._services.metrics
        metrics.count(Metric.ATTEMPTS_ENDED, service=service, result=result.value)
        if progress.event_count:
            metrics.time(Metric.FIRST_EVENT_TIME, first_event_ms, service=service)
            metrics.time(Metric.LONGEST_PAUSE_TIME, progress.longest_pause_ms, service=service)

    def report_stall(
        self, request: GatewayRequest, upstream: str, silent_ms: int, is_taken_over: bool
    ) -> None:
        """Log what becomes of an attempt whose upstream is silent; once, or if that changes."""
        if (upstream, is_taken_over) == self._reported_stall:
            return
        self._reported_stall = (upstream, is_taken_over)
        self._services.log.info(
            LogEvent.ATTEMPT_STALLED,
            request_id=request.request_id,
            upstream=upstream,
            silent_ms=silent_ms,
            outcome="taken_over" if is_taken_over else "kept",
        )

    def report_result(self, request: GatewayRequest | None, result: ExchangeResult) -> None:
        """Log and count the result of the exchange; ``request`` is None if it was not routed."""
        caller_timeout_ms = None if request is None else request.caller_timeout_ms
        took_ms = now_ms() - self._arrived_at_ms
        configuration = self._services.view().configuration
        self._services.log.info(
            LogEvent.EXCHANGE_ENDED,
            request_id=self._request_id,
            organisation=request.organisation if request else "",
            route=request.route.name if request else "",
            rank=request.urgency_rank if request else -1,
            units=request.allotment_units if request else 0,
            patience_ms=-1 if caller_timeout_ms is None else caller_timeout_ms,
            upstream=result.upstream,
            ended=result.outcome,
            attempts=result.attempts,
            configuration=configuration.version if configuration else 0,
            error=result.detail,
            unread_ms=self._unread_ms,
            took_ms=took_ms,
        )
        metrics = self._services.metrics
        route = request.route.name if request else "none"
        metrics.count(Metric.REQUESTS_ENDED, route=route, ended=result.outcome)
        metrics.time(Metric.REQUEST_TIME, took_ms, route=route)
        metrics.time(Metric.UNREAD_TIME, self._unread_ms, route=route)
        if result.refused_kind:
            metrics.count(Metric.REQUESTS_REFUSED, kind=result.refused_kind)


def _number_or_minus_one(value: float | None) -> float:
    return -1 if value is None else value
