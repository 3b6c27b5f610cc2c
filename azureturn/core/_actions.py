"""Actions that the core requests from the adapters, in addition to those of the framework."""

from dataclasses import dataclass

from azureturn.core._claim_segments import ClaimSegment
from azureturn.core._claims import Claim
from azureturn.core._requests import Request
from azureturn.core.membership import PeerHeartbeat, PeerIdentity
from azureturn.framework import Action, RequestAction


@dataclass(frozen=True)
class Dispatch(RequestAction):
    """Send the request to the upstream exactly once."""

    upstream: str
    #: Model version that must answer; empty if the upstream chooses.
    version: str = ""
    #: Nonce of the claim or ticket under which the request is sent; empty for idempotent requests.
    claim_nonce: str = ""


@dataclass(frozen=True)
class QueryClaimHolder(RequestAction):
    """Obtain the answer from the process that holds the claim of the same call."""

    claim: Claim


@dataclass(frozen=True)
class CancelAtUpstream(RequestAction):
    """Cancel the request at the upstream, since no caller waits for the answer."""

    upstream: str


@dataclass(frozen=True)
class ReadSegment(Action):
    """Read a claim segment."""

    segment: int
    operation_id: int


@dataclass(frozen=True)
class SwapSegment(Action):
    """Write a claim segment by compare-and-swap; expected revision 0 means that it is absent."""

    segment: int
    operation_id: int
    expected_revision: int
    content: ClaimSegment


@dataclass(frozen=True)
class ClaimAbandoned(Action):
    """Notify waiting duplicates that this process will never send the call under this nonce."""

    claim_nonce: str


@dataclass(frozen=True)
class SendHeartbeat(Action):
    """Exchange heartbeats with a peer."""

    peer: PeerIdentity
    heartbeat: PeerHeartbeat


@dataclass(frozen=True)
class AnswerHeartbeat(Action):
    """Answer the heartbeat that is being handled."""

    heartbeat: PeerHeartbeat


@dataclass(frozen=True)
class FetchConfiguration(Action):
    """Fetch a configuration with a higher revision from a peer."""

    peer: PeerIdentity
    revision: int


@dataclass(frozen=True)
class OfferToPeers(Action):
    """Offer a request to these VMs, one after another, before this VM refuses it.

    The result is reported by a ``PeerOfferDecided`` event. If none arrives in time, the request is
    refused.
    """

    request_id: str
    request: Request
    vms: tuple[str, ...]


@dataclass(frozen=True)
class ForwardToPeer(RequestAction):
    """Forward a request, which this VM no longer queues, to a peer and relay the peer's answer."""

    vm: str


@dataclass(frozen=True)
class AnswerOffer(Action):
    """Tell the peer that offered a request whether this VM accepts it."""

    request_id: str
    to_vm: str
    accepted: bool
