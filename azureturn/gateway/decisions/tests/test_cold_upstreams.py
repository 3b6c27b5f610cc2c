"""Cold upstreams, which crash if all VMs together send them too many requests in a second."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

import pytest

from azureturn.framework import Action, Event, Tick
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    AvailabilityStated,
    ColdLimit,
    ColdReport,
    ColdUpstreamTable,
    KnownVms,
    LogColdUpstream,
    PeerReportReceived,
    RequestClosed,
    RequestReceived,
    SendAttempt,
    SendReport,
    StoreReached,
    UpstreamConnectionFailed,
    UpstreamProcessEnded,
    UpstreamReconnected,
    ViewChanged,
    may_relay,
    may_send,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    STARTED_UNIX_MS,
    STATUS_ROUTE,
    GatewayCoreHarness,
    configuration,
    of_type,
    peer_report,
    request,
    upstream,
    view,
)
from azureturn.gateway.settings import ColdBounds
from azureturn.gateway.site import RegisteredUpstream, SiteView, StatedAvailability

_COLD_PER_S = 12.0
_COLD_START_MS = 3_000
#: Requests that a cold upstream may receive in any one second.
_MOST_PER_S = 23
_CONFIGURATION = configuration(cold_start_ms=_COLD_START_MS, cold_per_s=_COLD_PER_S)
_TICK_MS = 50
#: Number of VMs that get a request with each tick.
_SATURATING_VMS = 12
#: From this time on a VM of the tests below sends to cold upstreams.
_HELD_UNTIL_MS = 4_000
_OTHER_DESK = upstream("d-9", "desk", cold_left_ms=0, started_unix_ms=7)
_DESK = upstream("d-0", "desk", slots=200, cold_left_ms=0, started_unix_ms=7)


def _view(
    *upstreams: RegisteredUpstream, revision: int = 10, vms: tuple[str, ...] = ()
) -> SiteView:
    return view(
        *upstreams,
        revision=revision,
        vms=vms,
        stored_configuration=_CONFIGURATION,
        upstream_revision=revision,
    )


@dataclass(frozen=True)
class _Arrival:
    at_ms: int
    vm: int
    #: Whether the VM had learned that the upstream is cold before the request arrived.
    is_told: bool


class _BusySite:
    """VMs that always have requests for the only upstream of a service, which answers soon."""

    def __init__(
        self,
        vm_count: int,
        *,
        registered: Callable[[int], int],
        seed: int,
        desk: RegisteredUpstream = _DESK,
    ) -> None:
        self._random = Random(seed)
        self._desk = desk
        #: Returns how many of the VMs one knows when it starts or reads the store.
        self.registered = registered
        self._names = tuple(f"vm-{number}" for number in range(vm_count))
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self.now_ms = 0
        self.arrivals: list[_Arrival] = []
        self._told = set(range(vm_count)) if desk.cold_left_ms else set()
        #: Whether reports reach the peers.
        self.delivers_reports = False
        self.vms = [self._new_vm(number) for number in range(vm_count)]
        for number in range(vm_count):
            self._after(self._random.randint(0, _TICK_MS), lambda number=number: self._tick(number))

    def tell(self, number: int, desk: RegisteredUpstream, revision: int) -> None:
        """Let a VM read another registration of the upstream."""
        if desk.cold_left_ms != 0:
            self._told.add(number)
        vms = self._names[: self.registered(number)]
        self._handle(number, ViewChanged(_view(desk, revision=revision, vms=vms)))

    def tell_all(self, desk: RegisteredUpstream, revision: int, *, within_ms: int) -> None:
        """Let all VMs read another registration, each at some time."""
        for number in range(len(self.vms)):
            delay_ms = self._random.randint(0, within_ms)
            self._after(delay_ms, lambda number=number: self.tell(number, desk, revision))

    def run_until(self, at_ms: int) -> None:
        """Advance the clock."""
        while self._events[0][0] <= at_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self.now_ms = at_ms

    def restart(self, number: int) -> None:
        """Replace a VM's process by a new one that remembers nothing."""
        self.vms[number] = self._new_vm(number)

    def most_in_a_second(self, from_ms: int = 0) -> int:
        """Return the largest number of requests of VMs that were told in any one second."""
        told_ms = sorted(row.at_ms for row in self.arrivals if row.is_told and row.at_ms >= from_ms)
        return max(
            (sum(at <= other < at + 1_000 for other in told_ms) for at in told_ms), default=0
        )

    def _new_vm(self, number: int) -> GatewayCoreHarness:
        # Clocks differ by seconds.
        offset_ms = self._random.randint(-4_000, 4_000)
        vms = self._names[: self.registered(number)]
        return GatewayCoreHarness(
            _view(self._desk, vms=vms),
            vm_name=self._names[number],
            now_ms=self.now_ms,
            seed=self._random.getrandbits(32),
            clock_offset_ms=offset_ms,
        )

    def _after(self, delay_ms: int, callback: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, callback))

    def _tick(self, number: int) -> None:
        self._count += 1
        # Many VMs get fewer requests each, though far more than the limit together.
        if self._random.random() < _SATURATING_VMS / len(self.vms):
            received = request(f"r-{self._count}", STATUS_ROUTE, arrived_at_ms=self.now_ms)
            self._handle(number, RequestReceived(received))
        self._handle(number, Tick())
        self._after(_TICK_MS, lambda: self._tick(number))

    def _handle(self, number: int, event: Event) -> None:
        for action in self.vms[number].handle_event(event, at_ms=self.now_ms):
            self._carry_out(number, action)

    def _carry_out(self, number: int, action: Action) -> None:
        if isinstance(action, SendAttempt):
            # Opening a connection takes a while, and sometimes longer than a slot lasts.
            self._after(self._random.choice((0, 5, 150, 400)), lambda: self._send(number, action))
        elif isinstance(action, SendReport) and self.delivers_reports:
            for other in set(range(len(self.vms))) - {number}:
                self._after(5, self._reporting(other, action))

    def _reporting(self, number: int, action: SendReport) -> Callable[[], None]:
        return lambda: self._handle(number, PeerReportReceived(action.report))

    def _send(self, number: int, action: SendAttempt) -> None:
        board = self.vms[number].core.board
        result = AttemptResult.WITHHELD
        if may_send(board, action.upstream, self.now_ms, action.request_id):
            result = AttemptResult.ANSWERED
            at_ms = self.now_ms + self._random.randint(1, 60)
            self.arrivals.append(_Arrival(at_ms, number, number in self._told))
        self._handle(number, AttemptEnded(action.request_id, result, answering_ms=0))
        self._handle(number, RequestClosed(action.request_id))


#: Which VMs a VM knows: all, or as many as had started when it was cut off from the store.
_KNOWN = {
    "all know all": lambda vm_count: lambda number: vm_count,
    "a third is cut off and knows two thirds": lambda vm_count: lambda number: (
        vm_count if number >= vm_count // 3 else vm_count - vm_count // 3
    ),
}


@pytest.mark.parametrize("vm_count", [1, 8, 31, 81])
@pytest.mark.parametrize("known", _KNOWN.values(), ids=_KNOWN)
def test_vms_together_send_a_cold_upstream_no_more_than_its_limit(
    vm_count: int, known: Callable[[int], Callable[[int], int]]
) -> None:
    """VMs cut off from each other must not add up to more requests than the upstream survives."""
    site = _BusySite(vm_count, registered=known(vm_count), seed=1)
    site.run_until(_HELD_UNTIL_MS)
    # It turns cold while it is in use, and the VMs read that at different times.
    site.tell_all(replace(_DESK, cold_left_ms=6_000), 11, within_ms=500)
    site.run_until(_HELD_UNTIL_MS + 6_000)
    assert 0 < site.most_in_a_second() <= _MOST_PER_S
    sent = [row for row in site.arrivals if row.at_ms > _HELD_UNTIL_MS + 2_000]
    assert len(sent) >= 0.5 * _COLD_PER_S * 4


@pytest.mark.parametrize("vm_count", [1, 8, 81])
def test_the_limit_holds_while_vms_start_and_know_few_others(vm_count: int) -> None:
    """VMs that start together see the others' registrations only after their own start."""
    cold = replace(_DESK, cold_left_ms=20_000)
    site = _BusySite(vm_count, registered=lambda number: number + 1, seed=4, desk=cold)
    site.run_until(1_000)
    site.registered = lambda _number: vm_count
    site.tell_all(cold, 11, within_ms=500)
    site.run_until(6_000)
    # What an earlier process has sent must not be followed by the same again.
    for number in range(0, vm_count, 2):
        site.restart(number)
    site.run_until(11_000)
    assert 0 < site.most_in_a_second() <= _MOST_PER_S


@pytest.mark.parametrize("vm_count", [8, 31])
def test_the_limit_holds_with_reports_between_the_vms(vm_count: int) -> None:
    """What peers report must neither lift the limit nor extend it without end."""
    site = _BusySite(vm_count, registered=lambda _number: vm_count, seed=3)
    site.delivers_reports = True
    site.run_until(_HELD_UNTIL_MS)
    site.tell_all(replace(_DESK, cold_left_ms=3_000), 11, within_ms=500)
    site.run_until(_HELD_UNTIL_MS + 3_000)
    assert site.most_in_a_second() <= _MOST_PER_S
    site.run_until(_HELD_UNTIL_MS + 4_500)
    recent = [row for row in site.arrivals if row.at_ms > _HELD_UNTIL_MS + 4_000]
    assert len(recent) > _MOST_PER_S


def test_slots_never_exceed_the_limit_for_any_number_of_vms() -> None:
    """Shares by rank must add up to the slots, whatever the number of VMs."""
    for per_s in (0.4, 1.0, 12.0, 100.0):
        limit = ColdLimit.of(per_s, ColdBounds())
        for vm_count in (1, 2, 8, 31, 81, 300):
            shares = [limit.share(rank, vm_count) for rank in range(vm_count)]
            assert sum(shares) == limit.slots <= per_s * 1.5 + 5


def test_vms_that_know_the_same_vms_rank_themselves_differently() -> None:
    """Two VMs of the same rank would both use its slots."""
    names = frozenset(f"vm-{number}" for number in range(81))
    ranks = []
    for name in names:
        vms = KnownVms()
        vms.own_name = name
        vms.record_registered(names, 0)
        ranks.append(vms.rank("e-1"))
    assert sorted(ranks) == list(range(81))


def test_a_vm_that_does_not_respond_counts_until_it_is_forgotten() -> None:
    """A partitioned VM that no longer counted would leave its slots to others and use them too."""
    vms = KnownVms()
    vms.own_name = "vm-1"
    vms.record_registered(frozenset({"vm-1", "vm-2"}), 0)
    vms.record_heard(["vm-3"], 0)
    vms.record_registered(frozenset({"vm-1"}), 1_000)
    vms.remove_forgotten(600_500)
    assert vms.count == 2
    vms.remove_forgotten(601_001)
    assert vms.count == 1


def _harness(*upstreams: RegisteredUpstream, **fields: int) -> GatewayCoreHarness:
    return GatewayCoreHarness(_view(*upstreams), **fields)  # type: ignore[arg-type]


def _is_cold(harness: GatewayCoreHarness, desk: RegisteredUpstream, at_ms: int) -> bool:
    return harness.core.board.table(ColdUpstreamTable).is_limited(desk, at_ms)


@pytest.mark.parametrize(
    ("fields", "age_ms", "is_cold"),
    [
        ({"cold_left_ms": 0}, 500, False),
        ({"cold_left_ms": 2_000}, 500, True),
        ({}, 500, True),
        ({}, -4_000, True),
        ({}, _COLD_START_MS + 5_000, True),
        ({}, 600_000, False),
        ({"cold_left_ms": 2_000}, 600_000, True),
    ],
    ids=[
        "states that it is not",
        "states that it is",
        "has just started and states nothing",
        "its clock is ahead",
        "started longer ago, as far as clocks tell",
        "started long before the site",
        "cold again long after its start",
    ],
)
def test_what_a_vm_that_starts_takes_for_cold(
    fields: dict[str, int], age_ms: int, is_cold: bool
) -> None:
    """A VM has only registrations and a clock that is not the upstream's when it starts."""
    desk = upstream("d-1", "desk", started_unix_ms=STARTED_UNIX_MS - age_ms, **fields)
    harness = _harness(desk)
    assert _is_cold(harness, desk, 1_100) is is_cold
    assert not _is_cold(harness, desk, 1_000 + _COLD_START_MS)


def test_the_time_left_counts_from_when_it_is_read() -> None:
    """A registration is old when it is read, and must not be counted from its own time."""
    harness = _harness(_DESK)
    cold = replace(_DESK, cold_left_ms=2_000)
    harness.handle_event(ViewChanged(_view(cold, revision=11)), at_ms=5_000)
    # The same registration, read again with another change of the store.
    again = view(cold, revision=12, stored_configuration=_CONFIGURATION, upstream_revision=11)
    harness.handle_event(ViewChanged(again), at_ms=6_500)
    assert _is_cold(harness, cold, 6_999)
    assert not _is_cold(harness, cold, 7_000)


def test_a_later_registration_ends_the_cold_time() -> None:
    """An upstream that states 0 takes all requests again at once."""
    harness = _harness(replace(_DESK, cold_left_ms=30_000))
    harness.handle_event(ViewChanged(_view(_DESK, revision=11)), at_ms=5_000)
    assert not _is_cold(harness, _DESK, 5_000)


def test_an_upstream_that_comes_back_under_its_old_name_is_cold() -> None:
    """The state of the earlier run says nothing about the next one."""
    harness = _harness(_DESK)
    harness.handle_event(ViewChanged(_view(revision=11)), at_ms=5_000)
    back = replace(_DESK, started_unix_ms=STARTED_UNIX_MS + 4_500, cold_left_ms=None)
    harness.handle_event(ViewChanged(_view(back, revision=12)), at_ms=6_000)
    assert _is_cold(harness, back, 6_000 + _COLD_START_MS - 1)
    assert not _is_cold(harness, back, 6_000 + _COLD_START_MS)


@pytest.mark.parametrize(
    ("asked_at_ms", "is_cold"), [(4_900, True), (5_100, False)], ids=["before", "after"]
)
def test_an_answer_refutes_only_what_was_known_when_it_was_asked_for(
    asked_at_ms: int, is_cold: bool
) -> None:
    """A response on its way while the upstream turned cold must not end the limit."""
    harness = _harness(_DESK)
    cold = replace(_DESK, cold_left_ms=3_000)
    harness.handle_event(ViewChanged(_view(cold, revision=11)), at_ms=5_000)
    stated = AvailabilityStated(_DESK.run, StatedAvailability(cold_left_ms=0), "", asked_at_ms)
    harness.handle_event(stated, at_ms=5_200)
    assert _is_cold(harness, cold, 5_200) is is_cold


def test_an_answer_is_known_to_peers_and_not_reported_further() -> None:
    """Each further hop would add its delay, so that the limit would never end."""
    teller, listener = _harness(_DESK), _harness(_DESK)
    stated = AvailabilityStated(_DESK.run, StatedAvailability(cold_left_ms=2_000), "", 5_000)
    actions = teller.handle_event(stated, at_ms=5_000)
    assert of_type(actions, LogColdUpstream)
    reports = of_type(actions, SendReport)
    assert reports[0].report.cold == (ColdReport(_DESK.run, 2_000),)  # type: ignore[attr-defined]
    received = peer_report("vm-2", cold=reports[0].report.cold)  # type: ignore[attr-defined]
    listener.handle_event(PeerReportReceived(received), at_ms=5_100)
    assert _is_cold(listener, _DESK, 7_000)
    assert not listener.core.board.table(ColdUpstreamTable).reports(5_200)


@pytest.mark.parametrize(("started_unix_ms", "is_cold"), [(6, False), (7, True), (8, True)])
def test_a_later_run_that_only_a_peer_knows_is_cold(started_unix_ms: int, is_cold: bool) -> None:
    """A VM without the store sends it requests for the earlier run of the same name."""
    harness = _harness(_DESK)
    cold = (ColdReport((_DESK.name, started_unix_ms), 2_000),)
    harness.handle_event(PeerReportReceived(peer_report("vm-2", cold=cold)), at_ms=5_000)
    assert _is_cold(harness, _DESK, 5_100) is is_cold


@pytest.mark.parametrize(("has_store", "cold_ms"), [(False, _COLD_START_MS), (True, 1_500)])
def test_an_upstream_whose_process_had_ended_is_cold_when_it_responds_again(
    has_store: bool, cold_ms: int
) -> None:
    """While the store is out of reach, its registration does not tell the next run."""
    harness = _harness(_DESK, _OTHER_DESK)
    if has_store:
        harness.handle_event(StoreReached())
    harness.handle_event(UpstreamProcessEnded(_DESK.run), at_ms=5_000)
    assert _is_cold(harness, _DESK, 60_000)
    cold = harness.core.board.table(ColdUpstreamTable)
    # It may be well for peers as long as it does not respond to this VM.
    assert not cold.reports(60_000)
    harness.handle_event(UpstreamReconnected(_DESK.name), at_ms=60_000)
    assert cold.reports(60_000) == (ColdReport(_DESK.run, cold_ms),)
    assert _is_cold(harness, _DESK, 60_000 + cold_ms - 1)
    assert not _is_cold(harness, _DESK, 60_000 + cold_ms)


@pytest.mark.parametrize("peer_reaches_it", [False, True])
def test_an_upstream_that_refuses_only_this_vm_is_not_cold_for_long(peer_reaches_it: bool) -> None:
    """Requests that go to it through peers must not be limited as long as a partition lasts."""
    harness = _harness(_DESK, _OTHER_DESK)
    unreachable = frozenset() if peer_reaches_it else frozenset({_DESK.name})
    for sequence, at_ms in enumerate(range(5_000, 13_000, 250), 1):
        report = peer_report("vm-2", sequence, unreachable=unreachable)
        harness.handle_event(PeerReportReceived(report), at_ms=at_ms)
        harness.handle_event(UpstreamProcessEnded(_DESK.run), at_ms=at_ms)
    assert _is_cold(harness, _DESK, 13_000) is not peer_reaches_it
    harness.handle_event(UpstreamReconnected(_DESK.name), at_ms=20_000)
    assert _is_cold(harness, _DESK, 20_001)


def test_refused_connections_of_an_isolated_vm_show_nothing() -> None:
    """When a partition ends, a VM must not take all upstreams for ones that have started."""
    harness = _harness(_DESK, _OTHER_DESK)
    for desk in (_DESK, _OTHER_DESK):
        harness.handle_event(UpstreamConnectionFailed(desk.run), at_ms=5_000)
    harness.handle_event(UpstreamProcessEnded(_DESK.run), at_ms=5_100)
    assert not _is_cold(harness, _DESK, 5_200)


def test_a_request_placed_before_an_upstream_turned_cold_is_not_sent() -> None:
    """Requests that wait for a connection would reach the upstream together."""
    harness = _harness(_DESK)
    (sent,) = of_type(harness.submit_request("r1", route=STATUS_ROUTE), SendAttempt)
    assert isinstance(sent, SendAttempt)
    board = harness.core.board
    assert may_send(board, sent.upstream, 1_050, "r1")
    cold = replace(_DESK, cold_left_ms=20_000)
    harness.handle_event(ViewChanged(_view(cold, revision=11)), at_ms=1_100)
    assert not may_send(board, sent.upstream, 1_100, "r1")


def test_a_relayed_connection_uses_up_a_slot() -> None:
    """A peer that does not know of the limit must not exceed it through this VM."""
    harness = _harness(replace(_DESK, cold_left_ms=20_000))
    relayed = sum(may_relay(harness.core.board, _DESK, at_ms) for at_ms in range(5_000, 6_000, 10))
    assert 1 < relayed <= _COLD_PER_S + 1


def test_a_vm_that_has_just_started_sends_nothing_to_cold_upstreams() -> None:
    """It may not know its peers yet, and its earlier process may have used its slots."""
    harness = _harness(replace(_DESK, cold_left_ms=20_000))
    harness.submit_request("r1", route=STATUS_ROUTE)
    actions = [action for at in range(1_050, _HELD_UNTIL_MS, 50) for action in harness.tick(at)]
    assert not of_type(tuple(actions), SendAttempt)


def test_a_service_without_the_limit_is_not_affected() -> None:
    """Other sites have neither the limit nor upstreams that state anything of it."""
    desk = upstream("d-1", "desk", slots=100, started_unix_ms=STARTED_UNIX_MS, cold_left_ms=9_000)
    harness = GatewayCoreHarness(view(desk))
    sent = Counter(
        type(action)
        for number in range(50)
        for action in harness.submit_request(f"r{number}", route=STATUS_ROUTE)
    )
    assert sent[SendAttempt] == 50
    assert not len(harness.core.board.table(ColdUpstreamTable))


@pytest.mark.parametrize("per_s", [0.0, _COLD_PER_S], ids=["disappears", "appears"])
def test_a_limit_takes_effect_when_the_configuration_changes(per_s: float) -> None:
    """The limit of upstreams that are cold already is that of the configuration in force."""
    desk = replace(_DESK, cold_left_ms=20_000)
    other = configuration(cold_start_ms=_COLD_START_MS, cold_per_s=_COLD_PER_S - per_s)
    harness = GatewayCoreHarness(view(desk, stored_configuration=other))
    changed = configuration(2, cold_start_ms=_COLD_START_MS, cold_per_s=per_s)
    later = view(desk, revision=11, stored_configuration=changed)
    harness.handle_event(ViewChanged(later), at_ms=5_000)
    assert _is_cold(harness, desk, 5_000) is bool(per_s)
