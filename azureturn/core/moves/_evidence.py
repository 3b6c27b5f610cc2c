"""Evidence on the versions of a move: counts of answers and of their defects.

The counts only grow, so that VMs can merge them in any order.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from azureturn.core.moves._types import MoveReason, MoveRecord

#: Length of an epoch. Answers are counted in the epoch in which they ended, so that earlier good
#: answers do not hide a late regression.
EPOCH_MS = 10_000
#: Number of epochs for which late counts are still accepted; older epochs are closed, that is,
#: their counts no longer change.
OPEN_EPOCHS = 6


class Defect(IntEnum):
    """Kinds of defect of an answer; each kind is counted separately."""

    FAILED = 0
    SLOW_FIRST_TOKEN = 1
    VERY_SLOW_FIRST_TOKEN = 2
    SLOW_TOKENS = 3
    VERY_SLOW_TOKENS = 4


#: An answer that exceeds the threshold by this factor is very slow.
VERY_SLOW_FACTOR = 2.5
_NO_DEFECTS = (0,) * len(Defect)


@dataclass(frozen=True, slots=True)
class Counts:
    """Number of answers, and of those with each kind of defect."""

    requests: int = 0
    #: Requests dispatched while the load of the model at the VM was high (``ModelLoad.busy``).
    busy: int = 0
    defects: tuple[int, ...] = _NO_DEFECTS

    def with_added(self, other: "Counts", sign: int = 1) -> "Counts":
        """Return the sum, or the difference if ``sign`` is -1."""
        defects = tuple(a + sign * b for a, b in zip(self.defects, other.defects, strict=True))
        return Counts(self.requests + sign * other.requests, self.busy + sign * other.busy, defects)

    def merged(self, other: "Counts") -> "Counts":
        """Return the later of two states of one grow-only counter."""
        defects = tuple(max(a, b) for a, b in zip(self.defects, other.defects, strict=True))
        return Counts(max(self.requests, other.requests), max(self.busy, other.busy), defects)


@dataclass(frozen=True, slots=True)
class EvidenceKey:
    """Identifies a row of counts."""

    #: Number of the epoch.
    epoch: int
    #: Stage of the move at the dispatch of the requests; -1 before the first.
    stage: int
    route: str
    #: Whether the counts are those of the new version.
    is_new: bool


@dataclass(frozen=True, slots=True)
class EvidenceSource:
    """The process that counted the answers; a restarted process counts from 0."""

    vm: str
    #: Identifies one start of the process of a VM.
    boot_id: str


@dataclass(frozen=True, slots=True)
class EvidenceRow:
    """One row of counts of one process, as exchanged between VMs."""

    source: EvidenceSource
    move_id: str
    key: EvidenceKey
    counts: Counts


@dataclass(frozen=True, slots=True)
class CondemnedMove:
    """A move whose new version gets no more requests.

    The version was judged bad, or an operator ended the move.
    """

    move_id: str
    reason: MoveReason
    detail: str


@dataclass
class MoveEvidence:
    """The evidence on both versions of one move.

    Rows of the same source are merged by taking the larger of each count, so that the result
    depends neither on the order nor on the number of times a row arrives. Pooled counts are the
    sums over all sources.
    """

    move_id: str
    #: Pooled counts of the open epochs.
    pooled: dict[EvidenceKey, Counts] = field(default_factory=dict)
    #: Pooled counts over all epochs, by stage, route and version.
    totals: dict[tuple[int, str, bool], Counts] = field(default_factory=dict)
    #: Earliest open epoch.
    open_from: int = 0
    #: Incremented whenever a defect of the new version is added.
    defect_updates: int = 0
    #: Boot id of this process.
    own_boot_id: str = ""
    #: Routes on which this process has counted defects of the new version that it has not yet sent
    #: to peers.
    unsent_defect_routes: set[str] = field(default_factory=set)
    _rows: dict[tuple[EvidenceSource, EvidenceKey], Counts] = field(default_factory=dict)

    def add(self, source: EvidenceSource, key: EvidenceKey, counts: Counts) -> None:
        """Add counts of this process to its own row."""
        previous = self._rows.get((source, key))
        self.own_boot_id = source.boot_id
        if key.is_new and any(counts.defects):
            self.unsent_defect_routes.add(key.route)
        self._replace(
            source, key, previous, counts if previous is None else previous.with_added(counts)
        )

    def merge(self, row: EvidenceRow) -> None:
        """Merge a row received from any process."""
        previous = self._rows.get((row.source, row.key))
        if previous == row.counts:
            return
        merged = row.counts if previous is None else previous.merged(row.counts)
        if merged != previous:
            self._replace(row.source, row.key, previous, merged)

    def rows_of(self, source: EvidenceSource) -> list[tuple[EvidenceKey, Counts]]:
        """Return the rows of one source in the open epochs."""
        return [(key, counts) for (owner, key), counts in self._rows.items() if owner == source]

    def close_before(self, epoch: int) -> None:
        """Drop the rows of epochs before ``epoch``; the totals still include them."""
        self.open_from = max(self.open_from, epoch)
        for key in [known_key for known_key in self.pooled if known_key.epoch < self.open_from]:
            del self.pooled[key]
        for row_key in [
            known_key for known_key in self._rows if known_key[1].epoch < self.open_from
        ]:
            del self._rows[row_key]

    def total(self, *, is_new: bool, stages: range, route: str = "") -> Counts:
        """Return the counts of one version over ``stages``, on ``route`` or, if empty, on all."""
        result = Counts()
        for (stage, name, new), counts in self.totals.items():
            if new is is_new and stage in stages and route in ("", name):
                result = result.with_added(counts)
        return result

    def routes(self) -> tuple[str, ...]:
        """Return the routes with at least one request."""
        return tuple(sorted({route for _, route, _ in self.totals}))

    def _replace(
        self,
        source: EvidenceSource,
        key: EvidenceKey,
        previous: Counts | None,
        counts: Counts,
    ) -> None:
        if key.epoch < self.open_from:
            return
        change = counts if previous is None else counts.with_added(previous, -1)
        self._rows[(source, key)] = counts
        self.pooled[key] = self.pooled.get(key, Counts()).with_added(change)
        total_key = (key.stage, key.route, key.is_new)
        self.totals[total_key] = self.totals.get(total_key, Counts()).with_added(change)
        if key.is_new and any(change.defects):
            self.defect_updates += 1


def defects_of(
    record: MoveRecord, route: str, first_token_ms: float | None, per_token_ms: float | None
) -> tuple[int, ...]:
    """Return the defects of a complete answer: 1 for each kind that it has, else 0."""
    defects = [0] * len(Defect)
    for threshold in record.thresholds:
        if threshold.route == route:
            _mark_slow(defects, Defect.SLOW_FIRST_TOKEN, first_token_ms, threshold.first_token_ms)
            _mark_slow(defects, Defect.SLOW_TOKENS, per_token_ms, threshold.per_token_ms)
    return tuple(defects)


def _mark_slow(
    defects: list[int], slow: Defect, took_ms: float | None, threshold_ms: float
) -> None:
    """Mark an answer as slow or very slow.

    The very slow kind of defect must directly follow the slow kind in :class:`Defect`.
    """
    if took_ms is not None and threshold_ms > 0:
        defects[slow] = int(took_ms > threshold_ms)
        defects[slow + 1] = int(took_ms > threshold_ms * VERY_SLOW_FACTOR)
