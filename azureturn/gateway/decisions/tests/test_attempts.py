"""Retries after unsuccessful attempts."""

import pytest

from azureturn.errors import RunState
from azureturn.framework import AwaitPlacement, Refuse
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    RequestClosed,
    ReturnLastResult,
    SendAttempt,
    UpstreamProcessEnded,
    UpstreamStateTable,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    BOOKING_ROUTE,
    STATUS_ROUTE,
    STREAM_ROUTE,
    GatewayCoreHarness,
    of_type,
    upstream,
    view,
)
from azureturn.gateway.site import Route


def _harness() -> GatewayCoreHarness:
    services = ("models", "desk")
    upstreams = [upstream(f"{service}-{n}", service) for service in services for n in range(3)]
    return GatewayCoreHarness(view(*upstreams))


@pytest.mark.parametrize(
    ("route", "result", "is_retried"),
    [
        (STATUS_ROUTE, AttemptResult.FAILED, True),
        (STATUS_ROUTE, AttemptResult.BROKEN, True),
        (STATUS_ROUTE, AttemptResult.SILENT, True),
        (STATUS_ROUTE, AttemptResult.REJECTED, True),
        (STATUS_ROUTE, AttemptResult.UNREACHABLE, True),
        (BOOKING_ROUTE, AttemptResult.FAILED, False),
        (BOOKING_ROUTE, AttemptResult.BROKEN, False),
        (BOOKING_ROUTE, AttemptResult.SILENT, False),
        (BOOKING_ROUTE, AttemptResult.REJECTED, True),
        (BOOKING_ROUTE, AttemptResult.UNREACHABLE, True),
        (STREAM_ROUTE, AttemptResult.BROKEN, True),
        (STREAM_ROUTE, AttemptResult.ABANDONED, False),
        (STREAM_ROUTE, AttemptResult.ANSWERED, False),
    ],
)
def test_possibly_run_request_is_retried_only_if_its_route_allows(
    route: Route, result: AttemptResult, is_retried: bool
) -> None:
    harness = _harness()
    (first,) = of_type(harness.submit_request("r1", route=route), SendAttempt)
    actions = harness.handle_event(AttemptEnded("r1", result), at_ms=1_020)
    retried = of_type(actions, SendAttempt)
    assert bool(retried) is is_retried
    if retried:
        assert of_type(actions, AwaitPlacement)
        assert retried[0].upstream.name != first.upstream.name  # type: ignore[attr-defined]


def test_no_request_is_sent_to_an_upstream_whose_process_has_ended() -> None:
    harness = _harness()
    for number in range(2):
        harness.handle_event(UpstreamProcessEnded((f"desk-{number}", 0)))
    for number in range(3):
        (sent,) = of_type(harness.submit_request(f"r{number}", route=STATUS_ROUTE), SendAttempt)
        assert sent.upstream.name == "desk-2"  # type: ignore[attr-defined]


def test_an_upstream_that_started_again_is_sent_requests_after_its_earlier_run_ended() -> None:
    harness = GatewayCoreHarness(view(upstream("desk-1", "desk", started_unix_ms=2)))
    harness.handle_event(UpstreamProcessEnded(("desk-1", 1)))
    assert of_type(harness.submit_request("r1", route=STATUS_ROUTE), SendAttempt)


def test_run_attempts_stay_within_the_route_limit() -> None:
    harness = _harness()
    harness.submit_request("r1", route=STATUS_ROUTE)
    assert of_type(harness.handle_event(AttemptEnded("r1", AttemptResult.FAILED)), SendAttempt)
    assert of_type(harness.handle_event(AttemptEnded("r1", AttemptResult.FAILED)), ReturnLastResult)


def test_request_that_never_ran_is_refused_as_not_run() -> None:
    harness = GatewayCoreHarness(view(upstream("desk-1", "desk")))
    harness.submit_request("r1", route=BOOKING_ROUTE)
    (refusal,) = of_type(harness.handle_event(AttemptEnded("r1", AttemptResult.REJECTED)), Refuse)
    assert isinstance(refusal, Refuse)
    assert refusal.run_state is RunState.NOT_RUN


def test_request_that_ran_once_is_not_refused_as_not_run() -> None:
    harness = GatewayCoreHarness(view(upstream("desk-1", "desk"), upstream("desk-2", "desk")))
    harness.submit_request("r1", route=STATUS_ROUTE)
    harness.handle_event(AttemptEnded("r1", AttemptResult.FAILED))
    actions = harness.handle_event(AttemptEnded("r1", AttemptResult.REJECTED))
    assert of_type(actions, ReturnLastResult)
    assert not of_type(actions, Refuse)


def test_retries_stay_within_this_vms_share_of_the_budget() -> None:
    harness = _harness()
    retries = 0
    for number in range(100):
        harness.submit_request(f"r{number}", route=STATUS_ROUTE)
        actions = harness.handle_event(AttemptEnded(f"r{number}", AttemptResult.FAILED))
        retries += len(of_type(actions, SendAttempt))
        harness.handle_event(AttemptEnded(f"r{number}", AttemptResult.ANSWERED))
    assert 0 < retries <= 8 + 0.2 * 100


def test_no_retry_without_time_left() -> None:
    harness = _harness()
    harness.submit_request("r1", route=STATUS_ROUTE)
    actions = harness.handle_event(AttemptEnded("r1", AttemptResult.FAILED), at_ms=1_580)
    assert of_type(actions, ReturnLastResult)


def test_closing_a_sent_request_frees_its_slot() -> None:
    harness = GatewayCoreHarness(view(upstream("models-1", slots=1)))
    harness.submit_request("r1")
    harness.handle_event(RequestClosed("r1"))
    states = harness.core.board.table(UpstreamStateTable)
    assert [state.requests for state in states.rows()] == [0]


def test_request_that_ran_once_is_not_refused_as_not_run_when_its_second_wait_expires() -> None:
    harness = GatewayCoreHarness(view(upstream("models-1"), upstream("models-2")))
    harness.submit_request("r1")
    number = 0
    while of_type(harness.submit_request(f"other-{number}"), SendAttempt):
        number += 1
    assert of_type(harness.handle_event(AttemptEnded("r1", AttemptResult.BROKEN)), AwaitPlacement)
    actions = harness.tick(harness.now_ms + STREAM_ROUTE.timeout_ms)
    assert "r1" in [action.request_id for action in of_type(actions, ReturnLastResult)]  # type: ignore[attr-defined]
    assert "r1" not in [action.request_id for action in of_type(actions, Refuse)]  # type: ignore[attr-defined]
