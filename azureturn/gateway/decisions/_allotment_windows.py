"""One organisation's use of a sliding window, as this VM counted it and as others told."""

from collections import deque
from collections.abc import Container, Iterator
from dataclasses import dataclass

from azureturn.gateway.site import SpentUnits

#: Length of the last part of the window: what was used in it leaves the window last.
LATE_MS = 2_000

#: A VM's name and what tells its processes apart.
Process = tuple[str, int]


@dataclass(frozen=True)
class ToldUse:
    """What another process said that an organisation used in its window."""

    spent: SpentUnits
    said_at_ms: int

    def remaining(self, now_ms: int, window_ms: int) -> SpentUnits:
        """Return what of it is still in the window, if the process let nothing pass since."""
        age_ms = now_ms - self.said_at_ms
        early_ms = window_ms - LATE_MS
        early_units = self.spent.units - self.spent.late_units
        early_part = max(0.0, 1.0 - age_ms / early_ms)
        late_part = min(1.0, max(0.0, (window_ms - age_ms) / LATE_MS))
        late_units = int(self.spent.late_units * late_part)
        return SpentUnits(int(early_units * early_part) + late_units, late_units)


class AllotmentWindow:
    """One organisation's use of the last window, on this VM and on all others."""

    def __init__(self) -> None:
        self._passed: deque[tuple[int, int]] = deque()
        self._own_units = 0
        self._told: dict[Process, ToldUse] = {}
        #: What callers have asked for since this process began.
        self.offered_units = 0
        #: What this VM's earlier process is thought to have let pass, where nothing tells it.
        self.forgotten_units = 0.0

    def own_units(self, now_ms: int, window_ms: int) -> int:
        """Return what this process let pass in the window."""
        while self._passed and self._passed[0][0] <= now_ms - window_ms:
            self._own_units -= self._passed.popleft()[1]
        return self._own_units

    def own_spent(self, now_ms: int, window_ms: int) -> SpentUnits:
        """Return what this process let pass in the window, as others are told."""
        units = self.own_units(now_ms, window_ms)
        return SpentUnits(units, self._units_since(now_ms - LATE_MS))

    def told(self, now_ms: int, window_ms: int) -> Iterator[tuple[Process, SpentUnits]]:
        """Yield what each other process let pass in the window, as far as it was told."""
        for process, use in list(self._told.items()):
            if now_ms - use.said_at_ms >= window_ms:
                del self._told[process]
                continue
            yield process, use.remaining(now_ms, window_ms)

    def told_units(
        self, now_ms: int, window_ms: int, *, heard: Container[str]
    ) -> tuple[SpentUnits, SpentUnits]:
        """Return what all other processes let pass, and what those of heard VMs did."""
        every = of_heard = SpentUnits(0, 0)
        for (vm, _), spent in self.told(now_ms, window_ms):
            every = every.plus(spent)
            if vm in heard:
                of_heard = of_heard.plus(spent)
        return every, of_heard

    def note_passed(self, units: int, now_ms: int) -> None:
        """Count a request that is let pass, or with fewer than no units one that was not sent."""
        self._passed.append((now_ms, units))
        self._own_units += units

    def note_told(self, process: Process, spent: SpentUnits, now_ms: int) -> None:
        """Take in what another process says of its window."""
        self._told[process] = ToldUse(spent, now_ms)

    def _units_since(self, since_ms: int) -> int:
        units = 0
        for passed_at_ms, one in reversed(self._passed):
            if passed_at_ms <= since_ms:
                break
            units += one
        return units
