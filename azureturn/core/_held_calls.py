"""The calls that this process runs, or intends to run, under a claim or a ticket.

The nonce of a call is the unique id of its claim. A call that is requested again after its claim
was released gets a new nonce.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

from azureturn.framework import Table

#: Maximum number of calls in the table; beyond it new calls are refused instead of evicting old
#: ones.
HELD_CALL_LIMIT = 50_000
#: How long a call is retained for duplicates after its outcome is written back.
HELD_CALL_RETENTION_MS = 600_000


class HeldState(StrEnum):
    """State of a call in the process that requests or holds its claim."""

    #: The claim is requested but not yet decided.
    SEEKING = "seeking"
    #: This process holds the claim or ticket and has requested the dispatch.
    SENT = "sent"
    #: The dispatch has ended, with any result.
    SETTLED = "settled"
    #: This process did not and will never send the call under this nonce. This state is final.
    ABANDONED = "abandoned"


@dataclass(frozen=True)
class HeldCall:
    """One call under one nonce, from the request for the claim to the end of the retention time."""

    nonce: str
    digest: str
    body_digest: str
    request_id: str
    state: HeldState
    #: Whether the call runs under a ticket, for which nothing is stored in the key-value service.
    ticketed: bool = False
    #: Whether the outcome of the call is written to its segment, or need not be.
    written_back: bool = False
    #: Time after which the row may be removed once it is written back.
    retained_until_ms: int = 0

    def with_state(self, state: HeldState) -> "HeldCall":
        """Return a copy in another state."""
        return replace(self, state=state)

    def with_written_back(self, *, now_ms: int) -> "HeldCall":
        """Return a copy that is written back and may be removed after the retention time."""
        until_ms = max(self.retained_until_ms, now_ms + HELD_CALL_RETENTION_MS)
        return replace(self, written_back=True, retained_until_ms=until_ms)


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
        """Remove a call and return it."""
        row = super().remove(key)
        if row is not None and self._latest.get(row.digest) == key:
            del self._latest[row.digest]
        return row

    def live(self, digest: str) -> HeldCall | None:
        """Return the latest call with this digest unless it was abandoned."""
        row = self.get(self._latest.get(digest, ""))
        return None if row is None or row.state is HeldState.ABANDONED else row

    def abandoned(self, nonce: str) -> bool:
        """Return whether this process will never send the call under ``nonce``."""
        row = self.get(nonce)
        return row is not None and row.state is HeldState.ABANDONED

    def unsettled_count(self) -> int:
        """Return the number of ended calls whose outcome is not yet written to the service."""
        ended = (HeldState.SETTLED, HeldState.ABANDONED)
        return sum(row.state in ended and not row.written_back for row in self.rows())

    def remove_expired(self, now_ms: int) -> None:
        """Remove the calls that are written back and past their retention time."""
        for nonce in list(self._expired(now_ms)):
            self.remove(nonce)

    def _expired(self, now_ms: int) -> Iterator[str]:
        for nonce, row in self.items():
            if row.written_back and row.retained_until_ms <= now_ms:
                yield nonce
