"""Events that the gateway's decisions are told, besides the core's own."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.framework import Event
from azureturn.gateway.decisions._peers import PeerReport
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.site import SiteView


class AttemptResult(StrEnum):
    """What became of one attempt at one upstream."""

    #: A whole answer that is no failure of the upstream's.
    ANSWERED = "answered"
    #: A whole answer that says that the upstream failed.
    FAILED = "failed"
    #: The upstream did not run it and never will.
    REJECTED = "rejected"
    #: No connection, so nothing was sent.
    UNREACHABLE = "unreachable"
    #: It broke off after something was sent.
    BROKEN = "broken"
    #: Nothing came in time.
    SILENT = "silent"
    #: This system ended it: the caller is gone, or its time is up.
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class GatewayStarted(Event):
    """The gateway starts."""

    vm: str
    #: By this VM's time of day.
    unix_ms: int


@dataclass(frozen=True)
class ViewChanged(Event):
    """The store, or a peer, told of a newer view."""

    view: SiteView


@dataclass(frozen=True)
class StoreRegained(Event):
    """The store answers again after an outage."""


@dataclass(frozen=True)
class UpstreamReached(Event):
    """A connection to an upstream that could not be reached was made again."""

    upstream: str


@dataclass(frozen=True)
class CallerArrived(Event):
    """A caller's request was read whole and checked."""

    request: GatewayRequest


@dataclass(frozen=True)
class PlacementWanted(Event):
    """Something of a service may be placed now (posted by the decisions themselves)."""

    service: str


@dataclass(frozen=True)
class FirstEventCame(Event):
    """The first event of an attempt at a stream has come."""

    request_id: str


@dataclass(frozen=True)
class AttemptEnded(Event):
    """An attempt has ended."""

    request_id: str
    result: AttemptResult
    #: Events that it brought.
    events: int = 0
    #: Time from the first event to the last.
    streamed_ms: int = 0


@dataclass(frozen=True)
class RequestClosed(Event):
    """A request has its final answer, or its caller is gone."""

    request_id: str


@dataclass(frozen=True)
class ReportWanted(Event):
    """Peers should be told now (posted by the decisions themselves)."""


@dataclass(frozen=True)
class PeerReported(Event):
    """A peer's report came."""

    report: PeerReport


@dataclass(frozen=True)
class VmLeaving(Event):
    """This VM is stopping."""
