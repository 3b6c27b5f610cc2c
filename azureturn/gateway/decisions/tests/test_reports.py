"""What VMs tell each other."""

from azureturn.framework import Tick
from azureturn.gateway.daemon._report_codec import report_from_wire, report_to_wire
from azureturn.gateway.decisions import (
    FetchView,
    MoveReport,
    PeerReported,
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
    only,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.site import PromptPart, SpentUnits
from azureturn.peers import GatewayReport, decode_struct, encode_struct


def test_a_report_survives_the_wire() -> None:
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


def test_reports_go_to_peers_and_now_and_then_to_all_that_are_known() -> None:
    site = GatewaySite(view(upstream("u1"), vms=("vm-9",)))
    hosts: list[tuple[str, ...]] = []
    site.tell(PeerReported(peer_report("vm-2", peers={"vm-3": "10.0.1.3"})))
    for at_ms in range(1_100, 2_200, 100):
        hosts += [one.hosts for one in only(site.tick(at_ms), SendReport)]  # type: ignore[attr-defined]
    assert ("10.0.1.2",) in hosts
    assert any("10.0.1.3" in one for one in hosts)


def test_old_reports_of_the_same_boot_are_left_out() -> None:
    site = GatewaySite(view(upstream("u1")))
    site.tell(PeerReported(peer_report("vm-2", sequence=5, work={"u1": WorkReport(2, 0)})))
    site.tell(PeerReported(peer_report("vm-2", sequence=4, work={"u1": WorkReport(9, 0)})))
    assert site.core.board.table(PeerTable).work_at("u1").requests == 2


def test_a_silent_peers_work_is_forgotten() -> None:
    site = GatewaySite(view(upstream("u1")))
    site.tell(PeerReported(peer_report("vm-2", work={"u1": WorkReport(2, 0)})))
    site.tell(Tick(), at_ms=2_000)
    assert site.core.board.table(PeerTable).work_at("u1").requests == 0


def test_a_leaving_peer_is_no_longer_counted() -> None:
    site = GatewaySite(view(upstream("u1")))
    site.tell(PeerReported(peer_report("vm-2")))
    site.tell(PeerReported(peer_report("vm-2", sequence=2, leaving=True)))
    table = site.core.board.table(PeerTable)
    assert table.vms(site.now_ms) == 1


def test_a_leaving_vm_says_so() -> None:
    site = GatewaySite(view(upstream("u1")))
    site.tell(VmLeaving())
    (sent,) = only(site.tick(1_200), SendReport)
    assert isinstance(sent, SendReport)
    assert sent.report.leaving


def test_a_peers_newer_view_is_fetched_when_the_store_stays_silent() -> None:
    site = GatewaySite(view(upstream("u1"), revision=10))
    first = site.tell(PeerReported(peer_report("vm-2", view_revision=12)))
    assert not only(first, FetchView)
    later = site.tell(PeerReported(peer_report("vm-2", sequence=2, view_revision=12)), at_ms=1_400)
    (fetch,) = only(later, FetchView)
    assert isinstance(fetch, FetchView)
    assert fetch.newer_than_revision == 10


def test_reports_become_rarer_as_vms_become_more() -> None:
    sent = {}
    for peers in (8, 79):
        site = GatewaySite(view(upstream("u1")))
        for at_ms in range(1_000, 5_000, 50):
            for number in range(peers):
                site.tell(PeerReported(peer_report(f"p{number}", sequence=at_ms)), at_ms=at_ms)
            sent[peers] = sent.get(peers, 0) + len(only(site.tick(at_ms), SendReport))
    assert sent[8] >= 39
    assert sent[79] <= 10


def test_a_newer_view_is_fetched_also_where_another_peer_is_as_far_behind() -> None:
    """Several VMs that the store turns away at once must not keep each other from learning."""
    site = GatewaySite(view(upstream("u1"), revision=10))
    fetched = 0
    for sequence, at_ms in enumerate(range(1_000, 3_000, 100)):
        newer = peer_report("vm-2", sequence=sequence, view_revision=12)
        behind = peer_report("vm-3", sequence=sequence, view_revision=10)
        for report in (newer, behind):
            fetched += len(only(site.tell(PeerReported(report), at_ms=at_ms), FetchView))
    assert fetched
