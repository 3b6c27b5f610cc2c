"""Outstanding and queued work reported by peers, as used by placement and refusals."""

from dataclasses import dataclass

from azureturn.framework import Table

#: The reports of a peer are ignored if no report arrived from it for this long.
PEER_SILENCE_TIMEOUT_MS = 5_000


@dataclass(frozen=True)
class PeerWork:
    """Requests and their tokens that a peer has sent to an upstream and that have not ended."""

    vm: str
    upstream: str
    #: When the peer counted its work, by this VM's clock.
    taken_at_ms: int
    requests: int
    tokens: int


class PeerWorkTable(Table[tuple[str, str], PeerWork]):
    """Outstanding work of peers, by VM and upstream."""

    def __init__(self) -> None:
        super().__init__()
        self._heard_at_ms: dict[str, int] = {}

    def record_report(self, vm: str, now_ms: int) -> None:
        """Record the time of a report from a peer."""
        self._heard_at_ms[vm] = now_ms

    def silent_peers(self, now_ms: int) -> list[str]:
        """Return the peers that sent no report within ``PEER_SILENCE_TIMEOUT_MS``."""
        limit_ms = now_ms - PEER_SILENCE_TIMEOUT_MS
        return [vm for vm, heard_ms in self._heard_at_ms.items() if heard_ms < limit_ms]

    def remove_peer(self, vm: str) -> list[PeerWork]:
        """Remove a peer's rows and return them."""
        self._heard_at_ms.pop(vm, None)
        removed = [key for key, row in self.items() if row.vm == vm]
        return [row for key in removed if (row := self.remove(key)) is not None]

    def vm_count(self) -> int:
        """Return the number of VMs that send to the upstreams, including this one."""
        return 1 + len(self._heard_at_ms)


@dataclass(frozen=True)
class PeerQueue:
    """Queue lengths of one peer for one target."""

    vm: str
    target: str
    #: When the peer counted its queue, by this VM's clock.
    taken_at_ms: int
    #: Number of queued requests, by tier rank.
    queued_by_rank: tuple[int, ...]

    def has_below(self, rank: int) -> bool:
        """Return whether requests of a less urgent tier than ``rank`` are queued there."""
        return any(self.queued_by_rank[rank + 1 :])


class PeerQueueTable(Table[tuple[str, str], PeerQueue]):
    """Queue lengths of the peers of this availability zone, by VM and target."""

    def peers_with_less_urgent_work(self, target: str, rank: int, now_ms: int) -> tuple[str, ...]:
        """Return the peers that recently reported less urgent queued requests than ``rank``."""
        limit_ms = now_ms - PEER_SILENCE_TIMEOUT_MS
        return tuple(
            row.vm
            for row in self.rows()
            if row.target == target and row.taken_at_ms >= limit_ms and row.has_below(rank)
        )
