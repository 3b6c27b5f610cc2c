"""Actions that the gateway's decisions ask of the adapters, besides the core's own."""

from dataclasses import dataclass

from azureturn.framework import Action, RequestAction
from azureturn.gateway.decisions._peers import PeerReport
from azureturn.gateway.site import AllotmentRecord, MoveStatus, RegisteredUpstream


@dataclass(frozen=True)
class SendAttempt(RequestAction):
    """Send the request to this upstream, once."""

    upstream: RegisteredUpstream
    #: What decided it, for the log.
    reason: "PlacementReason"


@dataclass(frozen=True)
class PlacementReason:
    """Why an upstream was chosen."""

    #: Upstreams that could have been chosen.
    candidates: int
    #: Expected time to the first event or the answer.
    expected_ms: int
    #: Requests there, from all VMs, by estimate.
    outstanding: int
    queued_ms: int
    #: Age of the oldest peer report that counted.
    report_age_ms: int


@dataclass(frozen=True)
class Conclude(RequestAction):
    """There is no further try: tell the caller what the last one brought."""

    reason: str


@dataclass(frozen=True)
class SendReport(Action):
    """Send this report to these hosts."""

    report: PeerReport
    hosts: tuple[str, ...]


@dataclass(frozen=True)
class FetchView(Action):
    """Ask a peer for its view, which is newer."""

    vm: str
    host: str
    newer_than_revision: int


@dataclass(frozen=True)
class WriteStatus(Action):
    """Write what is to be said of a move, if its status is still at a revision."""

    status: MoveStatus
    expected_revision: int


@dataclass(frozen=True)
class WriteAllotmentRecord(Action):
    """Write what organisations have used, if the record is still at a revision."""

    record: AllotmentRecord
    expected_revision: int


@dataclass(frozen=True)
class TellRecall(Action):
    """Say what was recalled of the allotments that were used before this process began."""

    processes: int
    #: Age of the record; -1 where there is none.
    age_ms: int
    relied_on: bool


@dataclass(frozen=True)
class TryConnection(Action):
    """Try to connect to an upstream that could not be reached, and say whether that succeeded."""

    upstream: RegisteredUpstream
