"""The calls that this process has, or seeks, the right to run."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

from azureturn.framework import Table

#: Calls remembered at once; beyond it new calls are refused rather than old ones forgotten.
HELD_CALL_LIMIT = 50_000
#: How long a call that is written back stays in memory for duplicates that ask.
HELD_CALL_KEPT_MS = 600_000


class HeldState(StrEnum):
    """How far a call has come at the process that seeks or has the right to run it."""

    #: The claim may or may not be ours yet.
    SEEKING = "seeking"
    #: The right is ours and the dispatch was ordered.
    SENT = "sent"
    #: The dispatch ended, one way or another.
    SETTLED = "settled"
    #: This process never sent it and never will under this nonce. This word is never taken back.
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class HeldCall:
    """One call under one nonce."""

    nonce: str
    digest: str
    body_digest: str
    request_id: str
    state: HeldState
    #: True for a call under a ticket, of which nothing is in the service.
    ticketed: bool = False
    #: Whether the segment holds the end of the call, or needs none.
    written_back: bool = False
    #: The row may go after this time, once it is written back.
    kept_until_ms: int = 0

    def with_state(self, state: HeldState) -> "HeldCall":
        """Return a copy in another state."""
        return replace(self, state=state)

    def with_written_back(self, *, now_ms: int) -> "HeldCall":
        """Return a copy that may be forgotten after a while."""
        until_ms = max(self.kept_until_ms, now_ms + HELD_CALL_KEPT_MS)
        return replace(self, written_back=True, kept_until_ms=until_ms)


class HeldCallTable(Table[str, HeldCall]):
    """Calls by nonce, with the latest nonce of each call."""

    def __init__(self) -> None:
        super().__init__()
        self._latest: dict[str, str] = {}

    def put(self, key: str, row: HeldCall) -> None:
        """Insert or replace the row at a nonce."""
        super().put(key, row)
        self._latest[row.digest] = key

    def remove(self, key: str) -> HeldCall | None:
        """Take a call out."""
        row = super().remove(key)
        if row is not None and self._latest.get(row.digest) == key:
            del self._latest[row.digest]
        return row

    def live(self, digest: str) -> HeldCall | None:
        """Return the call of this name unless it was abandoned."""
        row = self.get(self._latest.get(digest, ""))
        return None if row is None or row.state is HeldState.ABANDONED else row

    def abandoned(self, nonce: str) -> bool:
        """Return whether this process gave its word never to send the call under ``nonce``."""
        row = self.get(nonce)
        return row is not None and row.state is HeldState.ABANDONED

    def unsettled_count(self) -> int:
        """Return how many calls have ended here whose end the service does not hold yet."""
        ended = (HeldState.SETTLED, HeldState.ABANDONED)
        return sum(row.state in ended and not row.written_back for row in self.rows())

    def trim(self, now_ms: int) -> None:
        """Forget what is written back and old."""
        for nonce in list(self._forgettable(now_ms)):
            self.remove(nonce)

    def _forgettable(self, now_ms: int) -> Iterator[str]:
        for nonce, row in self.items():
            if row.written_back and row.kept_until_ms <= now_ms:
                yield nonce
