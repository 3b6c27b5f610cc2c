"""Use of organisations' allotments, as VMs report it and as it is recorded in the store."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class SpentUnits:
    """Units that one process admitted for an organisation in the last window."""

    units: int
    #: The part of ``units`` that was admitted in the last part of the window, and so expires last.
    late_units: int = 0

    def plus(self, other: "SpentUnits") -> "SpentUnits":
        """Return the sum."""
        return SpentUnits(self.units + other.units, self.late_units + other.late_units)


@dataclass(frozen=True)
class ProcessUse:
    """Units that one process of a VM admitted in the last window."""

    vm: str
    #: Identifies the process; differs from that of any other process of the VM.
    boot: int
    #: By name of the organisation.
    spent: Mapping[str, SpentUnits]


@dataclass(frozen=True)
class AllotmentRecord:
    """Units that all processes admitted in a window; recorded for a start of all VMs at once."""

    #: End of the window, by the clock of the VM that wrote the record, in ms since 1970.
    written_unix_ms: int
    processes: tuple[ProcessUse, ...]
