"""The queue before one target's upstreams: tiers strict, earliest deadline within a tier."""

import bisect
from dataclasses import dataclass, field

from azureturn.core._blackboard import Table
from azureturn.core._requests import Request

_Entry = tuple[int, int, str]


def _entry(request: Request) -> _Entry:
    return (request.tier_rank, request.deadline_ms, request.request_id)


@dataclass
class RequestQueue:
    """Requests that wait for an upstream, the most urgent first."""

    _entries: list[_Entry] = field(default_factory=list)
    _requests: dict[str, Request] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, request: Request) -> None:
        """Add a request in its place."""
        bisect.insort(self._entries, _entry(request))
        self._requests[request.request_id] = request

    def peek(self) -> Request:
        """Return the most urgent request."""
        return self._requests[self._entries[0][2]]

    def pop(self) -> Request:
        """Take out the most urgent request."""
        return self._requests.pop(self._entries.pop(0)[2])

    def pop_least_urgent(self) -> Request:
        """Take out the request that leaves first when there is no room."""
        return self._requests.pop(self._entries.pop()[2])

    def remove(self, request: Request) -> None:
        """Take out one request, if it is here."""
        if self._requests.pop(request.request_id, None) is not None:
            self._entries.remove(_entry(request))

    def pop_past_deadline(self, now_ms: int) -> list[Request]:
        """Take out every request whose deadline has passed."""
        late = [one for one in self._requests.values() if one.deadline_ms <= now_ms]
        for request in late:
            self.remove(request)
        return late


class QueueTable(Table[str, RequestQueue]):
    """One queue for each model or plain service."""

    def of(self, target: str) -> RequestQueue:
        """Return the queue of ``target``, made when first asked for."""
        queue = self.get(target)
        if queue is None:
            queue = RequestQueue()
            self.put(target, queue)
        return queue
