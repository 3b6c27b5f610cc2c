"""What peers say of their work, as far as placement and admission use it."""

from dataclasses import dataclass

from azureturn.framework import Table

#: A peer that was not heard for this long counts no more.
PEER_SILENT_MS = 5_000


@dataclass(frozen=True)
class PeerWork:
    """What one peer has outstanding at one upstream."""

    vm: str
    upstream: str
    taken_at_ms: int
    requests: int
    tokens: int


class PeerWorkTable(Table[tuple[str, str], PeerWork]):
    """Peers' work by VM and upstream."""

    def __init__(self) -> None:
        super().__init__()
        self._heard_at_ms: dict[str, int] = {}

    def note_heard(self, vm: str, now_ms: int) -> None:
        """Remember that a peer was heard now."""
        self._heard_at_ms[vm] = now_ms

    def silent(self, now_ms: int) -> list[str]:
        """Return the peers that were not heard lately."""
        limit_ms = now_ms - PEER_SILENT_MS
        return [vm for vm, heard_ms in self._heard_at_ms.items() if heard_ms < limit_ms]

    def forget(self, vm: str) -> list[PeerWork]:
        """Take out what a peer said and return it."""
        self._heard_at_ms.pop(vm, None)
        gone = [key for key, row in self.items() if row.vm == vm]
        return [row for key in gone if (row := self.remove(key)) is not None]

    def vms(self) -> int:
        """Return how many VMs send to the upstreams, this one included."""
        return 1 + len(self._heard_at_ms)


@dataclass(frozen=True)
class PeerQueue:
    """What waits in one peer's queue for one target."""

    vm: str
    target: str
    taken_at_ms: int
    #: Requests that wait, by tier rank.
    queued_by_rank: tuple[int, ...]

    def has_below(self, rank: int) -> bool:
        """Return whether a less urgent tier than this has requests there."""
        return any(self.queued_by_rank[rank + 1 :])


class PeerQueueTable(Table[tuple[str, str], PeerQueue]):
    """Peers' queues by VM and target; only peers of this availability zone are here."""

    def with_work_below(self, target: str, rank: int, now_ms: int) -> tuple[str, ...]:
        """Return the peers that lately had less urgent work in their queues."""
        limit_ms = now_ms - PEER_SILENT_MS
        return tuple(
            row.vm
            for row in self.rows()
            if row.target == target and row.taken_at_ms >= limit_ms and row.has_below(rank)
        )
