"""One segment as this process sees it: what waits for it, and the one call that is under way.

After a write without an answer nothing is decided until the segment was read again. The nonce is
there: the write took effect and the claim is ours. It is not there and the revision has moved on:
the write compares with a revision that is past and can never take effect. It is not there and the
revision is the same: the write may still take effect, so the next write compares with the same
revision and carries the same claims; the service lets at most one of the two take effect.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from azureturn.core._claim_segments import ClaimSegment
from azureturn.core._claims import Claim, ClaimOutcome
from azureturn.framework import Table

#: A segment read or written this recently is taken to be unchanged; a compare says if it is not.
FRESH_MS = 20
#: Pause after a call without an answer, doubled with each further one up to the second bound.
RETRY_AFTER_MS = 100
RETRY_LIMIT_MS = 500
#: Says of a claim that no write has carried it yet.
NEVER_WRITTEN = -1
#: An outcome waits this long for a claim to share its write with.
WRITE_BACK_DELAY_MS = 250


@dataclass(frozen=True)
class ClaimIntent:
    """A claim that is to be written."""

    digest: str
    request_id: str
    claim: Claim
    #: The call is given up, and the service not waited for, after this time.
    decide_by_ms: int
    #: Nonce of a claim whose holder said that it will never run.
    released_nonce: str = ""
    upstream_deduplicates: bool = False


@dataclass(frozen=True)
class WriteBack:
    """The end of a call, to be written beside its claim."""

    digest: str
    nonce: str
    outcome: ClaimOutcome
    due_at_ms: int
    #: Revision that the write of a claim given up compared with: it can land at that one only.
    compared_revision: int = NEVER_WRITTEN


@dataclass(frozen=True)
class Operation:
    """A call to the service that is under way."""

    operation_id: int
    begun_at_ms: int
    #: What a compare-and-swap writes; a read has nothing.
    content: ClaimSegment = field(default_factory=ClaimSegment)


@dataclass
class SegmentProgress:
    """Work that waits for one segment; at most one call to the service is under way."""

    revision: int = 0
    content: ClaimSegment = field(default_factory=ClaimSegment)
    #: When the content was last known to be the service's own; no read yet: long ago.
    known_at_ms: int = -1_000_000
    intents: dict[str, ClaimIntent] = field(default_factory=dict)
    write_backs: dict[str, WriteBack] = field(default_factory=dict)
    #: For each claim that a write has carried, the revision that the last such write compared with.
    compared_revisions: dict[str, int] = field(default_factory=dict)
    #: When the last write began, so that segments take turns.
    written_at_ms: int = 0
    operation: Operation | None = None
    #: Whether a write was set aside for this segment, before it was read.
    has_write: bool = False
    retry_at_ms: int = 0
    retry_after_ms: int = RETRY_AFTER_MS

    def has_work(self, now_ms: int) -> bool:
        """Return whether something is to be written now."""
        return bool(self.intents) or any(
            one.due_at_ms <= now_ms for one in self.write_backs.values()
        )

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the content may be used without another read."""
        return now_ms - self.known_at_ms <= FRESH_MS

    def note_content(self, content: ClaimSegment, revision: int, *, now_ms: int) -> None:
        """Take in what the service holds."""
        self.content = content
        self.revision = revision
        self.known_at_ms = now_ms
        self.operation = None
        self.retry_after_ms = RETRY_AFTER_MS

    def note_changed(self) -> None:
        """Take in that another process wrote the segment."""
        self.operation = None
        self.known_at_ms = -1_000_000

    def note_lost(self, *, now_ms: int) -> None:
        """Take in that a call had no answer, and try again after a pause."""
        self.note_changed()
        self.retry_at_ms = now_ms + self.retry_after_ms
        self.retry_after_ms = min(2 * self.retry_after_ms, RETRY_LIMIT_MS)

    def take_intent(self, nonce: str) -> ClaimIntent | None:
        """Take out a claim that is decided or given up."""
        return self.intents.pop(nonce, None)

    def changed_claims(self) -> Mapping[str, Claim]:
        """Return the claims to write: every intent, and every end whose claim is there."""
        changed = {one.digest: one.claim for one in self.intents.values()}
        for one in self.write_backs.values():
            present = self.content.claims.get(one.digest)
            if present is not None and present.nonce == one.nonce and one.digest not in changed:
                changed[one.digest] = present.with_outcome(one.outcome)
        return changed

    def drop_needless_write_backs(self) -> list[str]:
        """Forget ends whose claim is gone or tells them already; return their nonces."""
        needless = [nonce for nonce, one in self.write_backs.items() if self._is_needless(one)]
        for nonce in needless:
            del self.write_backs[nonce]
            self.compared_revisions.pop(nonce, None)
        return needless

    def _is_needless(self, one: WriteBack) -> bool:
        present = self.content.claims.get(one.digest)
        if present is None or present.nonce != one.nonce:
            # A write of the claim may yet land where the revision is the one it compared with;
            # writing the segment once more, whatever it holds, rules that out.
            return one.compared_revision != self.revision
        return present.outcome.state is one.outcome.state


class SegmentProgressTable(Table[int, SegmentProgress]):
    """Segments by number."""

    def of(self, number: int) -> SegmentProgress:
        """Return the progress of a segment, made when first asked for."""
        progress = self.get(number)
        if progress is None:
            progress = SegmentProgress()
            self.put(number, progress)
        return progress
