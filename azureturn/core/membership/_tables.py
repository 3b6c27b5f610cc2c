"""The tables of membership: the peers, the rows and the log of their changes, the budget."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from azureturn.core.membership._types import GossipRow, Peer, PeerIdentity, RowKey, Topic
from azureturn.framework import Table

_MS_PER_S = 1_000
#: A budget that was not used is saved up for this long.
SAVED_S = 0.5


class PeerTable(Table[str, Peer]):
    """Other VMs, by name."""

    #: This VM itself.
    own: PeerIdentity | None = None
    #: Whether this VM is leaving.
    own_leaving: bool = False

    def reachable(self, now_ms: int, *, zone: str | None = None) -> list[Peer]:
        """Return the peers that may be called now; with ``zone``, only those in it."""
        return [
            peer
            for peer in self.rows()
            if peer.retry_at_ms <= now_ms
            and (zone is None or peer.identity.availability_zone == zone)
        ]

    def alive(self, now_ms: int, *, silence_ms: int) -> list[Peer]:
        """Return the peers heard of within ``silence_ms``."""
        return [one for one in self.rows() if now_ms - one.last_heard_ms <= silence_ms]


@dataclass(frozen=True)
class LoggedRow:
    """A row and its place in this VM's log of changes."""

    place: int
    row: GossipRow
    #: When this VM learned it.
    learned_at_ms: int
    #: The peer that told it; it need not be told back.
    told_by: str = ""


class GossipTable(Table[RowKey, LoggedRow]):
    """The newest copy of every row, in the order in which they last changed here.

    Each peer's cursor is a place in that order, so that a peer is sent just what changed since,
    and one number per peer is all that must be kept.
    """

    #: Place of the last change.
    last_place: int = 0

    def learn(self, row: GossipRow, now_ms: int, *, told_by: str = "") -> bool:
        """Take in a row and return whether it was news."""
        known = self.get(row.row_key)
        if known is not None and not row.is_newer_than(known.row):
            return False
        self.remove(row.row_key)
        self.last_place += 1
        self.put(row.row_key, LoggedRow(self.last_place, row, now_ms, told_by))
        return True

    def change_own(
        self,
        own: PeerIdentity,
        topic: Topic,
        key: str,
        numbers: tuple[int, ...],
        now_ms: int,
        *,
        renew_after_ms: int | None = None,
    ) -> bool:
        """Change one of this VM's own rows and return whether it was told anew.

        A row that stays as it was is told again after ``renew_after_ms``, where that is given,
        for readers that forget what they did not hear lately. Zeros are never renewed.
        """
        row_key = RowKey(own.vm, topic, key)
        known = self.get(row_key)
        if known is None and not any(numbers) and renew_after_ms is not None:
            return False
        if known is not None and known.row.numbers == numbers:
            age_ms = now_ms - known.learned_at_ms
            if renew_after_ms is None or age_ms < renew_after_ms or not any(numbers):
                return False
        self._put_own(own, row_key, numbers, now_ms)
        return True

    def renew_own(self, own: PeerIdentity, topic: Topic, now_ms: int) -> None:
        """Raise the version of a row that says nothing but that its owner lives."""
        self._put_own(own, RowKey(own.vm, topic), (), now_ms)

    def changes_since(self, place: int) -> list[LoggedRow]:
        """Return the rows that changed after a place, the oldest change first."""
        newest_first: list[LoggedRow] = []
        for logged in reversed(self._rows.values()):
            if logged.place <= place:
                break
            newest_first.append(logged)
        newest_first.reverse()
        return newest_first

    def of_topic(self, topic: Topic) -> Iterator[GossipRow]:
        """Return the rows of a topic."""
        return (logged.row for key, logged in self.items() if key.topic is topic)

    def forget(self, row_keys: Iterable[RowKey]) -> None:
        """Take rows out, as those of VMs that are gone."""
        for row_key in list(row_keys):
            self.remove(row_key)

    def _put_own(
        self, own: PeerIdentity, row_key: RowKey, numbers: tuple[int, ...], now_ms: int
    ) -> None:
        known = self.get(row_key)
        version = 1 if known is None else known.row.version + 1
        self.learn(GossipRow(row_key, own.incarnation, version, numbers), now_ms)


@dataclass(frozen=True)
class ByteBudget:
    """A token bucket of bytes that heartbeats may take."""

    bytes_per_s: int
    left_bytes: float
    filled_at_ms: int

    def filled(self, now_ms: int) -> "ByteBudget":
        """Return the budget as it stands now; at most half a second's worth is saved up."""
        gained = (now_ms - self.filled_at_ms) * self.bytes_per_s / _MS_PER_S
        left_bytes = min(self.bytes_per_s * SAVED_S, self.left_bytes + gained)
        return ByteBudget(self.bytes_per_s, left_bytes, now_ms)

    def spent(self, size_bytes: int) -> "ByteBudget":
        """Return the budget less what was sent or received."""
        return ByteBudget(self.bytes_per_s, self.left_bytes - size_bytes, self.filled_at_ms)


class BudgetTable(Table[str, ByteBudget]):
    """Holds the one budget of this VM."""

    _KEY = "control"

    def current(self, bytes_per_s: int, now_ms: int) -> ByteBudget:
        """Return the budget as it stands now."""
        known = self.get(self._KEY)
        if known is None:
            return ByteBudget(bytes_per_s, bytes_per_s * SAVED_S, now_ms)
        return known.filled(now_ms)

    def keep(self, budget: ByteBudget) -> None:
        """Replace the budget."""
        self.put(self._KEY, budget)
