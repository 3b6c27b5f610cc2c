"""The queue before one target's upstreams: tiers strict, fair shares, earliest deadline first."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from azureturn.framework._fair_share import FairShareQueue

#: The tier under which a first-come queue holds every request.
_ONE_TIER = 0


class Queueable(Protocol):
    """What the queue asks of a request."""

    @property
    def request_id(self) -> str:
        """Return the request's id."""

    @property
    def organisation(self) -> str:
        """Return whose share the request is charged to."""

    @property
    def tier_rank(self) -> int:
        """Return the tier; 0 is the most urgent."""

    @property
    def arrived_at_ms(self) -> int:
        """Return when the request came."""

    @property
    def deadline_ms(self) -> int:
        """Return what requests of one organisation are ordered by."""


_Request = TypeVar("_Request", bound=Queueable)


@dataclass(frozen=True)
class QueuedRequest(Generic[_Request]):
    """A request in the queue, with what the queue needs to order it."""

    request: _Request
    #: Work in tokens, which the organisation's share is charged with.
    cost_tokens: float
    #: Weight of the organisation's share.
    weight: float
    #: From this time on the request cannot be answered by its deadline.
    give_up_at_ms: int


class RequestQueue(Generic[_Request]):
    """Requests that wait for an upstream.

    A more urgent tier always comes first. Within a tier, organisations share by weight, and
    each organisation's requests go by deadline. ``first_come`` replaces all of that by the
    order of arrival, as a baseline to be measured against.

    Pushing, popping and removing cost the logarithm of what is queued.
    """

    def __init__(self) -> None:
        self._tiers: dict[int, FairShareQueue] = {}
        self._ranks: list[int] = []
        self._entries: dict[str, QueuedRequest[_Request]] = {}
        self._give_up: list[tuple[int, str]] = []
        self.first_come = False

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._entries

    def requests(self) -> Iterator[_Request]:
        """Return every request, in no particular order."""
        return (entry.request for entry in self._entries.values())

    def push(self, entry: QueuedRequest[_Request]) -> None:
        """Add a request in its place."""
        request = entry.request
        self._entries[request.request_id] = entry
        heapq.heappush(self._give_up, (entry.give_up_at_ms, request.request_id))
        self._tier(self._rank(request)).push(
            self._flow(request),
            self._order(request),
            request.request_id,
            cost=entry.cost_tokens,
            weight=1.0 if self.first_come else entry.weight,
        )

    def heads(self, rank: int, limit: int) -> list[_Request]:
        """Return the first requests of one tier, the next to be served first."""
        tier = self._tiers.get(rank)
        if tier is None:
            return []
        return [self._entries[request_id].request for request_id in tier.heads(limit)]

    def waiting_ranks(self) -> list[int]:
        """Return the tiers that have requests, the most urgent first."""
        return [rank for rank in self._ranks if len(self._tiers[rank])]

    def take(self, request: _Request) -> QueuedRequest[_Request]:
        """Take out a request to serve it, and charge its organisation for it."""
        self._tiers[self._rank(request)].serve(
            self._flow(request), self._order(request), request.request_id
        )
        return self._entries.pop(request.request_id)

    def remove(self, request: _Request) -> bool:
        """Take out a request that is not served, and return whether it was here."""
        entry = self._entries.pop(request.request_id, None)
        if entry is None:
            return False
        queued = entry.request
        self._tiers[self._rank(queued)].discard(
            self._flow(queued), self._order(queued), queued.request_id
        )
        return True

    def pop_least_urgent(self) -> _Request:
        """Take out the request that leaves first when there is no room.

        It is of the lowest tier, of the organisation that waits with the most work for its
        weight, and among that organisation's requests the one with the latest deadline.
        """
        tier = self._tiers[self.waiting_ranks()[-1]]
        request = self._entries[tier.last()].request
        self.remove(request)
        return request

    def pop_hopeless(self, now_ms: int) -> list[_Request]:
        """Take out every request that cannot be answered in time any more."""
        hopeless: list[_Request] = []
        while self._give_up and self._give_up[0][0] <= now_ms:
            give_up_at_ms, request_id = heapq.heappop(self._give_up)
            entry = self._entries.get(request_id)
            if entry is not None and entry.give_up_at_ms == give_up_at_ms:
                self.remove(entry.request)
                hopeless.append(entry.request)
        return hopeless

    def has_below(self, rank: int) -> bool:
        """Return whether a less urgent tier than this has requests."""
        return any(len(tier) for other, tier in self._tiers.items() if other > rank)

    def length_of(self, rank: int) -> int:
        """Return how many requests of a tier wait."""
        tier = self._tiers.get(rank)
        return 0 if tier is None else len(tier)

    def lengths(self, ranks: int) -> tuple[int, ...]:
        """Return how many requests of each of the most urgent tiers wait."""
        return tuple(self.length_of(rank) for rank in range(ranks))

    def tokens_ahead(self, request: _Request, weight: float) -> float:
        """Return the queued work that would be served before a request that came now."""
        rank = self._rank(request)
        above = sum(tier.cost for other, tier in self._tiers.items() if other < rank)
        tier = self._tiers.get(rank)
        return above if tier is None else above + tier.cost_ahead(self._flow(request), weight)

    def _tier(self, rank: int) -> FairShareQueue:
        tier = self._tiers.get(rank)
        if tier is None:
            tier = self._tiers[rank] = FairShareQueue()
            self._ranks = sorted(self._tiers)
        return tier

    def _rank(self, request: _Request) -> int:
        return _ONE_TIER if self.first_come else request.tier_rank

    def _flow(self, request: _Request) -> str:
        return "" if self.first_come else request.organisation

    def _order(self, request: _Request) -> int:
        return request.arrived_at_ms if self.first_come else request.deadline_ms
