"""How the VMs share the limit of a cold upstream without coordination.

Load: all VMs have requests for an upstream that crashes above a few requests a second, and cannot
reach each other or the store. With random time slots of each VM, the sum of 81 VMs exceeds the
limit in some seconds. Therefore slots are given to VMs by name: in each round an upstream has a
fixed number of slots, which are shared among the VMs by a ranking of their names that all VMs
compute alike. If there are more VMs than slots, the others have none. VMs that know the same VMs
never exceed the slots in any second, whatever their clocks say.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from azureturn.gateway.settings import ColdBounds

_MS_PER_S = 1_000.0
#: Time in which each slot is used once at the most. It is longer than the second in which requests
#: are counted by the time that a request may take from its slot to the upstream.
_ROUND_MS = 1_300.0
#: How long after its beginning a slot may still be used.
SLOT_MS = 200
#: Share of the limit that is given out as slots. The rest is for VMs that the others do not know
#: yet: as long as those are fewer than the known ones, the limit holds.
_SLOTS_SHARE = 0.7
#: How long a VM is remembered that is not registered and sends no reports. It may still run.
_REMEMBERED_MS = 600_000


@dataclass(frozen=True)
class ColdLimit:
    """The requests that all VMs together may send to each cold upstream of a service."""

    #: Slots of all VMs in a round.
    slots: int
    round_ms: float

    @classmethod
    def of(cls, per_s: float, bounds: ColdBounds) -> "ColdLimit":
        """Return the limit of upstreams that take so many requests per second.

        There is at least one slot, so that a service whose upstreams are all cold is not stopped.

        >>> ColdLimit.of(12.0, ColdBounds())
        ColdLimit(slots=15, round_ms=1300.0)
        >>> ColdLimit.of(0.5, ColdBounds())
        ColdLimit(slots=1, round_ms=2000.0)
        """
        most_per_s = per_s * bounds.overshoot + bounds.slack
        slots = math.floor(min(per_s * _ROUND_MS / _MS_PER_S, most_per_s * _SLOTS_SHARE))
        return cls(max(1, slots), max(_ROUND_MS, _MS_PER_S / per_s))

    def share(self, rank: int, vm_count: int) -> int:
        """Return the number of slots in a round of the VM of this rank.

        >>> [ColdLimit(15, 1300.0).share(rank, 4) for rank in range(4)]
        [4, 4, 4, 3]
        """
        return self.slots // vm_count + (rank < self.slots % vm_count)

    def first_slot_ms(self, rank: int, vm_count: int) -> float:
        """Return the time from the beginning of the limit to the first slot of a VM.

        It depends on the rank, so that the VMs take turns.
        """
        senders = min(self.slots, vm_count)
        return self.round_ms / max(1, self.share(rank, vm_count)) * rank / senders


class KnownVms:
    """The names of all VMs of the site that this VM has learned of, live or not.

    A VM that does not respond may be partitioned and still send requests, so that it counts until
    it is neither registered nor heard of for long.
    """

    def __init__(self) -> None:
        self.own_name = ""
        self._registered: frozenset[str] = frozenset()
        self._heard_at_ms: dict[str, int] = {}
        #: Rank of this VM by upstream, as long as the known VMs stay the same.
        self._ranks: dict[str, int] = {}
        self._others: frozenset[str] = frozenset()

    @property
    def count(self) -> int:
        """Return the number of known VMs, including this one."""
        return len(self._others) + 1

    def record_registered(self, names: frozenset[str], now_ms: int) -> None:
        """Record which VMs the store lists now."""
        if names == self._registered:
            return
        for name in self._registered - names:
            self._heard_at_ms.setdefault(name, now_ms)
        self._registered = names
        self._update()

    def record_heard(self, names: Iterable[str], now_ms: int) -> None:
        """Record VMs that have reported, or that a report names."""
        is_new = False
        for name in names:
            is_new = is_new or name not in self._heard_at_ms
            self._heard_at_ms[name] = now_ms
        if is_new:
            self._update()

    def remove_forgotten(self, now_ms: int) -> None:
        """Forget VMs of which nothing has been heard for long."""
        forgotten = [
            name for name, at_ms in self._heard_at_ms.items() if now_ms - at_ms > _REMEMBERED_MS
        ]
        for name in forgotten:
            del self._heard_at_ms[name]
        if forgotten:
            self._update()

    def rank(self, upstream: str) -> int:
        """Return the number of known VMs that have precedence over this one at an upstream.

        A VM that is added or removed changes the rank of another one by one at the most, so that
        VMs that differ in a few names differ little in the slots that they take.
        """
        rank = self._ranks.get(upstream)
        if rank is None:
            own_key = _rank_key(self.own_name, upstream)
            rank = sum(_rank_key(name, upstream) < own_key for name in self._others)
            self._ranks[upstream] = rank
        return rank

    def remove_ranks_except(self, upstreams: frozenset[str]) -> None:
        """Drop the ranks at other upstreams."""
        for name in self._ranks.keys() - upstreams:
            del self._ranks[name]

    def _update(self) -> None:
        others = self._registered.union(self._heard_at_ms) - {self.own_name}
        if others != self._others:
            self._others = others
            self._ranks.clear()


def _rank_key(vm: str, upstream: str) -> tuple[int, str]:
    """Return the key by which VMs are ordered at an upstream."""
    return xxhash.xxh3_64_intdigest(f"{upstream}\n{vm}".encode()), vm
