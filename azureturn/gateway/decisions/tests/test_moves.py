"""Version moves: traffic shares, rollback criteria and status writes."""

import pytest

from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    MoveReport,
    PeerReportReceived,
    SendAttempt,
    VersionCount,
    ViewChanged,
    WriteMoveStatus,
)
from azureturn.gateway.decisions._moves import is_regression
from azureturn.gateway.decisions.tests.gateway_site import (
    STATUS_ROUTE,
    GatewaySite,
    of_type,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.site import MoveOrder, MoveState, MoveStatus, StoredDocument

_ORDER = MoveOrder("desk", "v2", duration_ms=10_000)
_UPSTREAMS = (
    upstream("old", "desk", slots=1_000),
    upstream("new", "desk", slots=1_000, version="v2"),
)


def _site() -> GatewaySite:
    return GatewaySite(view(*_UPSTREAMS, order=_ORDER))


def _send_requests(site: GatewaySite, count: int, result: AttemptResult) -> dict[str, int]:
    found = {"old": 0, "new": 0}
    for number in range(count):
        request_id = f"{site.now_ms}-{number}"
        actions = site.arrive(request_id, route=STATUS_ROUTE)
        for one in of_type(actions, SendAttempt):
            name = one.upstream.name  # type: ignore[attr-defined]
            found[name] += 1
            ended = result if name == "new" else AttemptResult.ANSWERED
            site.tell(AttemptEnded(request_id, ended))
            site.tell(AttemptEnded(request_id, AttemptResult.ANSWERED))
    return found


def _states(actions: tuple[object, ...]) -> list[MoveState]:
    return [one.status.state for one in actions if isinstance(one, WriteMoveStatus)]


def test_new_version_share_ramps_from_small_to_all() -> None:
    site = _site()
    early = _send_requests(site, 400, AttemptResult.ANSWERED)
    assert 0 < early["new"] < 0.1 * 400
    site.now_ms = 1_000 + 8_000
    assert _send_requests(site, 50, AttemptResult.ANSWERED) == {"old": 0, "new": 50}


def test_healthy_move_is_reported_complete_before_its_duration_ends() -> None:
    site = _site()
    assert _states(site.tick(1_050)) == [MoveState.RUNNING]
    assert _states(site.tick(10_900)) == [MoveState.COMPLETE]


def test_failing_version_gets_no_more_requests_and_is_rolled_back() -> None:
    site = _site()
    _send_requests(site, 600, AttemptResult.FAILED)
    assert MoveState.ROLLED_BACK in _states(site.tick(3_000))
    assert _send_requests(site, 200, AttemptResult.FAILED)["new"] == 0


def test_answer_counts_of_peers_condemn_a_version() -> None:
    site = _site()
    version_counts = {
        ("desk", "v2"): VersionCount(20, 15, 400),
        ("desk", "v1"): VersionCount(200, 2, 4_000),
    }
    site.tell(PeerReportReceived(peer_report("vm-2", versions=version_counts)))
    site.tick(1_100)
    assert _send_requests(site, 200, AttemptResult.ANSWERED)["new"] == 0


def test_condemnation_reported_by_a_peer_is_adopted() -> None:
    site = _site()
    moves = {"desk": MoveReport("v2", 500, condemned=True)}
    site.tell(PeerReportReceived(peer_report("vm-2", moves=moves)))
    assert _send_requests(site, 200, AttemptResult.ANSWERED)["new"] == 0


def test_late_starting_vm_adopts_elapsed_time_of_its_peers() -> None:
    site = _site()
    moves = {"desk": MoveReport("v2", 8_000, condemned=False)}
    site.tell(PeerReportReceived(peer_report("vm-2", moves=moves)))
    assert _send_requests(site, 50, AttemptResult.ANSWERED)["old"] == 0


def test_status_writes_are_staggered_by_vm_name() -> None:
    site = _site()
    site.tell(PeerReportReceived(peer_report("vm-0")))
    assert not _states(site.tick(1_100))
    site.tell(PeerReportReceived(peer_report("vm-0", sequence=2)), at_ms=1_500)
    assert _states(site.tick(1_600)) == [MoveState.RUNNING]


@pytest.mark.parametrize(
    ("state", "expected"),
    [(MoveState.COMPLETE, "new"), (MoveState.ROLLED_BACK, "old")],
    ids=lambda one: str(one),
)
def test_final_status_in_the_store_is_adopted(state: MoveState, expected: str) -> None:
    site = _site()
    status = StoredDocument("status", 9, b"", MoveStatus("desk", "v2", state))
    after = view(*_UPSTREAMS, order=_ORDER, revision=11)
    ended = after.with_changes(written=[status], removed=(), revision=12)
    site.tell(ViewChanged(ended))
    assert _send_requests(site, 40, AttemptResult.ANSWERED)[expected] == 40
    assert not _states(site.tick(9_900))


@pytest.mark.parametrize(
    ("new", "old", "expected"),
    [
        (VersionCount(7, 7, 0), VersionCount(100, 0, 0), False),
        (VersionCount(20, 10, 0), VersionCount(100, 0, 0), True),
        (VersionCount(20, 1, 0), VersionCount(100, 2, 0), False),
        (VersionCount(20, 3, 0), VersionCount(100, 14, 0), False),
        (VersionCount(20, 0, 2_000), VersionCount(100, 0, 3_000), True),
        (VersionCount(20, 0, 700), VersionCount(100, 0, 3_000), False),
    ],
)
def test_is_regression(new: VersionCount, old: VersionCount, expected: bool) -> None:
    assert is_regression(new, old) is expected
