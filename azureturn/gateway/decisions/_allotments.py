"""Allotments of organisations, enforced over all VMs in a sliding window.

Every VM counts the units that it admitted in the window and receives the corresponding count from
each peer. The units reported by a process count until they leave the window, whether or not the
process is still running. While some VMs are not live, the VMs that receive each other's reports
use only their share of the limit, so that the parts of a partitioned site together admit no more
than the whole limit.

The usage of all processes is also written to the store, so that it need not be estimated after a
restart of all VMs.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.decisions._allotment_windows import LATE_USE_MS, AllotmentWindow, ProcessId
from azureturn.gateway.settings import AllotmentBounds
from azureturn.gateway.site import (
    Allotment,
    AllotmentRecord,
    Organisation,
    ProcessUse,
    SpentUnits,
)

_MS_PER_S = 1_000.0
#: Fractions of the configured margins that are used; the rest covers units that peers have
#: admitted but not yet reported.
_OVERSHOOT_SHARE = 0.4
_SLACK_SHARE = 0.3
#: Minimum span before the present for which peers have not yet reported their usage.
_MIN_REPORT_LAG_MS = 60
#: While less than this fraction of the bound remains, usage is reported to peers immediately.
_NEAR_LIMIT_FRACTION = 0.4
#: Maximum number of organisations in one report, those with the highest usage first, so that the
#: report fits into a datagram.
_REPORTED_ORGANISATIONS_LIMIT = 500
#: Span before the end of a process whose usage may be missing from its last record.
_UNRECORDED_MS = 1_200
#: An older record is not used: it may lack units admitted during an outage of the store.
_RECORD_AGE_LIMIT_MS = 5_000
#: Span after a restart during which none of the estimated prior usage is assumed to expire, since
#: most of it may have occurred just before the restart.
_PRIOR_USE_HOLD_MS = 2_500
#: Span after a restart during which the callers' demand is measured, and the fraction of this VM's
#: share that they are assumed to have used until it is known.
_DEMAND_MEASUREMENT_MS = 1_000
_ASSUMED_DEMAND_SHARE = 0.9


@dataclass(frozen=True)
class RemainingAllotment:
    """Units that an organisation may still use."""

    units: float
    #: Whether so little remains that usage has to be reported to peers immediately.
    is_near_limit: bool


@dataclass(frozen=True)
class LiveVms:
    """The VMs that receive each other's reports, including this one."""

    vms: frozenset[str]
    #: Estimated share of the site's total usage that these VMs account for.
    use_share: float
    #: Number of all known VMs, live or not.
    vm_count: int
    #: Interval of their reports while an organisation is near its limit.
    report_interval_ms: int = 0


class AllotmentTable(Table[str, AllotmentWindow]):
    """Usage windows, keyed by organisation."""

    def __init__(self) -> None:
        super().__init__()
        #: Start of this process, if a previous one of this VM may have admitted requests and
        #: there is no usable record of how many.
        self.restarted_at_ms: int | None = None
        #: Last time at which an organisation was near its limit.
        self.near_limit_at_ms: int | None = None

    def of(self, organisation: str) -> AllotmentWindow:
        """Return the window of an organisation, creating it on first use."""
        window = self.get(organisation)
        if window is None:
            window = AllotmentWindow()
            self.put(organisation, window)
        return window

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

        Usage that peers have not reported yet is extrapolated from their most recent usage.
        """
        window = self.of(organisation)
        window.requested_units += units
        bound = _bound(allotment, bounds)
        own = window.own_units(now_ms, bounds.window_ms)
        total, of_live = window.reported_units(now_ms, bounds.window_ms, live_vms=live.vms)
        # Units used by VMs on the other side of a partition count against their own share.
        remaining = min(bound - total.units, bound * live.use_share - of_live.units) - own
        remaining -= (
            of_live.late_units / LATE_USE_MS * max(_MIN_REPORT_LAG_MS, live.report_interval_ms)
        )
        share = bound / live.vm_count
        window.assumed_prior_units = self._assumed_prior_units(window, share, bounds, now_ms)
        if window.assumed_prior_units:
            # The estimate is too uncertain to let a large request exceed the remaining units.
            remaining -= window.assumed_prior_units + units
        is_near_limit = remaining < _NEAR_LIMIT_FRACTION * bound
        if is_near_limit:
            self.near_limit_at_ms = now_ms
        return RemainingAllotment(remaining, is_near_limit)

    def usage_to_report(
        self,
        organisations: Iterable[Organisation],
        bounds: AllotmentBounds,
        *,
        vms: int,
        now_ms: int,
    ) -> dict[str, SpentUnits]:
        """Return this VM's usage for its reports, including the estimate for a previous process.

        After a restart, organisations that have not sent requests yet are included: if all VMs
        have restarted, no other VM knows their usage.
        """
        found: dict[str, SpentUnits] = {}
        for one in organisations:
            if one.allotment.rate_per_s <= 0:
                continue
            if self.restarted_at_ms is None and one.name not in self:
                continue
            window = self.of(one.name)
            share = _bound(one.allotment, bounds) / vms
            window.assumed_prior_units = self._assumed_prior_units(window, share, bounds, now_ms)
            prior = int(window.assumed_prior_units)
            own = window.own_usage(now_ms, bounds.window_ms)
            if own.units or prior:
                found[one.name] = SpentUnits(own.units + prior, own.late_units + prior)
        if len(found) <= _REPORTED_ORGANISATIONS_LIMIT:
            return found
        largest = sorted(found.items(), key=lambda item: item[1].units, reverse=True)
        return dict(largest[:_REPORTED_ORGANISATIONS_LIMIT])

    def record_report(self, process: ProcessId, spent: dict[str, SpentUnits], now_ms: int) -> None:
        """Store the usage that a process reports for its window."""
        for organisation, units in spent.items():
            self.of(organisation).record_reported(process, units, now_ms)

    def processes(self, own: ProcessId, window_ms: int, now_ms: int) -> tuple[ProcessUse, ...]:
        """Return the usage of every process in the window, as far as known here."""
        found: dict[ProcessId, dict[str, SpentUnits]] = {}
        for organisation, window in self.items():
            spent = window.own_usage(now_ms, window_ms)
            for process, units in [(own, spent), *window.reported(now_ms, window_ms)]:
                if units.units > 0:
                    found.setdefault(process, {})[organisation] = units
        return tuple(ProcessUse(vm, boot, spent) for (vm, boot), spent in sorted(found.items()))

    def restore(self, record: AllotmentRecord | None, *, unix_ms: int, now_ms: int) -> bool:
        """Restore usage from a stored record, and return whether the record is recent enough.

        Usage after the record was written is extrapolated from the rate just before.
        """
        if record is None or abs(unix_ms - record.written_unix_ms) > _RECORD_AGE_LIMIT_MS:
            return False
        age_ms = unix_ms - record.written_unix_ms
        unrecorded_fraction = min(_UNRECORDED_MS, max(0, age_ms)) / LATE_USE_MS
        for one in record.processes:
            spent = {
                organisation: _with_added_late_units(
                    units, int(units.late_units * unrecorded_fraction)
                )
                for organisation, units in one.spent.items()
            }
            self.record_report((one.vm, one.boot), spent, now_ms)
        return True

    def own_units(self, now_ms: int, window_ms: int) -> int:
        """Return the units that this VM admitted in the window for all organisations."""
        return sum(window.own_units(now_ms, window_ms) for window in self.rows())

    def _assumed_prior_units(
        self, window: AllotmentWindow, share: float, bounds: AllotmentBounds, now_ms: int
    ) -> float:
        """Return the estimated units in the window that a previous process admitted.

        Demand before the restart is assumed to equal the demand after it.
        """
        if self.restarted_at_ms is None:
            return 0.0
        elapsed_ms = now_ms - self.restarted_at_ms
        rate = window.requested_units / max(1, elapsed_ms)
        demand = min(share, rate * bounds.window_ms)
        if elapsed_ms < _DEMAND_MEASUREMENT_MS:
            # The demand has not been measured for long enough.
            demand = max(demand, _ASSUMED_DEMAND_SHARE * share)
        remaining_ms = bounds.window_ms - elapsed_ms
        return demand * min(1.0, max(0.0, remaining_ms / (bounds.window_ms - _PRIOR_USE_HOLD_MS)))


def _with_added_late_units(spent: SpentUnits, units: int) -> SpentUnits:
    return SpentUnits(spent.units + units, spent.late_units + units)


def _bound(allotment: Allotment, bounds: AllotmentBounds) -> float:
    """Return the units that all VMs together may admit in a window."""
    limit = allotment.rate_per_s * bounds.window_ms / _MS_PER_S + allotment.burst
    return limit * (1.0 + _OVERSHOOT_SHARE * bounds.overshoot) + _SLACK_SHARE * bounds.slack
