"""Weighted fair queue of one tier, in which every organisation's requests are one flow."""

import bisect
import heapq
from dataclasses import dataclass, field

#: Number of idle flows whose start tags are retained before the tags that virtual time has passed
#: are dropped.
_MIN_IDLE_LIMIT = 1_024


@dataclass
class _Flow:
    """The queued requests of one organisation, ordered by deadline."""

    name: str
    #: Start tag: virtual time at which the next request of the flow may start.
    start: float = 0.0
    weight: float = 1.0
    #: Total cost of the queued entries.
    cost: float = 0.0
    #: Order and id of each entry, ascending.
    entries: list[tuple[int, str]] = field(default_factory=list)


class FairShareQueue:
    """Start-time fair queueing over flows, with earliest deadline first within a flow.

    Source: P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queuing: A Scheduling Algorithm
    for Integrated Services Packet Switching Networks", SIGCOMM 1996. Each flow carries a start
    tag in virtual time; the flow with the least tag is served, virtual time becomes that tag,
    and the tag advances by the request's cost over the flow's weight. A flow that was idle
    starts at the current virtual time, or at its start tag if that is later: it gains no
    credit while idle, and still pays for the service that it received last.
    """

    def __init__(self) -> None:
        #: Flows with queued entries.
        self._flows: dict[str, _Flow] = {}
        #: Start tags of idle flows, as far as they lie after the virtual time.
        self._idle_starts: dict[str, float] = {}
        #: Heap of start tags and flow names; it contains outdated tags as well.
        self._by_start: list[tuple[float, str]] = []
        self._costs: dict[str, float] = {}
        self._idle_limit = _MIN_IDLE_LIMIT
        self._virtual_time = 0.0
        self._active_weight = 0.0
        #: Total cost of the queued entries of all flows.
        self.cost = 0.0

    def __len__(self) -> int:
        return len(self._costs)

    def push(
        self, flow_name: str, order: int, entry_id: str, *, cost: float, weight: float
    ) -> None:
        """Add an entry to a flow; entries of a flow are served by ascending ``order``."""
        flow = self._flows.get(flow_name)
        if flow is None:
            flow = self._activate(flow_name, weight)
        bisect.insort(flow.entries, (order, entry_id))
        self._costs[entry_id] = cost
        flow.cost += cost
        self.cost += cost

    def heads(self, limit: int) -> list[str]:
        """Return the first entries of the flows that are served next, at most ``limit``."""
        popped: dict[str, float] = {}
        entry_ids: list[str] = []
        per_flow = max(1, limit // max(1, len(self._flows)))
        while self._by_start and len(entry_ids) < limit:
            start, name = heapq.heappop(self._by_start)
            flow = self._flows.get(name)
            if flow is None or flow.start != start or name in popped:
                continue
            popped[name] = start
            entry_ids.extend(entry_id for _, entry_id in flow.entries[:per_flow])
        for name, start in popped.items():
            heapq.heappush(self._by_start, (start, name))
        return entry_ids[:limit]

    def serve(self, flow_name: str, order: int, entry_id: str) -> None:
        """Remove an entry and charge its cost to its flow."""
        flow = self._flows[flow_name]
        self._virtual_time = max(self._virtual_time, flow.start)
        flow.start += self._costs[entry_id] / flow.weight
        heapq.heappush(self._by_start, (flow.start, flow_name))
        self.discard(flow_name, order, entry_id)

    def discard(self, flow_name: str, order: int, entry_id: str) -> None:
        """Remove an entry without charging its flow."""
        flow = self._flows[flow_name]
        del flow.entries[bisect.bisect_left(flow.entries, (order, entry_id))]
        cost = self._costs.pop(entry_id)
        flow.cost -= cost
        self.cost -= cost
        if not flow.entries:
            self._deactivate(flow)
        if not self._costs:
            self.cost = 0.0

    def last(self) -> str:
        """Return the entry to evict first when the queue is full."""
        flow = max(
            self._flows.values(),
            key=lambda candidate: (candidate.cost / candidate.weight, candidate.name),
        )
        return flow.entries[-1][1]

    def cost_ahead(self, flow_name: str, weight: float) -> float:
        """Return an estimate of the cost that is served before an entry added to a flow now."""
        flow = self._flows.get(flow_name)
        flow_cost = 0.0 if flow is None else flow.cost
        total_weight = self._active_weight + (weight if flow is None else 0.0)
        return min(self.cost, flow_cost * total_weight / weight)

    def _activate(self, name: str, weight: float) -> _Flow:
        start = max(self._virtual_time, self._idle_starts.pop(name, 0.0))
        flow = self._flows[name] = _Flow(name, start, weight)
        self._active_weight += weight
        heapq.heappush(self._by_start, (start, name))
        return flow

    def _deactivate(self, flow: _Flow) -> None:
        del self._flows[flow.name]
        self._active_weight = max(0.0, self._active_weight - flow.weight)
        if flow.start > self._virtual_time:
            self._idle_starts[flow.name] = flow.start
        if len(self._idle_starts) > self._idle_limit:
            self._idle_starts = {
                name: start
                for name, start in self._idle_starts.items()
                if start > self._virtual_time
            }
            self._idle_limit = max(_MIN_IDLE_LIMIT, 2 * len(self._idle_starts))
