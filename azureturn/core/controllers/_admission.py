"""Admits requests to the queue, and gives up those that have no chance."""

from azureturn.core._actions import Refuse
from azureturn.core._configuration import ConfigurationTable
from azureturn.core._controllers import Context, Controller, controller, on
from azureturn.core._events import (
    CallerLeft,
    ConfigurationInForce,
    PlacementDue,
    RequestArrived,
    RequestEnded,
    Tick,
)
from azureturn.core._queue import QueueTable
from azureturn.core._requests import Request, RequestStage, RequestTable
from azureturn.core._upstreams import UpstreamTable
from azureturn.errors import DEFAULT_RETRY_AFTER_MS, ErrorKind


@controller("admission")
class AdmissionController(Controller):
    """Keeps the queue within its bound; the lowest tier always leaves first."""

    reads = (ConfigurationTable, UpstreamTable)
    writes = (RequestTable, QueueTable)
    after = ("configuration",)

    @on(RequestArrived)
    def _on_arrived(self, event: RequestArrived, context: Context) -> None:
        request = event.request
        self.board.write(RequestTable).put(request.request_id, request)
        queue = self.board.write(QueueTable).of(request.target)
        queue.push(request)
        limit = self.board.read(ConfigurationTable).in_force().shared.policy.queue_limit
        while len(queue) > limit:
            last = queue.pop_least_urgent()
            kind = ErrorKind.OVERLOADED if last is request else ErrorKind.SHED
            self._give_up(last, kind, context)
        context.post(PlacementDue(request.target))

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        for target, queue in self.board.write(QueueTable).items():
            for request in queue.pop_past_deadline(context.now_ms):
                self._give_up(request, ErrorKind.DEADLINE_PASSED, context)
            if len(queue):
                context.post(PlacementDue(target))

    @on(ConfigurationInForce)
    def _on_configuration(self, event: ConfigurationInForce, context: Context) -> None:
        for target, _ in self.board.read(QueueTable).items():
            context.post(PlacementDue(target))

    @on(CallerLeft)
    def _on_caller_left(self, event: CallerLeft, context: Context) -> None:
        request = self.board.read(RequestTable).get(event.request_id)
        if request is None or request.stage is not RequestStage.QUEUED:
            return
        self.board.write(QueueTable).of(request.target).remove(request)
        self._give_up(request, ErrorKind.CALLER_GONE, context)

    def _give_up(self, request: Request, kind: ErrorKind, context: Context) -> None:
        self.board.write(RequestTable).remove(request.request_id)
        context.act(Refuse(request.request_id, kind, DEFAULT_RETRY_AFTER_MS))
        context.post(RequestEnded(request))
