"""How the key-value service does, and how often this process may write to it."""

from dataclasses import dataclass

from azureturn.core._claims import ClaimHolder
from azureturn.framework import Table

#: Writes of one process: eight VMs leave a tenth of the service's 400 a second to others.
WRITES_PER_S = 45
#: Writes that may follow each other at once after a quiet time.
WRITE_BURST = 6
#: Ends of calls, which nobody waits for, are written by themselves only with so many left.
SPARE_WRITES = 3
#: After so long, and so many calls, without any answer the service counts as down.
OUTAGE_AFTER_MS = 1_000
OUTAGE_LOSSES = 2
#: While the service counts as down, a call waits no longer than this for it to come back.
OUTAGE_PATIENCE_MS = 1_000
#: While the service is down, one call this often finds out whether it is back.
PROBE_INTERVAL_MS = 500
#: When to come back after a refusal because the service is down.
OUTAGE_RETRY_AFTER_MS = 2_000
_MS_PER_S = 1_000


@dataclass
class ClaimService:
    """The service as one process sees it, and who this process is."""

    identity: ClaimHolder
    operations: int = 0
    nonces: int = 0
    #: Calls without an answer since the last one with, and when the first of them began.
    losses: int = 0
    failing_since_ms: int = 0
    probed_at_ms: int = 0
    in_flight: int = 0
    write_allowance: float = WRITE_BURST
    allowance_at_ms: int = 0

    def next_nonce(self) -> str:
        """Return a nonce that no process ever used; it needs no chance but the boot id's."""
        self.nonces += 1
        return f"{self.identity.boot_id}-{self.nonces}"

    def begin_operation(self) -> int:
        """Return the number of a new call to the service."""
        self.operations += 1
        self.in_flight += 1
        return self.operations

    def note_answer(self) -> None:
        """Take in that the service answered."""
        self.in_flight -= 1
        self.losses = 0

    def note_lost(self, *, begun_at_ms: int) -> None:
        """Take in that a call had no answer."""
        self.in_flight -= 1
        if self.losses == 0:
            self.failing_since_ms = begun_at_ms
        self.losses += 1

    def is_down(self, now_ms: int) -> bool:
        """Return whether calls should not wait for the service."""
        failing_ms = now_ms - self.failing_since_ms
        return self.losses >= OUTAGE_LOSSES and failing_ms >= OUTAGE_AFTER_MS

    def may_call(self, now_ms: int) -> bool:
        """Return whether a call may start: while the service is down, one at a time."""
        return not self.is_down(now_ms) or self.in_flight == 0

    def take_write(self, now_ms: int, *, spare: bool) -> bool:
        """Return whether a write may start now, and count it.

        ``spare`` asks for one that can wait until there is plenty.
        """
        elapsed_ms = now_ms - self.allowance_at_ms
        earned = elapsed_ms * WRITES_PER_S / _MS_PER_S
        self.write_allowance = min(WRITE_BURST, self.write_allowance + earned)
        self.allowance_at_ms = now_ms
        if self.write_allowance < (SPARE_WRITES if spare else 1):
            return False
        self.write_allowance -= 1
        return True

    def return_write(self) -> None:
        """Give back a write that proved needless."""
        self.write_allowance += 1


class ClaimServiceTable(Table[str, ClaimService]):
    """Holds the one row about the service."""

    _ONLY = "only"

    def only(self) -> ClaimService:
        """Return the row; before the start it has no name."""
        row = self.get(self._ONLY)
        if row is None:
            row = ClaimService(ClaimHolder("", "", "", 0))
            self.put(self._ONLY, row)
        return row

    def start(self, identity: ClaimHolder) -> None:
        """Begin anew under an identity."""
        self.put(self._ONLY, ClaimService(identity))
