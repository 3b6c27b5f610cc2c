"""Retries of requests."""

import pytest

from azureturn.errors import RunState
from azureturn.framework import AwaitPlacement, Refuse
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    RequestClosed,
    ReturnLastResult,
    SendAttempt,
    UpstreamStateTable,
)
from azureturn.gateway.decisions.tests.gateway_site import (
    BOOKING_ROUTE,
    STATUS_ROUTE,
    STREAM_ROUTE,
    GatewaySite,
    of_type,
    upstream,
    view,
)
from azureturn.gateway.site import Route

_R = AttemptResult


def _site() -> GatewaySite:
    services = ("models", "desk")
    upstreams = [upstream(f"{service}-{n}", service) for service in services for n in range(3)]
    return GatewaySite(view(*upstreams))


@pytest.mark.parametrize(
    ("route", "result", "is_retried"),
    [
        (STATUS_ROUTE, _R.FAILED, True),
        (STATUS_ROUTE, _R.BROKEN, True),
        (STATUS_ROUTE, _R.SILENT, True),
        (STATUS_ROUTE, _R.REJECTED, True),
        (STATUS_ROUTE, _R.UNREACHABLE, True),
        (BOOKING_ROUTE, _R.FAILED, False),
        (BOOKING_ROUTE, _R.BROKEN, False),
        (BOOKING_ROUTE, _R.SILENT, False),
        (BOOKING_ROUTE, _R.REJECTED, True),
        (BOOKING_ROUTE, _R.UNREACHABLE, True),
        (STREAM_ROUTE, _R.BROKEN, True),
        (STREAM_ROUTE, _R.ABANDONED, False),
        (STREAM_ROUTE, _R.ANSWERED, False),
    ],
)
def test_possibly_run_request_is_retried_only_if_its_route_allows(
    route: Route, result: AttemptResult, is_retried: bool
) -> None:
    site = _site()
    (first,) = of_type(site.arrive("r1", route=route), SendAttempt)
    actions = site.tell(AttemptEnded("r1", result), at_ms=1_020)
    retried = of_type(actions, SendAttempt)
    assert bool(retried) is is_retried
    if retried:
        assert of_type(actions, AwaitPlacement)
        assert retried[0].upstream.name != first.upstream.name  # type: ignore[attr-defined]


def test_run_attempts_stay_within_the_route_limit() -> None:
    site = _site()
    site.arrive("r1", route=STATUS_ROUTE)
    assert of_type(site.tell(AttemptEnded("r1", _R.FAILED)), SendAttempt)
    assert of_type(site.tell(AttemptEnded("r1", _R.FAILED)), ReturnLastResult)


def test_request_that_never_ran_is_refused_as_not_run() -> None:
    site = GatewaySite(view(upstream("desk-1", "desk")))
    site.arrive("r1", route=BOOKING_ROUTE)
    (refusal,) = of_type(site.tell(AttemptEnded("r1", _R.REJECTED)), Refuse)
    assert isinstance(refusal, Refuse)
    assert refusal.run_state is RunState.NOT_RUN


def test_request_that_ran_once_is_not_refused_as_not_run() -> None:
    site = GatewaySite(view(upstream("desk-1", "desk"), upstream("desk-2", "desk")))
    site.arrive("r1", route=STATUS_ROUTE)
    site.tell(AttemptEnded("r1", _R.FAILED))
    actions = site.tell(AttemptEnded("r1", _R.REJECTED))
    assert of_type(actions, ReturnLastResult)
    assert not of_type(actions, Refuse)


def test_retries_stay_within_this_vms_share_of_the_budget() -> None:
    site = _site()
    retries = 0
    for number in range(100):
        site.arrive(f"r{number}", route=STATUS_ROUTE)
        actions = site.tell(AttemptEnded(f"r{number}", _R.FAILED))
        retries += len(of_type(actions, SendAttempt))
        site.tell(AttemptEnded(f"r{number}", _R.ANSWERED))
    assert 0 < retries <= 8 + 0.2 * 100


def test_no_retry_without_time_left() -> None:
    site = _site()
    site.arrive("r1", route=STATUS_ROUTE)
    actions = site.tell(AttemptEnded("r1", _R.FAILED), at_ms=1_580)
    assert of_type(actions, ReturnLastResult)


def test_closing_a_sent_request_frees_its_slot() -> None:
    site = GatewaySite(view(upstream("models-1", slots=1)))
    site.arrive("r1")
    site.tell(RequestClosed("r1"))
    states = site.core.board.table(UpstreamStateTable)
    assert [state.requests for state in states.rows()] == [0]
