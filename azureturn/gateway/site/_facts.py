"""What the store says besides the configuration: upstreams, VMs and version moves."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.gateway.site._allotment_use import AllotmentRecord
from azureturn.gateway.site._configuration import SiteConfiguration


@dataclass(frozen=True)
class RegisteredUpstream:
    """One upstream as it registered itself."""

    name: str
    service: str
    host: str
    port: int
    availability_zone: str
    version: str
    slots: int
    #: It gets no new work.
    is_leaving: bool = False
    #: When this run of it started, in ms since 1970; 0 where it does not say.
    started_unix_ms: int = 0

    @property
    def run(self) -> tuple[str, int]:
        """Return what differs between two runs of an upstream."""
        return (self.name, self.started_unix_ms)


@dataclass(frozen=True)
class RegisteredVm:
    """One VM of this system as it registered itself."""

    name: str
    host: str
    port: int


class MoveState(StrEnum):
    """How far a version move has come."""

    RUNNING = "running"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class MoveOrder:
    """An operator's order to move a service to another version in a given time."""

    service: str
    version: str
    duration_ms: int


@dataclass(frozen=True)
class MoveStatus:
    """What this system says of a move."""

    service: str
    version: str
    state: MoveState


Fact = (
    SiteConfiguration | RegisteredUpstream | RegisteredVm | MoveOrder | MoveStatus | AllotmentRecord
)
