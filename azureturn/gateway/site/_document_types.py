"""The documents in the store other than the configuration: upstreams, VMs and version moves."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.gateway.site._allotment_usage import AllotmentRecord
from azureturn.gateway.site._configuration import SiteConfiguration
from azureturn.gateway.site._quarantine import QuarantineRecord

#: Name of an upstream and start time of its process, in ms since 1970. A run is the time from a
#: start of the process to its end.
UpstreamRun = tuple[str, int]


@dataclass(frozen=True)
class RegisteredUpstream:
    """One upstream, as it registers itself in the store."""

    name: str
    service: str
    host: str
    port: int
    availability_zone: str
    #: Version of the service that the upstream runs.
    version: str
    #: Number of requests that it runs concurrently.
    slots: int
    #: Whether it is draining: it completes its requests and must get no new ones.
    is_leaving: bool = False
    #: Start time of this run, in ms since 1970; 0 if not stated.
    started_unix_ms: int = 0
    #: How much longer it stayed cold when it wrote its registration; None if not stated.
    cold_left_ms: int | None = None

    @property
    def run(self) -> UpstreamRun:
        """Return the id of the current run."""
        return (self.name, self.started_unix_ms)


@dataclass(frozen=True)
class RegisteredVm:
    """One gateway VM, as it registers itself in the store."""

    name: str
    host: str
    port: int


class MoveState(StrEnum):
    """State of a version move: the gradual shift of a service's requests to another version."""

    RUNNING = "running"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class MoveOrder:
    """An operator's order to shift a service's requests to another version in a given time."""

    service: str
    version: str
    duration_ms: int


@dataclass(frozen=True)
class MoveStatus:
    """The status of a move, as the gateway publishes it to operators."""

    service: str
    version: str
    state: MoveState


@dataclass(frozen=True)
class EvacuationOrder:
    """An operator's order to send nothing more to the upstreams of an availability zone."""

    zone: str


#: Content of any document in the store that the gateway can decode.
DocumentContent = (
    SiteConfiguration
    | EvacuationOrder
    | RegisteredUpstream
    | RegisteredVm
    | MoveOrder
    | MoveStatus
    | AllotmentRecord
    | QuarantineRecord
)
