"""What a VM knows of moves: its rows on the blackboard."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ddsketch import DDSketch

from azureturn.core._upstreams import Upstream
from azureturn.core.moves._evidence import EvidenceLedger
from azureturn.core.moves._judging import Judge, Verdict
from azureturn.core.moves._messages import ReportMove
from azureturn.core.moves._sharing import takes_new_version
from azureturn.core.moves._types import MoveReason, MoveRecord, MoveState, SlowThresholds
from azureturn.framework import Table

#: A VM that has heard nothing from the service for this long shows what it knows as unknown.
FRESH_MS = 5_000


@dataclass(frozen=True)
class Move:
    """A model's move as this VM last read it."""

    record: MoveRecord
    #: The service's revision of the record.
    revision: int
    #: When this VM first saw this revision.
    revision_seen_at_ms: int
    #: When this VM first saw the move.
    seen_at_ms: int = 0


class MoveTable(Table[str, Move]):
    """Moves by model, and what is known of moves beyond their records.

    That a new version is bad, or that a move is completed, is never taken back, and so needs no
    service: the sets only grow and travel from VM to VM with the evidence.
    """

    def __init__(self) -> None:
        super().__init__()
        #: Verdicts on new versions known as bad, by the move's id.
        self.condemned: dict[str, Verdict] = {}
        self.completed: set[str] = set()
        #: What was last reported of each model's move.
        self.reported: dict[str, ReportMove] = {}
        #: What is added to the core's time to get the time of day.
        self.unix_offset_ms = 0
        #: When the service was last heard.
        self.heard_at_ms: int | None = None

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the service was heard lately."""
        return self.heard_at_ms is not None and now_ms - self.heard_at_ms <= FRESH_MS

    def share(self, record: MoveRecord) -> float:
        """Return the share of the requests that this VM gives to the new version."""
        if record.move_id in self.completed:
            return 1.0
        return 0.0 if record.move_id in self.condemned else record.share

    def version_of(self, model: str, request_id: str) -> str:
        """Return the version that is to answer a request; empty where no move is known."""
        move = self.get(model)
        if move is None:
            return ""
        record = move.record
        if takes_new_version(request_id, record.move_id, self.share(record)):
            return record.to_version
        return record.from_version

    def with_version(
        self, upstreams: Sequence[Upstream], model: str, version: str
    ) -> Sequence[Upstream]:
        """Return those of ``upstreams`` that are known to have a version."""
        move = self.get(model)
        if move is None or version != move.record.to_version:
            return upstreams
        missing = move.record.missing
        return [one for one in upstreams if one.settings.name not in missing]

    def shown(self, move: Move, now_ms: int) -> tuple[MoveState, MoveReason]:
        """Return the state that an operator is shown.

        From the deadline on, a VM that has no word of the service shows ``frozen``: the share
        stays as it was. It is not raised, since another VM may have taken the version back, and
        not lowered, since the move may be completed. The price is that for as long as the outage
        lasts both versions go on serving, the new one at no more than its last stage's share.
        """
        record = move.record
        if record.move_id in self.completed:
            return MoveState.COMPLETED, MoveReason.NONE
        verdict = self.condemned.get(record.move_id)
        if verdict is not None and not record.ended:
            return MoveState.TAKEN_BACK, verdict.reason
        due = now_ms + self.unix_offset_ms >= record.deadline_unix_ms
        moving = record.state in (MoveState.LOADING, MoveState.RAMPING)
        if moving and due and not self.is_fresh(now_ms):
            return MoveState.FROZEN, MoveReason.NO_WORD_FROM_SERVICE
        return record.state, record.reason


@dataclass(frozen=True)
class Judged:
    """The latest verdict on a new version, and on which evidence it was given."""

    verdict: Verdict = Verdict()
    bad_news: int = 0
    judged_at_ms: int = 0


class EvidenceTable(Table[str, EvidenceLedger]):
    """Evidence by the move's id."""

    def __init__(self) -> None:
        super().__init__()
        self.judges: dict[str, Judge] = {}
        #: The latest verdicts, by the move's id.
        self.verdicts: dict[str, Judged] = {}

    def of(self, move_id: str) -> EvidenceLedger:
        """Return a move's ledger, made when first asked for."""
        ledger = self.get(move_id)
        if ledger is None:
            ledger = EvidenceLedger(move_id)
            self.put(move_id, ledger)
        return ledger


@dataclass(frozen=True)
class TrackedRequest:
    """A request of a model that is being moved, while it runs."""

    move_id: str
    #: The stage at dispatch; -1 before the first.
    stage: int
    route: str
    is_new: bool
    dispatched_at_ms: int
    busy: bool = False
    first_token_ms: int | None = None

    def with_first_token(self, first_token_ms: int) -> "TrackedRequest":
        """Return a copy that knows how long the first token took."""
        return replace(self, first_token_ms=first_token_ms)


class TrackedRequestTable(Table[str, TrackedRequest]):
    """Dispatched requests of models that are being moved, by request id."""


@dataclass(frozen=True)
class ObservedUpstream:
    """What an upstream said of the versions that it has."""

    #: None where it gave no answer.
    versions: frozenset[str] | None = None
    asked_at_ms: int = 0
    observed_at_ms: int = 0
    #: When an order was sent that has not ended; 0 where there is none.
    ordered_at_ms: int = 0


@dataclass(frozen=True)
class Holding:
    """This VM's part in changing one model's record."""

    #: Its lease ends then unless renewed; counted from before the write was sent.
    lease_ends_ms: int = 0
    #: The fencing number under which this VM last took the record over.
    fence: int = 0
    #: No order before this time: an earlier holder's last order may be on its way.
    orders_from_ms: int = 0
    #: The record that is being written, and since when; None where nothing is.
    pending: MoveRecord | None = None
    writing_since_ms: int = 0


class HoldingTable(Table[str, Holding]):
    """This VM's leases, by model, and what it saw of upstreams while it held one."""

    def __init__(self) -> None:
        super().__init__()
        self.observed: dict[str, ObservedUpstream] = {}
        #: Slowest load seen, which replaces what the settings assume; 0 before the first.
        self.load_took_ms = 0


class LatencySketches:
    """The old version's latencies at this VM before the new one gets requests."""

    #: An answer over this quantile is slow.
    QUANTILE = 0.9

    def __init__(self) -> None:
        self._first_token: dict[str, DDSketch] = {}
        self._per_token: dict[str, DDSketch] = {}
        self.samples = 0

    def add(self, route: str, first_token_ms: float | None, per_token_ms: float | None) -> None:
        """Count one answer, on its route and on all."""
        self.samples += 1
        for name in (route, ""):
            if first_token_ms is not None:
                self._first_token.setdefault(name, DDSketch()).add(first_token_ms)
            if per_token_ms is not None:
                self._per_token.setdefault(name, DDSketch()).add(per_token_ms)

    def thresholds(self) -> tuple[SlowThresholds, ...]:
        """Return for each route what only a tenth of the answers exceed; 0 where not known."""
        names = sorted(set(self._first_token) | set(self._per_token))
        return tuple(
            SlowThresholds(
                name, self._quantile(self._first_token, name), self._quantile(self._per_token, name)
            )
            for name in names
        )

    def _quantile(self, sketches: dict[str, DDSketch], name: str) -> float:
        sketch = sketches.get(name)
        return 0.0 if sketch is None else float(sketch.get_quantile_value(self.QUANTILE))


class LatencyTable(Table[str, LatencySketches]):
    """Latencies of old versions, by the move's id."""


@dataclass(frozen=True)
class ModelLoad:
    """How much of a model's work this VM has outstanding."""

    outstanding: int = 0
    #: Highest number lately; it falls slowly.
    peak: float = 0.0

    #: What is left of the peak after each dispatch.
    _PEAK_KEPT = 0.998

    @property
    def busy(self) -> bool:
        """Return whether there is at least half as much as at the peak."""
        return self.outstanding * 2 >= self.peak

    def with_dispatch(self) -> "ModelLoad":
        """Return a copy with one more outstanding."""
        outstanding = self.outstanding + 1
        return ModelLoad(outstanding, max(outstanding, self.peak * self._PEAK_KEPT))

    def with_end(self) -> "ModelLoad":
        """Return a copy with one less outstanding."""
        return replace(self, outstanding=max(0, self.outstanding - 1))


class ModelLoadTable(Table[str, ModelLoad]):
    """Outstanding work by model."""
