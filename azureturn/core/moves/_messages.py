"""Events and actions of version moves."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.core.moves._evidence import CondemnedMove, EvidenceRow
from azureturn.core.moves._types import MoveReason, MoveRecord, MoveState
from azureturn.framework import Action, Event


@dataclass(frozen=True)
class StoredMove:
    """A move record with its revision in the key-value service."""

    record: MoveRecord
    revision: int


@dataclass(frozen=True)
class MovesRead(Event):
    """All move records were read from the key-value service at the given wall-clock time."""

    moves: tuple[StoredMove, ...]
    unix_ms: int


class WriteResult(StrEnum):
    """Result of a compare-and-swap of a record."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    #: No response: the write may have taken effect or may still do so, as the next read will show.
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class MoveWritten(Event):
    """A :class:`WriteMove` has finished."""

    record: MoveRecord
    result: WriteResult
    #: The new revision, if the record was written.
    revision: int = 0


class OrderKind(StrEnum):
    """Operation that an engine (an upstream that serves models) is ordered to perform."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class OrderEnded(Event):
    """An order was executed, was refused, or timed out."""

    upstream: str
    kind: OrderKind
    #: Whether the order was executed.
    done: bool
    took_ms: int


@dataclass(frozen=True)
class VersionsObserved(Event):
    """The versions that an upstream has loaded; None if it did not respond."""

    upstream: str
    versions: frozenset[str] | None


@dataclass(frozen=True)
class EvidenceReceived(Event):
    """Evidence and the ids of ended moves received from peers; posted by the core itself."""

    rows: tuple[EvidenceRow, ...]
    condemned: tuple[CondemnedMove, ...] = ()
    completed: tuple[str, ...] = ()


@dataclass(frozen=True)
class WriteMove(Action):
    """Write a record by compare-and-swap, without retries."""

    record: MoveRecord
    expected_revision: int


@dataclass(frozen=True)
class SendOrder(Action):
    """Send an order to an engine, without retries, with the lease holder's fencing number."""

    upstream: str
    kind: OrderKind
    version: str
    fence: int


@dataclass(frozen=True)
class ObserveVersions(Action):
    """Query the versions that an engine has loaded."""

    upstream: str


@dataclass(frozen=True)
class ReportMove(Action):
    """Report a move to operators after its state, reason, detail or share at this VM changed."""

    model: str
    move_id: str
    state: MoveState
    reason: MoveReason
    detail: str
    share: float
