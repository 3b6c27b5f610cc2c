"""Limits on the requests that a VM works on, by how late it is with them."""

import pytest

from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, Refuse, Tick
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    LogProcessingLimit,
    LogSilentUpstreams,
    RequestReceived,
    SendAttempt,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    BOOKING_ROUTE,
    STREAM_ROUTE,
    GatewayCoreHarness,
    of_type,
    request,
    upstream,
    view,
)

#: Delays of all tasks, above and below which a VM works on fewer and on more requests.
_LATE_MS = 200
_IN_TIME_MS = 0
_ADJUSTMENT_MS = 100
_ENGINES = 20


@pytest.fixture
def vm() -> GatewayCoreHarness:
    """Return a VM whose upstreams have room for far more than it can work on."""
    engines = [upstream(f"e-{number}") for number in range(_ENGINES)]
    return GatewayCoreHarness(view(*engines, upstream("d-1", "desk", slots=100)))


def _submit(vm: GatewayCoreHarness, count: int, prefix: str = "r") -> list[Action]:
    actions: list[Action] = []
    for number in range(count):
        actions.extend(vm.submit_request(f"{prefix}-{number}", route=STREAM_ROUTE))
    return actions


def _tick(vm: GatewayCoreHarness, delay_ms: int) -> tuple[Action, ...]:
    return vm.handle_event(Tick(delay_ms=delay_ms), at_ms=vm.now_ms + _ADJUSTMENT_MS)


def _sent(actions: tuple[Action, ...] | list[Action]) -> list[str]:
    return [action.request_id for action in actions if isinstance(action, SendAttempt)]


def test_a_vm_that_is_in_time_sends_what_upstreams_take(vm: GatewayCoreHarness) -> None:
    _tick(vm, _IN_TIME_MS)
    assert len(_sent(_submit(vm, 30))) == 30


def test_a_late_vm_takes_up_no_further_request_until_enough_have_ended(
    vm: GatewayCoreHarness,
) -> None:
    _submit(vm, 10)
    _tick(vm, _LATE_MS)
    assert _sent(_submit(vm, 1, "further")) == []
    ended = [
        _sent(vm.handle_event(AttemptEnded(f"r-{number}", AttemptResult.ANSWERED)))
        for number in range(2)
    ]
    # 85 in 100 of ten requests are nine at the most.
    assert ended == [[], ["further-0"]]


def test_more_urgent_requests_of_any_service_are_taken_up_first(vm: GatewayCoreHarness) -> None:
    _submit(vm, 10)
    _tick(vm, _LATE_MS)
    vm.submit_request("booking", route=BOOKING_ROUTE)
    vm.submit_request("report", route=STREAM_ROUTE)
    sent = [
        _sent(vm.handle_event(AttemptEnded(f"r-{number}", AttemptResult.ANSWERED)))
        for number in range(3)
    ]
    assert sent == [[], ["report"], ["booking"]]


def test_the_limit_grows_again_while_the_vm_is_in_time(vm: GatewayCoreHarness) -> None:
    _submit(vm, 10)
    _tick(vm, _LATE_MS)
    _submit(vm, 5, "further")
    sent = [len(_sent(_tick(vm, _IN_TIME_MS))) for _ in range(5)]
    assert sum(sent) > 0
    assert max(sent) <= 1


def test_a_change_of_the_limit_is_logged(vm: GatewayCoreHarness) -> None:
    _submit(vm, 10)
    (change,) = of_type(_tick(vm, _LATE_MS), LogProcessingLimit)
    assert change == LogProcessingLimit(limit=8, in_progress=10, waiting=0, delay_ms=_LATE_MS)


@pytest.mark.parametrize(
    ("waited_ms", "is_refused"), [(100, False), (1_300, True)], ids=["early", "late"]
)
def test_a_request_that_waited_too_long_to_be_read_is_refused_as_not_run(
    vm: GatewayCoreHarness, waited_ms: int, is_refused: bool
) -> None:
    vm.tick(20_000)
    late = request("late", arrived_at_ms=vm.now_ms - waited_ms)
    actions = vm.handle_event(RequestReceived(late))
    refusals = [action for action in actions if isinstance(action, Refuse)]
    assert bool(refusals) is is_refused
    for refusal in refusals:
        assert (refusal.kind, refusal.run_state) == (
            ErrorKind.DEADLINE_UNREACHABLE,
            RunState.NOT_RUN,
        )
        assert refusal.retry_after_ms > 0


@pytest.mark.parametrize(("lag_ms", "is_silent"), [(0, True), (400, False)])
def test_upstreams_are_not_taken_for_silent_because_this_vm_is_late(
    vm: GatewayCoreHarness, lag_ms: int, is_silent: bool
) -> None:
    vm.tick(5_000)
    vm.submit_request("r-1")
    actions = vm.handle_event(Tick(lag_ms), at_ms=5_700)
    assert bool(of_type(actions, LogSilentUpstreams)) is is_silent
