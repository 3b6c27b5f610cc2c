"""What each organisation may still use, counted over all VMs in a sliding window.

Every VM counts what it let pass in the window and hears from each peer what that peer let pass in
its own. What a process told stays in the count until it has left the window, whether the process
still lives or not. While some VMs are not heard, those that hear each other use only their share
of the limit, so that the parts of a divided site together pass no more than the whole limit.

What all processes let pass is also kept in the store, so that after a restart of all VMs nothing
has to be guessed.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.decisions._allotment_windows import LATE_MS, AllotmentWindow, Process
from azureturn.gateway.settings import AllotmentBounds
from azureturn.gateway.site import (
    Allotment,
    AllotmentRecord,
    Organisation,
    ProcessUse,
    SpentUnits,
)

_MS_PER_S = 1_000.0
#: Parts of the bounds' margins that are used; the rest covers what peers have not said yet.
_OVERSHOOT_SHARE = 0.4
_SLACK_SHARE = 0.3
#: What peers let pass for so long before now, at the least, they have not said yet.
_UNSAID_MS = 60
#: Peers are told at once of what passes while less than this part of the bound is left.
_URGENT_PART = 0.4
#: Organisations that one report tells of, those that used most first; a datagram has to hold them.
_TOLD_LIMIT = 500
#: What was let pass for so long before the end of a process its last record may not hold.
_UNKEPT_MS = 1_200
#: A record that is older may miss what was let pass in an outage of the store.
_RECORD_AGE_LIMIT_MS = 5_000
#: For so long after a restart nothing of what was forgotten is thought to leave the window: most
#: of it may have been used just before.
_HELD_MS = 2_500
#: Time after a restart in which the callers' demand is measured, and the part of this VM's share
#: that they are thought to have used until then.
_OBSERVED_MS = 1_000
_UNKNOWN_SHARE = 0.9


@dataclass(frozen=True)
class AllotmentLeft:
    """What an organisation may still use."""

    units: float
    #: So little that peers have to be told at once of what passes.
    is_urgent: bool


@dataclass(frozen=True)
class HeardPart:
    """The VMs that hear each other, this one included."""

    vms: frozenset[str]
    #: Share of all use that is due to them.
    use_share: float
    #: VMs that there are, heard or not.
    all_vms: int
    #: How often they tell of what passes near a limit.
    report_interval_ms: int = 0


class AllotmentTable(Table[str, AllotmentWindow]):
    """Windows by organisation."""

    def __init__(self) -> None:
        super().__init__()
        #: When this process began, if an earlier one of this VM may have let requests pass and
        #: nothing tells how many.
        self.restarted_at_ms: int | None = None
        #: When an organisation last came near its limit.
        self.urgent_at_ms: int | None = None

    def of(self, organisation: str) -> AllotmentWindow:
        """Return an organisation's window, made when first asked for."""
        window = self.get(organisation)
        if window is None:
            window = AllotmentWindow()
            self.put(organisation, window)
        return window

    def left(
        self,
        organisation: str,
        allotment: Allotment,
        bounds: AllotmentBounds,
        *,
        units: int,
        part: HeardPart,
        now_ms: int,
    ) -> AllotmentLeft:
        """Return the units that this VM may still let pass now, where some are asked for.

        Since they last said, peers are thought to have let pass as much as shortly before.
        """
        window = self.of(organisation)
        window.offered_units += units
        bound = _bound(allotment, bounds)
        own = window.own_units(now_ms, bounds.window_ms)
        every, of_heard = window.told_units(now_ms, bounds.window_ms, heard=part.vms)
        # The others of a divided site keep to their own share, whatever they used before.
        left = min(bound - every.units, bound * part.use_share - of_heard.units) - own
        left -= of_heard.late_units / LATE_MS * max(_UNSAID_MS, part.report_interval_ms)
        share = bound / part.all_vms
        window.forgotten_units = self._forgotten_units(window, share, bounds, now_ms)
        if window.forgotten_units:
            # Nothing is known well enough to let a large request pass beyond what is left.
            left -= window.forgotten_units + units
        is_urgent = left < _URGENT_PART * bound
        if is_urgent:
            self.urgent_at_ms = now_ms
        return AllotmentLeft(left, is_urgent)

    def told(
        self,
        organisations: Iterable[Organisation],
        bounds: AllotmentBounds,
        *,
        vms: int,
        now_ms: int,
    ) -> dict[str, SpentUnits]:
        """Return what peers are told that this VM let pass, with what it has forgotten.

        Organisations that have not called since a restart count too: all VMs may have restarted,
        and then nobody else knows what they used.
        """
        found: dict[str, SpentUnits] = {}
        for one in organisations:
            if one.allotment.rate_per_s <= 0:
                continue
            if self.restarted_at_ms is None and one.name not in self:
                continue
            window = self.of(one.name)
            share = _bound(one.allotment, bounds) / vms
            window.forgotten_units = self._forgotten_units(window, share, bounds, now_ms)
            forgotten = int(window.forgotten_units)
            own = window.own_spent(now_ms, bounds.window_ms)
            if own.units or forgotten:
                found[one.name] = SpentUnits(own.units + forgotten, own.late_units + forgotten)
        if len(found) <= _TOLD_LIMIT:
            return found
        largest = sorted(found.items(), key=lambda item: item[1].units, reverse=True)
        return dict(largest[:_TOLD_LIMIT])

    def note_report(self, process: Process, spent: dict[str, SpentUnits], now_ms: int) -> None:
        """Take in what a process says of its window."""
        for organisation, units in spent.items():
            self.of(organisation).note_told(process, units, now_ms)

    def processes(self, own: Process, window_ms: int, now_ms: int) -> tuple[ProcessUse, ...]:
        """Return what every process let pass in the window, as far as this one knows."""
        found: dict[Process, dict[str, SpentUnits]] = {}
        for organisation, window in self.items():
            spent = window.own_spent(now_ms, window_ms)
            for process, units in [(own, spent), *window.told(now_ms, window_ms)]:
                if units.units > 0:
                    found.setdefault(process, {})[organisation] = units
        return tuple(ProcessUse(vm, boot, spent) for (vm, boot), spent in sorted(found.items()))

    def recall(self, record: AllotmentRecord | None, *, unix_ms: int, now_ms: int) -> bool:
        """Take in what was kept before this process began; return whether it can be relied on.

        What was let pass after it was written is thought to have come as fast as just before.
        """
        if record is None or abs(unix_ms - record.written_unix_ms) > _RECORD_AGE_LIMIT_MS:
            return False
        age_ms = unix_ms - record.written_unix_ms
        unkept_parts = min(_UNKEPT_MS, max(0, age_ms)) / LATE_MS
        for one in record.processes:
            spent = {
                organisation: _with_late(units, int(units.late_units * unkept_parts))
                for organisation, units in one.spent.items()
            }
            self.note_report((one.vm, one.boot), spent, now_ms)
        return True

    def own_units(self, now_ms: int, window_ms: int) -> int:
        """Return what this VM let pass in the window for all organisations."""
        return sum(window.own_units(now_ms, window_ms) for window in self.rows())

    def _forgotten_units(
        self, window: AllotmentWindow, share: float, bounds: AllotmentBounds, now_ms: int
    ) -> float:
        """Return what an earlier process is thought to have let pass in the window.

        Callers are thought to have asked for as much before the restart as after it.
        """
        if self.restarted_at_ms is None:
            return 0.0
        passed_ms = now_ms - self.restarted_at_ms
        rate = window.offered_units / max(1, passed_ms)
        asked = min(share, rate * bounds.window_ms)
        if passed_ms < _OBSERVED_MS:
            # Callers have not shown yet how much they ask for.
            asked = max(asked, _UNKNOWN_SHARE * share)
        left_ms = bounds.window_ms - passed_ms
        return asked * min(1.0, max(0.0, left_ms / (bounds.window_ms - _HELD_MS)))


def _with_late(spent: SpentUnits, units: int) -> SpentUnits:
    return SpentUnits(spent.units + units, spent.late_units + units)


def _bound(allotment: Allotment, bounds: AllotmentBounds) -> float:
    """Return what all VMs together let pass in a window."""
    limit = allotment.rate_per_s * bounds.window_ms / _MS_PER_S + allotment.burst
    return limit * (1.0 + _OVERSHOOT_SHARE * bounds.overshoot) + _SLACK_SHARE * bounds.slack
