"""The metrics page of a gateway, with gauges of the process that are read when it is asked for."""

import threading
import time

from azureturn.gateway.decisions import GatewayQueueTable, ViewTable, cold_upstreams
from azureturn.gateway.exchange import BodyBudget, GatewayServer, StatusPage
from azureturn.observability import PROMETHEUS_CONTENT_TYPE, Metric, Metrics, PrometheusMetrics
from azureturn.serving import CoreRuntime, now_ms
from azureturn.tasks import TaskLoop, sleep

_MS_PER_S = 1_000
_LAG_MEASURE_INTERVAL_S = 0.5


class ProcessMetrics:
    """Measures the process, and renders all metrics as text."""

    def __init__(self, runtime: CoreRuntime, loop: TaskLoop, budget: BodyBudget) -> None:
        self._runtime = runtime
        self._loop = loop
        self._budget = budget
        self._prometheus = PrometheusMetrics()
        self.metrics = Metrics(None, self._prometheus)
        self._loop_lag_ms = 0.0

    def start(self) -> None:
        """Start measuring how late the loop is."""
        self._loop.spawn(self._measure_lag)

    def page(self, server: GatewayServer) -> StatusPage:
        """Return the page; ``server`` is the one for callers."""
        waiting = self._runtime.inspect(
            lambda core: core.board.table(GatewayQueueTable).waiting_count()
        )
        cold = self._runtime.inspect(lambda core: cold_upstreams(core.board, now_ms()))
        evacuated = self._runtime.inspect(
            lambda core: core.board.table(ViewTable).evacuated_zones(now_ms())
        )
        metrics = self.metrics
        metrics.set(Metric.EVACUATED_ZONES, len(evacuated))
        metrics.set(Metric.COLD_UPSTREAMS, len(cold))
        metrics.set(Metric.REQUESTS_IN_PROGRESS, self._runtime.requests_in_progress)
        metrics.set(Metric.REQUESTS_WAITING, waiting)
        metrics.set(Metric.CALLER_CONNECTIONS, server.open_connections)
        metrics.set(Metric.BODY_BYTES, self._budget.reserved_bytes)
        metrics.set(Metric.TASKS, self._loop.task_count)
        metrics.set(Metric.THREADS, threading.active_count())
        metrics.set(Metric.LOOP_LAG, round(self._loop_lag_ms))
        return StatusPage(200, self._prometheus.render(), PROMETHEUS_CONTENT_TYPE)

    def _measure_lag(self) -> None:
        while True:
            due_at_s = time.monotonic() + _LAG_MEASURE_INTERVAL_S
            sleep(_LAG_MEASURE_INTERVAL_S)
            self._loop_lag_ms = _MS_PER_S * (time.monotonic() - due_at_s)
