"""Events handled by the gateway's controllers, in addition to those of the framework."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.framework import Event
from azureturn.gateway.decisions._peer_report import PeerReport
from azureturn.gateway.decisions._requests import GatewayRequest, TakeOverOffer
from azureturn.gateway.site import SiteView, StatedAvailability, StatedLimits, UpstreamRun


class AttemptResult(StrEnum):
    """Result of one attempt at one upstream."""

    #: A complete answer that is not a failure of the upstream.
    ANSWERED = "answered"
    #: A complete answer that reports a failure of the upstream.
    FAILED = "failed"
    #: The upstream did not run the request and will not do so later.
    REJECTED = "rejected"
    #: Nothing was sent, because the upstream wants no requests any more or for a while.
    WITHHELD = "withheld"
    #: The connection failed, so nothing was sent.
    UNREACHABLE = "unreachable"
    #: The connection was lost after something had been sent.
    BROKEN = "broken"
    #: Nothing was received before the time-out.
    SILENT = "silent"
    #: The gateway cancelled the attempt: the caller disconnected or its deadline passed.
    ABANDONED = "abandoned"


#: Results of attempts in which nothing was sent.
NOT_SENT_RESULTS = (AttemptResult.UNREACHABLE, AttemptResult.WITHHELD)
#: Results of attempts in which the upstream has not run the request and never will.
NOT_RUN_RESULTS = (AttemptResult.REJECTED, *NOT_SENT_RESULTS)


@dataclass(frozen=True)
class GatewayStarted(Event):
    """The gateway process has started."""

    vm: str
    #: Wall-clock time of this VM.
    unix_ms: int


@dataclass(frozen=True)
class ViewChanged(Event):
    """A newer view was received from the store or a peer."""

    view: SiteView


@dataclass(frozen=True)
class StoreReached(Event):
    """The store answers this VM, for the first time or again after calls that failed."""

    #: Time from the last answer before the failures to this one; 0 if no call failed.
    outage_ms: int = 0


@dataclass(frozen=True)
class StoreLost(Event):
    """A call to the store failed."""


@dataclass(frozen=True)
class StoreAnswered(Event):
    """The view contains all changes as of the start of a call that the store has answered."""

    asked_at_ms: int


@dataclass(frozen=True)
class UpstreamReconnected(Event):
    """A probe of an upstream over a direct connection succeeded."""

    upstream: str
    #: Whether it responded to a request for its status, and did not only accept the connection.
    has_responded: bool = False


@dataclass(frozen=True)
class UpstreamSilent(Event):
    """An upstream accepted the connection of a probe, but did not respond."""

    run: UpstreamRun


@dataclass(frozen=True)
class UpstreamProcessEnded(Event):
    """A connection probe was refused: no process accepts connections at the upstream's address."""

    run: UpstreamRun


@dataclass(frozen=True)
class UpstreamConnectionFailed(Event):
    """A connection probe, or a connection for a peer, failed without being refused."""

    run: UpstreamRun


@dataclass(frozen=True)
class AvailabilityStated(Event):
    """A response of an upstream stated something of its availability."""

    run: UpstreamRun
    availability: StatedAvailability
    #: Name of the peer that relayed the response; empty if it came directly.
    relay_vm: str = ""
    #: A time before the request was sent.
    asked_at_ms: int = 0


@dataclass(frozen=True)
class ServicePaused(Event):
    """All upstreams of a service want no requests for a while (posted by controllers)."""

    service: str
    #: Time until the first of them takes requests again.
    wait_ms: int


@dataclass(frozen=True)
class RequestReceived(Event):
    """A caller's request was read completely and validated."""

    request: GatewayRequest


@dataclass(frozen=True)
class PlacementRequested(Event):
    """There may be capacity now for queued requests of a service (posted by controllers)."""

    service: str


@dataclass(frozen=True)
class RequestAdmitted(Event):
    """A request is within its organisation's allotment (posted by controllers)."""

    request: GatewayRequest


@dataclass(frozen=True)
class RequestQueued(Event):
    """A request was queued and placed if there was capacity (posted by controllers)."""


@dataclass(frozen=True)
class RequestUnservable(Event):
    """A planned stop leaves no time for a queued request (posted by controllers).

    It was taken out of its queue.
    """

    request: GatewayRequest
    #: Why it is not expected to be answered in time.
    detail: str


@dataclass(frozen=True)
class FirstEventReceived(Event):
    """The first event of the response stream to a request was received from the upstream."""

    request_id: str
    #: What the head of the response states.
    limits: StatedLimits = StatedLimits()


@dataclass(frozen=True)
class AttemptEnded(Event):
    """The current attempt of a request has ended."""

    request_id: str
    result: AttemptResult
    #: Number of events of the response stream that were received; 0 for a plain answer.
    event_count: int = 0
    #: Time from the first event to the last one.
    streamed_ms: int = 0
    #: Whether another attempt can provide the rest of the response.
    is_resumable: bool = True
    #: Time from the head of the response to the end of the attempt; None if there was no head.
    answering_ms: int | None = None
    #: What the head of the response states.
    limits: StatedLimits = StatedLimits()
    #: Interval between events of the stream while nothing delayed them; 0 if it was not measured.
    pace_ms: int = 0


@dataclass(frozen=True)
class AttemptStalled(Event):
    """The upstream of a request's current attempt is silent; the answer may still come.

    Without ``offer``, the core offers another upstream that has room, if there is one. With it,
    that upstream has been connected: the attempt ends as ``ended`` says if it still has room.
    """

    ended: AttemptEnded
    offer: TakeOverOffer | None = None


@dataclass(frozen=True)
class TakeOverRequested(Event):
    """A request may be taken over from its silent upstream (posted by controllers)."""

    stalled: AttemptStalled


@dataclass(frozen=True)
class RequestTakenOver(Event):
    """A request's attempt at a silent upstream has been ended (posted by controllers)."""

    request_id: str


@dataclass(frozen=True)
class TraitsQuarantined(Event):
    """Traits of requests were put into quarantine (posted by controllers)."""

    traits: frozenset[str]


@dataclass(frozen=True)
class RequestClosed(Event):
    """A request has received its final answer, or its caller has disconnected."""

    request_id: str


@dataclass(frozen=True)
class ReportRequested(Event):
    """A report is to be sent to the peers immediately (posted by controllers)."""


@dataclass(frozen=True)
class PeerReportReceived(Event):
    """A peer's report was received."""

    report: PeerReport


@dataclass(frozen=True)
class VmLeaving(Event):
    """This VM has begun a planned stop."""

    #: Until when requests can be answered.
    ends_at_ms: int
