"""Status reports that VMs send to each other."""

from dataclasses import replace

import pytest

from azureturn.framework import Context, Event, Tick
from azureturn.gateway.daemon._report_codec import report_from_wire, report_to_wire
from azureturn.gateway.decisions import (
    CrashReport,
    FetchView,
    LimitReport,
    MoveReport,
    MoveTable,
    OutstandingWork,
    PeerReport,
    PeerReportReceived,
    PeerTable,
    PlacementRequested,
    QueueReport,
    RouteKey,
    SendAttempt,
    SendReport,
    SentPrompt,
    StreamPace,
    Suspect,
    VersionCount,
    ViewChanged,
    VmLeaving,
    watch_delay_ms,
)
from azureturn.gateway.decisions._events import ReportRequested
from azureturn.gateway.decisions._route_answers import EndedAnswer
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    of_type,
    peer_report,
    route_evidence,
    upstream,
    view,
)
from azureturn.gateway.site import (
    AllotmentUsage,
    MoveOrder,
    PromptPart,
    QuarantinedTraits,
    StatedLimits,
)
from azureturn.peers import GatewayReport, decode_struct, encode_struct

#: Number of peers that are sent the list of VMs each time.
_FANOUT = 3
#: Reports that a VM may send in a second, whatever is urgent.
_URGENT_REPORTS_PER_S = 320
_TICK_MS = 50
#: Size of a report that has nothing but the routes of a move; a datagram holds 60,000 bytes.
_MAX_ROUTES_BYTES = 4_000


def test_report_round_trips_through_the_codec() -> None:
    report = peer_report(
        "vm-2",
        work={"u1": OutstandingWork(requests=3, pending_tokens=700)},
        spent={"kuiseb": AllotmentUsage(units=12, late_units=5)},
        prompts=(SentPrompt("u1", "m", (PromptPart("part-a", tokens=60),)),),
        versions={("desk", "v2"): VersionCount(3, 1, 90, StreamPace(2, 30, 700))},
        moves={"desk": MoveReport("v2", elapsed_ms=800, condemned=True, order_revision=9)},
        peers={"vm-3": "10.0.1.3"},
        strained=True,
        availability_zone="b",
        waiting={"models": QueueReport(tier_rank=3, requests=2, deadline_in_ms=-40)},
        crashes=(
            CrashReport(
                ("u1", 17),
                40,
                (Suspect(frozenset({"p", "q"}), 60), Suspect(frozenset({"digest:r"}), 9)),
            ),
        ),
        cleared_traits_ms={"q": 30},
        limits=(
            LimitReport(("u1", 17), StatedLimits(3.5, 2.0), 20),
            LimitReport(("u2", 0), StatedLimits(), 30),
        ),
        quarantined=(QuarantinedTraits(frozenset({"p"}), 1_780_000_000_000),),
        store_contact_ms=70_000,
        routes={
            RouteKey("desk", "v2", "status"): route_evidence(
                answers=9, failures=2, timed=7, slow=1, expected_failures=3, expected_slow=4
            )
        },
    )
    data = encode_struct(report_to_wire(report))
    assert report_from_wire(decode_struct(GatewayReport, data)) == report


def test_a_report_has_the_routes_with_the_most_bad_answers_and_no_more() -> None:
    # Guards against reports that no longer fit into a datagram, since the routes are many.
    order = MoveOrder("desk", "v2", duration_ms=10_000)
    new = upstream("new", "desk", slots=5_000, version="v2")
    harness = GatewayCoreHarness(view(new, upstream("old", "desk", slots=5_000), order=order))
    routes = {
        RouteKey("desk", version, f"route-{number}"): route_evidence(answers=9, failures=number)
        for version in ("v1", "v2")
        for number in range(300)
    }
    harness.handle_event(PeerReportReceived(peer_report("vm-2", routes=routes)))
    moves = harness.core.board.table(MoveTable)
    for number in range(300):
        for version in ("v1", "v2"):
            answer = EndedAnswer(
                "desk",
                version,
                f"route-{number}",
                ("u", 0),
                failed=True,
                is_complete=True,
                took_ms=5,
            )
            moves.record_answer(answer, now_ms=1_000)
    report = _sent_reports(harness, 1_150)[-1].report
    assert {key.route for key in report.routes} == {"", *(f"route-{n}" for n in range(289, 300))}
    assert len(encode_struct(report_to_wire(report))) < _MAX_ROUTES_BYTES


def test_outstanding_work_that_is_too_large_for_a_report_is_reported_as_its_maximum() -> None:
    report = peer_report("vm-2", work={"u1": OutstandingWork(requests=3, pending_tokens=2**40)})
    data = encode_struct(report_to_wire(report))
    work = report_from_wire(decode_struct(GatewayReport, data)).work["u1"]
    assert work == OutstandingWork(requests=3, pending_tokens=2**31 - 1)


def test_an_empty_struct_is_an_empty_report() -> None:
    assert report_from_wire(GatewayReport()).work == {}


def test_reports_go_to_peers_and_less_often_to_hosts_of_vms_that_have_not_reported() -> None:
    harness = GatewayCoreHarness(view(upstream("u1"), vms=("vm-9",)))
    host_lists: list[tuple[str, ...]] = []
    harness.handle_event(PeerReportReceived(peer_report("vm-2", peers={"vm-3": "10.0.1.3"})))
    for at_ms in range(1_100, 2_200, 100):
        host_lists += [action.hosts for action in of_type(harness.tick(at_ms), SendReport)]  # type: ignore[attr-defined]
    assert ("10.0.1.2",) in host_lists
    assert any("10.0.1.3" in hosts for hosts in host_lists)


def _sent_reports(harness: GatewayCoreHarness, until_ms: int) -> list[SendReport]:
    reports: list[SendReport] = []
    for at_ms in range(harness.now_ms, until_ms, 50):
        reports += [action for action in harness.tick(at_ms) if isinstance(action, SendReport)]
    return reports


def test_a_vm_that_reports_for_the_first_time_is_told_of_the_others_at_once() -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    harness.handle_event(PeerReportReceived(peer_report("vm-2", host="10.0.1.2")))
    _sent_reports(harness, 1_500)
    harness.handle_event(PeerReportReceived(peer_report("vm-3", host="10.0.1.3")))
    report = _sent_reports(harness, 1_700)[0]
    assert report.informed_hosts == {"10.0.1.3"}
    assert report.report.peers == {"vm-2": "10.0.1.2", "vm-3": "10.0.1.3"}


def _site_with_peers(peer_count: int) -> tuple[GatewayCoreHarness, list[PeerReport]]:
    """Return a VM that comes first in the order of names, and the first reports of its peers."""
    harness = GatewayCoreHarness(view(upstream("u1")), vm_name="vm-0000")
    reports = [
        peer_report(f"vm-{number:04}", host=f"10.0.{2 + number // 250}.{number % 250}")
        for number in range(1, peer_count + 1)
    ]
    for report in reports:
        harness.handle_event(PeerReportReceived(report))
    return harness, reports


@pytest.mark.parametrize("peer_count", [8, 67, 194])
def test_a_report_lists_the_known_vms_for_few_of_its_receivers(peer_count: int) -> None:
    harness, reports = _site_with_peers(peer_count)
    sent = _sent_reports(harness, 20_000)
    assert all(len(action.hosts) == peer_count for action in sent)
    lists = sum(len(action.informed_hosts) for action in sent)
    # Those that come in turn, and those for VMs that reported for the first time.
    assert lists <= 0.1 * _FANOUT * len(sent) + 2 * _FANOUT
    assert all(len(action.informed_hosts) <= 2 * _FANOUT for action in sent)


def test_every_vm_gets_the_list_in_turn() -> None:
    harness, reports = _site_with_peers(12)
    informed: set[str] = set()
    for sequence, at_ms in enumerate(range(1_050, 7_000, 50), start=2):
        for report in reports:
            event = PeerReportReceived(replace(report, sequence=sequence))
            harness.handle_event(event, at_ms=at_ms)
        for action in harness.tick(at_ms):
            if isinstance(action, SendReport):
                informed |= action.informed_hosts
    assert informed == {report.host for report in reports}


@pytest.mark.parametrize(
    ("new_vm", "is_told"),
    [("vm-0004x", False), ("vm-0011x", True), ("vm-0012x", True), ("a", True), ("z", True)],
)
def test_a_new_vm_is_told_by_those_that_follow_it_in_the_order_of_names(
    new_vm: str, is_told: bool
) -> None:
    harness, _ = _site_with_peers(12)
    _sent_reports(harness, 1_500)
    harness.handle_event(PeerReportReceived(peer_report(new_vm, host="10.9.9.9")))
    first, *_ = [action for action in _sent_reports(harness, 1_700) if action.hosts]
    assert ("10.9.9.9" in first.informed_hosts) is is_told


def test_outdated_reports_of_the_same_process_are_ignored() -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    harness.handle_event(
        PeerReportReceived(
            peer_report(
                "vm-2", sequence=5, work={"u1": OutstandingWork(requests=2, pending_tokens=0)}
            )
        )
    )
    harness.handle_event(
        PeerReportReceived(
            peer_report(
                "vm-2", sequence=4, work={"u1": OutstandingWork(requests=9, pending_tokens=0)}
            )
        )
    )
    assert harness.core.board.table(PeerTable).work_at("u1").requests == 2


def test_work_of_a_silent_peer_is_dropped() -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    harness.handle_event(
        PeerReportReceived(
            peer_report("vm-2", work={"u1": OutstandingWork(requests=2, pending_tokens=0)})
        )
    )
    harness.handle_event(Tick(), at_ms=2_000)
    assert harness.core.board.table(PeerTable).work_at("u1").requests == 0


def test_a_leaving_peer_is_no_longer_counted() -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    harness.handle_event(PeerReportReceived(peer_report("vm-2")))
    harness.handle_event(PeerReportReceived(peer_report("vm-2", sequence=2, leaving=True)))
    table = harness.core.board.table(PeerTable)
    assert table.vms(harness.now_ms) == 1


def test_leaving_vm_reports_that_it_leaves() -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    harness.handle_event(VmLeaving(8_000))
    (send_report,) = of_type(harness.tick(1_200), SendReport)
    assert isinstance(send_report, SendReport)
    assert send_report.report.leaving


def test_newer_view_of_a_peer_is_fetched_if_the_store_does_not_deliver_it_in_time() -> None:
    harness = GatewayCoreHarness(view(upstream("u1"), revision=10))
    first = harness.handle_event(PeerReportReceived(peer_report("vm-2", view_revision=12)))
    assert not of_type(first, FetchView)
    later = harness.handle_event(
        PeerReportReceived(peer_report("vm-2", sequence=2, view_revision=12)), at_ms=1_400
    )
    (fetch,) = of_type(later, FetchView)
    assert isinstance(fetch, FetchView)
    assert fetch.newer_than_revision == 10


def test_report_interval_grows_with_the_number_of_vms() -> None:
    reports_by_peer_count = {}
    for peer_count in (8, 79):
        harness = GatewayCoreHarness(view(upstream("u1")))
        for at_ms in range(1_000, 5_000, 50):
            for number in range(peer_count):
                harness.handle_event(
                    PeerReportReceived(peer_report(f"p{number}", sequence=at_ms)), at_ms=at_ms
                )
            reports_by_peer_count[peer_count] = reports_by_peer_count.get(peer_count, 0) + len(
                of_type(harness.tick(at_ms), SendReport)
            )
    assert reports_by_peer_count[8] >= 39
    assert reports_by_peer_count[79] <= 10


def test_a_newer_view_is_fetched_also_where_another_peer_is_as_far_behind() -> None:
    """While the store refuses all VMs, VMs with the same old view must still fetch a newer one.

    The old view that another peer reports must not restart the wait for the store.
    """
    harness = GatewayCoreHarness(view(upstream("u1"), revision=10))
    fetches = 0
    for sequence, at_ms in enumerate(range(1_000, 3_000, 100)):
        newer = peer_report("vm-2", sequence=sequence, view_revision=12)
        behind = peer_report("vm-3", sequence=sequence, view_revision=10)
        for report in (newer, behind):
            fetches += len(
                of_type(harness.handle_event(PeerReportReceived(report), at_ms=at_ms), FetchView)
            )
    assert fetches


@pytest.mark.parametrize("vm_count", [2, 68, 195])
def test_no_view_is_fetched_from_peers_while_the_store_answers(vm_count: int) -> None:
    """Peers are ahead by up to one watch call, whose delay grows with the number of VMs."""
    names = tuple(f"vm-{number:04}" for number in range(1, vm_count))
    harness = GatewayCoreHarness(view(upstream("u1"), revision=10, vms=names))
    fetches = 0
    revision, changed_at_ms = 10, 1_000
    for sequence, at_ms in enumerate(range(1_000, 8_000, 50)):
        if at_ms - changed_at_ms >= watch_delay_ms(vm_count):
            revision, changed_at_ms = revision + 1, at_ms
            harness.handle_event(ViewChanged(view(upstream("u1"), revision=revision, vms=names)))
        ahead = peer_report("vm-0001", sequence=sequence, view_revision=revision + 1)
        actions = harness.handle_event(PeerReportReceived(ahead), at_ms=at_ms)
        fetches += len(of_type(actions, FetchView))
    assert not fetches


def test_a_flood_of_reports_does_not_cause_a_placement_each() -> None:
    """In an overload, all VMs report often while requests wait here."""
    harness = GatewayCoreHarness(view(upstream("u1")))
    number = 0
    while of_type(harness.submit_request(f"r{number}"), SendAttempt):
        number += 1
    placements = 0

    def count(event: Event, context: Context) -> None:
        nonlocal placements
        placements += 1

    harness.core._handlers[PlacementRequested].append(count)
    for sequence in range(1, 1_001):
        report = peer_report(f"vm-{sequence % 20 + 2}", sequence=sequence)
        harness.handle_event(PeerReportReceived(report), at_ms=1_000 + sequence // 2)
    assert placements <= 500 / 20 + 1


@pytest.mark.parametrize("peers", [7, 16, 86, 300])
def test_urgent_reports_do_not_take_up_the_link_however_many_vms_there_are(peers: int) -> None:
    harness = GatewayCoreHarness(view(upstream("e-1")))
    for number in range(peers):
        report = peer_report(f"vm-{number + 2}", host=f"10.0.2.{number}")
        harness.handle_event(PeerReportReceived(report))
    sent = 0
    for at_ms in range(2_000, 4_000):
        actions = harness.handle_event(ReportRequested(), at_ms=at_ms)
        if at_ms % _TICK_MS == 0:
            # A report that could not be sent at once is not sent by the next tick either.
            actions += harness.tick(at_ms)
        sent += sum(len(report.hosts) for report in of_type(actions, SendReport))
    assert sent <= 2 * _URGENT_REPORTS_PER_S + peers
