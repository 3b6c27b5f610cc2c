"""Request queue of one target: strict tiers, fair shares, then earliest deadline first.

A tier is a class of urgency. Its rank is its position among the tiers; 0 is the most urgent.
"""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from azureturn.framework._fair_share import FairShareQueue

#: Rank of the only tier of a queue in first-come order.
_FIRST_COME_RANK = 0


class Queueable(Protocol):
    """Protocol of requests that can be queued."""

    @property
    def request_id(self) -> str:
        """Return the id of the request."""

    @property
    def organisation(self) -> str:
        """Return the organisation whose share the request is charged to."""

    @property
    def tier_rank(self) -> int:
        """Return the rank of the request's tier; 0 is the most urgent."""

    @property
    def arrived_at_ms(self) -> int:
        """Return the arrival time of the request."""

    @property
    def deadline_ms(self) -> int:
        """Return the deadline; requests of one organisation and tier are served by deadline."""


_Request = TypeVar("_Request", bound=Queueable)


@dataclass(frozen=True)
class QueuedRequest(Generic[_Request]):
    """A queue entry: a request with the parameters for ordering it."""

    request: _Request
    #: Work in tokens that is charged to the organisation's share.
    cost_tokens: float
    #: Weight of the organisation's share.
    weight: float
    #: Time at which the request is to be removed unserved, since it could not be answered in time.
    give_up_at_ms: int


class RequestQueue(Generic[_Request]):
    """Queue of requests waiting for an upstream.

    A more urgent tier is always served first. Within a tier, organisations share the service by
    weight, and the requests of each organisation are served by deadline. If ``first_come`` is set,
    requests are served in the order of arrival instead, as a baseline for measurements.

    Pushing, popping and removing take logarithmic time in the number of queued requests.
    """

    def __init__(self) -> None:
        self._tiers: dict[int, FairShareQueue] = {}
        self._ranks: list[int] = []
        self._entries: dict[str, QueuedRequest[_Request]] = {}
        self._by_give_up_time: list[tuple[int, str]] = []
        self.first_come = False

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._entries

    def requests(self) -> Iterator[_Request]:
        """Return all requests, in no particular order."""
        return (entry.request for entry in self._entries.values())

    def push(self, entry: QueuedRequest[_Request]) -> None:
        """Add a request at its position in the order of service."""
        request = entry.request
        self._entries[request.request_id] = entry
        heapq.heappush(self._by_give_up_time, (entry.give_up_at_ms, request.request_id))
        self._tier(self._rank(request)).push(
            self._flow(request),
            self._order(request),
            request.request_id,
            cost=entry.cost_tokens,
            weight=1.0 if self.first_come else entry.weight,
        )

    def heads(self, rank: int, limit: int) -> list[_Request]:
        """Return the first requests of a tier in the order of service, at most ``limit``."""
        tier = self._tiers.get(rank)
        if tier is None:
            return []
        return [self._entries[request_id].request for request_id in tier.heads(limit)]

    def waiting_ranks(self) -> list[int]:
        """Return the ranks of non-empty tiers, the most urgent first."""
        return [rank for rank in self._ranks if len(self._tiers[rank])]

    def take(self, request: _Request) -> QueuedRequest[_Request]:
        """Remove a request in order to serve it, and charge its organisation."""
        self._tiers[self._rank(request)].serve(
            self._flow(request), self._order(request), request.request_id
        )
        return self._entries.pop(request.request_id)

    def remove(self, request: _Request) -> bool:
        """Remove a request without charging for it, and return whether it was queued."""
        entry = self._entries.pop(request.request_id, None)
        if entry is None:
            return False
        queued = entry.request
        self._tiers[self._rank(queued)].discard(
            self._flow(queued), self._order(queued), queued.request_id
        )
        return True

    def pop_least_urgent(self) -> _Request:
        """Remove and return the request to evict first when the queue is full.

        It belongs to the least urgent non-empty tier and, in it, to the organisation with the
        most queued work for its weight; of that organisation it has the latest deadline.
        """
        tier = self._tiers[self.waiting_ranks()[-1]]
        request = self._entries[tier.last()].request
        self.remove(request)
        return request

    def pop_expired(self, now_ms: int) -> list[_Request]:
        """Remove and return all requests whose ``give_up_at_ms`` has passed."""
        expired: list[_Request] = []
        while self._by_give_up_time and self._by_give_up_time[0][0] <= now_ms:
            give_up_at_ms, request_id = heapq.heappop(self._by_give_up_time)
            entry = self._entries.get(request_id)
            if entry is not None and entry.give_up_at_ms == give_up_at_ms:
                self.remove(entry.request)
                expired.append(entry.request)
        return expired

    def has_below(self, rank: int) -> bool:
        """Return whether any less urgent tier has requests."""
        return any(len(tier) for tier_rank, tier in self._tiers.items() if tier_rank > rank)

    def length_of(self, rank: int) -> int:
        """Return the number of queued requests of a tier."""
        tier = self._tiers.get(rank)
        return 0 if tier is None else len(tier)

    def lengths(self, ranks: int) -> tuple[int, ...]:
        """Return the numbers of queued requests of the ``ranks`` most urgent tiers."""
        return tuple(self.length_of(rank) for rank in range(ranks))

    def tokens_ahead(self, request: _Request, weight: float) -> float:
        """Return the queued work, in tokens, ahead of a request that would arrive now."""
        rank = self._rank(request)
        tokens_above = sum(tier.cost for tier_rank, tier in self._tiers.items() if tier_rank < rank)
        tier = self._tiers.get(rank)
        return (
            tokens_above
            if tier is None
            else tokens_above + tier.cost_ahead(self._flow(request), weight)
        )

    def _tier(self, rank: int) -> FairShareQueue:
        tier = self._tiers.get(rank)
        if tier is None:
            tier = self._tiers[rank] = FairShareQueue()
            self._ranks = sorted(self._tiers)
        return tier

    def _rank(self, request: _Request) -> int:
        return _FIRST_COME_RANK if self.first_come else request.tier_rank

    def _flow(self, request: _Request) -> str:
        return "" if self.first_come else request.organisation

    def _order(self, request: _Request) -> int:
        return request.arrived_at_ms if self.first_come else request.deadline_ms
