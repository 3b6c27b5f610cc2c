"""What became of calls that this process sent under a claim or a ticket, for duplicates."""

import threading
from collections import OrderedDict
from dataclasses import dataclass, field

from azureturn.core import ClaimOutcome, ClaimState
from azureturn.errors import RunState
from azureturn.peers import Header, Outcome, OutcomeState

#: Outcomes kept in memory, and the bytes of their bodies; the oldest that are settled go first.
OUTCOME_LIMIT = 20_000
OUTCOME_LIMIT_BYTES = 48 << 20
_MS_PER_S = 1_000
_CONTENT_TYPE = "Content-Type"


def pending_outcome() -> Outcome:
    """Return the outcome of a call that is still under way."""
    return Outcome(state=OutcomeState.PENDING, headers=[], body=b"", run_state=RunState.UNKNOWN)


def unknown_outcome() -> Outcome:
    """Return the outcome of a call of which nothing is known."""
    return Outcome(state=OutcomeState.UNKNOWN, headers=[], body=b"", run_state=RunState.UNKNOWN)


def never_ran_outcome() -> Outcome:
    """Return the outcome of a call that was given up and will never be sent."""
    return Outcome(state=OutcomeState.NEVER_RAN, headers=[], body=b"", run_state=RunState.NOT_RUN)


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


def claim_outcome(outcome: Outcome) -> ClaimOutcome:
    """Return an outcome in the form in which the core keeps it."""
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


def kept_answer(kept: ClaimOutcome) -> Outcome:
    """Return the answer that is kept beside a claim."""
    headers = {_CONTENT_TYPE: kept.content_type} if kept.content_type else {}
    return answered_outcome(kept.status, headers, kept.body, upstream=kept.upstream)


@dataclass
class _Entry:
    settled: threading.Event = field(default_factory=threading.Event)
    outcome: Outcome = field(default_factory=pending_outcome)


class CallOutcomes:
    """Outcomes by the nonce of the claim or ticket that the call was sent under."""

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._body_bytes = 0
        self._lock = threading.Lock()

    def settle(self, nonce: str, outcome: Outcome) -> None:
        """Note what became of a call and wake those who wait for it; the first word stands."""
        with self._lock:
            entry = self._entries.setdefault(nonce, _Entry())
            if entry.settled.is_set():
                return
            entry.outcome = outcome
            self._body_bytes += len(outcome.body)
            entry.settled.set()
            self._trim()

    def find(self, nonce: str, *, wait_ms: int) -> Outcome:
        """Return the outcome of a call that is known to the core, after waiting for it."""
        with self._lock:
            entry = self._entries.setdefault(nonce, _Entry())
        entry.settled.wait(wait_ms / _MS_PER_S)
        return entry.outcome

    def known(self, nonce: str) -> Outcome | None:
        """Return a settled outcome, or None."""
        with self._lock:
            entry = self._entries.get(nonce)
        return entry.outcome if entry is not None and entry.settled.is_set() else None

    def _trim(self) -> None:
        while len(self._entries) > OUTCOME_LIMIT or self._body_bytes > OUTCOME_LIMIT_BYTES:
            nonce = next((key for key, one in self._entries.items() if one.settled.is_set()), None)
            if nonce is None:
                return
            self._body_bytes -= len(self._entries.pop(nonce).outcome.body)
