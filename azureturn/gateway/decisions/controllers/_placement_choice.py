"""Choice of one upstream among those that a request can be placed on."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from azureturn.framework import Context
from azureturn.gateway.decisions._estimates import (
    FAILURE_COST_MS,
    Candidate,
    PlacementSnapshot,
    estimate_candidate,
    exceeds_pause_limit,
)
from azureturn.gateway.decisions._requests import GatewayRequest, Relay, TakeOverOffer
from azureturn.gateway.decisions._slot_sharing import LoanTable, draw_weight
from azureturn.gateway.decisions._version_choice import VersionChoice
from azureturn.gateway.decisions._work import RequestWork
from azureturn.gateway.settings import GatewayPolicy

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
        direct = self._direct
        if not direct.upstreams or self._is_isolated:
            return True
        return any(
            direct.capacity_left(index, urgent=True) > 0 for index in range(len(direct.upstreams))
        )

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


class Options:
    """The upstreams that a request may be placed on, given by their indexes in a snapshot.

    Estimates are computed when they are needed. With many VMs that is only for the upstreams at
    which this VM owns slots.
    """

    def __init__(
        self,
        request: GatewayRequest,
        snapshot: PlacementSnapshot,
        indexes: list[int],
        policy: GatewayPolicy,
        version_choice: VersionChoice,
    ) -> None:
        self.snapshot = snapshot
        self.version_choice = version_choice
        #: The peer that has connected to the upstream of an offer.
        self.offered_relay: Relay | None = None
        self.indexes = indexes
        self._request = request
        self._policy = policy
        self._candidates: dict[int, Candidate] = {}
        self._works: dict[int, RequestWork] = {}
        self._is_urgent = request.urgency_rank == 0 and request.prompt is not None
        self._has_pause_limit = bool(
            request.prompt is not None and snapshot.engine and request.route.pause_limit_ms
        )

    def of_offer(self, offer: TakeOverOffer) -> "Options":
        """Return the upstream of an offer as the only option; none if it is not known any more."""
        upstreams = self.snapshot.upstreams
        indexes = [i for i, upstream in enumerate(upstreams) if upstream.run == offer.upstream.run]
        options = Options(self._request, self.snapshot, indexes, self._policy, offer.version_choice)
        options.offered_relay = offer.relay
        return options

    def candidate(self, index: int) -> Candidate:
        """Return the estimates for an upstream."""
        candidate = self._candidates.get(index)
        if candidate is None:
            row = self.snapshot.row(index)
            candidate = self._candidates[index] = estimate_candidate(
                self._request, row, self.snapshot, self._policy, self._works
            )
        return candidate

    def has_capacity(self, index: int) -> bool:
        """Return whether an upstream has capacity for the request."""
        return self.snapshot.capacity_left(index, urgent=self._is_urgent) > 0

    @property
    def have_capacity(self) -> bool:
        """Return whether any of the upstreams has capacity for the request."""
        return any(self.has_capacity(index) for index in self.indexes)

    @property
    def are_usable(self) -> bool:
        """Return whether any of the upstreams is usable."""
        return any(self.is_usable(index) for index in self.indexes)

    def is_usable(self, index: int) -> bool:
        """Return whether an upstream has capacity, and its answer ends in time, without a pause.

        If no upstream at all is within one of the limits, that limit is ignored.
        """
        if not self.has_capacity(index):
            return False
        return not (self._exceeds_timeout(index) and self._heeds_timeout) and not (
            self._exceeds_pause_limit(index) and self._heeds_pause_limit
        )

    @cached_property
    def _heeds_timeout(self) -> bool:
        return not all(self._exceeds_timeout(index) for index in self.indexes)

    @cached_property
    def _heeds_pause_limit(self) -> bool:
        if self.snapshot.usual_slowdown is not None and self._request.is_late:
            # It may be refused if it waits for longer, which costs more than delayed events.
            return False
        in_time = (
            index
            for index in self.indexes
            if not (self._exceeds_timeout(index) and self._heeds_timeout)
        )
        return not all(self._exceeds_pause_limit(index) for index in in_time)

    def _exceeds_timeout(self, index: int) -> bool:
        if self.snapshot.usual_slowdown is None:
            return False
        return self.candidate(index).exceeds_timeout

    def _exceeds_pause_limit(self, index: int) -> bool:
        return self._has_pause_limit and exceeds_pause_limit(
            self._request, index, self.snapshot, self._policy, self._works
        )

    def usable(self) -> list[int]:
        """Return the usable upstreams."""
        return [index for index in self.indexes if self.is_usable(index)]


def cheapest(options: Options, context: Context) -> Candidate:
    """Return a candidate of least cost."""
    candidates = [options.candidate(index) for index in options.usable()]
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

    def choose(self, options: Options, own: list[int], context: Context) -> Candidate | None:
        """Return the candidate to use; None if this VM has to wait for a slot of its own.

        ``own`` are the usable upstreams with a slot of its own.
        """
        if own:
            return draw(options, own, context)
        if self._are_divided:
            if not self._may_borrow(context):
                return None
            self.loans.record_borrowed(self.service)
        return draw(options, options.usable(), context)

    def usable_own(self, options: Options) -> list[int]:
        """Return the usable upstreams with a slot of this VM's own, if it uses these first."""
        if not self._are_divided:
            return []
        snapshot, owned = self.snapshot, self.owned
        return [
            index
            for index in options.indexes
            if (name := snapshot.upstreams[index].name) in owned
            and snapshot.states[index].requests < owned[name]
            and options.is_usable(index)
        ]

    @cached_property
    def _are_divided(self) -> bool:
        """Return whether VMs use their own slots first.

        With fewer slots than VMs, nobody waits for a slot: only a rejection tells whether there is
        room.
        """
        slots = sum(self.snapshot.slots)
        requests = sum(self.snapshot.requests)
        return slots >= self.vm_count and requests > _FREE_USE_SHARE * slots

    def _may_borrow(self, context: Context) -> bool:
        snapshot = self.snapshot
        free_slots = sum(
            max(0.0, slots - requests)
            for slots, requests in zip(snapshot.slots, snapshot.requests, strict=True)
        )
        return self.loans.may_borrow(
            self.service,
            free_slots / self.vm_count,
            interval_ms=self.interval_ms,
            now_ms=context.now_ms,
            generator=context.random,
        )


@dataclass(frozen=True)
class UsableOptions:
    """The upstreams of which a request can be placed on one, and how this VM shares their slots."""

    options: Options
    #: None on a site whose VMs have recent reports.
    sharing: SlotSharing | None
    #: Usable upstreams with a slot of this VM's own.
    own: list[int]

    @classmethod
    def from_options(cls, options: Options, sharing: SlotSharing | None) -> "UsableOptions | None":
        """Return the usable upstreams; None if there are none."""
        own = sharing.usable_own(options) if sharing else []
        return cls(options, sharing, own) if own or options.are_usable else None

    def choose(self, context: Context) -> Candidate | None:
        """Return the candidate to use; None if this VM has to wait for a slot of its own."""
        if self.sharing is None:
            return cheapest(self.options, context)
        return self.sharing.choose(self.options, self.own, context)


def draw(options: Options, indexes: list[int], context: Context) -> Candidate:
    """Return one of some upstreams, drawn by lot among those that look alike."""
    candidates = [options.candidate(index) for index in indexes]
    rows = [options.snapshot.row(index) for index in indexes]
    failure_shares = [row.state.expected_failure_share(context.now_ms) for row in rows]
    # Rejections are part of the failures, and say little about the next request.
    costs_ms = [
        candidate.cost_ms - share * FAILURE_COST_MS
        for candidate, share in zip(candidates, failure_shares, strict=True)
    ]
    least_ms = min(costs_ms)
    weights = [
        draw_weight(row.slots - row.requests, share, cost_ms - least_ms)
        for row, share, cost_ms in zip(rows, failure_shares, costs_ms, strict=True)
    ]
    return context.random.choices(candidates, weights)[0]
