"""Sharing of upstreams' slots by VMs whose reports are old compared with the time of a request.

Handles sites with so many VMs that several requests begin and end at each upstream between two
reports of a peer. If every VM chose the upstream with the fewest reported requests, all would
choose the same one until the next reports, and it would reject what exceeds its queue. Each VM
therefore owns some slots, which are divided without messages; it may borrow free ones of others at
a limited rate, and draws by lot among upstreams that look alike.
"""

import math
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.site import RegisteredUpstream

#: Weight of a new sample in the mean time of requests.
_EWMA_WEIGHT = 0.05
#: Cost that makes an upstream less likely by a factor of e than one that is otherwise equal.
_COST_SCALE_MS = 20.0
#: Exponent of the free slots in the weight of an upstream. Reports are noisy, so that nearly full
#: upstreams are avoided more than in proportion.
_FREE_SLOTS_EXPONENT = 2.0
#: Least number of free slots that is assumed: an upstream that looks full may still be drawn.
_MIN_FREE_SLOTS = 0.1
#: Exponent of the share of answers that do not fail, by which an upstream that fails or rejects is
#: drawn less often.
_SUCCESS_EXPONENT = 4.0


class TurnoverTable(Table[str, float]):
    """Mean time that this VM's requests spend at upstreams in ms, keyed by service."""

    def __init__(self) -> None:
        super().__init__()
        self._counts: Counter[str] = Counter()

    def record(self, service: str, took_ms: float) -> None:
        """Include the time of one more request that an upstream ran."""
        self._counts[service] += 1
        weight = max(_EWMA_WEIGHT, 1 / self._counts[service])
        mean_ms = self.get(service) or 0.0
        self.put(service, mean_ms + weight * (took_ms - mean_ms))

    def remaining_share(self, service: str, age_ms: float) -> float:
        """Return the share of the requests in a report of this age that have not ended."""
        mean_ms = self.get(service)
        return 1.0 if mean_ms is None else math.exp(-age_ms / max(1.0, mean_ms))


@dataclass(frozen=True)
class SlotDivision:
    """The slots that this VM owns, and what they were computed from."""

    upstreams: list[RegisteredUpstream]
    slots: list[int]
    vm_names: frozenset[str]
    owned: dict[str, int]


class SlotDivisionTable(Table[str, SlotDivision]):
    """Divisions of slots by service; one is computed anew if the upstreams or VMs change."""

    def owned(
        self,
        service: str,
        upstreams: list[RegisteredUpstream],
        slots: list[int],
        vm_names: frozenset[str],
        own_name: str,
    ) -> dict[str, int]:
        """Return how many slots of each upstream this VM owns; upstreams without any are absent."""
        division = self.get(service)
        if (
            division is None
            or (division.upstreams is not upstreams and division.upstreams != upstreams)
            or division.slots != slots
            or (division.vm_names is not vm_names and division.vm_names != vm_names)
        ):
            names = [upstream.name for upstream in upstreams]
            owned = owned_slots(list(zip(names, slots, strict=True)), vm_names, own_name)
            division = SlotDivision(upstreams, slots, vm_names, owned)
            self.put(service, division)
        return division.owned


@dataclass(frozen=True)
class Loan:
    """How many slots of others a VM may still use until a time."""

    until_ms: int
    slots: int


class LoanTable(Table[str, Loan]):
    """Loans by service."""

    def may_borrow(
        self,
        service: str,
        lendable: float,
        *,
        interval_ms: int,
        now_ms: int,
        generator: random.Random,
    ) -> bool:
        """Return whether this VM may use a slot that it does not own.

        ``lendable`` is the number of requests that it may add in an interval; fractions are drawn
        by lot.
        """
        loan = self.get(service)
        if loan is None or now_ms >= loan.until_ms:
            loan = Loan(now_ms + interval_ms, math.floor(lendable + generator.random()))
            self.put(service, loan)
        return loan.slots > 0

    def is_used_up(self, service: str, now_ms: int) -> bool:
        """Return whether this VM may borrow nothing more until the next interval."""
        loan = self.get(service)
        return loan is not None and now_ms < loan.until_ms and loan.slots <= 0

    def record_borrowed(self, service: str) -> None:
        """Record that this VM uses a slot that it does not own."""
        loan = self.get(service)
        if loan is not None:
            self.put(service, Loan(loan.until_ms, loan.slots - 1))


def owned_slots(
    upstreams: Sequence[tuple[str, int]], vm_names: Iterable[str], own_name: str
) -> dict[str, int]:
    """Return how many slots of each upstream a VM owns.

    All VMs that know the same upstreams and VMs compute the same division. A VM's slots are spread
    over as many upstreams as possible.

    >>> owned_slots([("u1", 2), ("u2", 1)], ["a", "b"], "a")
    {'u1': 2}
    """
    names = sorted(vm_names)
    slots = sorted((number, name) for name, count in upstreams for number in range(count))
    return dict(Counter(name for _, name in slots[names.index(own_name) :: len(names)]))


def expected_requests(
    reported: Sequence[float], slots: Sequence[int], remaining_share: float
) -> list[float]:
    """Return the requests expected now at each upstream, given those that peers have reported.

    For those that have ended since, as many have probably come, in proportion to the slots.

    >>> expected_requests([8.0, 0.0], [1, 3], 0.5)
    [5.0, 3.0]
    """
    renewed = sum(reported) * (1.0 - remaining_share) / max(1, sum(slots))
    return [
        count * remaining_share + share * renewed
        for count, share in zip(reported, slots, strict=True)
    ]


def draw_weight(free_slots: float, failure_share: float, cost_ms: float) -> float:
    """Return the weight with which an upstream is drawn; ``cost_ms`` exceeds that of the cheapest.

    >>> draw_weight(4.0, 0.0, 0.0) > draw_weight(2.0, 0.0, 0.0) > draw_weight(2.0, 0.5, 0.0) > 0
    True
    """
    free_weight = math.pow(max(_MIN_FREE_SLOTS, free_slots), _FREE_SLOTS_EXPONENT)
    success_weight = math.pow(1.0 - min(0.99, failure_share), _SUCCESS_EXPONENT)
    return free_weight * success_weight * math.exp(-cost_ms / _COST_SCALE_MS)
