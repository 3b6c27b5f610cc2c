"""Allotments of organisations, enforced over all VMs in a sliding window.

An allotment is an organisation's rate limit, in units: tokens or requests. Every VM counts the
units that it admitted in the window and receives the corresponding count from each peer. Reported
units count until they leave the window, even if the process that reported them has ended. While
some VMs are not live, the VMs that receive each other's reports use only their share of the limit,
so that the parts of a partitioned site together admit no more than the whole limit.

The usage of all processes is also written to the store as one record, so that it need not be
estimated after a restart of all VMs.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.decisions._allotment_pacing import (
    AIM_SHARE,
    LARGE_SITE_AIM_SHARE,
    AllotmentPace,
    LiveVms,
)
from azureturn.gateway.decisions._allotment_windows import LATE_USAGE_MS, AllotmentWindow, ProcessId
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.settings import AllotmentBounds
from azureturn.gateway.site import (
    Allotment,
    AllotmentRecord,
    AllotmentUsage,
    Organisation,
    ProcessUsage,
)

_MS_PER_S = 1_000.0
#: If the reports of a larger share of the peers are overdue, this VM may be partitioned from them.
_MAX_OVERDUE_SHARE = 0.34
#: While less than this fraction of the limit remains, usage is reported to peers immediately.
_NEAR_LIMIT_FRACTION = 0.4
#: Maximum number of organisations in one report, those with the highest usage first, so that the
#: report fits into a datagram.
_REPORTED_ORGANISATIONS_LIMIT = 500
#: Usage in the last part of a process's life may be missing from the record; this is the length
#: of that part.
_UNRECORDED_MS = 1_200
#: Maximum age of a record that is used; an older one may lack units admitted during an outage of
#: the store.
_RECORD_AGE_LIMIT_MS = 5_000
#: Time after a restart during which no unit of the estimated prior usage is assumed to leave the
#: window, since most of it may have been admitted just before the restart.
_PRIOR_USAGE_RETENTION_MS = 2_500
#: Time after a restart for which the callers' demand is measured, and until then the assumed
#: demand, as a fraction of this VM's share of the limit.
_DEMAND_MEASUREMENT_MS = 1_000
_ASSUMED_DEMAND_SHARE = 0.9


@dataclass(frozen=True)
class RemainingAllotment:
    """The rest of an organisation's allotment in the window, as far as this VM may use it."""

    #: Not positive if nothing remains.
    units: float
    #: Whether so little remains that usage has to be reported to peers immediately.
    is_near_limit: bool
    #: Chance with which the request may be admitted, if units remain.
    admitted_share: float = 1.0


class AllotmentTable(Table[str, AllotmentWindow]):
    """Usage windows, keyed by organisation."""

    def __init__(self) -> None:
        super().__init__()
        #: Start of this process, if the VM's previous process may have admitted requests and no
        #: usable record states how many; otherwise None.
        self.restarted_at_ms: int | None = None
        #: Last time at which an organisation was near its limit.
        self.near_limit_at_ms: int | None = None
        #: When the last report of each process was received.
        self._reports_received_ms: dict[ProcessId, int] = {}
        #: The process of each VM that reported last, and the organisations in its report.
        self._last_reports: dict[str, tuple[ProcessId, frozenset[str]]] = {}

    def of(self, organisation: str) -> AllotmentWindow:
        """Return the window of an organisation, creating it on first use."""
        window = self.get(organisation)
        if window is None:
            window = AllotmentWindow()
            self.put(organisation, window)
        return window

    def charge_attempt(self, request: GatewayRequest, now_ms: int) -> None:
        """Charge the attempt that begins now.

        An attempt that did not run leaves its charge to the next one, and is not counted besides.
        """
        assert request.charged_at_ms is not None
        window = self.of(request.organisation)
        if request.is_charge_used:
            window.record_admitted(request.allotment_units, now_ms)
        else:
            window.record_sent(
                request.allotment_units, admitted_at_ms=request.charged_at_ms, now_ms=now_ms
            )

    def refund(self, request: GatewayRequest) -> None:
        """Take back the charge of a request that ends, unless an attempt ran for it."""
        if request.charged_at_ms is not None and not request.is_charge_used:
            window = self.of(request.organisation)
            window.refund(request.allotment_units, admitted_at_ms=request.charged_at_ms)

    def remaining(
        self,
        organisation: str,
        allotment: Allotment,
        bounds: AllotmentBounds,
        *,
        units: int,
        live: LiveVms,
        now_ms: int,
    ) -> RemainingAllotment:
        """Return the units that this VM may still admit, given a request for ``units``.

        Live peers' usage is assumed to stay as they reported it: what has left their windows since
        then, they have probably admitted again.
        """
        window = self.of(organisation)
        window.record_requested(units, now_ms)
        recent = window.recent_reports(live.names, now_ms, bounds.window_ms)
        is_well_known = live.is_well_known and recent.overdue_share <= _MAX_OVERDUE_SHARE
        limit = _limit_units(
            allotment, bounds, LARGE_SITE_AIM_SHARE if is_well_known else AIM_SHARE
        )
        own_usage = window.own_usage(now_ms, bounds.window_ms)
        total, live_total = window.reported_units(now_ms, bounds.window_ms, live_vms=live.names)
        # Units used by VMs on the other side of a partition count against their own share.
        remaining = (
            min(limit - total.units, limit * live.usage_share - live_total.units) - own_usage.units
        )
        share = limit / live.vm_count
        window.assumed_prior_units = self._assumed_prior_units(window, share, bounds, now_ms)
        if window.assumed_prior_units:
            # The estimate is too uncertain to let a large request exceed the remaining units.
            remaining -= window.assumed_prior_units + units
        late_units = own_usage.late_units + live_total.late_units
        admitted_per_ms = late_units / LATE_USAGE_MS / len(live.names)
        margin = _limit_units(allotment, bounds, 1.0) - limit if is_well_known else 0.0
        pace = AllotmentPace(
            remaining,
            live.report_ages,
            admitted_per_ms,
            window.demand_per_ms(max(admitted_per_ms, recent.admitted_per_ms), units),
            window.units_since(now_ms - live.report_ages.unreported_ms),
            margin,
        )
        is_near_limit = remaining < _NEAR_LIMIT_FRACTION * limit or pace.needs_reports
        if is_near_limit:
            self.near_limit_at_ms = now_ms
        return RemainingAllotment(remaining, is_near_limit, pace.admitted_share(units))

    def usage_to_report(
        self,
        organisations: Iterable[Organisation],
        bounds: AllotmentBounds,
        *,
        vm_count: int,
        now_ms: int,
    ) -> dict[str, AllotmentUsage]:
        """Return this VM's usage to report, including the estimate for its previous process.

        After a restart, organisations that have not sent requests yet are included: if all VMs
        have restarted, no other VM knows their usage.
        """
        usage_by_organisation: dict[str, AllotmentUsage] = {}
        for organisation in organisations:
            if organisation.allotment.rate_per_s <= 0:
                continue
            if self.restarted_at_ms is None and organisation.name not in self:
                continue
            window = self.of(organisation.name)
            share = _limit_units(organisation.allotment, bounds, AIM_SHARE) / vm_count
            window.assumed_prior_units = self._assumed_prior_units(window, share, bounds, now_ms)
            prior_units = int(window.assumed_prior_units)
            own_usage = window.own_usage(now_ms, bounds.window_ms)
            if own_usage.units or prior_units:
                usage_by_organisation[organisation.name] = AllotmentUsage(
                    own_usage.units + prior_units, own_usage.late_units + prior_units
                )
        if len(usage_by_organisation) <= _REPORTED_ORGANISATIONS_LIMIT:
            return usage_by_organisation
        largest = sorted(
            usage_by_organisation.items(), key=lambda item: item[1].units, reverse=True
        )
        return dict(largest[:_REPORTED_ORGANISATIONS_LIMIT])

    def record_report(
        self, process: ProcessId, spent: dict[str, AllotmentUsage], now_ms: int
    ) -> None:
        """Store the usage that a process reports for its window.

        An organisation that is missing from its report has no usage any more, for example since
        its requests were refused later. A report of the maximum size does not say so.
        """
        since_ms = self._reports_received_ms.get(process)
        self._reports_received_ms[process] = now_ms
        for organisation, units in spent.items():
            self.of(organisation).record_reported(process, units, now_ms, since_ms=since_ms)
        vm = process[0]
        last_process, last_organisations = self._last_reports.get(vm, (process, frozenset()))
        if last_process != process:
            self._reports_received_ms.pop(last_process, None)
            for organisation in last_organisations:
                self.of(organisation).record_ended(last_process)
        elif len(spent) < _REPORTED_ORGANISATIONS_LIMIT:
            for organisation in last_organisations.difference(spent):
                self.of(organisation).forget_reported(process)
        self._last_reports[vm] = (process, frozenset(spent))

    def processes(
        self, own_process: ProcessId, window_ms: int, now_ms: int
    ) -> tuple[ProcessUsage, ...]:
        """Return the usage in the window of every known process; ``own_process`` is this one."""
        usage_by_process: dict[ProcessId, dict[str, AllotmentUsage]] = {}
        for organisation, window in self.items():
            spent = window.own_usage(now_ms, window_ms)
            for process, units in [(own_process, spent), *window.reported(now_ms, window_ms)]:
                if units.units > 0:
                    usage_by_process.setdefault(process, {})[organisation] = units
        return tuple(
            ProcessUsage(vm, boot, spent) for (vm, boot), spent in sorted(usage_by_process.items())
        )

    def restore(self, record: AllotmentRecord | None, *, unix_ms: int, now_ms: int) -> bool:
        """Restore usage from the record in the store; return False if it is missing or too old.

        Usage after the record was written is extrapolated from the rate just before it.
        """
        if record is None or abs(unix_ms - record.written_unix_ms) > _RECORD_AGE_LIMIT_MS:
            return False
        age_ms = unix_ms - record.written_unix_ms
        unrecorded_fraction = min(_UNRECORDED_MS, max(0, age_ms)) / LATE_USAGE_MS
        for process in record.processes:
            spent = {
                organisation: _with_added_late_units(
                    units, int(units.late_units * unrecorded_fraction)
                )
                for organisation, units in process.spent.items()
            }
            self.record_report((process.vm, process.boot), spent, now_ms)
        return True

    def own_units(self, now_ms: int, window_ms: int) -> int:
        """Return the units that this VM admitted in the window for all organisations."""
        return sum(window.own_units(now_ms, window_ms) for window in self.rows())

    def _assumed_prior_units(
        self, window: AllotmentWindow, share: float, bounds: AllotmentBounds, now_ms: int
    ) -> float:
        """Return the estimated units in the window that this VM's previous process admitted.

        Demand before the restart is assumed to equal the demand after it.
        """
        if self.restarted_at_ms is None:
            return 0.0
        elapsed_ms = now_ms - self.restarted_at_ms
        rate = window.requested_units / max(1, elapsed_ms)
        demand = min(share, rate * bounds.window_ms)
        if elapsed_ms < _DEMAND_MEASUREMENT_MS:
            # The measurement of the demand is too short to rely on.
            demand = max(demand, _ASSUMED_DEMAND_SHARE * share)
        remaining_ms = bounds.window_ms - elapsed_ms
        return demand * min(
            1.0, max(0.0, remaining_ms / (bounds.window_ms - _PRIOR_USAGE_RETENTION_MS))
        )


def _with_added_late_units(spent: AllotmentUsage, units: int) -> AllotmentUsage:
    return AllotmentUsage(spent.units + units, spent.late_units + units)


def _limit_units(allotment: Allotment, bounds: AllotmentBounds, margin_share: float) -> float:
    """Return the limit in a window with a share of the allowed overshoot and slack."""
    configured = allotment.rate_per_s * bounds.window_ms / _MS_PER_S + allotment.burst
    return configured * (1.0 + margin_share * bounds.overshoot) + margin_share * bounds.slack
