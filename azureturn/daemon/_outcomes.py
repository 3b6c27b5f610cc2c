"""Outcomes of calls that this process sent under a claim or a ticket, to answer duplicates."""

import threading
from collections import OrderedDict
from dataclasses import dataclass, field

from azureturn.core import ClaimOutcome, ClaimState
from azureturn.errors import RunState
from azureturn.peers import Header, Outcome, OutcomeState

#: Limits on the outcomes kept in memory: their number, and the total size of their bodies. The
#: oldest settled outcomes are evicted first.
OUTCOME_LIMIT = 20_000
OUTCOME_LIMIT_BYTES = 48 << 20
_MS_PER_S = 1_000
_CONTENT_TYPE = "Content-Type"


def pending_outcome() -> Outcome:
    """Return the outcome of a call that is still in progress."""
    return Outcome(state=OutcomeState.PENDING, headers=[], body=b"", run_state=RunState.UNKNOWN)


def unknown_outcome() -> Outcome:
    """Return the outcome of a call whose result is not known."""
    return Outcome(state=OutcomeState.UNKNOWN, headers=[], body=b"", run_state=RunState.UNKNOWN)


def never_ran_outcome() -> Outcome:
    """Return the outcome of a call that was abandoned and will never be sent."""
    return Outcome(state=OutcomeState.NEVER_RAN, headers=[], body=b"", run_state=RunState.NOT_RUN)


def answered_outcome(
    status: int, headers: dict[str, str], body: bytes, *, upstream: str
) -> Outcome:
    """Return the outcome of a call that the upstream answered completely."""
    return Outcome(
        state=OutcomeState.ANSWERED,
        status=status,
        headers=[Header(name=name, value=value) for name, value in headers.items()],
        body=body,
        upstream=upstream,
        run_state=RunState.RAN,
    )


def claim_outcome(outcome: Outcome) -> ClaimOutcome:
    """Return the core's form of an outcome, as stored in the claim."""
    if outcome.state != OutcomeState.ANSWERED:
        return ClaimOutcome(ClaimState.UNKNOWN)
    headers = {header.name: header.value for header in outcome.headers}
    return ClaimOutcome(
        ClaimState.RAN,
        outcome.status,
        headers.get(_CONTENT_TYPE, ""),
        outcome.upstream,
        outcome.body,
        body_kept=True,
    )


def stored_answer(stored: ClaimOutcome) -> Outcome:
    """Return the answer that is stored in a claim."""
    headers = {_CONTENT_TYPE: stored.content_type} if stored.content_type else {}
    return answered_outcome(stored.status, headers, stored.body, upstream=stored.upstream)


@dataclass
class _Entry:
    settled: threading.Event = field(default_factory=threading.Event)
    outcome: Outcome = field(default_factory=pending_outcome)


class CallOutcomes:
    """Outcomes of calls, by the nonce of their claim or ticket."""

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._body_bytes = 0
        self._lock = threading.Lock()

    def settle(self, nonce: str, outcome: Outcome) -> None:
        """Record the outcome of a call and wake the threads that wait for it.

        Further outcomes of the same call are ignored.
        """
        with self._lock:
            entry = self._entries.setdefault(nonce, _Entry())
            if entry.settled.is_set():
                return
            entry.outcome = outcome
            self._body_bytes += len(outcome.body)
            entry.settled.set()
            self._evict()

    def wait_for(self, nonce: str, *, wait_ms: int) -> Outcome:
        """Wait for the outcome of a call known to the core; return ``PENDING`` on timeout."""
        with self._lock:
            entry = self._entries.setdefault(nonce, _Entry())
        entry.settled.wait(wait_ms / _MS_PER_S)
        return entry.outcome

    def find_settled(self, nonce: str) -> Outcome | None:
        """Return the outcome of a call if it is settled, else None."""
        with self._lock:
            entry = self._entries.get(nonce)
        return entry.outcome if entry is not None and entry.settled.is_set() else None

    def _evict(self) -> None:
        while len(self._entries) > OUTCOME_LIMIT or self._body_bytes > OUTCOME_LIMIT_BYTES:
            nonce = next(
                (key for key, entry in self._entries.items() if entry.settled.is_set()), None
            )
            if nonce is None:
                return
            self._body_bytes -= len(self._entries.pop(nonce).outcome.body)
