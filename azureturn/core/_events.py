"""Events: everything that the core is told, besides the framework's own."""

from dataclasses import dataclass

from azureturn.core._claim_segments import ClaimSegment
from azureturn.core._claims import Claim, ClaimOutcome, ClaimResult
from azureturn.core._configuration import Configuration
from azureturn.core._requests import Request
from azureturn.core._upstreams import LoadReport
from azureturn.core.membership import GossipRow, PeerHeartbeat, PeerIdentity
from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Event


@dataclass(frozen=True)
class Started(Event):
    """The daemon starts with this configuration."""

    configuration: Configuration
    #: Unlike that of any other process, earlier ones of this VM included.
    boot_id: str = ""


@dataclass(frozen=True)
class ConfigurationReceived(Event):
    """A revision was read from the key-value service or heard from a peer."""

    configuration: Configuration


@dataclass(frozen=True)
class ConfigurationInForce(Event):
    """A higher revision has just been put in force (posted by the core itself)."""

    configuration: Configuration


@dataclass(frozen=True)
class RequestArrived(Event):
    """A caller's request was read whole and checked."""

    request: Request


@dataclass(frozen=True)
class PlacementDue(Event):
    """A queue or an upstream changed, so something may be placed (posted by the core itself)."""

    target: str
    #: Name of an upstream that has just become free, or an empty string.
    freed: str = ""


@dataclass(frozen=True)
class Placed(Event):
    """An upstream was chosen for a request (posted by the core itself)."""

    request_id: str


@dataclass(frozen=True)
class ClaimSought(Event):
    """A placed call needs the right to run (posted by the core itself)."""

    request_id: str


@dataclass(frozen=True)
class ClaimDecided(Event):
    """It is decided who may run a call (posted by the core itself)."""

    request_id: str
    result: ClaimResult
    #: Where the claim is another's: that claim.
    claim: Claim | None = None


@dataclass(frozen=True)
class SegmentRead(Event):
    """A read of a segment was answered; an absent one has revision 0 and no claims."""

    segment: int
    operation_id: int
    revision: int
    content: ClaimSegment


@dataclass(frozen=True)
class SegmentSwapped(Event):
    """A compare-and-swap took effect."""

    segment: int
    operation_id: int
    revision: int


@dataclass(frozen=True)
class SegmentChanged(Event):
    """A compare-and-swap found another revision than the one it compared with."""

    segment: int
    operation_id: int


@dataclass(frozen=True)
class SegmentCallLost(Event):
    """A read or a compare-and-swap had no answer; a swap may have taken effect, or still may."""

    segment: int
    operation_id: int


@dataclass(frozen=True)
class CallSettled(Event):
    """A call that was sent under a claim or a ticket has ended."""

    claim_nonce: str
    outcome: ClaimOutcome


@dataclass(frozen=True)
class FirstByteSent(Event):
    """The first byte of a request is about to leave for its upstream."""

    request_id: str


@dataclass(frozen=True)
class AnswerProgressed(Event):
    """A stream has brought this many tokens so far."""

    request_id: str
    output_tokens: int


@dataclass(frozen=True)
class RequestAnswered(Event):
    """The whole answer came from the upstream."""

    request_id: str
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    #: HTTP status, which a plain service may use to say that it failed.
    status: int = 200
    #: Time from the dispatch to the first token; 0 where it was not seen.
    first_token_ms: int = 0


@dataclass(frozen=True)
class RequestFailed(Event):
    """A dispatch ended without a whole answer."""

    request_id: str
    kind: ErrorKind
    run_state: RunState


@dataclass(frozen=True)
class RequestReturned(Event):
    """A request waits again since its upstream could not be connected to (posted by the core).

    ``request`` is as it was when it was placed; what it took there is free again.
    """

    request: Request


@dataclass(frozen=True)
class CallerLeft(Event):
    """The caller closed its connection before the whole answer."""

    request_id: str


@dataclass(frozen=True)
class RequestEnded(Event):
    """A request has left this VM, whatever became of it (posted by the core itself)."""

    request: Request


@dataclass(frozen=True)
class LoadReported(Event):
    """An upstream's own load report was read."""

    upstream: str
    report: LoadReport


@dataclass(frozen=True)
class UpstreamLeaving(Event):
    """An upstream is known to leave, or to be back."""

    upstream: str
    leaving: bool


@dataclass(frozen=True)
class PeerStarted(Event):
    """This VM's own process has started."""

    identity: PeerIdentity


@dataclass(frozen=True)
class LeavingAnnounced(Event):
    """This VM is leaving."""


@dataclass(frozen=True)
class PeersListed(Event):
    """The platform's list of VMs was read: each VM, and whether it is leaving."""

    peers: tuple[tuple[PeerIdentity, bool], ...]


@dataclass(frozen=True)
class HeartbeatReceived(Event):
    """A peer's heartbeat came, as a call or as the answer to one."""

    heartbeat: PeerHeartbeat
    #: True for a call.
    answer_wanted: bool


@dataclass(frozen=True)
class HeartbeatFailed(Event):
    """A peer did not answer."""

    vm: str


@dataclass(frozen=True)
class NewsIsUrgent(Event):
    """A row of this VM's own should not wait for the next heartbeat (posted by the core)."""


@dataclass(frozen=True)
class RowsReceived(Event):
    """Peers' rows brought news (posted by the core itself)."""

    rows: tuple[GossipRow, ...]


@dataclass(frozen=True)
class PeerWorkReported(Event):
    """A peer said what it has outstanding at an upstream."""

    vm: str
    upstream: str
    #: When the peer took the figures, by this VM's clock.
    taken_at_ms: int
    outstanding_requests: int
    outstanding_tokens: int


@dataclass(frozen=True)
class PeerPrefixSent(Event):
    """A peer sent a prompt with these leading blocks to an upstream that was new to them."""

    vm: str
    upstream: str
    digests: tuple[str, ...]


@dataclass(frozen=True)
class PeerQueueReported(Event):
    """A peer of this availability zone said what waits in its queue for a target."""

    vm: str
    target: str
    #: When the peer took the figures, by this VM's clock.
    taken_at_ms: int
    #: Requests that wait, by tier rank.
    queued_by_rank: tuple[int, ...]


@dataclass(frozen=True)
class PeersDecided(Event):
    """The peers that were asked have said whether one of them takes a request."""

    request_id: str
    #: Name of the VM that takes it; empty where none does.
    taken_by: str = ""


@dataclass(frozen=True)
class RequestOffered(Event):
    """A peer asks this VM to take a request that it would have to shed."""

    request: Request
    from_vm: str


@dataclass(frozen=True)
class RequestGivenUp(Event):
    """A request that was not dispatched has no place here any more (posted by the core itself)."""

    request: Request
    kind: ErrorKind
    #: When the same request, come again, would be served in time.
    retry_after_ms: int
