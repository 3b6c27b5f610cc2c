"""Status reports that VMs send to each other."""

from azureturn.framework import Tick
from azureturn.gateway.daemon._report_codec import report_from_wire, report_to_wire
from azureturn.gateway.decisions import (
    CrashReport,
    FetchView,
    LimitReport,
    MoveReport,
    OutstandingWork,
    PeerReportReceived,
    PeerTable,
    QueueReport,
    SendReport,
    SentPrompt,
    StreamPace,
    Suspect,
    VersionCount,
    VmLeaving,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    of_type,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.site import AllotmentUsage, PromptPart, QuarantinedTraits, StatedLimits
from azureturn.peers import GatewayReport, decode_struct, encode_struct


def test_report_round_trips_through_the_codec() -> None:
    report = peer_report(
        "vm-2",
        work={"u1": OutstandingWork(requests=3, pending_tokens=700)},
        spent={"kuiseb": AllotmentUsage(units=12, late_units=5)},
        prompts=(SentPrompt("u1", "m", (PromptPart("part-a", tokens=60),)),),
        versions={("desk", "v2"): VersionCount(3, 1, 90, StreamPace(2, 30, 700))},
        moves={"desk": MoveReport("v2", elapsed_ms=800, condemned=True)},
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
    )
    data = encode_struct(report_to_wire(report))
    assert report_from_wire(decode_struct(GatewayReport, data)) == report


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
    harness.handle_event(VmLeaving())
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
