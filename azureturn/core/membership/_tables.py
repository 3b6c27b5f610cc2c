"""Blackboard tables of membership: peers, gossip rows with their change log, byte budget."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from azureturn.core.membership._types import GossipRow, Peer, PeerIdentity, RowKey, Topic
from azureturn.framework import Table

_MS_PER_S = 1_000
#: Burst size of the token bucket, in seconds of unused budget.
BURST_S = 0.5


class PeerTable(Table[str, Peer]):
    """The other VMs by name."""

    #: Identity of this VM's process; None until it has started.
    local_identity: PeerIdentity | None = None
    #: Whether this VM has announced that it is leaving.
    own_leaving: bool = False

    def reachable(self, now_ms: int, *, zone: str | None = None) -> list[Peer]:
        """Return the peers that are not waiting for a retry; with ``zone``, only those in it."""
        return [
            peer
            for peer in self.rows()
            if peer.retry_at_ms <= now_ms
            and (zone is None or peer.identity.availability_zone == zone)
        ]

    def alive(self, now_ms: int, *, silence_ms: int) -> list[Peer]:
        """Return the peers known to have been alive within the last ``silence_ms``."""
        return [peer for peer in self.rows() if now_ms - peer.last_heard_ms <= silence_ms]


@dataclass(frozen=True)
class LoggedRow:
    """A row and its position in this VM's change log."""

    #: Position in the log; it increases with each change of any row.
    place: int
    row: GossipRow
    #: Time at which this VM received or changed the row.
    learned_at_ms: int
    #: VM from which the row was received, to which it need not be sent; empty for own rows.
    received_from: str = ""


class GossipTable(Table[RowKey, LoggedRow]):
    """The newest copy of every row, in the order of the rows' last changes at this VM.

    This order is the VM's change log. The cursor of a peer is the position in the log up to which
    changes were sent to the peer, so that a single number per peer has to be stored.
    """

    #: Position of the last change.
    last_place: int = 0

    def store_if_newer(self, row: GossipRow, now_ms: int, *, received_from: str = "") -> bool:
        """Store a row if it is newer than the stored copy; return whether it was stored."""
        known_row = self.get(row.row_key)
        if known_row is not None and not row.is_newer_than(known_row.row):
            return False
        self.remove(row.row_key)
        self.last_place += 1
        self.put(row.row_key, LoggedRow(self.last_place, row, now_ms, received_from))
        return True

    def change_own(
        self,
        local_identity: PeerIdentity,
        topic: Topic,
        key: str,
        numbers: tuple[int, ...],
        now_ms: int,
        *,
        renew_after_ms: int | None = None,
    ) -> bool:
        """Change one of this VM's own rows; return whether the row was written to the log.

        An unchanged row is written again after ``renew_after_ms``, if given, because readers
        of such rows ignore rows that are not renewed. Rows with only zeros are never renewed.
        """
        row_key = RowKey(local_identity.vm, topic, key)
        known_row = self.get(row_key)
        if known_row is None and not any(numbers) and renew_after_ms is not None:
            return False
        if known_row is not None and known_row.row.numbers == numbers:
            age_ms = now_ms - known_row.learned_at_ms
            if renew_after_ms is None or age_ms < renew_after_ms or not any(numbers):
                return False
        self._put_own(local_identity, row_key, numbers, now_ms)
        return True

    def renew_own(self, local_identity: PeerIdentity, topic: Topic, now_ms: int) -> None:
        """Increment the version of a row without numbers, which signals that its owner is alive."""
        self._put_own(local_identity, RowKey(local_identity.vm, topic), (), now_ms)

    def changes_since(self, place: int) -> list[LoggedRow]:
        """Return the rows that changed after a position in the log, the oldest change first."""
        newest_first: list[LoggedRow] = []
        for logged_row in reversed(self._rows.values()):
            if logged_row.place <= place:
                break
            newest_first.append(logged_row)
        newest_first.reverse()
        return newest_first

    def of_topic(self, topic: Topic) -> Iterator[GossipRow]:
        """Iterate over the rows of a topic."""
        return (logged_row.row for key, logged_row in self.items() if key.topic is topic)

    def remove_rows(self, row_keys: Iterable[RowKey]) -> None:
        """Remove rows, such as those of VMs that are gone."""
        for row_key in list(row_keys):
            self.remove(row_key)

    def _put_own(
        self, local_identity: PeerIdentity, row_key: RowKey, numbers: tuple[int, ...], now_ms: int
    ) -> None:
        known_row = self.get(row_key)
        version = 1 if known_row is None else known_row.row.version + 1
        self.store_if_newer(
            GossipRow(row_key, local_identity.incarnation, version, numbers), now_ms
        )


@dataclass(frozen=True)
class ByteBudget:
    """A token bucket that limits the bytes of heartbeats sent and received."""

    bytes_per_s: int
    #: Remaining bytes; negative if the budget is overdrawn.
    left_bytes: float
    #: Time of the last refill.
    filled_at_ms: int

    def refilled(self, now_ms: int) -> "ByteBudget":
        """Return the budget refilled up to now, to at most ``BURST_S`` seconds of budget."""
        refill_bytes = (now_ms - self.filled_at_ms) * self.bytes_per_s / _MS_PER_S
        left_bytes = min(self.bytes_per_s * BURST_S, self.left_bytes + refill_bytes)
        return ByteBudget(self.bytes_per_s, left_bytes, now_ms)

    def spent(self, size_bytes: int) -> "ByteBudget":
        """Return the budget reduced by bytes sent or received."""
        return ByteBudget(self.bytes_per_s, self.left_bytes - size_bytes, self.filled_at_ms)


class BudgetTable(Table[str, ByteBudget]):
    """Holds the single byte budget of this VM."""

    _KEY = "control"

    def current(self, bytes_per_s: int, now_ms: int) -> ByteBudget:
        """Return the budget refilled up to now; a full one at first."""
        stored_budget = self.get(self._KEY)
        if stored_budget is None:
            return ByteBudget(bytes_per_s, bytes_per_s * BURST_S, now_ms)
        return stored_budget.refilled(now_ms)

    def set_current(self, budget: ByteBudget) -> None:
        """Store the budget."""
        self.put(self._KEY, budget)
