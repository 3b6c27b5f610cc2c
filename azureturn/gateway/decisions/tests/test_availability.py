"""Upstreams that say that they leave, or want no requests for a while, in the decision core."""

import pytest

from azureturn.framework import AwaitPlacement
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    AvailabilityReport,
    AvailabilityStated,
    LogAvailability,
    PeerReportReceived,
    SendAttempt,
    SendReport,
    StoreReached,
    ViewChanged,
    may_send,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    of_type,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.site import RegisteredUpstream, StatedAvailability

_FIRST = upstream("e-1", started_unix_ms=1)
_OTHER = upstream("e-2", started_unix_ms=1)
_LEAVING = StatedAvailability(is_leaving=True)


def _vm() -> GatewayCoreHarness:
    return GatewayCoreHarness(view(_FIRST, _OTHER))


def _placed_on(vm: GatewayCoreHarness, count: int = 6) -> set[str]:
    """Return the names of the upstreams that this many requests are placed on."""
    names = set()
    for _ in range(count):
        request_id = f"r-{vm.now_ms}"
        vm.now_ms += 10
        for action in of_type(vm.submit_request(request_id), SendAttempt):
            names.add(action.upstream.name)  # type: ignore[attr-defined]
        vm.handle_event(AttemptEnded(request_id, AttemptResult.ANSWERED))
    return names


@pytest.mark.parametrize(
    "views",
    [
        [],
        [view(_FIRST, _OTHER, revision=11)],
        [view(_OTHER, revision=11), view(_FIRST, _OTHER, revision=12)],
    ],
    ids=["registered", "registered again", "gone and back"],
)
def test_a_run_that_left_is_not_used_whatever_its_registration_says(views: list[object]) -> None:
    vm = _vm()
    vm.handle_event(AvailabilityStated(_FIRST.run, _LEAVING))
    for later_view in views:
        vm.handle_event(ViewChanged(later_view))  # type: ignore[arg-type]
    assert _placed_on(vm) == {"e-2"}
    assert not may_send(vm.core.board, _FIRST)


@pytest.mark.parametrize(
    ("registered", "expected"),
    [
        (_FIRST, {"e-2"}),
        (upstream("e-1", started_unix_ms=2), {"e-1", "e-2"}),
    ],
    ids=["same run", "new run"],
)
def test_a_registration_that_goes_back_to_ready_counts_only_for_a_new_run(
    registered: RegisteredUpstream, expected: set[str]
) -> None:
    vm = _vm()
    leaving = upstream("e-1", started_unix_ms=1, is_leaving=True)
    vm.handle_event(ViewChanged(view(leaving, _OTHER, revision=11)))
    vm.handle_event(ViewChanged(view(registered, _OTHER, revision=12)))
    assert _placed_on(vm, 12) | {"e-2"} == expected


def test_a_run_that_left_is_not_retained_after_an_outage() -> None:
    vm = _vm()
    vm.handle_event(AvailabilityStated(_FIRST.run, _LEAVING))
    vm.handle_event(StoreReached(outage_ms=5_000))
    vm.handle_event(ViewChanged(view(_OTHER, revision=11)))
    assert _placed_on(vm) == {"e-2"}


def test_news_of_an_earlier_run_does_not_concern_the_next_one() -> None:
    vm = _vm()
    vm.handle_event(ViewChanged(view(upstream("e-1", started_unix_ms=2), revision=11)))
    vm.handle_event(AvailabilityStated(_FIRST.run, _LEAVING))
    assert _placed_on(vm) == {"e-1"}


def test_peers_are_told_that_an_upstream_leaves() -> None:
    vm = _vm()
    vm.tick(2_000)
    actions = vm.handle_event(AvailabilityStated(_FIRST.run, _LEAVING), at_ms=2_050)
    assert of_type(actions, LogAvailability) == [LogAvailability("e-1", "this VM", -1, "leaving")]
    (sent,) = of_type(actions, SendReport)
    reported = (AvailabilityReport(_FIRST.run, is_leaving=True),)
    assert sent.report.availability == reported  # type: ignore[attr-defined]
    peer = _vm()
    peer.handle_event(PeerReportReceived(peer_report("vm-2", availability=reported)))
    assert _placed_on(peer) == {"e-2"}


def test_a_withheld_attempt_is_made_at_another_upstream() -> None:
    vm = _vm()
    (sent,) = of_type(vm.submit_request("r"), SendAttempt)
    name = sent.upstream.name  # type: ignore[attr-defined]
    run = sent.upstream.run  # type: ignore[attr-defined]
    vm.handle_event(AvailabilityStated(run, _LEAVING))
    actions = vm.handle_event(AttemptEnded("r", AttemptResult.WITHHELD))
    assert of_type(actions, AwaitPlacement)
    (sent_again,) = of_type(actions, SendAttempt)
    assert sent_again.upstream.name != name  # type: ignore[attr-defined]
