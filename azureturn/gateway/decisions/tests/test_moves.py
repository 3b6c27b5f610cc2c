"""Version moves: traffic shares, rollback criteria and status writes."""

from dataclasses import replace

import pytest

from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    MoveReport,
    PeerReport,
    PeerReportReceived,
    RouteKey,
    SendAttempt,
    StreamPace,
    VersionCount,
    ViewChanged,
    WriteMoveStatus,
)
from azureturn.gateway.decisions._version_comparison import slowdown_reason
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    STATUS_ROUTE,
    GatewayCoreHarness,
    of_type,
    peer_report,
    route_evidence,
    upstream,
    view,
)
from azureturn.gateway.site import MoveOrder, MoveState, MoveStatus, StoredDocument

_ORDER = MoveOrder("desk", "v2", duration_ms=10_000)
_UPSTREAMS = (
    upstream("old", "desk", slots=1_000),
    upstream("new", "desk", slots=1_000, version="v2"),
)


def _harness() -> GatewayCoreHarness:
    return GatewayCoreHarness(view(*_UPSTREAMS, order=_ORDER))


def _send_requests(
    harness: GatewayCoreHarness, count: int, result: AttemptResult
) -> dict[str, int]:
    """Send requests whose attempts at the new version end with ``result``; count by upstream."""
    sent_by_upstream = {"old": 0, "new": 0}
    for number in range(count):
        request_id = f"{harness.now_ms}-{number}"
        actions = harness.submit_request(request_id, route=STATUS_ROUTE)
        for send_attempt in of_type(actions, SendAttempt):
            name = send_attempt.upstream.name  # type: ignore[attr-defined]
            sent_by_upstream[name] += 1
            attempt_result = result if name == "new" else AttemptResult.ANSWERED
            harness.handle_event(AttemptEnded(request_id, attempt_result))
            harness.handle_event(AttemptEnded(request_id, AttemptResult.ANSWERED))
    return sent_by_upstream


def _states(actions: tuple[object, ...]) -> list[MoveState]:
    return [action.status.state for action in actions if isinstance(action, WriteMoveStatus)]


def test_requests_that_wait_for_the_old_version_do_not_go_to_the_new_one() -> None:
    # Guards against EXPOSURE (review/14): the version of a waiting request was drawn again and
    # again, until the new one came out.
    old, new = (upstream("old", "desk", slots=1), upstream("new", "desk", slots=99, version="v2"))
    order = MoveOrder("desk", "v2", duration_ms=100_000)
    harness = GatewayCoreHarness(view(old, new, order=order))
    route = replace(STATUS_ROUTE, timeout_ms=600_000, objective_ms=300_000)
    sent: dict[str, list[str]] = {"old": [], "new": []}

    def record(actions: tuple[object, ...]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                sent[action.upstream.name].append(action.request_id)

    for number in range(300):
        record(harness.submit_request(f"r-{number}", route=route))
    for _ in range(100):
        record(harness.tick(harness.now_ms + 50))
        record(harness.handle_event(AttemptEnded(sent["old"][-1], AttemptResult.ANSWERED)))
    # Of some hundred that were placed, the new version gets its small share.
    assert len(sent["old"]) > 90
    assert 0 < len(sent["new"]) <= 0.2 * len(sent["old"])


def test_new_version_share_ramps_from_small_to_all() -> None:
    harness = _harness()
    early_counts = _send_requests(harness, 400, AttemptResult.ANSWERED)
    assert 0 < early_counts["new"] < 0.1 * 400
    harness.now_ms = 1_000 + 8_000
    assert _send_requests(harness, 50, AttemptResult.ANSWERED) == {"old": 0, "new": 50}


def test_healthy_move_is_reported_complete_before_its_duration_ends() -> None:
    harness = _harness()
    assert _states(harness.tick(1_050)) == [MoveState.RUNNING]
    assert _states(harness.tick(10_900)) == [MoveState.COMPLETE]


def test_failing_version_gets_no_more_requests_and_is_rolled_back() -> None:
    harness = _harness()
    _send_requests(harness, 600, AttemptResult.FAILED)
    assert MoveState.ROLLED_BACK in _states(harness.tick(3_000))
    assert _send_requests(harness, 200, AttemptResult.FAILED)["new"] == 0


def test_new_version_with_failures_counted_by_peers_gets_no_more_requests() -> None:
    harness = _harness()
    routes = {
        RouteKey("desk", "v2", "status"): route_evidence(answers=20, failures=15),
        RouteKey("desk", "v1", "status"): route_evidence(answers=200, failures=2),
    }
    harness.handle_event(PeerReportReceived(peer_report("vm-2", routes=routes)))
    harness.tick(1_100)
    assert _send_requests(harness, 200, AttemptResult.ANSWERED)["new"] == 0


def test_new_version_that_a_peer_reports_as_bad_gets_no_more_requests() -> None:
    harness = _harness()
    moves = {"desk": MoveReport("v2", 500, condemned=True)}
    harness.handle_event(PeerReportReceived(peer_report("vm-2", moves=moves)))
    assert _send_requests(harness, 200, AttemptResult.ANSWERED)["new"] == 0


def test_vm_that_starts_late_takes_the_elapsed_time_of_a_move_from_its_peers() -> None:
    harness = _harness()
    moves = {"desk": MoveReport("v2", 8_000, condemned=False)}
    harness.handle_event(PeerReportReceived(peer_report("vm-2", moves=moves)))
    assert _send_requests(harness, 50, AttemptResult.ANSWERED)["old"] == 0


def _second_order(harness: GatewayCoreHarness) -> None:
    """Roll the version back, and order the same move once more a second later."""
    _send_requests(harness, 600, AttemptResult.FAILED)
    assert MoveState.ROLLED_BACK in _states(harness.tick(3_000))
    ordered = StoredDocument("order", 20, b"", _ORDER)
    ordered_again = view(*_UPSTREAMS).with_changes(written=[ordered], removed=(), revision=20)
    harness.handle_event(ViewChanged(ordered_again), at_ms=4_000)


@pytest.mark.parametrize(
    "report",
    [
        peer_report("vm-2"),
        peer_report("vm-2", moves={"desk": MoveReport("v2", 500, True, order_revision=3)}),
        peer_report("vm-2", moves={"desk": MoveReport("v2", 9_900, False, order_revision=3)}),
        peer_report(
            "vm-2",
            moves={"desk": MoveReport("v2", 500, True, order_revision=3)},
            routes={
                RouteKey("desk", "v2", "status"): route_evidence(answers=20, failures=20),
                RouteKey("desk", "v1", "status"): route_evidence(answers=99, failures=0),
            },
            versions={
                ("desk", "v2"): VersionCount(90, 0, 9_000),
                ("desk", "v1"): VersionCount(90, 0, 90),
            },
        ),
    ],
    ids=["own-counts", "condemned-by-a-peer", "elapsed-at-a-peer", "counts-of-a-peer"],
)
def test_a_second_order_of_a_version_begins_anew(report: PeerReport) -> None:
    # Guards against a mended version that is condemned, or gets all requests, by the first order.
    harness = _harness()
    _second_order(harness)
    harness.handle_event(PeerReportReceived(report))
    assert MoveState.ROLLED_BACK not in _states(harness.tick(4_100))
    sent = _send_requests(harness, 400, AttemptResult.ANSWERED)
    assert 0 < sent["new"] < 0.1 * 400


def test_status_writes_are_staggered_by_vm_name() -> None:
    harness = _harness()
    harness.handle_event(PeerReportReceived(peer_report("vm-0")))
    assert not _states(harness.tick(1_100))
    harness.handle_event(PeerReportReceived(peer_report("vm-0", sequence=2)), at_ms=1_500)
    assert _states(harness.tick(1_600)) == [MoveState.RUNNING]


@pytest.mark.parametrize(
    ("state", "expected"),
    [(MoveState.COMPLETE, "new"), (MoveState.ROLLED_BACK, "old")],
    ids=lambda value: str(value),
)
def test_final_status_in_the_store_is_adopted(state: MoveState, expected: str) -> None:
    harness = _harness()
    status = StoredDocument("status", 9, b"", MoveStatus("desk", "v2", state))
    initial_view = view(*_UPSTREAMS, order=_ORDER, revision=11)
    view_with_status = initial_view.with_changes(written=[status], removed=(), revision=12)
    harness.handle_event(ViewChanged(view_with_status))
    assert _send_requests(harness, 40, AttemptResult.ANSWERED)[expected] == 40
    assert not _states(harness.tick(9_900))


def _streams(streams: int, streamed_ms: int) -> VersionCount:
    """Return a count of streams with 11 events each, whose first events were equally fast."""
    return VersionCount(streams, 0, 50 * streams, StreamPace(streams, 10 * streams, streamed_ms))


@pytest.mark.parametrize(
    ("new", "old", "expected"),
    [
        (VersionCount(20, 0, 2_000), VersionCount(100, 0, 3_000), True),
        (VersionCount(20, 0, 700), VersionCount(100, 0, 3_000), False),
        (_streams(8, 5_000), _streams(90, 18_000), True),
        (_streams(8, 3_000), _streams(90, 18_000), False),
        (_streams(7, 9_000), _streams(90, 18_000), False),
        (_streams(8, 9_000), _streams(7, 1_400), False),
    ],
)
def test_a_new_version_is_worse_if_it_starts_slower_or_streams_slower(
    new: VersionCount, old: VersionCount, expected: bool
) -> None:
    assert bool(slowdown_reason(new, old)) is expected


def test_a_version_whose_streams_are_several_times_slower_is_rolled_back() -> None:
    # The first events of both versions arrive at the same time; only later events are slower.
    harness = _harness()
    streamed_ms = {"old": 300, "new": 1_200}
    for number in range(400):
        request_id = f"r{number}"
        actions = harness.submit_request(request_id, route=STATUS_ROUTE)
        for send_attempt in of_type(actions, SendAttempt):
            name = send_attempt.upstream.name  # type: ignore[attr-defined]
            ended = AttemptEnded(
                request_id, AttemptResult.ANSWERED, event_count=20, streamed_ms=streamed_ms[name]
            )
            harness.handle_event(ended)
    (write,) = of_type(harness.tick(3_000), WriteMoveStatus)
    assert write.status.state is MoveState.ROLLED_BACK  # type: ignore[attr-defined]
    assert "ms an event" in write.reason  # type: ignore[attr-defined]
