"""What became of calls that this process holds the claim of, shared with duplicates."""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from azureturn.errors import RunState
from azureturn.peers import Header, Outcome, OutcomeState

#: Outcomes kept in memory; the oldest that are settled go first.
OUTCOME_LIMIT = 20_000
_MS_PER_S = 1_000

CallKey = tuple[str, str]


@dataclass
class _Entry:
    body_digest: str
    settled: threading.Event
    outcome: Outcome


def pending_outcome() -> Outcome:
    """Return the outcome of a call that is still under way."""
    return Outcome(state=OutcomeState.PENDING, headers=[], body=b"", run_state=RunState.UNKNOWN)


def unknown_outcome() -> Outcome:
    """Return the outcome of a call of which nothing is known."""
    return Outcome(state=OutcomeState.UNKNOWN, headers=[], body=b"", run_state=RunState.UNKNOWN)


def answered_outcome(
    status: int, headers: dict[str, str], body: bytes, *, upstream: str
) -> Outcome:
    """Return the outcome of a call that the upstream answered whole."""
    return Outcome(
        state=OutcomeState.ANSWERED,
        status=status,
        headers=[Header(name=name, value=value) for name, value in headers.items()],
        body=body,
        upstream=upstream,
        run_state=RunState.RAN,
    )


class OutcomeStore:
    """Outcomes by organisation and idempotency key; an organisation sees only its own."""

    def __init__(self) -> None:
        self._entries: OrderedDict[CallKey, _Entry] = OrderedDict()
        self._lock = threading.Lock()

    def begin(self, key: CallKey, body_digest: str) -> None:
        """Note that a call with this key is under way here, unless one already is."""
        with self._lock:
            if key not in self._entries:
                entry = _Entry(body_digest, threading.Event(), pending_outcome())
                self._entries[key] = entry
                self._trim()

    def settle(self, key: CallKey, outcome: Outcome) -> None:
        """Note what became of a call and wake those who wait for it."""
        with self._lock:
            entry = self._entries.get(key)
            if entry is None:
                return
            entry.outcome = outcome
        entry.settled.set()

    def forget(self, key: CallKey) -> None:
        """Take out a call that never ran, so that it may be tried anew."""
        with self._lock:
            entry = self._entries.pop(key, None)
        if entry is not None:
            entry.settled.set()

    def body_digest(self, key: CallKey) -> str | None:
        """Return the digest of the body that came with a key, or None for an unknown key."""
        with self._lock:
            entry = self._entries.get(key)
        return None if entry is None else entry.body_digest

    def find(self, key: CallKey, *, wait_ms: int) -> Outcome:
        """Return a call's outcome, after waiting for it where the call is under way."""
        with self._lock:
            entry = self._entries.get(key)
        if entry is None:
            return unknown_outcome()
        entry.settled.wait(wait_ms / _MS_PER_S)
        return entry.outcome

    def _trim(self) -> None:
        while len(self._entries) > OUTCOME_LIMIT:
            for key, entry in self._entries.items():
                if entry.settled.is_set():
                    del self._entries[key]
                    break
            else:
                return
