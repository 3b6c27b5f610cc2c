"""Status reports between VMs."""

from azureturn.framework import Tick
from azureturn.gateway.daemon._report_codec import report_from_wire, report_to_wire
from azureturn.gateway.decisions import (
    FetchView,
    MoveReport,
    PeerReportReceived,
    PeerTable,
    SendReport,
    SentPrompt,
    VersionCount,
    VmLeaving,
    WaitingReport,
    WorkReport,
)
from azureturn.gateway.decisions.tests.gateway_site import (
    GatewaySite,
    of_type,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.site import PromptPart, SpentUnits
from azureturn.peers import GatewayReport, decode_struct, encode_struct


def test_report_round_trips_through_the_codec() -> None:
    report = peer_report(
        "vm-2",
        work={"u1": WorkReport(3, 700)},
        spent={"kuiseb": SpentUnits(12, 5)},
        prompts=(SentPrompt("u1", "m", (PromptPart("a", 60),)),),
        versions={("desk", "v2"): VersionCount(3, 1, 90)},
        moves={"desk": MoveReport("v2", 800, condemned=True)},
        peers={"vm-3": "10.0.1.3"},
        strained=True,
        availability_zone="b",
        waiting={"models": WaitingReport(3, 2, -40)},
    )
    data = encode_struct(report_to_wire(report))
    assert report_from_wire(decode_struct(GatewayReport, data)) == report


def test_an_empty_struct_is_an_empty_report() -> None:
    assert report_from_wire(GatewayReport()).work == {}


def test_reports_go_to_peers_and_periodically_to_all_known_hosts() -> None:
    site = GatewaySite(view(upstream("u1"), vms=("vm-9",)))
    hosts: list[tuple[str, ...]] = []
    site.tell(PeerReportReceived(peer_report("vm-2", peers={"vm-3": "10.0.1.3"})))
    for at_ms in range(1_100, 2_200, 100):
        hosts += [one.hosts for one in of_type(site.tick(at_ms), SendReport)]  # type: ignore[attr-defined]
    assert ("10.0.1.2",) in hosts
    assert any("10.0.1.3" in one for one in hosts)


def test_outdated_reports_of_the_same_process_are_ignored() -> None:
    site = GatewaySite(view(upstream("u1")))
    site.tell(PeerReportReceived(peer_report("vm-2", sequence=5, work={"u1": WorkReport(2, 0)})))
    site.tell(PeerReportReceived(peer_report("vm-2", sequence=4, work={"u1": WorkReport(9, 0)})))
    assert site.core.board.table(PeerTable).work_at("u1").requests == 2


def test_work_of_a_silent_peer_is_dropped() -> None:
    site = GatewaySite(view(upstream("u1")))
    site.tell(PeerReportReceived(peer_report("vm-2", work={"u1": WorkReport(2, 0)})))
    site.tell(Tick(), at_ms=2_000)
    assert site.core.board.table(PeerTable).work_at("u1").requests == 0


def test_a_leaving_peer_is_no_longer_counted() -> None:
    site = GatewaySite(view(upstream("u1")))
    site.tell(PeerReportReceived(peer_report("vm-2")))
    site.tell(PeerReportReceived(peer_report("vm-2", sequence=2, leaving=True)))
    table = site.core.board.table(PeerTable)
    assert table.vms(site.now_ms) == 1


def test_leaving_vm_reports_that_it_leaves() -> None:
    site = GatewaySite(view(upstream("u1")))
    site.tell(VmLeaving())
    (sent,) = of_type(site.tick(1_200), SendReport)
    assert isinstance(sent, SendReport)
    assert sent.report.leaving


def test_newer_view_of_a_peer_is_fetched_if_the_store_does_not_deliver_it() -> None:
    site = GatewaySite(view(upstream("u1"), revision=10))
    first = site.tell(PeerReportReceived(peer_report("vm-2", view_revision=12)))
    assert not of_type(first, FetchView)
    later = site.tell(
        PeerReportReceived(peer_report("vm-2", sequence=2, view_revision=12)), at_ms=1_400
    )
    (fetch,) = of_type(later, FetchView)
    assert isinstance(fetch, FetchView)
    assert fetch.newer_than_revision == 10


def test_report_interval_grows_with_the_number_of_vms() -> None:
    sent = {}
    for peers in (8, 79):
        site = GatewaySite(view(upstream("u1")))
        for at_ms in range(1_000, 5_000, 50):
            for number in range(peers):
                site.tell(
                    PeerReportReceived(peer_report(f"p{number}", sequence=at_ms)), at_ms=at_ms
                )
            sent[peers] = sent.get(peers, 0) + len(of_type(site.tick(at_ms), SendReport))
    assert sent[8] >= 39
    assert sent[79] <= 10


def test_a_newer_view_is_fetched_also_where_another_peer_is_as_far_behind() -> None:
    """VMs that are all refused by the store must not prevent each other from fetching a view."""
    site = GatewaySite(view(upstream("u1"), revision=10))
    fetched = 0
    for sequence, at_ms in enumerate(range(1_000, 3_000, 100)):
        newer = peer_report("vm-2", sequence=sequence, view_revision=12)
        behind = peer_report("vm-3", sequence=sequence, view_revision=10)
        for report in (newer, behind):
            fetched += len(of_type(site.tell(PeerReportReceived(report), at_ms=at_ms), FetchView))
    assert fetched
