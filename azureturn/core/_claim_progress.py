"""State of each claim segment in this process: pending work and the one call in flight.

After a write without an answer nothing is decided until the segment has been read again. The nonce
of each claim that the write contained is then looked up in the segment:

- The nonce is present: the write took effect, and this process holds the claim.
- The nonce is absent and the revision has changed: the write compares with an outdated revision
  and can never take effect.
- The nonce is absent and the revision is unchanged: the write may still take effect. The next
  write compares with the same revision and contains the same claims, so the service lets at most
  one of the two take effect.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from azureturn.core._claim_segments import ClaimSegment
from azureturn.core._claims import Claim, ClaimOutcome
from azureturn.framework import Table

#: A segment read or written this recently is assumed to be unchanged; if it is not, the next
#: compare-and-swap fails.
FRESH_MS = 20
#: Delay after a call without an answer, doubled for each further one up to ``MAX_RETRY_DELAY_MS``.
INITIAL_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 500
#: Value of ``compared_revision`` for a claim that no write has contained yet.
NEVER_WRITTEN = -1
#: Delay of writing an outcome, so that it can share the write of a claim.
WRITE_BACK_DELAY_MS = 250


@dataclass(frozen=True)
class ClaimIntent:
    """A claim that this process requests and that has to be written to its segment."""

    digest: str
    request_id: str
    claim: Claim
    #: Time at which the request for the claim is given up if the claim is still undecided.
    claim_deadline_ms: int
    #: Nonce of a claim whose holder has declared that it will never run the call.
    released_nonce: str = ""
    upstream_deduplicates: bool = False


@dataclass(frozen=True)
class WriteBack:
    """The outcome of a call, to be written to the claim of the call."""

    digest: str
    nonce: str
    outcome: ClaimOutcome
    due_at_ms: int
    #: Revision with which the write of the claim compared; a delayed write can take effect only at
    #: this revision.
    compared_revision: int = NEVER_WRITTEN


@dataclass(frozen=True)
class Operation:
    """A call to the key-value service in flight."""

    operation_id: int
    begun_at_ms: int
    #: Content written by a compare-and-swap; empty for a read.
    content: ClaimSegment = field(default_factory=ClaimSegment)


@dataclass
class SegmentProgress:
    """Pending work of one segment, with at most one call to the service in flight."""

    revision: int = 0
    content: ClaimSegment = field(default_factory=ClaimSegment)
    #: When the content was last known to be current; far in the past before the first read.
    known_at_ms: int = -1_000_000
    intents: dict[str, ClaimIntent] = field(default_factory=dict)
    write_backs: dict[str, WriteBack] = field(default_factory=dict)
    #: Revision with which the last write of each claim compared, by nonce.
    compared_revisions: dict[str, int] = field(default_factory=dict)
    #: When the last write began; the segment written longest ago goes first.
    written_at_ms: int = 0
    operation: Operation | None = None
    #: Whether a write of the rate limit is reserved for this segment; this is done before the read.
    has_reserved_write: bool = False
    retry_at_ms: int = 0
    retry_delay_ms: int = INITIAL_RETRY_DELAY_MS

    def has_work(self, now_ms: int) -> bool:
        """Return whether a claim or an outcome is due to be written now."""
        return bool(self.intents) or any(
            write_back.due_at_ms <= now_ms for write_back in self.write_backs.values()
        )

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the content is recent enough to be used without another read."""
        return now_ms - self.known_at_ms <= FRESH_MS

    def record_content(self, content: ClaimSegment, revision: int, *, now_ms: int) -> None:
        """Record the content and revision that the service holds."""
        self.content = content
        self.revision = revision
        self.known_at_ms = now_ms
        self.operation = None
        self.retry_delay_ms = INITIAL_RETRY_DELAY_MS

    def record_conflict(self) -> None:
        """Record that another process wrote the segment."""
        self.operation = None
        self.known_at_ms = -1_000_000

    def record_lost_call(self, *, now_ms: int) -> None:
        """Record that a call had no answer, and schedule a retry."""
        self.record_conflict()
        self.retry_at_ms = now_ms + self.retry_delay_ms
        self.retry_delay_ms = min(2 * self.retry_delay_ms, MAX_RETRY_DELAY_MS)

    def pop_intent(self, nonce: str) -> ClaimIntent | None:
        """Remove and return the intent of a claim that is decided or given up."""
        return self.intents.pop(nonce, None)

    def changed_claims(self) -> Mapping[str, Claim]:
        """Return the claims to write, by digest.

        They are the claims of all intents, and the claims in the segment whose outcome has to be
        written.
        """
        changed_claims = {intent.digest: intent.claim for intent in self.intents.values()}
        for write_back in self.write_backs.values():
            stored_claim = self.content.claims.get(write_back.digest)
            if (
                stored_claim is not None
                and stored_claim.nonce == write_back.nonce
                and write_back.digest not in changed_claims
            ):
                changed_claims[write_back.digest] = stored_claim.with_outcome(write_back.outcome)
        return changed_claims

    def drop_redundant_write_backs(self) -> list[str]:
        """Drop the write-backs that are redundant and return their nonces.

        A write-back is redundant if its claim holds the outcome already, or is absent and can no
        longer be written.
        """
        redundant = [
            nonce
            for nonce, write_back in self.write_backs.items()
            if self._is_redundant(write_back)
        ]
        for nonce in redundant:
            del self.write_backs[nonce]
            self.compared_revisions.pop(nonce, None)
        return redundant

    def _is_redundant(self, write_back: WriteBack) -> bool:
        stored_claim = self.content.claims.get(write_back.digest)
        if stored_claim is None or stored_claim.nonce != write_back.nonce:
            # A delayed write of the claim can still take effect while the segment is at the
            # revision with which that write compared. Any other write of the segment prevents it.
            return write_back.compared_revision != self.revision
        return stored_claim.outcome.state is write_back.outcome.state


class SegmentProgressTable(Table[int, SegmentProgress]):
    """Progress of each segment, by segment number."""

    def of(self, number: int) -> SegmentProgress:
        """Return the progress of a segment, creating it on first use."""
        progress = self.get(number)
        if progress is None:
            progress = SegmentProgress()
            self.put(number, progress)
        return progress
