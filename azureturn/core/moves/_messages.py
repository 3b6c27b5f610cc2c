"""Events and actions of version moves."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.core.moves._evidence import CondemnedMove, EvidenceRow
from azureturn.core.moves._types import MoveReason, MoveRecord, MoveState
from azureturn.framework import Action, Event


@dataclass(frozen=True)
class StoredMove:
    """A record together with the service's revision of it."""

    record: MoveRecord
    revision: int


@dataclass(frozen=True)
class MovesRead(Event):
    """The service was read: these are all records, and this is the time of day."""

    moves: tuple[StoredMove, ...]
    unix_ms: int


class WriteResult(StrEnum):
    """How a compare-and-swap of a record ended."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    #: No answer came: it may have taken effect, or may yet. The next read tells.
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class MoveWritten(Event):
    """A :class:`WriteMove` has ended."""

    record: MoveRecord
    result: WriteResult
    #: The new revision, where it was written.
    revision: int = 0


class OrderKind(StrEnum):
    """What an engine is told to do with a version."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class OrderEnded(Event):
    """An order was carried out, or refused, or got no answer in time."""

    upstream: str
    kind: OrderKind
    done: bool
    took_ms: int


@dataclass(frozen=True)
class VersionsObserved(Event):
    """An upstream said which versions it has; None where it did not answer."""

    upstream: str
    versions: frozenset[str] | None


@dataclass(frozen=True)
class EvidenceReceived(Event):
    """Peers told what they know (posted by the core itself)."""

    rows: tuple[EvidenceRow, ...]
    condemned: tuple[CondemnedMove, ...] = ()
    completed: tuple[str, ...] = ()


@dataclass(frozen=True)
class WriteMove(Action):
    """Change a record by compare-and-swap, once."""

    record: MoveRecord
    expected_revision: int


@dataclass(frozen=True)
class SendOrder(Action):
    """Give an engine an order, once, under the holder's fencing number."""

    upstream: str
    kind: OrderKind
    version: str
    fence: int


@dataclass(frozen=True)
class ObserveVersions(Action):
    """Ask an engine which versions it has."""

    upstream: str


@dataclass(frozen=True)
class ReportMove(Action):
    """What this VM shows of a move has changed."""

    model: str
    move_id: str
    state: MoveState
    reason: MoveReason
    detail: str
    share: float
