"""What organisations have used of their allotments, as VMs tell it and as it is kept."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class SpentUnits:
    """What one process let pass for an organisation in the last window."""

    units: int
    #: Those of them that it let pass in the last part of the window, which leave it last.
    late_units: int = 0

    def plus(self, other: "SpentUnits") -> "SpentUnits":
        """Return the sum."""
        return SpentUnits(self.units + other.units, self.late_units + other.late_units)


@dataclass(frozen=True)
class ProcessUse:
    """What one process of a VM let pass in the last window."""

    vm: str
    #: Unlike that of any other process of the VM.
    boot: int
    #: By organisation.
    spent: Mapping[str, SpentUnits]


@dataclass(frozen=True)
class AllotmentRecord:
    """What all processes let pass in the window before a moment, kept for a start of all VMs."""

    #: By the writer's time of day.
    written_unix_ms: int
    processes: tuple[ProcessUse, ...]
