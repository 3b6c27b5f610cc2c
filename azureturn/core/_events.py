"""Events: everything that the core is told."""

from dataclasses import dataclass

from azureturn.core._claim_segments import ClaimSegment
from azureturn.core._claims import Claim, ClaimOutcome, ClaimResult
from azureturn.core._configuration import Configuration
from azureturn.core._requests import Request
from azureturn.core._upstreams import LoadReport
from azureturn.errors import ErrorKind, RunState


class Event:
    """The base of every event."""


@dataclass(frozen=True)
class Started(Event):
    """The daemon starts with this configuration."""

    configuration: Configuration
    #: Unlike that of any other process, earlier ones of this VM included.
    boot_id: str = ""


@dataclass(frozen=True)
class Tick(Event):
    """Time has passed."""


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


@dataclass(frozen=True)
class RequestFailed(Event):
    """A dispatch ended without a whole answer."""

    request_id: str
    kind: ErrorKind
    run_state: RunState


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
