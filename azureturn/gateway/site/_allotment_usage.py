"""Usage of organisations' allotments, in the form that VMs report to peers and store."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple


class AllotmentUsage(NamedTuple):
    """Units that one process admitted for an organisation in the sliding window.

    A unit is a request or a token, depending on the organisation's allotment.
    """

    units: int
    #: Those of ``units`` that were admitted most recently, and so are the last to leave the window.
    late_units: int = 0

    def plus(self, other: "AllotmentUsage") -> "AllotmentUsage":
        """Return the sum of both usages."""
        return AllotmentUsage(self.units + other.units, self.late_units + other.late_units)


@dataclass(frozen=True)
class ProcessUsage:
    """Units that one process of a VM admitted in the sliding window."""

    vm: str
    #: Boot id: a random number that the process drew when it started; it tells the processes of a
    #: VM apart.
    boot: int
    #: Keyed by the organisation's name.
    spent: Mapping[str, AllotmentUsage]


@dataclass(frozen=True)
class AllotmentRecord:
    """Units that all processes admitted in one window.

    It is kept in the store so that the usage is not lost when all VMs restart at once.
    """

    #: End of the window, by the clock of the VM that wrote the record, in ms since 1970.
    written_unix_ms: int
    processes: tuple[ProcessUsage, ...]
