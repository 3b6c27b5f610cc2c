"""Actions that the gateway's controllers request, in addition to those of the framework."""

from dataclasses import dataclass

from azureturn.framework import Action, RequestAction
from azureturn.gateway.decisions._peers import PeerReport
from azureturn.gateway.site import AllotmentRecord, MoveStatus, RegisteredUpstream


@dataclass(frozen=True)
class SendAttempt(RequestAction):
    """Send the request to the upstream, as a single attempt."""

    upstream: RegisteredUpstream
    #: Inputs of the decision, for the log.
    reason: "PlacementReason"


@dataclass(frozen=True)
class PlacementReason:
    """Inputs of the decision to choose an upstream."""

    #: Number of upstreams that were considered.
    candidates: int
    #: Expected time to the first event of a stream, or to a plain answer.
    expected_ms: int
    #: Estimated number of requests at the upstream, from all VMs.
    outstanding: int
    queued_ms: int
    #: Age of the oldest peer report that was used; -1 if there was none.
    report_age_ms: int


@dataclass(frozen=True)
class ReturnLastResult(RequestAction):
    """Return the result of the last attempt to the caller; there is no further attempt."""

    reason: str


@dataclass(frozen=True)
class SendReport(Action):
    """Send a report to the given hosts."""

    report: PeerReport
    hosts: tuple[str, ...]


@dataclass(frozen=True)
class FetchView(Action):
    """Fetch a newer view from a peer."""

    vm: str
    host: str
    newer_than_revision: int


@dataclass(frozen=True)
class WriteMoveStatus(Action):
    """Write the status of a move, provided that the stored one still has the expected revision."""

    status: MoveStatus
    expected_revision: int


@dataclass(frozen=True)
class WriteAllotmentRecord(Action):
    """Write the usage record, provided that the stored one still has the expected revision."""

    record: AllotmentRecord
    expected_revision: int


@dataclass(frozen=True)
class LogAllotmentRestore(Action):
    """Log which allotment usage was restored from before this process started."""

    processes: int
    #: Age of the record; -1 if there is none.
    age_ms: int
    record_used: bool


@dataclass(frozen=True)
class ProbeConnection(Action):
    """Probe an unreachable upstream with a connection; a success is reported as an event."""

    upstream: RegisteredUpstream
