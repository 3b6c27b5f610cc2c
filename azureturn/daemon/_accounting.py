"""Logs and counts the end of each request, and records it for operator reports."""

import threading
from collections import OrderedDict

from azureturn._time_of_day import unix_now_ms
from azureturn.core import Configuration, ConfigurationTable, Request, UpstreamTable
from azureturn.errors import AzureturnError, ErrorKind, RunState
from azureturn.observability import (
    NO_ERROR,
    UNKNOWN_TIER,
    EventLog,
    LogEvent,
    Metric,
    Metrics,
    SliKey,
    SliRecorder,
)
from azureturn.peers import Refusal
from azureturn.serving import CoreRuntime, now_ms
from azureturn.settings import ALL_ORGANISATIONS

ANSWERED = "answered"
#: Error kind under which service levels count an answer given after the request's deadline.
LATE = "late"
#: Lowest status of a plain service's answer that counts as a failure of the upstream.
LOWEST_FAILED_STATUS = 500
#: Refusals kept for operators; the oldest are evicted first.
REFUSAL_LIMIT = 1_000
CAUSE_LIMIT_CHARACTERS = 200


class RecentRefusals:
    """The latest refusals by request id; only the first refusal of a request is kept."""

    def __init__(self) -> None:
        self._refusals: OrderedDict[str, Refusal] = OrderedDict()
        self._forgotten_count = 0
        self._lock = threading.Lock()

    def add(self, refusal: Refusal) -> bool:
        """Add a refusal; return False, without adding it, if its request already has one."""
        with self._lock:
            if refusal.request_id in self._refusals:
                return False
            self._refusals[refusal.request_id] = refusal
            if len(self._refusals) > REFUSAL_LIMIT:
                self._refusals.popitem(last=False)
                self._forgotten_count += 1
        return True

    def latest(self, limit: int) -> list[Refusal]:
        """Return the latest refusals, newest first."""
        with self._lock:
            refusals = list(self._refusals.values())
        return refusals[::-1][: max(0, limit)]

    @property
    def forgotten_count(self) -> int:
        """Return how many refusals have been evicted."""
        return self._forgotten_count


class Accounting:
    """Records the end of each request in the log, the metrics and the service levels."""

    def __init__(
        self, *, runtime: CoreRuntime, log: EventLog, metrics: Metrics, started_at_unix_ms: int
    ) -> None:
        self._runtime = runtime
        self._log = log
        self._metrics = metrics
        self._objectives_revision = -1
        self.refusals = RecentRefusals()
        self.service_levels = SliRecorder(started_at_unix_ms=started_at_unix_ms)

    def request_ended(
        self,
        request: Request,
        *,
        upstream: str,
        error: AzureturnError | None = None,
        status: int = 200,
        forwarded_to_vm: str = "",
    ) -> None:
        """Record the end of a request that reached the core, with any result.

        Requests answered by another VM are left out of the service levels here, since that VM
        counts them.
        """
        result = ANSWERED if error is None else error.kind.value
        run_state = RunState.RAN if error is None else error.run_state
        took_ms = now_ms() - request.arrived_at_ms
        configuration, version = self._configuration_and_version(upstream)
        tier = _tier_name(configuration, request.tier_rank)
        self._metrics.count(Metric.REQUESTS_ENDED, route=request.route, ended=result)
        self._metrics.time(Metric.REQUEST_TIME, took_ms, route=request.route)
        self._metrics.set(Metric.REQUESTS_IN_PROGRESS, self._runtime.requests_in_progress)
        self._log.info(
            LogEvent.REQUEST_ENDED,
            request_id=request.request_id,
            organisation=request.organisation,
            route=request.route,
            tier=tier,
            upstream=upstream,
            forwarded_to_vm=forwarded_to_vm,
            ended=result,
            run_state=run_state.value,
            took_ms=took_ms,
        )
        key = SliKey(
            tier=tier,
            organisation=request.organisation,
            route=request.route,
            upstream=upstream,
            version=version,
            error_kind=_error_kind(error, status, late=now_ms() > request.deadline_ms),
        )
        if error is not None or not forwarded_to_vm:
            self.service_levels.record(key, latency_ms=took_ms, now_unix_ms=unix_now_ms())
        if error is not None:
            self._record_refusal(
                request.request_id, error, request=request, tier=tier, upstream=upstream
            )

    def request_refused(self, request_id: str, error: AzureturnError) -> None:
        """Record a refusal that is sent to the caller, unless ``request_ended`` recorded it."""
        if self._record_refusal(request_id, error):
            key = SliKey(UNKNOWN_TIER, "", "", error_kind=error.kind.value)
            self.service_levels.record(key, latency_ms=0, now_unix_ms=unix_now_ms())
            self._log.info(
                LogEvent.REQUEST_REFUSED,
                request_id=request_id,
                kind=error.kind.value,
                run_state=error.run_state.value,
            )

    def _record_refusal(
        self,
        request_id: str,
        error: AzureturnError,
        *,
        request: Request | None = None,
        tier: str = "",
        upstream: str = "",
    ) -> bool:
        refusal = Refusal(
            refused_at_unix_ms=unix_now_ms(),
            request_id=request_id,
            organisation="" if request is None else request.organisation,
            route="" if request is None else request.route,
            tier=tier,
            upstream=upstream,
            kind=error.kind.value,
            run_state=error.run_state.value,
            cause=error.message[:CAUSE_LIMIT_CHARACTERS],
            retry_after_ms=error.retry_after_ms or 0,
        )
        is_first_refusal = self.refusals.add(refusal)
        if is_first_refusal:
            self._metrics.count(Metric.REQUESTS_REFUSED, kind=error.kind.value)
        return is_first_refusal

    def _configuration_and_version(self, upstream_name: str) -> tuple[Configuration, str]:
        configuration, upstream = self._runtime.inspect(
            lambda core: (
                core.board.table(ConfigurationTable).get_active(),
                core.board.table(UpstreamTable).get(upstream_name),
            )
        )
        if configuration.revision != self._objectives_revision:
            self._objectives_revision = configuration.revision
            organisations = {
                objective.organisation for objective in configuration.shared.objectives
            }
            self.service_levels.set_separate_organisations(
                frozenset(organisations - {ALL_ORGANISATIONS})
            )
        return configuration, "" if upstream is None else upstream.settings.version


def _tier_name(configuration: Configuration, rank: int) -> str:
    return next((tier.name for tier in configuration.shared.tiers if tier.rank == rank), str(rank))


def _error_kind(error: AzureturnError | None, status: int, *, late: bool) -> str:
    if error is not None:
        return error.kind.value
    if status >= LOWEST_FAILED_STATUS:
        return ErrorKind.UPSTREAM_FAILED.value
    return LATE if late else NO_ERROR
