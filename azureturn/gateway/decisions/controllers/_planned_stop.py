"""Refuses queued requests early that a planned stop leaves no time for."""

from azureturn.framework import Context, DrainTable, RequestQueue, Tick, on
from azureturn.gateway.decisions._events import RequestQueued, RequestUnservable, VmLeaving
from azureturn.gateway.decisions._planned_stop import PlannedStopTable
from azureturn.gateway.decisions._queue_cost import queue_cost
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.decisions._tables import BacklogTable, GatewayQueueTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)

#: Interval at which the expectation is checked.
_CHECK_INTERVAL_MS = 250
#: A request is refused early if it is expected to wait for this multiple of the time left. Until
#: then the expectation may prove wrong; requests that are placed too late are refused then.
_WAIT_MARGIN = 1.5


@gateway_controller("planned_stop")
class PlannedStopController(GatewayController):
    """Ends the wait of requests that are not expected to be placed before the stop ends.

    Another VM can serve them, and the earlier they are refused, the more time it has.
    """

    reads = (DrainTable, BacklogTable)
    writes = (PlannedStopTable, GatewayQueueTable)
    after = ("admission", "placement")

    _checked_at_ms = 0

    @on(VmLeaving)
    def _on_vm_leaving(self, event: VmLeaving, context: Context) -> None:
        self.board.write(PlannedStopTable).begin(event.ends_at_ms)
        self._refuse_unplaceable(context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if context.now_ms - self._checked_at_ms >= _CHECK_INTERVAL_MS:
            self._checked_at_ms = context.now_ms
            self._refuse_unplaceable(context)

    @on(RequestQueued)
    def _on_request_queued(self, event: RequestQueued, context: Context) -> None:
        self._refuse_unplaceable(context)

    def _refuse_unplaceable(self, context: Context) -> None:
        time_left_ms = self.board.read(PlannedStopTable).time_left_ms(context.now_ms)
        if time_left_ms is None:
            return
        backlogs = self.board.read(BacklogTable)
        for service, queue in self.board.write(GatewayQueueTable).items():
            if len(queue) and backlogs.is_measured(service, context.now_ms):
                self._refuse_last(service, queue, time_left_ms, context)

    def _refuse_last(
        self,
        service: str,
        queue: "RequestQueue[GatewayRequest]",
        time_left_ms: int,
        context: Context,
    ) -> None:
        """Refuse the last requests of each tier and organisation, up to the first one in time."""
        drain = self.board.read(DrainTable).of(service)
        in_time: set[tuple[int, str]] = set()
        for request in sorted(queue.requests(), key=_order)[::-1]:
            if (request.tier_rank, request.organisation) in in_time:
                continue
            own_cost = queue_cost(request, self.settings.policy.engine)
            work_ahead = max(0.0, queue.tokens_ahead(request, 1.0) - own_cost)
            wait_ms = drain.wait_ms(request.tier_rank, work_ahead)
            if wait_ms <= _WAIT_MARGIN * time_left_ms:
                in_time.add((request.tier_rank, request.organisation))
                continue
            queue.remove(request)
            detail = f"expected queue time {wait_ms:.0f} ms, the stop ends in {time_left_ms} ms"
            context.post(RequestUnservable(request, detail))


def _order(request: GatewayRequest) -> tuple[int, int]:
    return request.tier_rank, request.deadline_ms
