"""Admits requests to the queue and drops those that cannot be answered by their deadline."""

from itertools import islice

from azureturn.core._configuration import Configuration, ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import (
    CallerDisconnected,
    ConfigurationActivated,
    PlacementDue,
    RequestArrived,
    RequestDropped,
    RequestEnded,
    RequestRequeued,
)
from azureturn.core._queue import QueueTable
from azureturn.core._requests import Request, RequestStage, RequestTable
from azureturn.core._upstreams import UpstreamTable
from azureturn.core.placement import (
    AnswerTimeTable,
    OutputLengthTable,
    SpeedTable,
    prefill_ms,
    work_tokens,
)
from azureturn.errors import DEFAULT_RETRY_AFTER_MS, ErrorKind
from azureturn.framework import (
    Context,
    Controller,
    DrainTable,
    QueuedRequest,
    Refuse,
    RequestQueue,
    Tick,
    on,
)
from azureturn.settings import Settings, UpstreamKind

FIRST_COME = "first_come"
#: Number of upstreams sampled to estimate the service time of a request.
_SPEED_SAMPLE_SIZE = 8
#: A queued request is dropped once the time left is less than the mean answer time of its route
#: and organisation plus this many deviations. Requests of the most urgent tier (rank 0) are kept
#: as long as their estimated service time still fits.
_DROP_DEVIATIONS = 1.5
_MAX_RETRY_AFTER_MS = 60_000
_MIN_RETRY_AFTER_MS = 200


@controller("admission")
class AdmissionController(Controller[Settings]):
    """Keeps each queue within its length limit, dropping the least urgent request first.

    This VM does not place a dropped request: the refusals controller offers it to peers or refuses
    it.
    """

    reads = (ConfigurationTable, UpstreamTable, SpeedTable, OutputLengthTable, AnswerTimeTable)
    writes = (RequestTable, QueueTable, DrainTable)
    after = ("configuration", "learning", "stragglers")

    @on(RequestArrived)
    def _on_arrived(self, event: RequestArrived, context: Context) -> None:
        request = self._with_learned_length(event.request)
        self.board.write(RequestTable).put(request.request_id, request)
        configuration = self.board.read(ConfigurationTable).get_active()
        queue = self.board.write(QueueTable).of(request.target)
        queue.first_come = configuration.shared.policy.queue_order == FIRST_COME
        if not self.board.read(UpstreamTable).any_in_service(request.target):
            self._drop(request, ErrorKind.NO_UPSTREAM, context)
            return
        drain = self.board.read(DrainTable).of(request.target)
        updated_drain = drain.with_arrived(request.tier_rank, work_tokens(request))
        self.board.write(DrainTable).put(request.target, updated_drain)
        if self._deadline_unreachable(request, queue, configuration, context.now_ms):
            self._drop(request, ErrorKind.DEADLINE_UNREACHABLE, context)
            return
        self._enqueue(request, queue, configuration, context)

    @on(RequestRequeued)
    def _on_requeued(self, event: RequestRequeued, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request.request_id)
        if request is not None:
            queue = self.board.write(QueueTable).of(request.target)
            configuration = self.board.read(ConfigurationTable).get_active()
            self._enqueue(request, queue, configuration, context)

    def _enqueue(
        self,
        request: Request,
        queue: RequestQueue[Request],
        configuration: Configuration,
        context: Context,
    ) -> None:
        queue.push(self._queue_entry(request, configuration))
        while len(queue) > configuration.shared.policy.queue_limit:
            least_urgent = queue.pop_least_urgent()
            kind = ErrorKind.OVERLOADED if least_urgent is request else ErrorKind.SHED
            self._drop(least_urgent, kind, context)
        context.post(PlacementDue(request.target))

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        for target, queue in self.board.write(QueueTable).items():
            for request in queue.pop_expired(context.now_ms):
                self._drop(request, ErrorKind.DEADLINE_PASSED, context)
            drain = self.board.read(DrainTable).of(target)
            updated_drain = drain.with_time(context.now_ms, backlogged=len(queue) > 0)
            self.board.write(DrainTable).put(target, updated_drain)
            if len(queue):
                context.post(PlacementDue(target))

    @on(ConfigurationActivated)
    def _on_configuration(self, event: ConfigurationActivated, context: Context) -> None:
        for target, _ in self.board.read(QueueTable).items():
            context.post(PlacementDue(target))

    @on(CallerDisconnected)
    def _on_caller_disconnected(self, event: CallerDisconnected, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None or request.stage is not RequestStage.QUEUED or request.upstream:
            return
        self.board.write(QueueTable).of(request.target).remove(request)
        self.board.write(RequestTable).remove(request.request_id)
        context.act(Refuse(request.request_id, ErrorKind.CALLER_GONE, DEFAULT_RETRY_AFTER_MS))
        context.post(RequestEnded(request))

    def _with_learned_length(self, request: Request) -> Request:
        """Return the request with the learned output length of its route and organisation.

        The expected length is bounded by the caller's own token limit, so a longer learned length
        is used only where the request has the default length of its route.
        """
        learned_tokens = self.board.read(OutputLengthTable).get(
            (request.route, request.organisation)
        )
        if learned_tokens is None or request.kind is UpstreamKind.PLAIN_SERVICE:
            return request
        route = self.board.read(ConfigurationTable).get_active().route(request.route)
        tokens = max(1, round(learned_tokens))
        if route is None or request.expected_output_tokens < route.expected_output_tokens:
            tokens = min(tokens, request.expected_output_tokens)
        return request.with_expected_output(tokens)

    def _queue_entry(
        self, request: Request, configuration: Configuration
    ) -> QueuedRequest[Request]:
        refuses_early = configuration.shared.policy.early_refusal
        min_remaining_ms = self._min_remaining_ms(request) if refuses_early else 0.0
        return QueuedRequest(
            request,
            cost_tokens=work_tokens(request),
            weight=configuration.weight(request.organisation),
            give_up_at_ms=int(request.deadline_ms - min_remaining_ms),
        )

    def _min_remaining_ms(self, request: Request) -> float:
        """Return the time that must be left before the deadline for a request to stay queued."""
        service_ms = self._service_ms(request)
        answer_time = self.board.read(AnswerTimeTable).get((request.route, request.organisation))
        if answer_time is None or request.tier_rank == 0:
            return service_ms
        return max(service_ms, answer_time.upper_estimate_ms(_DROP_DEVIATIONS))

    def _deadline_unreachable(
        self,
        request: Request,
        queue: RequestQueue[Request],
        configuration: Configuration,
        now_ms: int,
    ) -> bool:
        """Return whether the estimated wait and service time exceed the deadline.

        While less urgent requests are queued on this VM, no request is refused on an estimate.
        """
        if now_ms >= request.deadline_ms:
            return True
        if not configuration.shared.policy.early_refusal:
            return False
        if queue.has_below(request.tier_rank):
            return False
        wait_ms = self._wait_ms(request, queue, configuration)
        return now_ms + wait_ms + self._service_ms(request) > request.deadline_ms

    def _wait_ms(
        self, request: Request, queue: RequestQueue[Request], configuration: Configuration
    ) -> float:
        tokens_ahead = queue.tokens_ahead(request, configuration.weight(request.organisation))
        return (
            self.board.read(DrainTable).of(request.target).wait_ms(request.tier_rank, tokens_ahead)
        )

    def _service_ms(self, request: Request) -> float:
        """Return the service time, without queueing, at the fastest of the sampled upstreams."""
        if request.kind is UpstreamKind.PLAIN_SERVICE:
            return 0.0
        upstreams = self.board.read(UpstreamTable)
        speeds = [
            self.board.read(SpeedTable).of(upstream)
            for name in islice(upstreams.names(request.target), _SPEED_SAMPLE_SIZE)
            if (upstream := upstreams.get(name)) is not None
        ]
        times_ms = (
            prefill_ms(request, 0, speed)
            + request.expected_output_tokens * speed.decode_ms_per_token
            for speed in speeds
        )
        return min(times_ms, default=0.0)

    def _drop(self, request: Request, kind: ErrorKind, context: Context) -> None:
        context.post(RequestDropped(request, kind, self._retry_after_ms(request, kind)))

    def _retry_after_ms(self, request: Request, kind: ErrorKind) -> int:
        """Return the delay after which a retry of the request should meet its deadline."""
        if kind is ErrorKind.NO_UPSTREAM:
            return DEFAULT_RETRY_AFTER_MS
        configuration = self.board.read(ConfigurationTable).get_active()
        queue = self.board.read(QueueTable).of(request.target)
        timeout_ms = request.deadline_ms - request.arrived_at_ms
        slack_ms = max(0.0, timeout_ms - self._service_ms(request))
        excess_ms = self._wait_ms(request, queue, configuration) - slack_ms
        return int(min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, excess_ms)))
