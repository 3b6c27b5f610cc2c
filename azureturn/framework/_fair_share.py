"""One tier's queue, shared among organisations by weight."""

import bisect
import heapq
from dataclasses import dataclass, field

#: Idle flows that are remembered before those that owe nothing are forgotten.
_FIRST_IDLE_LIMIT = 1_024


@dataclass
class _Flow:
    """One organisation's requests, by deadline."""

    name: str
    #: Virtual time at which its next request may start.
    start: float = 0.0
    weight: float = 1.0
    cost: float = 0.0
    entries: list[tuple[int, str]] = field(default_factory=list)


class FairShareQueue:
    """Start-time fair queueing over flows, with the earliest deadline first inside a flow.

    Source: P. Goyal, H. M. Vin and H. Cheng, "Start-time Fair Queuing: A Scheduling Algorithm
    for Integrated Services Packet Switching Networks", SIGCOMM 1996. Each flow carries a start
    tag in virtual time; the flow with the least tag is served, virtual time becomes that tag,
    and the tag moves on by the request's cost over the flow's weight. A flow that was idle
    starts at the present virtual time, so that it neither saves up service nor owes any beyond
    what it was last given.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._idle_starts: dict[str, float] = {}
        self._by_start: list[tuple[float, str]] = []
        self._costs: dict[str, float] = {}
        self._idle_limit = _FIRST_IDLE_LIMIT
        self._virtual = 0.0
        self._active_weight = 0.0
        #: Queued work of all flows.
        self.cost = 0.0

    def __len__(self) -> int:
        return len(self._costs)

    def push(
        self, flow_name: str, order: int, entry_id: str, *, cost: float, weight: float
    ) -> None:
        """Add an entry to a flow."""
        flow = self._flows.get(flow_name)
        if flow is None:
            flow = self._activate(flow_name, weight)
        bisect.insort(flow.entries, (order, entry_id))
        self._costs[entry_id] = cost
        flow.cost += cost
        self.cost += cost

    def heads(self, limit: int) -> list[str]:
        """Return the first entries of the flows that are next, in the order of service."""
        popped: dict[str, float] = {}
        found: list[str] = []
        each = max(1, limit // max(1, len(self._flows)))
        while self._by_start and len(found) < limit:
            start, name = heapq.heappop(self._by_start)
            flow = self._flows.get(name)
            if flow is None or flow.start != start or name in popped:
                continue
            popped[name] = start
            found.extend(entry_id for _, entry_id in flow.entries[:each])
        for name, start in popped.items():
            heapq.heappush(self._by_start, (start, name))
        return found[:limit]

    def serve(self, flow_name: str, order: int, entry_id: str) -> None:
        """Take out an entry and charge its flow."""
        flow = self._flows[flow_name]
        self._virtual = max(self._virtual, flow.start)
        flow.start += self._costs[entry_id] / flow.weight
        heapq.heappush(self._by_start, (flow.start, flow_name))
        self.discard(flow_name, order, entry_id)

    def discard(self, flow_name: str, order: int, entry_id: str) -> None:
        """Take out an entry without a charge."""
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
        """Return the entry that leaves first when there is no room."""
        flow = max(self._flows.values(), key=lambda one: (one.cost / one.weight, one.name))
        return flow.entries[-1][1]

    def cost_ahead(self, flow_name: str, weight: float) -> float:
        """Return the work served before an entry that is added to a flow now."""
        flow = self._flows.get(flow_name)
        own = 0.0 if flow is None else flow.cost
        total_weight = self._active_weight + (weight if flow is None else 0.0)
        return min(self.cost, own * total_weight / weight)

    def _activate(self, name: str, weight: float) -> _Flow:
        start = max(self._virtual, self._idle_starts.pop(name, 0.0))
        flow = self._flows[name] = _Flow(name, start, weight)
        self._active_weight += weight
        heapq.heappush(self._by_start, (start, name))
        return flow

    def _deactivate(self, flow: _Flow) -> None:
        del self._flows[flow.name]
        self._active_weight = max(0.0, self._active_weight - flow.weight)
        if flow.start > self._virtual:
            self._idle_starts[flow.name] = flow.start
        if len(self._idle_starts) > self._idle_limit:
            self._idle_starts = {
                name: start for name, start in self._idle_starts.items() if start > self._virtual
            }
            self._idle_limit = max(_FIRST_IDLE_LIMIT, 2 * len(self._idle_starts))
