"""Actions that the gateway's controllers emit, in addition to those of the framework."""

from dataclasses import dataclass

from azureturn.framework import Action, RequestAction
from azureturn.gateway.decisions._peer_report import PeerReport
from azureturn.gateway.decisions._requests import Relay, TakeOverOffer
from azureturn.gateway.site import (
    AllotmentRecord,
    MoveStatus,
    QuarantineRecord,
    RegisteredUpstream,
)


@dataclass(frozen=True)
class SendAttempt(RequestAction):
    """Send the request to the upstream once; each sending of a request is one attempt."""

    upstream: RegisteredUpstream
    #: Logged with the attempt.
    reason: "PlacementReason"
    #: The peer that relays the connection; None for a direct connection.
    relay: Relay | None = None


@dataclass(frozen=True)
class PlacementReason:
    """Inputs of the decision that placed a request on an upstream."""

    #: Number of upstreams that were considered.
    candidates: int
    #: Expected time to the first event of a stream, or to a plain answer.
    expected_ms: int
    #: Estimated number of requests at the upstream, from all VMs.
    outstanding: int
    #: Time from the arrival of the request to this attempt.
    queued_ms: int
    #: Age of the oldest peer report that was used; -1 if there was none.
    report_age_ms: int


@dataclass(frozen=True)
class ReturnLastResult(RequestAction):
    """Return the result of the last attempt to the caller, without a further attempt."""

    reason: str


@dataclass(frozen=True)
class SendReport(Action):
    """Send this VM's status report to the given hosts."""

    report: PeerReport
    hosts: tuple[str, ...]
    #: The only hosts to which the list of known VMs in the report is sent as well.
    informed_hosts: frozenset[str] = frozenset()


@dataclass(frozen=True)
class FetchView(Action):
    """Fetch from a peer a view that is newer than a revision, or has a newer configuration."""

    vm: str
    host: str
    newer_than_revision: int
    #: Version of the configuration that the peer has.
    configuration_version: int = 0
    #: Whether the changes since that revision are enough.
    takes_changes: bool = False
    #: Whether the whole view is fetched otherwise.
    takes_whole: bool = True


@dataclass(frozen=True)
class WriteMoveStatus(Action):
    """Write a move's status if the status in the store still has the expected revision."""

    status: MoveStatus
    expected_revision: int
    #: Why the move is rolled back; empty for other states.
    reason: str = ""


@dataclass(frozen=True)
class WriteAllotmentRecord(Action):
    """Write the allotment record if the record in the store still has the expected revision."""

    record: AllotmentRecord
    expected_revision: int


@dataclass(frozen=True)
class WriteQuarantineRecord(Action):
    """Write the quarantine record if the record in the store still has the expected revision."""

    record: QuarantineRecord
    expected_revision: int


@dataclass(frozen=True)
class LogQuarantineChange(Action):
    """Log that traits of requests were put into quarantine, or that a quarantine ended."""

    traits: frozenset[str]
    #: Who found it or ended it: this VM, a peer or the store.
    source: str
    #: Number of upstreams' runs that ended under the traits, as far as this VM knows.
    crashes: int
    outcome: str


@dataclass(frozen=True)
class LogReachability(Action):
    """Log that this VM can connect to no upstream of a service, or to some again."""

    service: str
    #: Number of the service's upstreams that this VM can connect to.
    reachable: int
    upstreams: int
    live_peers: int


@dataclass(frozen=True)
class LogSilentUpstreams(Action):
    """Log that attempts wait and nothing is heard from any upstream over direct connections."""

    #: Direct attempts that have waited for long.
    attempts: int
    #: Number of upstreams that they were sent to.
    upstreams: int
    #: Time for which requests have been without any response.
    silent_ms: int
    live_peers: int


@dataclass(frozen=True)
class LogStoreRole(Action):
    """Log that this VM began or ceased to watch the store for its zone."""

    watches: bool
    live_peers: int


@dataclass(frozen=True)
class LogProcessingLimit(Action):
    """Log that the number of requests that this VM works on at the same time was changed."""

    limit: int
    in_progress: int
    waiting: int
    #: By how much the tasks of all requests were delayed.
    delay_ms: int


@dataclass(frozen=True)
class OfferTakeOver(Action):
    """Connect to another upstream for a request whose own one is silent.

    It is returned to whoever has reported the silence. Only if the connection opens, the answer
    that may still come is given up.
    """

    offer: TakeOverOffer


@dataclass(frozen=True)
class LogUpstreamLimit(Action):
    """Log that an engine gets fewer requests than it has slots, or as many again."""

    upstream: str
    #: Number of requests that it gets at most.
    limit: int
    slots: int
    #: Time that it takes for a token with all slots in use, as a multiple of the configured one.
    slowdown: float


@dataclass(frozen=True)
class LogRetainedUpstreams(Action):
    """Log that upstreams are used although their registrations are missing, or no longer so."""

    #: Names of the upstreams.
    names: tuple[str, ...]
    #: Duration of the outage of the store, as this VM saw it.
    outage_ms: int
    outcome: str


@dataclass(frozen=True)
class LogAvailability(Action):
    """Log what an upstream has said of its availability, and what follows."""

    upstream: str
    #: Who received the response: this VM or a peer.
    source: str
    #: Time for which it is sent no request; -1 if it is not limited.
    pause_ms: int
    outcome: str


@dataclass(frozen=True)
class LogColdUpstream(Action):
    """Log that an upstream is taken for cold, or no longer."""

    upstream: str
    #: What it is known from: the registration, a response, a peer or its start.
    source: str
    #: How much longer it stays cold; -1 if that is not known.
    left_ms: int
    outcome: str


@dataclass(frozen=True)
class LogAllotmentRestore(Action):
    """Log which allotment usage was restored from before this process started."""

    #: Number of processes in the record; 0 if there is no record.
    processes: int
    #: Age of the record; -1 if there is none.
    age_ms: int
    record_used: bool


@dataclass(frozen=True)
class ProbeConnection(Action):
    """Try to connect to an upstream, and ask it for its status if ``status_path`` is not empty.

    A success is reported by :class:`UpstreamReconnected`, a refused connection by
    :class:`UpstreamProcessEnded`, another failure to connect by :class:`UpstreamConnectionFailed`,
    and a missing response by :class:`UpstreamSilent`. Through a relay, only a refused connection is
    reported.
    """

    upstream: RegisteredUpstream
    #: Whether it has just broken off an answer; otherwise it could not be reached before.
    after_broken_answer: bool = False
    #: The peer that relays the connection; None for a direct connection.
    relay: Relay | None = None
    #: Path of the upstream's status page; empty if connecting is enough.
    status_path: str = ""
