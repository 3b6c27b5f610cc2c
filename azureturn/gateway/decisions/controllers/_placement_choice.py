"""Choice of one upstream among those that a request can be placed on."""

from collections.abc import Callable
from dataclasses import dataclass

from azureturn.framework import Context
from azureturn.gateway.decisions._estimates import (
    FAILURE_COST_MS,
    Candidate,
    PlacementSnapshot,
    UpstreamSnapshot,
)
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.decisions._slot_sharing import LoanTable, draw_weight

#: Candidates whose costs differ by less than this are treated as equal and chosen at random.
_COST_TOLERANCE_MS = 4.0
#: After so many failed connections a request is sent through a peer, though this VM may still reach
#: other upstreams.
_RELAY_AFTER_FAILED_CONNECTIONS = 2
#: Share of all slots in use up to which a VM uses those of others as its own: collisions are rare
#: then, and the upstream that has cached a prompt is likely to have a free slot.
_FREE_USE_SHARE = 0.4


class Snapshots:
    """The upstreams that a request can be sent to: directly, or through peers.

    Each snapshot is made when it is needed, which for the one through peers is seldom. A VM that is
    isolated prefers its peers, also for upstreams that it has not tried.
    """

    def __init__(self, make: Callable[[bool], PlacementSnapshot], *, is_isolated: bool) -> None:
        self._make = make
        self._is_isolated = is_isolated
        self._direct = make(False)
        self._relayed: PlacementSnapshot | None = None

    @property
    def have_capacity(self) -> bool:
        """Return whether an upstream may have capacity for a request of the most urgent tier."""
        direct = self._direct.upstreams
        if not direct or self._is_isolated:
            return True
        return any(upstream.urgent_capacity_left > 0 for upstream in direct)

    def of(self, request: GatewayRequest) -> PlacementSnapshot:
        """Return the snapshot for a request."""
        prefers_direct = (
            not self._is_isolated and request.failed_connections < _RELAY_AFTER_FAILED_CONNECTIONS
        )
        if self._direct.upstreams and prefers_direct:
            return self._direct
        if self._relayed is None:
            self._relayed = self._make(True)
        return self._relayed if self._relayed.upstreams else self._direct


def suitable(candidates: list[Candidate], with_capacity: list[Candidate]) -> list[Candidate]:
    """Return the candidates with capacity where the answer ends in time, within the pause limit.

    If no candidate at all is within one of the limits, that limit is ignored.
    """
    if not all(candidate.exceeds_timeout for candidate in candidates):
        with_capacity = [row for row in with_capacity if not row.exceeds_timeout]
        candidates = [row for row in candidates if not row.exceeds_timeout]
    if all(candidate.exceeds_pause_limit for candidate in candidates):
        return with_capacity
    return [candidate for candidate in with_capacity if not candidate.exceeds_pause_limit]


def cheapest(candidates: list[Candidate], context: Context) -> Candidate:
    """Return a candidate of least cost."""
    least_cost_ms = min(candidate.cost_ms for candidate in candidates)
    return context.random.choice(
        [
            candidate
            for candidate in candidates
            if candidate.cost_ms <= least_cost_ms + _COST_TOLERANCE_MS
        ]
    )


@dataclass(frozen=True)
class SlotSharing:
    """How a VM of a site with old reports chooses: its own slots first, then borrowed ones."""

    service: str
    snapshot: PlacementSnapshot
    #: Slots that this VM owns, by upstream.
    owned: dict[str, int]
    vm_count: int
    interval_ms: int
    loans: LoanTable

    def choose(self, candidates: list[Candidate], context: Context) -> Candidate | None:
        """Return the candidate to use; None if this VM has to wait for a slot of its own.

        With fewer slots than VMs, nobody waits for a slot: only a rejection tells whether there is
        room.
        """
        rows = {row.upstream.name: row for row in self.snapshot.upstreams}
        slots = sum(row.slots for row in rows.values())
        requests = sum(row.requests for row in rows.values())
        if slots >= self.vm_count and requests > _FREE_USE_SHARE * slots:
            own = [row for row in candidates if self._has_own_slot(rows[row.upstream.name])]
            if not own and not self._may_borrow(context):
                return None
            candidates = own or candidates
            if not own:
                self.loans.record_borrowed(self.service)
        return self._draw(candidates, rows, context)

    def _has_own_slot(self, row: UpstreamSnapshot) -> bool:
        return row.state.requests < self.owned.get(row.upstream.name, 0)

    def _may_borrow(self, context: Context) -> bool:
        free_slots = sum(max(0.0, row.slots - row.requests) for row in self.snapshot.upstreams)
        return self.loans.may_borrow(
            self.service,
            free_slots / self.vm_count,
            interval_ms=self.interval_ms,
            now_ms=context.now_ms,
            generator=context.random,
        )

    def _draw(
        self, candidates: list[Candidate], rows: dict[str, UpstreamSnapshot], context: Context
    ) -> Candidate:
        chosen = [rows[candidate.upstream.name] for candidate in candidates]
        failure_shares = [row.state.expected_failure_share(context.now_ms) for row in chosen]
        # Rejections are part of the failures, and say little about the next request.
        costs_ms = [
            candidate.cost_ms - share * FAILURE_COST_MS
            for candidate, share in zip(candidates, failure_shares, strict=True)
        ]
        least_ms = min(costs_ms)
        weights = [
            draw_weight(row.slots - row.requests, share, cost_ms - least_ms)
            for row, share, cost_ms in zip(chosen, failure_shares, costs_ms, strict=True)
        ]
        return context.random.choices(candidates, weights)[0]
