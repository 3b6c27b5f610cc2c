"""Documents of the store besides the configuration: upstreams, VMs and version moves."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.gateway.site._allotment_use import AllotmentRecord
from azureturn.gateway.site._configuration import SiteConfiguration


@dataclass(frozen=True)
class RegisteredUpstream:
    """One upstream, as it registered itself in the store."""

    name: str
    service: str
    host: str
    port: int
    availability_zone: str
    version: str
    slots: int
    #: Whether it is draining and must get no new requests.
    is_leaving: bool = False
    #: Start time of this run, in ms since 1970; 0 if not stated.
    started_unix_ms: int = 0

    @property
    def run(self) -> tuple[str, int]:
        """Return an identifier that differs between two runs of an upstream."""
        return (self.name, self.started_unix_ms)


@dataclass(frozen=True)
class RegisteredVm:
    """One gateway VM, as it registered itself in the store."""

    name: str
    host: str
    port: int


class MoveState(StrEnum):
    """State of a version move."""

    RUNNING = "running"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class MoveOrder:
    """An operator's order to move a service to another version within a given time."""

    service: str
    version: str
    duration_ms: int


@dataclass(frozen=True)
class MoveStatus:
    """The status of a move, as the gateway publishes it."""

    service: str
    version: str
    state: MoveState


#: Any document of the store that the gateway understands.
DocumentContent = (
    SiteConfiguration | RegisteredUpstream | RegisteredVm | MoveOrder | MoveStatus | AllotmentRecord
)
