"""Admits requests to the queue, and gives up those that have no chance."""

from itertools import islice

from azureturn.core._configuration import Configuration, ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import (
    CallerLeft,
    ConfigurationInForce,
    PlacementDue,
    RequestArrived,
    RequestEnded,
    RequestGivenUp,
    RequestReturned,
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
#: Upstreams that are looked at for the time that an answer takes.
_SPEED_SAMPLE = 8
#: A request is given up when less is left than such answers take, with this many deviations;
#: the most urgent tier is tried as long as the work alone may be done in time.
_GIVE_UP_DEVIATIONS = 1.5
_RETRY_LIMIT_MS = 60_000
_RETRY_LEAST_MS = 200


@controller("admission")
class AdmissionController(Controller[Settings]):
    """Keeps the queue within its bound; the lowest tier always leaves first."""

    reads = (ConfigurationTable, UpstreamTable, SpeedTable, OutputLengthTable, AnswerTimeTable)
    writes = (RequestTable, QueueTable, DrainTable)
    after = ("configuration", "learning", "stragglers")

    @on(RequestArrived)
    def _on_arrived(self, event: RequestArrived, context: Context) -> None:
        request = self._with_learned_length(event.request)
        self.board.write(RequestTable).put(request.request_id, request)
        configuration = self.board.read(ConfigurationTable).in_force()
        queue = self.board.write(QueueTable).of(request.target)
        queue.first_come = configuration.shared.policy.queue_order == FIRST_COME
        if not self.board.read(UpstreamTable).any_in_service(request.target):
            self._give_up(request, ErrorKind.NO_UPSTREAM, context)
            return
        drain = self.board.read(DrainTable).of(request.target)
        arrived = drain.with_arrived(request.tier_rank, work_tokens(request))
        self.board.write(DrainTable).put(request.target, arrived)
        if self._comes_too_late(request, queue, configuration, context.now_ms):
            self._give_up(request, ErrorKind.DEADLINE_UNREACHABLE, context)
            return
        self._enqueue(request, queue, configuration, context)

    @on(RequestReturned)
    def _on_returned(self, event: RequestReturned, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request.request_id)
        if request is not None:
            queue = self.board.write(QueueTable).of(request.target)
            configuration = self.board.read(ConfigurationTable).in_force()
            self._enqueue(request, queue, configuration, context)

    def _enqueue(
        self,
        request: Request,
        queue: RequestQueue[Request],
        configuration: Configuration,
        context: Context,
    ) -> None:
        queue.push(self._entry(request, configuration))
        while len(queue) > configuration.shared.policy.queue_limit:
            last = queue.pop_least_urgent()
            kind = ErrorKind.OVERLOADED if last is request else ErrorKind.SHED
            self._give_up(last, kind, context)
        context.post(PlacementDue(request.target))

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        for target, queue in self.board.write(QueueTable).items():
            for request in queue.pop_hopeless(context.now_ms):
                self._give_up(request, ErrorKind.DEADLINE_PASSED, context)
            drain = self.board.read(DrainTable).of(target)
            updated = drain.with_time(context.now_ms, backlogged=len(queue) > 0)
            self.board.write(DrainTable).put(target, updated)
            if len(queue):
                context.post(PlacementDue(target))

    @on(ConfigurationInForce)
    def _on_configuration(self, event: ConfigurationInForce, context: Context) -> None:
        for target, _ in self.board.read(QueueTable).items():
            context.post(PlacementDue(target))

    @on(CallerLeft)
    def _on_caller_left(self, event: CallerLeft, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None or request.stage is not RequestStage.QUEUED or request.upstream:
            return
        self.board.write(QueueTable).of(request.target).remove(request)
        self.board.write(RequestTable).remove(request.request_id)
        context.act(Refuse(request.request_id, ErrorKind.CALLER_GONE, DEFAULT_RETRY_AFTER_MS))
        context.post(RequestEnded(request))

    def _with_learned_length(self, request: Request) -> Request:
        """Return the request with the usual length of such answers, if that is shorter.

        What the request expects is bounded by the caller's own limit, so only a route's usual
        length is replaced by a longer one.
        """
        learned = self.board.read(OutputLengthTable).get((request.route, request.organisation))
        if learned is None or request.kind is UpstreamKind.PLAIN_SERVICE:
            return request
        route = self.board.read(ConfigurationTable).in_force().route(request.route)
        tokens = max(1, round(learned))
        if route is None or request.expected_output_tokens < route.expected_output_tokens:
            tokens = min(tokens, request.expected_output_tokens)
        return request.with_expected_output(tokens)

    def _entry(self, request: Request, configuration: Configuration) -> QueuedRequest[Request]:
        early = configuration.shared.policy.early_refusal
        least_ms = self._least_time_ms(request) if early else 0.0
        return QueuedRequest(
            request,
            cost_tokens=work_tokens(request),
            weight=configuration.weight(request.organisation),
            give_up_at_ms=int(request.deadline_ms - least_ms),
        )

    def _least_time_ms(self, request: Request) -> float:
        """Return the time before the deadline from which on a request is given up."""
        service_ms = self._service_ms(request)
        usual = self.board.read(AnswerTimeTable).get((request.route, request.organisation))
        if usual is None or request.tier_rank == 0:
            return service_ms
        return max(service_ms, usual.usual_ms(_GIVE_UP_DEVIATIONS))

    def _comes_too_late(
        self,
        request: Request,
        queue: RequestQueue[Request],
        configuration: Configuration,
        now_ms: int,
    ) -> bool:
        """Return whether the deadline passes before the work that goes first is done.

        While less urgent work waits here, nothing is refused on an estimate.
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
        ahead = queue.tokens_ahead(request, configuration.weight(request.organisation))
        return self.board.read(DrainTable).of(request.target).wait_ms(request.tier_rank, ahead)

    def _service_ms(self, request: Request) -> float:
        """Return the time that the fastest of a few upstreams needs for the answer alone."""
        if request.kind is UpstreamKind.PLAIN_SERVICE:
            return 0.0
        upstreams = self.board.read(UpstreamTable)
        speeds = [
            self.board.read(SpeedTable).of(upstream)
            for name in islice(upstreams.names(request.target), _SPEED_SAMPLE)
            if (upstream := upstreams.get(name)) is not None
        ]
        times_ms = (
            prefill_ms(request, 0, speed)
            + request.expected_output_tokens * speed.decode_ms_per_token
            for speed in speeds
        )
        return min(times_ms, default=0.0)

    def _give_up(self, request: Request, kind: ErrorKind, context: Context) -> None:
        context.post(RequestGivenUp(request, kind, self._retry_after_ms(request, kind)))

    def _retry_after_ms(self, request: Request, kind: ErrorKind) -> int:
        """Return when the same request, come again, would be served in time."""
        if kind is ErrorKind.NO_UPSTREAM:
            return DEFAULT_RETRY_AFTER_MS
        configuration = self.board.read(ConfigurationTable).in_force()
        queue = self.board.read(QueueTable).of(request.target)
        timeout_ms = request.deadline_ms - request.arrived_at_ms
        slack_ms = max(0.0, timeout_ms - self._service_ms(request))
        excess_ms = self._wait_ms(request, queue, configuration) - slack_ms
        return int(min(_RETRY_LIMIT_MS, max(_RETRY_LEAST_MS, excess_ms)))
