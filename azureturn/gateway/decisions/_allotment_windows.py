"""Usage of one organisation's allotment in a sliding window, on this VM and on all others."""

from collections import deque
from collections.abc import Container, Iterator
from dataclasses import dataclass

from azureturn.gateway.site import AllotmentUsage

#: Length of the most recent part of the window. The units admitted in it are the late units; they
#: are the last to leave the window.
LATE_USAGE_MS = 2_000

#: Name of a VM and the boot id of one of its processes: a random number drawn when it starts.
ProcessId = tuple[str, int]


@dataclass(frozen=True)
class ReportedUsage:
    """Usage of an organisation in the window, as reported by another process."""

    spent: AllotmentUsage
    reported_at_ms: int

    def remaining(self, now_ms: int, window_ms: int) -> AllotmentUsage:
        """Return the units still in the window, assuming no admissions since the report."""
        age_ms = now_ms - self.reported_at_ms
        early_ms = window_ms - LATE_USAGE_MS
        early_units = self.spent.units - self.spent.late_units
        early_fraction = max(0.0, 1.0 - age_ms / early_ms)
        late_fraction = min(1.0, max(0.0, (window_ms - age_ms) / LATE_USAGE_MS))
        late_units = int(self.spent.late_units * late_fraction)
        return AllotmentUsage(int(early_units * early_fraction) + late_units, late_units)


class AllotmentWindow:
    """Usage of one organisation in the last window, on this VM and on all others."""

    def __init__(self) -> None:
        self._admitted: deque[tuple[int, int]] = deque()
        self._own_units = 0
        self._reported: dict[ProcessId, ReportedUsage] = {}
        #: Units of all requests received since this process started, admitted or refused.
        self.requested_units = 0
        #: Estimate of the units in the window that this VM's previous process admitted; used if
        #: no recent record states them.
        self.assumed_prior_units = 0.0

    def own_units(self, now_ms: int, window_ms: int) -> int:
        """Return the units that this process admitted in the window."""
        while self._admitted and self._admitted[0][0] <= now_ms - window_ms:
            self._own_units -= self._admitted.popleft()[1]
        return self._own_units

    def own_usage(self, now_ms: int, window_ms: int) -> AllotmentUsage:
        """Return the same units as :meth:`own_units`, with the late ones stated separately."""
        units = self.own_units(now_ms, window_ms)
        return AllotmentUsage(units, self._units_since(now_ms - LATE_USAGE_MS))

    def reported(self, now_ms: int, window_ms: int) -> Iterator[tuple[ProcessId, AllotmentUsage]]:
        """Yield the units in the window that every other process has reported."""
        for process, usage in list(self._reported.items()):
            if now_ms - usage.reported_at_ms >= window_ms:
                del self._reported[process]
                continue
            yield process, usage.remaining(now_ms, window_ms)

    def reported_units(
        self, now_ms: int, window_ms: int, *, live_vms: Container[str]
    ) -> tuple[AllotmentUsage, AllotmentUsage]:
        """Return two sums: the units of all other processes, and of those on live VMs alone."""
        total = live_total = AllotmentUsage(0, 0)
        for (vm, _), spent in self.reported(now_ms, window_ms):
            total = total.plus(spent)
            if vm in live_vms:
                live_total = live_total.plus(spent)
        return total, live_total

    def record_admitted(self, units: int, now_ms: int) -> None:
        """Count the units of an admitted request; negative units refund a request never sent."""
        self._admitted.append((now_ms, units))
        self._own_units += units

    def record_reported(self, process: ProcessId, spent: AllotmentUsage, now_ms: int) -> None:
        """Store the usage that another process reports for its window."""
        self._reported[process] = ReportedUsage(spent, now_ms)

    def _units_since(self, since_ms: int) -> int:
        units = 0
        for admitted_at_ms, admitted_units in reversed(self._admitted):
            if admitted_at_ms <= since_ms:
                break
            units += admitted_units
        return units
