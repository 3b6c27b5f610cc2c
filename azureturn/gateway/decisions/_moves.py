"""Version moves: the traffic share of a new version, and the criteria for rolling it back.

A move is the gradual shift of a service's requests to the upstreams of another version, which an
operator orders. It completes after a given time, or is rolled back if the new version is worse.
"""

import math
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._peers import StreamPace, VersionCount
from azureturn.gateway.site import MoveOrder, era_of

#: Minimum number of answers of a version, and of streams for its pace, before it is evaluated.
_MIN_ANSWERS = 8
#: A new version whose failure share exceeds the old one's by more than this, or by more than this
#: many standard errors if that is larger, is rolled back.
_FAILURE_MARGIN = 0.12
_STANDARD_ERRORS = 2.0
#: A single failure is no evidence: among the first answers it alone exceeds the margin.
_MIN_FAILURES = 2
#: A new version that is slower than the old one by more than this factor is rolled back: in the
#: time to the first event or plain answer, or in the pace of its streams.
_SLOWDOWN_LIMIT = 2.2
#: Shares of the requests that go to the new version, and the fractions of the move's duration at
#: which they begin. The first share is relative to the configured maximum for a version that has
#: not been judged good yet.
_CANARY_SHARE = 0.6
_RAMP_AT = 0.55
_RAMP_SHARE = 0.25
_FULL_AT = 0.75
#: Fraction of the duration at which a move is reported complete, so that the old version has
#: drained by its end.
COMPLETE_AT = 0.88


@dataclass(frozen=True)
class Move:
    """The progress on this VM of the move that an operator's order demands."""

    service: str
    version: str
    duration_ms: int
    #: Revision of the order in the store.
    order_revision: int
    #: Start of the move by this VM's clock.
    began_at_ms: int
    #: Why this VM or a peer judged the new version to be worse than the old one; empty if none did.
    #: The version then gets no more requests; never reset.
    condemned_reason: str = ""
    #: Whether its status in the store is complete or rolled back.
    ended: bool = False
    #: Whether its status in the store is complete.
    completed: bool = False
    #: Whether the order may be written once more, since the store has come back from a copy.
    awaits_same_order: bool = False
    #: Last time at which this VM requested a write of the status; 0 before the first.
    write_requested_at_ms: int = 0

    @property
    def condemned(self) -> bool:
        """Return whether this VM or a peer judged the new version to be worse."""
        return bool(self.condemned_reason)

    def share(self, now_ms: int, exposure_share: float) -> float:
        """Return the share of requests that currently go to the new version."""
        if self.completed:
            return 1.0
        if self.condemned or self.ended:
            return 0.0
        fraction = self.elapsed_fraction(now_ms)
        if fraction >= _FULL_AT:
            return 1.0
        return _RAMP_SHARE if fraction >= _RAMP_AT else _CANARY_SHARE * exposure_share

    def elapsed_fraction(self, now_ms: int) -> float:
        """Return the fraction of the move's duration that has elapsed."""
        return (now_ms - self.began_at_ms) / max(1, self.duration_ms)

    def with_elapsed(self, elapsed_ms: int, now_ms: int) -> "Move":
        """Return a copy that started at least ``elapsed_ms`` ago."""
        return changed(self, began_at_ms=min(self.began_at_ms, now_ms - elapsed_ms))

    def with_condemned(self, reason: str) -> "Move":
        """Return a copy whose new version receives no more requests, for the first reason given."""
        return changed(self, condemned_reason=self.condemned_reason or reason)

    def is_ordered_by(self, order: MoveOrder, revision: int) -> bool:
        """Return whether an order at ``revision`` is the one that demands this move.

        After the store has come back from a copy, operators write the same order once more, also
        if the copy has it.
        """
        if self.order_revision == revision:
            return True
        is_same = (order.version, order.duration_ms) == (self.version, self.duration_ms)
        return is_same and (self.awaits_same_order or self._is_of_earlier_era_than(revision))

    def with_order_revision(self, revision: int) -> "Move":
        """Return a copy whose order is at this revision, which may be of a later era."""
        if revision == self.order_revision:
            return self
        awaits_same_order = self._is_of_earlier_era_than(revision)
        return changed(self, order_revision=revision, awaits_same_order=awaits_same_order)

    def _is_of_earlier_era_than(self, revision: int) -> bool:
        return era_of(self.order_revision) < era_of(revision)

    def with_end(self, *, completed: bool) -> "Move":
        """Return a copy that has ended according to the store."""
        return changed(self, ended=True, completed=completed)

    def with_write_requested(self, now_ms: int) -> "Move":
        """Return a copy for which this VM has requested a status write."""
        return changed(self, write_requested_at_ms=now_ms)


class MoveTable(Table[str, Move]):
    """Moves keyed by service, and the answers of each version that this VM has counted."""

    def __init__(self) -> None:
        super().__init__()
        #: Keyed by service and version.
        self.version_counts: dict[tuple[str, str], VersionCount] = {}

    def record_answer(self, service: str, version: str, *, failed: bool, took_ms: int) -> None:
        """Add one answer to the counts of a version."""
        self._add(service, version, VersionCount(1, 1 if failed else 0, took_ms))

    def record_stream(
        self, service: str, version: str, *, event_count: int, streamed_ms: int
    ) -> None:
        """Add the pace of one stream to the counts of a version."""
        pace = StreamPace(1, event_count - 1, streamed_ms)
        self._add(service, version, VersionCount(pace=pace))

    def _add(self, service: str, version: str, count: VersionCount) -> None:
        previous = self.version_counts.get((service, version), VersionCount())
        self.version_counts[(service, version)] = previous.plus(count)


def regression_reason(new: VersionCount, old: VersionCount) -> str:
    """Return in what a new version is measurably worse than the old one; empty if in nothing."""
    return (
        _more_failures_reason(new, old)
        or _slower_start_reason(new, old)
        or _slower_streams_reason(new, old)
    )


def _more_failures_reason(new: VersionCount, old: VersionCount) -> str:
    if new.answers < _MIN_ANSWERS or new.failures < _MIN_FAILURES:
        return ""
    old_share = old.failures / max(1, old.answers)
    spread = math.sqrt(max(old_share, 0.02) / new.answers)
    limit = old_share + max(_FAILURE_MARGIN, _STANDARD_ERRORS * spread)
    if new.failures / new.answers <= limit:
        return ""
    return (
        f"{new.failures} of {new.answers} answers failed, "
        f"{old.failures} of {old.answers} of the old version"
    )


def _slower_start_reason(new: VersionCount, old: VersionCount) -> str:
    if min(new.answers, old.answers) < _MIN_ANSWERS:
        return ""
    new_ms, old_ms = new.time_ms / new.answers, old.time_ms / old.answers
    if new_ms <= _SLOWDOWN_LIMIT * old_ms:
        return ""
    return f"{new_ms:.0f} ms to the first event of {new.answers} answers, before {old_ms:.0f} ms"


def _slower_streams_reason(new: VersionCount, old: VersionCount) -> str:
    if min(new.pace.streams, old.pace.streams) < _MIN_ANSWERS:
        return ""
    new_ms, old_ms = new.pace.ms_per_event, old.pace.ms_per_event
    if new_ms <= _SLOWDOWN_LIMIT * old_ms:
        return ""
    return f"{new_ms:.0f} ms an event in {new.pace.streams} streams, before {old_ms:.0f} ms"
