"""Health of the key-value service and the rate limit of this process's writes to it."""

from dataclasses import dataclass

from azureturn.core._claims import ClaimHolder
from azureturn.framework import Table

#: Write rate of one process: eight VMs use 360 of the service's 400 writes a second, which leaves a
#: tenth to other clients.
WRITES_PER_S = 45
#: Burst size of the write rate limit.
WRITE_BURST = 6
#: A write of outcomes alone, which no caller waits for, is permitted only if the rate limit has at
#: least this many writes left.
LOW_PRIORITY_RESERVE = 3
#: The service counts as down after this long and this many consecutive calls without an answer.
OUTAGE_AFTER_MS = 1_000
OUTAGE_UNANSWERED_CALLS = 2
#: Time for which a call waits for its claim while the service counts as down.
OUTAGE_CLAIM_TIMEOUT_MS = 1_000
#: Interval of the calls that probe whether the service is back.
PROBE_INTERVAL_MS = 500
#: Retry-after time of a refusal because the service is down.
OUTAGE_RETRY_AFTER_MS = 2_000
_MS_PER_S = 1_000


@dataclass
class ClaimService:
    """The key-value service as seen by this process, and the identity of this process."""

    identity: ClaimHolder
    operation_count: int = 0
    nonce_count: int = 0
    #: Consecutive calls without an answer, and when the first of them began.
    unanswered_calls: int = 0
    failing_since_ms: int = 0
    probed_at_ms: int = 0
    in_flight: int = 0
    available_writes: float = WRITE_BURST
    available_writes_at_ms: int = 0

    def next_nonce(self) -> str:
        """Return a globally unique nonce; its uniqueness rests on that of the boot id."""
        self.nonce_count += 1
        return f"{self.identity.boot_id}-{self.nonce_count}"

    def begin_operation(self) -> int:
        """Return the id of a new call to the service and count it as in flight."""
        self.operation_count += 1
        self.in_flight += 1
        return self.operation_count

    def record_answer(self) -> None:
        """Record that the service answered a call."""
        self.in_flight -= 1
        self.unanswered_calls = 0

    def record_lost_call(self, *, begun_at_ms: int) -> None:
        """Record that a call had no answer."""
        self.in_flight -= 1
        if self.unanswered_calls == 0:
            self.failing_since_ms = begun_at_ms
        self.unanswered_calls += 1

    def is_down(self, now_ms: int) -> bool:
        """Return whether the service counts as down."""
        failing_ms = now_ms - self.failing_since_ms
        return self.unanswered_calls >= OUTAGE_UNANSWERED_CALLS and failing_ms >= OUTAGE_AFTER_MS

    def may_call(self, now_ms: int) -> bool:
        """Return whether a call may start; while the service is down, only one at a time may."""
        return not self.is_down(now_ms) or self.in_flight == 0

    def acquire_write(self, now_ms: int, *, low_priority: bool) -> bool:
        """Take one write from the rate limit and return whether there was one.

        A ``low_priority`` write is granted only while ``LOW_PRIORITY_RESERVE`` writes are left.
        """
        elapsed_ms = now_ms - self.available_writes_at_ms
        refilled = elapsed_ms * WRITES_PER_S / _MS_PER_S
        self.available_writes = min(WRITE_BURST, self.available_writes + refilled)
        self.available_writes_at_ms = now_ms
        if self.available_writes < (LOW_PRIORITY_RESERVE if low_priority else 1):
            return False
        self.available_writes -= 1
        return True

    def release_write(self) -> None:
        """Return a write that was not used to the rate limit."""
        self.available_writes += 1


class ClaimServiceTable(Table[str, ClaimService]):
    """Holds the single row on the key-value service and this process."""

    _ONLY = "only"

    def only(self) -> ClaimService:
        """Return the row; its identity is empty before ``start``."""
        row = self.get(self._ONLY)
        if row is None:
            row = ClaimService(ClaimHolder("", "", "", 0))
            self.put(self._ONLY, row)
        return row

    def start(self, identity: ClaimHolder) -> None:
        """Reset the row for a process with this identity."""
        self.put(self._ONLY, ClaimService(identity))
