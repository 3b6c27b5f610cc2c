"""Upstreams that say that they leave, or want no requests for a while, in the decision core."""

import pytest

from azureturn.framework import Action, AwaitPlacement, Refuse
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    AvailabilityReport,
    AvailabilityStated,
    LogAvailability,
    PeerReportReceived,
    PeerTable,
    ProbeConnection,
    ReturnLastResult,
    SendAttempt,
    SendReport,
    StoreReached,
    UpstreamSilent,
    UpstreamStateTable,
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
from azureturn.gateway.site import Prompt, PromptPart, RegisteredUpstream, StatedAvailability

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
        # Prompts with common parts would go to the same upstream.
        prompt = Prompt("m", 500, 100, 50, (PromptPart(request_id, 500),))
        for action in of_type(vm.submit_request(request_id, prompt=prompt), SendAttempt):
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
    assert not may_send(vm.core.board, _FIRST, vm.now_ms)


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


_PAUSE = StatedAvailability(retry_after_ms=2_000)


def test_a_paused_upstream_is_used_again_when_the_longest_pause_has_ended() -> None:
    vm = _vm()
    vm.handle_event(AvailabilityStated(_FIRST.run, _PAUSE), at_ms=1_500)
    vm.handle_event(
        AvailabilityStated(_FIRST.run, StatedAvailability(retry_after_ms=100)), at_ms=1_600
    )
    vm.now_ms = 3_000
    assert _placed_on(vm) == {"e-2"}
    assert not may_send(vm.core.board, _FIRST, 3_499)
    assert may_send(vm.core.board, _FIRST, 3_500)
    vm.now_ms = 3_500
    assert _placed_on(vm, 20) == {"e-1", "e-2"}


def test_a_rejection_that_asks_for_a_pause_is_no_failure_afterwards() -> None:
    vm = GatewayCoreHarness(view(_FIRST))
    vm.submit_request("r")
    vm.handle_event(AvailabilityStated(_FIRST.run, _PAUSE))
    vm.handle_event(AttemptEnded("r", AttemptResult.REJECTED))
    state = vm.core.board.table(UpstreamStateTable).of(_FIRST.run)
    assert state.expected_failure_share(vm.now_ms) == 0.0


def test_a_new_run_is_not_bound_by_the_pause_of_the_one_before() -> None:
    vm = _vm()
    vm.handle_event(AvailabilityStated(_FIRST.run, _PAUSE))
    vm.handle_event(ViewChanged(view(upstream("e-1", started_unix_ms=2), revision=11)))
    assert _placed_on(vm) == {"e-1"}


def test_a_pause_without_end_is_bounded() -> None:
    vm = _vm()
    asked_ms = 10**12
    actions = vm.handle_event(
        AvailabilityStated(_FIRST.run, StatedAvailability(retry_after_ms=asked_ms))
    )
    (logged,) = of_type(actions, LogAvailability)
    assert logged.pause_ms == 600_000  # type: ignore[attr-defined]
    assert str(asked_ms) in logged.outcome  # type: ignore[attr-defined]


def test_new_requests_are_refused_at_once_if_all_upstreams_pause() -> None:
    vm = _vm()
    vm.handle_event(AvailabilityStated(_OTHER.run, StatedAvailability(retry_after_ms=5_000)))
    vm.handle_event(AvailabilityStated(_FIRST.run, _PAUSE))
    told_ms = []
    for number in range(20):
        (refusal,) = of_type(vm.submit_request(f"r-{number}"), Refuse)
        told_ms.append(refusal.retry_after_ms)  # type: ignore[attr-defined]
    assert min(told_ms) >= 2_000
    assert max(told_ms) <= 2_500
    assert len(set(told_ms)) > 10


@pytest.mark.parametrize(
    ("earlier", "expected"),
    [(None, Refuse), (AttemptResult.BROKEN, ReturnLastResult)],
    ids=["has not run", "may have run"],
)
def test_requests_that_wait_are_ended_when_the_last_upstream_asks_for_a_pause(
    earlier: AttemptResult | None, expected: type[Action]
) -> None:
    vm = _vm()
    vm.submit_request("r")
    for number in range(40):
        vm.submit_request(f"other-{number}")
    if earlier is not None:
        vm.handle_event(AttemptEnded("r", earlier))
        # It waits for the other upstream, which has no room.
    waiting = "r" if earlier else "other-39"
    vm.handle_event(AvailabilityStated(_OTHER.run, _PAUSE))
    actions = vm.handle_event(AvailabilityStated(_FIRST.run, _PAUSE))
    ended = [action for action in of_type(actions, expected) if action.request_id == waiting]
    assert len(ended) == 1


def test_a_pause_binds_the_peer_that_relayed_the_answer() -> None:
    vm = _vm()
    vm.tick(2_000)
    stated = AvailabilityStated(_FIRST.run, _PAUSE, relay_vm="vm-2")
    (sent,) = of_type(vm.handle_event(stated, at_ms=2_050), SendReport)
    reported = sent.report.availability  # type: ignore[attr-defined]
    assert reported == (AvailabilityReport(_FIRST.run, False, 2_000, "vm-2"),)
    for name, expected in (("vm-2", {"e-2"}), ("vm-3", {"e-1", "e-2"})):
        peer = GatewayCoreHarness(view(_FIRST, _OTHER), vm_name=name)
        peer.handle_event(PeerReportReceived(peer_report("vm-1", availability=reported)))
        assert _placed_on(peer, 20) == expected


def test_a_peer_that_has_to_pause_is_not_asked_to_relay() -> None:
    vm = _vm()
    paused = (AvailabilityReport(_FIRST.run, pause_ms=500),)
    vm.handle_event(PeerReportReceived(peer_report("vm-2", availability=paused)))
    peers = vm.core.board.table(PeerTable)
    assert not peers.reaching("e-1", vm.now_ms)
    assert peers.reaching("e-2", vm.now_ms)
    assert peers.reaching("e-1", vm.now_ms + 500)


def test_no_probe_is_sent_to_an_upstream_that_asks_for_a_pause() -> None:
    vm = _vm()
    for registered in (_FIRST, _OTHER):
        vm.handle_event(UpstreamSilent(registered.run))
    vm.handle_event(AvailabilityStated(_FIRST.run, _PAUSE))
    probed = {
        probe.upstream.name  # type: ignore[attr-defined]
        for at_ms in range(1_250, 2_900, 50)
        for probe in of_type(vm.tick(at_ms), ProbeConnection)
    }
    assert probed == {"e-2"}
