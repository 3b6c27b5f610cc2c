"""Limits the requests that this VM works on to what it can do in time."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogProcessingLimit
from azureturn.gateway.decisions._processing_limit import ProcessingLimit, ProcessingLimitTable
from azureturn.gateway.decisions._requests import GatewayRequestTable
from azureturn.gateway.decisions._tables import GatewayQueueTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)

#: Shortest interval between two log lines about the limit.
_LOG_INTERVAL_MS = 500


@gateway_controller("processing_limit")
class ProcessingLimitController(GatewayController):
    """Adapts the limit to the delay of tasks that each tick reports."""

    reads = (GatewayRequestTable, GatewayQueueTable)
    writes = (ProcessingLimitTable,)

    _logged_at_ms = 0

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        table = self.board.write(ProcessingLimitTable)
        max_requests = self.settings.limits.requests_in_progress
        limit = table.current() or ProcessingLimit(float(max_requests))
        waiting = self.board.read(GatewayQueueTable).waiting_count()
        in_progress = len(self.board.read(GatewayRequestTable)) - waiting
        adjusted = limit.with_delay(
            event.delay_ms,
            in_progress=in_progress,
            max_requests=max_requests,
            now_ms=context.now_ms,
        )
        if adjusted is limit:
            return
        table.replace(adjusted)
        if context.now_ms - self._logged_at_ms >= _LOG_INTERVAL_MS:
            self._logged_at_ms = context.now_ms
            requests = int(adjusted.requests)
            context.act(LogProcessingLimit(requests, in_progress, waiting, event.delay_ms))
