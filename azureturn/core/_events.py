"""Events that the core handles, in addition to those of the framework."""

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
    """The daemon has started with this configuration."""

    configuration: Configuration
    #: Unique among all processes, including earlier ones of this VM.
    boot_id: str = ""


@dataclass(frozen=True)
class ConfigurationReceived(Event):
    """A revision was read from the key-value service or received from a peer."""

    configuration: Configuration


@dataclass(frozen=True)
class ConfigurationActivated(Event):
    """A higher revision has just become active (posted by the core itself)."""

    configuration: Configuration


@dataclass(frozen=True)
class RequestArrived(Event):
    """A caller's request was read completely and validated."""

    request: Request


@dataclass(frozen=True)
class PlacementDue(Event):
    """A queue or an upstream changed, so a request may be placeable (posted by the core itself)."""

    #: Model or plain service whose queue is to be placed.
    target: str
    #: Name of an upstream at which a request has just ended, or an empty string.
    freed_upstream: str = ""


@dataclass(frozen=True)
class Placed(Event):
    """An upstream was chosen for a request (posted by the core itself)."""

    request_id: str


@dataclass(frozen=True)
class ClaimRequested(Event):
    """A request that is not idempotent was placed and needs a claim (posted by the core itself)."""

    request_id: str


@dataclass(frozen=True)
class ClaimDecided(Event):
    """The request for a claim has a result (posted by the core itself)."""

    request_id: str
    result: ClaimResult
    #: The existing claim if the result is ``ClaimResult.FOREIGN``, otherwise None.
    claim: Claim | None = None


@dataclass(frozen=True)
class SegmentRead(Event):
    """A segment was read; an absent segment has revision 0 and no claims."""

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
    """A compare-and-swap failed because the segment has another revision."""

    segment: int
    operation_id: int


@dataclass(frozen=True)
class SegmentCallLost(Event):
    """A read or compare-and-swap had no answer; a swap may have taken effect or still may."""

    segment: int
    operation_id: int


@dataclass(frozen=True)
class CallSettled(Event):
    """A call that was sent under a claim or a ticket has ended."""

    claim_nonce: str
    outcome: ClaimOutcome


@dataclass(frozen=True)
class FirstByteSent(Event):
    """The first byte of a request is about to be sent to its upstream."""

    request_id: str


@dataclass(frozen=True)
class AnswerProgressed(Event):
    """A streamed answer has delivered this many tokens so far."""

    request_id: str
    output_tokens: int


@dataclass(frozen=True)
class RequestAnswered(Event):
    """The complete answer was received from the upstream."""

    request_id: str
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    #: HTTP status; a plain service may report a failure by it.
    status: int = 200
    #: Time from the dispatch to the first token; 0 if it was not observed.
    first_token_ms: int = 0


@dataclass(frozen=True)
class RequestFailed(Event):
    """A dispatch ended without a complete answer."""

    request_id: str
    kind: ErrorKind
    run_state: RunState


@dataclass(frozen=True)
class RequestRequeued(Event):
    """A request is requeued since the connection to its upstream failed (posted by the core).

    ``request`` is the row as it was when placed; its outstanding work at the upstream ends.
    """

    request: Request


@dataclass(frozen=True)
class CallerDisconnected(Event):
    """The caller closed its connection before it had the complete answer."""

    request_id: str


@dataclass(frozen=True)
class RequestEnded(Event):
    """A request is finished on this VM, with any result (posted by the core itself)."""

    request: Request


@dataclass(frozen=True)
class LoadReported(Event):
    """A load report was received from an upstream."""

    upstream: str
    report: LoadReport


@dataclass(frozen=True)
class UpstreamLeaving(Event):
    """An upstream is leaving, so that it gets no new work, or is in service again."""

    upstream: str
    leaving: bool


@dataclass(frozen=True)
class PeerStarted(Event):
    """The process of this VM has started."""

    identity: PeerIdentity


@dataclass(frozen=True)
class LeavingAnnounced(Event):
    """This VM is shutting down and has to announce this to its peers."""


@dataclass(frozen=True)
class PeersListed(Event):
    """The platform's VM list was read: the identity of each VM, and whether it is leaving."""

    peers: tuple[tuple[PeerIdentity, bool], ...]


@dataclass(frozen=True)
class HeartbeatReceived(Event):
    """A heartbeat was received from a peer, as a call or as the answer to one."""

    heartbeat: PeerHeartbeat
    #: True for a call, False for an answer.
    answer_wanted: bool


@dataclass(frozen=True)
class HeartbeatFailed(Event):
    """A peer did not answer a heartbeat."""

    vm: str


@dataclass(frozen=True)
class ImmediateGossipRequested(Event):
    """A row of this VM must be sent before the next regular heartbeat (posted by the core)."""


@dataclass(frozen=True)
class GossipRowsReceived(Event):
    """New or changed gossip rows were received from peers (posted by the core itself)."""

    rows: tuple[GossipRow, ...]


@dataclass(frozen=True)
class PeerWorkReported(Event):
    """A peer reported its outstanding work at an upstream."""

    vm: str
    upstream: str
    #: When the peer counted its work, by this VM's clock.
    taken_at_ms: int
    outstanding_requests: int
    outstanding_tokens: int


@dataclass(frozen=True)
class PeerPrefixSent(Event):
    """A peer sent a prompt to an upstream that had not received these leading blocks before."""

    vm: str
    upstream: str
    digests: tuple[str, ...]


@dataclass(frozen=True)
class PeerQueueReported(Event):
    """A peer of this availability zone reported its queue for a model or plain service."""

    vm: str
    target: str
    #: When the peer counted its queue, by this VM's clock.
    taken_at_ms: int
    #: Number of queued requests, by tier rank.
    queued_by_rank: tuple[int, ...]


@dataclass(frozen=True)
class PeerOfferDecided(Event):
    """The offers of a request to peers have a result."""

    request_id: str
    #: Name of the VM that accepts the request; empty if none does.
    accepting_vm: str = ""


@dataclass(frozen=True)
class RequestOffered(Event):
    """A peer offers this VM a request that it would otherwise shed."""

    request: Request
    from_vm: str


@dataclass(frozen=True)
class RequestDropped(Event):
    """A request was dropped before it was dispatched (posted by the core itself)."""

    request: Request
    kind: ErrorKind
    #: Delay after which a retry of the request should meet its deadline.
    retry_after_ms: int
