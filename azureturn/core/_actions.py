"""Actions: everything that the core asks of the adapters, besides the framework's own."""

from dataclasses import dataclass

from azureturn.core._claim_segments import ClaimSegment
from azureturn.core._claims import Claim
from azureturn.core._requests import Request
from azureturn.core.membership import PeerHeartbeat, PeerIdentity
from azureturn.framework import Action, RequestAction


@dataclass(frozen=True)
class Dispatch(RequestAction):
    """Send the request to this upstream, once."""

    upstream: str
    #: Version of the model that is to answer; empty where the upstream chooses.
    version: str = ""
    #: Nonce of the claim or ticket that it is sent under; empty for idempotent requests.
    claim_nonce: str = ""


@dataclass(frozen=True)
class AskClaimant(RequestAction):
    """An earlier request holds the claim: its answer is to be shared."""

    claim: Claim


@dataclass(frozen=True)
class CancelAtUpstream(RequestAction):
    """Nobody waits for the answer: stop the upstream's work on it."""

    upstream: str


@dataclass(frozen=True)
class ReadSegment(Action):
    """Read a segment of claims."""

    segment: int
    operation_id: int


@dataclass(frozen=True)
class SwapSegment(Action):
    """Write a segment of claims if it is still at a revision; 0 means that it is absent."""

    segment: int
    operation_id: int
    expected_revision: int
    content: ClaimSegment


@dataclass(frozen=True)
class ClaimAbandoned(Action):
    """This process will never send the call under this nonce: tell those who wait for it."""

    claim_nonce: str


@dataclass(frozen=True)
class SendHeartbeat(Action):
    """Exchange heartbeats with a peer."""

    peer: PeerIdentity
    heartbeat: PeerHeartbeat


@dataclass(frozen=True)
class AnswerHeartbeat(Action):
    """Answer the heartbeat that was just received."""

    heartbeat: PeerHeartbeat


@dataclass(frozen=True)
class FetchConfiguration(Action):
    """A peer has a higher revision of the configuration: get it there."""

    peer: PeerIdentity
    revision: int


@dataclass(frozen=True)
class AskPeersToTake(Action):
    """Ask these VMs, in turn, to take a request before it is shed here.

    The answer comes back as a ``PeersDecided`` event; without one in time the request is
    refused.
    """

    request_id: str
    request: Request
    vms: tuple[str, ...]


@dataclass(frozen=True)
class ForwardToPeer(RequestAction):
    """A peer takes the request, which has left every queue here: relay its answer."""

    vm: str


@dataclass(frozen=True)
class AnswerOffer(Action):
    """Tell the peer that offered a request whether this VM takes it."""

    request_id: str
    to_vm: str
    accepted: bool
