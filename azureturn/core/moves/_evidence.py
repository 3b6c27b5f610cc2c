"""Evidence on versions: counters that only grow, so that VMs can pool them in any order."""

from dataclasses import dataclass, field
from enum import IntEnum

from azureturn.core.moves._types import MoveReason, MoveRecord

#: Evidence is grouped by the time of the outcome, so that a late change is not diluted.
EPOCH_MS = 10_000
#: Epochs for which late counts are still taken; older ones are closed.
OPEN_EPOCHS = 6


class Trouble(IntEnum):
    """What can be wrong with one answer; each is counted by itself."""

    FAILED = 0
    SLOW_FIRST_TOKEN = 1
    VERY_SLOW_FIRST_TOKEN = 2
    SLOW_TOKENS = 3
    VERY_SLOW_TOKENS = 4


#: An answer this many times over the threshold is very slow.
VERY_SLOW_FACTOR = 2.5
_NO_TROUBLES = (0,) * len(Trouble)


@dataclass(frozen=True, slots=True)
class Counts:
    """Answers, and how many of them had each trouble."""

    requests: int = 0
    #: Requests that were dispatched while their upstream had much to do.
    busy: int = 0
    troubles: tuple[int, ...] = _NO_TROUBLES

    def with_added(self, other: "Counts", sign: int = 1) -> "Counts":
        """Return the sum, or the difference where ``sign`` is -1."""
        troubles = tuple(a + sign * b for a, b in zip(self.troubles, other.troubles, strict=True))
        return Counts(
            self.requests + sign * other.requests, self.busy + sign * other.busy, troubles
        )

    def merged(self, other: "Counts") -> "Counts":
        """Return the later of two states of one counter, which only grows."""
        troubles = tuple(max(a, b) for a, b in zip(self.troubles, other.troubles, strict=True))
        return Counts(max(self.requests, other.requests), max(self.busy, other.busy), troubles)


@dataclass(frozen=True, slots=True)
class EvidenceKey:
    """What one row of counts is about."""

    epoch: int
    #: The stage in which the requests were dispatched; -1 before the first.
    stage: int
    route: str
    is_new: bool


@dataclass(frozen=True, slots=True)
class EvidenceSource:
    """The process whose answers a row counts; a new boot counts from 0."""

    vm: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class EvidenceRow:
    """One row of one process's counts, as it travels between VMs."""

    source: EvidenceSource
    move_id: str
    key: EvidenceKey
    counts: Counts


@dataclass(frozen=True, slots=True)
class CondemnedMove:
    """A move whose new version is known as bad, or that was ended by an operator."""

    move_id: str
    reason: MoveReason
    detail: str


@dataclass
class EvidenceLedger:
    """All that is known of one move's two versions.

    Each source's rows are merged by taking the larger count, which is idempotent and does not
    depend on order; the pooled rows are their sums.
    """

    move_id: str
    #: Pooled counts of each open epoch.
    pooled: dict[EvidenceKey, Counts] = field(default_factory=dict)
    #: Pooled counts over all epochs, by stage, route and version.
    totals: dict[tuple[int, str, bool], Counts] = field(default_factory=dict)
    #: Earliest epoch that is open.
    open_from: int = 0
    #: Grows whenever the new version shows a trouble.
    bad_news: int = 0
    #: The boot id under which this process counts.
    own_boot_id: str = ""
    #: Routes on which this process saw a trouble of the new version that was not told yet.
    own_news: set[str] = field(default_factory=set)
    _rows: dict[tuple[EvidenceSource, EvidenceKey], Counts] = field(default_factory=dict)

    def add(self, source: EvidenceSource, key: EvidenceKey, counts: Counts) -> None:
        """Count answers of this process."""
        known = self._rows.get((source, key))
        self.own_boot_id = source.boot_id
        if key.is_new and any(counts.troubles):
            self.own_news.add(key.route)
        self._replace(source, key, known, counts if known is None else known.with_added(counts))

    def merge(self, row: EvidenceRow) -> None:
        """Take in a row of any process."""
        known = self._rows.get((row.source, row.key))
        if known == row.counts:
            return
        merged = row.counts if known is None else known.merged(row.counts)
        if merged != known:
            self._replace(row.source, row.key, known, merged)

    def rows_of(self, source: EvidenceSource) -> list[tuple[EvidenceKey, Counts]]:
        """Return one source's rows of the open epochs."""
        return [(key, counts) for (owner, key), counts in self._rows.items() if owner == source]

    def close_before(self, epoch: int) -> None:
        """Forget the rows of epochs before ``epoch``; the totals keep them."""
        self.open_from = max(self.open_from, epoch)
        for key in [one for one in self.pooled if one.epoch < self.open_from]:
            del self.pooled[key]
        for place in [one for one in self._rows if one[1].epoch < self.open_from]:
            del self._rows[place]

    def total(self, *, is_new: bool, stages: range, route: str = "") -> Counts:
        """Return the counts of one version over some stages, on one route or on all."""
        found = Counts()
        for (stage, name, new), counts in self.totals.items():
            if new is is_new and stage in stages and route in ("", name):
                found = found.with_added(counts)
        return found

    def routes(self) -> tuple[str, ...]:
        """Return the routes that had any request."""
        return tuple(sorted({route for _, route, _ in self.totals}))

    def _replace(
        self,
        source: EvidenceSource,
        key: EvidenceKey,
        known: Counts | None,
        counts: Counts,
    ) -> None:
        if key.epoch < self.open_from:
            return
        change = counts if known is None else counts.with_added(known, -1)
        self._rows[(source, key)] = counts
        self.pooled[key] = self.pooled.get(key, Counts()).with_added(change)
        place = (key.stage, key.route, key.is_new)
        self.totals[place] = self.totals.get(place, Counts()).with_added(change)
        if key.is_new and any(change.troubles):
            self.bad_news += 1


def troubles_of(
    record: MoveRecord, route: str, first_token_ms: float | None, per_token_ms: float | None
) -> tuple[int, ...]:
    """Return what was wrong with an answer that came whole; all is 0 where nothing was."""
    troubles = [0] * len(Trouble)
    for threshold in record.thresholds:
        if threshold.route == route:
            _mark_slow(troubles, Trouble.SLOW_FIRST_TOKEN, first_token_ms, threshold.first_token_ms)
            _mark_slow(troubles, Trouble.SLOW_TOKENS, per_token_ms, threshold.per_token_ms)
    return tuple(troubles)


def _mark_slow(
    troubles: list[int], slow: Trouble, took_ms: float | None, threshold_ms: float
) -> None:
    """Mark an answer as slow, and as very slow, which is the trouble after it."""
    if took_ms is not None and threshold_ms > 0:
        troubles[slow] = int(took_ms > threshold_ms)
        troubles[slow + 1] = int(took_ms > threshold_ms * VERY_SLOW_FACTOR)
