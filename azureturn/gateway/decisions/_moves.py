"""Version moves: the share that a new version gets, and when it is judged."""

import math
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._peers import VersionCount

#: Answers of a new version before it can be judged.
_LEAST_ANSWERS = 8
#: Failures beyond the old version's share that condemn a new one.
_FAILURE_MARGIN = 0.12
_DEVIATIONS = 2.0
#: A new version this many times as slow as the old one is condemned.
_SLOW_FACTOR = 2.2
#: Parts of a move's time at which its share rises, with the shares; the first is a share of
#: what a version may get before it has shown itself good.
_PROBE_SHARE = 0.6
_RAISED_AT = 0.55
_RAISED_SHARE = 0.25
_WHOLE_AT = 0.75
#: Part of the time at which a move is told to be complete, so that the old version is empty.
COMPLETE_AT = 0.88


@dataclass(frozen=True)
class Move:
    """One order to move as this VM follows it."""

    service: str
    version: str
    duration_ms: int
    #: Revision of the order in the store.
    order_revision: int
    #: When it began, by this VM's clock.
    began_at_ms: int
    #: It was seen to be bad, here or by a peer; this never turns back.
    condemned: bool = False
    #: The store says that it is complete or rolled back.
    ended: bool = False
    completed: bool = False
    #: When this VM last asked to write its status.
    asked_at_ms: int = 0

    def share(self, now_ms: int, exposure_share: float) -> float:
        """Return the share of requests that the new version gets now."""
        if self.completed:
            return 1.0
        if self.condemned or self.ended:
            return 0.0
        part = self.elapsed_part(now_ms)
        if part >= _WHOLE_AT:
            return 1.0
        return _RAISED_SHARE if part >= _RAISED_AT else _PROBE_SHARE * exposure_share

    def elapsed_part(self, now_ms: int) -> float:
        """Return how much of the move's time has passed."""
        return (now_ms - self.began_at_ms) / max(1, self.duration_ms)

    def with_elapsed(self, elapsed_ms: int, now_ms: int) -> "Move":
        """Return a copy that began at least this long ago."""
        return changed(self, began_at_ms=min(self.began_at_ms, now_ms - elapsed_ms))

    def with_condemned(self) -> "Move":
        """Return a copy whose new version gets nothing more."""
        return changed(self, condemned=True)

    def with_end(self, *, completed: bool) -> "Move":
        """Return a copy that the store says has ended."""
        return changed(self, ended=True, completed=completed)

    def with_asked(self, now_ms: int) -> "Move":
        """Return a copy whose status this VM has asked to write."""
        return changed(self, asked_at_ms=now_ms)


class MoveTable(Table[str, Move]):
    """Moves by service, with what was seen of each version."""

    def __init__(self) -> None:
        super().__init__()
        #: This VM's own counts by service and version.
        self.seen: dict[tuple[str, str], VersionCount] = {}

    def note(self, service: str, version: str, *, failed: bool, took_ms: int) -> None:
        """Count one answer of a version."""
        before = self.seen.get((service, version), VersionCount())
        self.seen[(service, version)] = VersionCount(
            before.answers + 1,
            before.failures + (1 if failed else 0),
            before.time_ms + took_ms,
        )


def is_bad(new: VersionCount, old: VersionCount) -> bool:
    """Return whether a new version has shown itself worse than the old one."""
    if new.answers < _LEAST_ANSWERS:
        return False
    old_answers = max(1, old.answers)
    old_share = old.failures / old_answers
    spread = math.sqrt(max(old_share, 0.02) / new.answers)
    limit = old_share + max(_FAILURE_MARGIN, _DEVIATIONS * spread)
    if new.failures / new.answers > limit:
        return True
    if old.answers < _LEAST_ANSWERS:
        return False
    return new.time_ms / new.answers > _SLOW_FACTOR * old.time_ms / old_answers
