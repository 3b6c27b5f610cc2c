"""Usage of one organisation's allotment in a sliding window, on this VM and on all others."""

from collections import Counter, deque
from collections.abc import Container, Iterator
from dataclasses import dataclass, replace

from azureturn.gateway.site import AllotmentUsage

#: Length of the most recent part of the window. The units admitted in it are the late units; they
#: are the last to leave the window.
LATE_USAGE_MS = 2_000
#: Time over which the demand of an organisation's callers at this VM is measured.
_DEMAND_MS = 1_000
#: A report is overdue after this multiple of the last interval, and the time that it may take.
_OVERDUE_INTERVALS = 1.0
_REPORT_DELAY_MS = 40

#: Name of a VM and the boot id of one of its processes: a random number drawn when it starts.
ProcessId = tuple[str, int]


@dataclass(frozen=True)
class ReportedUsage:
    """Usage of an organisation in the window, as reported by another process."""

    spent: AllotmentUsage
    reported_at_ms: int
    #: Whether the process has ended, so that it admits nothing more.
    has_ended: bool = False
    #: Time since the process's previous report, and the change of its usage since then.
    interval_ms: int = 0
    change_units: int = 0

    def admitted_since_previous(self, window_ms: int) -> float:
        """Return the units admitted between the previous report and this one, estimated.

        As much left the window in that time as before on average.
        """
        early_units = self.spent.units - self.spent.late_units
        left_units = early_units * self.interval_ms / (window_ms - LATE_USAGE_MS)
        return max(0.0, self.change_units + left_units)

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether the process's next report should have arrived."""
        overdue_ms = _OVERDUE_INTERVALS * self.interval_ms + _REPORT_DELAY_MS
        return now_ms - self.reported_at_ms > overdue_ms

    def remaining(self, now_ms: int, window_ms: int) -> AllotmentUsage:
        """Return the units still in the window, assuming no admissions since the report."""
        age_ms = now_ms - self.reported_at_ms
        early_ms = window_ms - LATE_USAGE_MS
        early_units = self.spent.units - self.spent.late_units
        early_fraction = max(0.0, 1.0 - age_ms / early_ms)
        late_fraction = min(1.0, max(0.0, (window_ms - age_ms) / LATE_USAGE_MS))
        late_units = int(self.spent.late_units * late_fraction)
        return AllotmentUsage(int(early_units * early_fraction) + late_units, late_units)


@dataclass(frozen=True)
class RecentReports:
    """What the last two reports of each live VM say of an organisation.

    Load pattern: in the first second of a surge, the units of the last 2 s show less than half of
    it. A VM that is cut off from others sees it when their next reports are due.
    """

    #: Units per ms that one VM admitted between them.
    admitted_per_ms: float
    #: Share of the VMs whose next report should have arrived.
    overdue_share: float


class AllotmentWindow:
    """Usage of one organisation in the last window, on this VM and on all others."""

    def __init__(self) -> None:
        self._admitted: deque[tuple[int, int]] = deque()
        self._own_units = 0
        #: Entries of ``_admitted`` whose requests have not been sent yet.
        self._unsent: Counter[tuple[int, int]] = Counter()
        #: Entries older than the window whose requests have still not been sent.
        self._unsent_before_window: Counter[tuple[int, int]] = Counter()
        self._reported: dict[ProcessId, ReportedUsage] = {}
        #: Times and units of the requests received in the last ``_DEMAND_MS``, and their sum.
        self._requested: deque[tuple[int, int]] = deque()
        self._recently_requested_units = 0
        #: Units of all requests received since this process started, admitted or refused.
        self.requested_units = 0
        #: Estimate of the units in the window that this VM's previous process admitted; used if
        #: no recent record states them.
        self.assumed_prior_units = 0.0

    def own_units(self, now_ms: int, window_ms: int) -> int:
        """Return the units that this process admitted in the window, or before and not yet sent.

        A request may wait for longer than the window and be sent then.
        """
        while self._admitted and self._admitted[0][0] <= now_ms - window_ms:
            entry = self._admitted.popleft()
            if _take(self._unsent, entry):
                self._unsent_before_window[entry] += 1
            else:
                self._own_units -= entry[1]
        return self._own_units

    def own_usage(self, now_ms: int, window_ms: int) -> AllotmentUsage:
        """Return the same units as :meth:`own_units`, with the late ones stated separately."""
        units = self.own_units(now_ms, window_ms)
        return AllotmentUsage(units, self.units_since(now_ms - LATE_USAGE_MS))

    def record_requested(self, units: int, now_ms: int) -> None:
        """Count the units of a request that was received, whether it is admitted or not."""
        self.requested_units += units
        self._requested.append((now_ms, units))
        self._recently_requested_units += units
        while self._requested[0][0] <= now_ms - _DEMAND_MS:
            self._recently_requested_units -= self._requested.popleft()[1]

    def demand_per_ms(self, expected_per_ms: float, units: int) -> float:
        """Return the units per ms that callers ask this VM for, as of a request for ``units``.

        It is at least ``expected_per_ms``, what a VM admits on average. One VM gets too few
        requests to tell a growing demand from chance. Its own count is therefore weighted against
        the expected value, which counts as much as one request.
        """
        if expected_per_ms <= 0.0 or units <= 0:
            return 0.0
        measured = units + self._recently_requested_units
        return max(expected_per_ms, measured / (units / expected_per_ms + _DEMAND_MS))

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
        """Return two sums: the units of all other processes, and of those on live VMs alone.

        A VM that is live has reported lately, and is assumed to have used as much since then as has
        left its window.
        """
        units = late_units = live_units = live_late_units = 0
        for process, usage in list(self._reported.items()):
            if now_ms - usage.reported_at_ms >= window_ms:
                del self._reported[process]
                continue
            is_live = process[0] in live_vms
            if is_live and not usage.has_ended:
                spent = usage.spent
            else:
                spent = usage.remaining(now_ms, window_ms)
            units += spent.units
            late_units += spent.late_units
            if is_live:
                live_units += spent.units
                live_late_units += spent.late_units
        return AllotmentUsage(units, late_units), AllotmentUsage(live_units, live_late_units)

    def record_admitted(self, units: int, now_ms: int, *, is_sent: bool = True) -> None:
        """Count the units of an admitted request.

        One that is not sent at once counts until :meth:`record_sent` or :meth:`refund`.
        """
        self._admitted.append((now_ms, units))
        self._own_units += units
        if not is_sent:
            self._unsent[now_ms, units] += 1

    def record_sent(self, units: int, *, admitted_at_ms: int, now_ms: int) -> None:
        """Count a request from now on that was admitted earlier and has waited since.

        Requests that waited together are sent together: counted from their admission, they would
        leave the window too early.
        """
        self.refund(units, admitted_at_ms=admitted_at_ms)
        self.record_admitted(units, now_ms)

    def refund(self, units: int, *, admitted_at_ms: int) -> None:
        """Remove an admitted request that was never sent, unless it has left the window."""
        entry = (admitted_at_ms, units)
        if _take(self._unsent_before_window, entry):
            self._own_units -= units
        elif entry in self._admitted:
            self._admitted.remove(entry)
            self._own_units -= units
            _take(self._unsent, entry)

    def recent_reports(
        self, live_vms: Container[str], now_ms: int, window_ms: int
    ) -> RecentReports:
        """Return what the last two reports of each live VM say of its usage."""
        units = interval_ms = 0.0
        processes = overdue = 0
        for process, usage in self._reported.items():
            if process[0] in live_vms and not usage.has_ended:
                units += usage.admitted_since_previous(window_ms)
                interval_ms += usage.interval_ms
                processes += 1
                overdue += usage.is_overdue(now_ms)
        admitted_per_ms = units / interval_ms if interval_ms else 0.0
        return RecentReports(admitted_per_ms, overdue / max(1, processes))

    def record_reported(
        self, process: ProcessId, spent: AllotmentUsage, now_ms: int, *, since_ms: int | None = None
    ) -> None:
        """Store the usage that another process reports for its window.

        Its previous report, whether with usage or without, was received at ``since_ms``.
        """
        previous = self._reported.get(process)
        if since_ms is None or since_ms >= now_ms:
            self._reported[process] = ReportedUsage(spent, now_ms)
        else:
            change_units = spent.units - (previous.spent.units if previous else 0)
            self._reported[process] = ReportedUsage(
                spent, now_ms, interval_ms=now_ms - since_ms, change_units=change_units
            )

    def record_ended(self, process: ProcessId) -> None:
        """Record that another process of the same VM has taken the place of this one."""
        usage = self._reported.get(process)
        if usage is not None:
            self._reported[process] = replace(usage, has_ended=True)

    def forget_reported(self, process: ProcessId) -> None:
        """Drop the usage of a process that reports none any more."""
        self._reported.pop(process, None)

    def units_since(self, since_ms: int) -> int:
        """Return the units that this process admitted later than ``since_ms``."""
        units = 0
        for admitted_at_ms, admitted_units in reversed(self._admitted):
            if admitted_at_ms <= since_ms:
                break
            units += admitted_units
        return units


def _take(entries: Counter[tuple[int, int]], entry: tuple[int, int]) -> bool:
    """Remove one occurrence of an entry, and return whether there was one."""
    if entry not in entries:
        return False
    entries[entry] -= 1
    if not entries[entry]:
        del entries[entry]
    return True
