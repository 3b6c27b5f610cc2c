"""What is told of a request, in the log and by metrics."""

from dataclasses import dataclass

from azureturn.gateway.decisions import AttemptResult, GatewayRequest, SendAttempt
from azureturn.gateway.exchange._services import ExchangeServices
from azureturn.gateway.exchange._stream_progress import StreamProgress
from azureturn.observability import LogEvent, Metric
from azureturn.serving import now_ms


@dataclass(frozen=True)
class ExchangeEnd:
    """How a request ended."""

    #: ``answered``, an error kind, or why the answer was broken off.
    outcome: str
    #: The error kind of a refusal; empty for other ends.
    refused_kind: str
    #: What decided a refusal.
    detail: str
    #: The last upstream that had it; empty for none.
    upstream: str
    attempts: int


class ExchangeAccount:
    """Tells of one request's placements, attempts and end."""

    def __init__(self, services: ExchangeServices, request_id: str, started_at_ms: int) -> None:
        self._services = services
        self._request_id = request_id
        self._started_at_ms = started_at_ms

    def tell_placed(self, request: GatewayRequest, action: SendAttempt) -> None:
        """Tell where a request goes, and what decided it."""
        reason = action.reason
        self._services.log.info(
            LogEvent.ATTEMPT_PLACED,
            request_id=request.request_id,
            organisation=request.organisation,
            units=request.allotment_units,
            upstream=action.upstream.name,
            candidates=reason.candidates,
            expected_ms=reason.expected_ms,
            outstanding=reason.outstanding,
            queued_ms=reason.queued_ms,
            report_age_ms=reason.report_age_ms,
        )
        queued_ms = reason.queued_ms
        self._services.metrics.time(Metric.QUEUE_TIME, queued_ms, service=request.service)

    def tell_attempt(
        self,
        request: GatewayRequest,
        action: SendAttempt,
        result: AttemptResult,
        progress: StreamProgress,
        *,
        took_ms: int,
        detail: str,
    ) -> None:
        """Tell what an attempt brought."""
        first_event_ms = progress.first_at_ms - self._started_at_ms if progress.events else -1
        self._services.log.info(
            LogEvent.ATTEMPT_ENDED,
            request_id=request.request_id,
            upstream=action.upstream.name,
            result=result.value,
            first_event_ms=first_event_ms,
            events=progress.events,
            longest_pause_ms=progress.longest_pause_ms,
            took_ms=took_ms,
            error=detail,
        )
        service = request.service
        metrics = self._services.metrics
        metrics.count(Metric.ATTEMPTS_ENDED, service=service, result=result.value)
        if progress.events:
            metrics.time(Metric.FIRST_EVENT_TIME, first_event_ms, service=service)
            metrics.time(Metric.LONGEST_PAUSE_TIME, progress.longest_pause_ms, service=service)

    def tell_end(self, request: GatewayRequest | None, end: ExchangeEnd) -> None:
        """Tell how the request ended; None stands for one that was not understood."""
        patience_ms = None if request is None else request.patience_ms
        took_ms = now_ms() - self._started_at_ms
        configuration = self._services.view().configuration
        self._services.log.info(
            LogEvent.EXCHANGE_ENDED,
            request_id=self._request_id,
            organisation=request.organisation if request else "",
            route=request.route.name if request else "",
            rank=request.urgency_rank if request else -1,
            units=request.allotment_units if request else 0,
            patience_ms=-1 if patience_ms is None else patience_ms,
            upstream=end.upstream,
            ended=end.outcome,
            attempts=end.attempts,
            configuration=configuration.version if configuration else 0,
            error=end.detail,
            took_ms=took_ms,
        )
        metrics = self._services.metrics
        route = request.route.name if request else "none"
        metrics.count(Metric.REQUESTS_ENDED, route=route, ended=end.outcome)
        metrics.time(Metric.REQUEST_TIME, took_ms, route=route)
        if end.refused_kind:
            metrics.count(Metric.REQUESTS_REFUSED, kind=end.refused_kind)
