"""When a request is tried again."""

import pytest

from azureturn.errors import RunState
from azureturn.framework import AwaitPlacement, Refuse
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    Conclude,
    RequestClosed,
    SendAttempt,
    UpstreamStateTable,
)
from azureturn.gateway.decisions.tests.gateway_site import (
    BOOKING_ROUTE,
    STATUS_ROUTE,
    STREAM_ROUTE,
    GatewaySite,
    only,
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
    ("route", "result", "is_tried_again"),
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
def test_what_may_have_run_is_repeated_only_where_its_route_allows(
    route: Route, result: AttemptResult, is_tried_again: bool
) -> None:
    site = _site()
    (first,) = only(site.arrive("r1", route=route), SendAttempt)
    actions = site.tell(AttemptEnded("r1", result), at_ms=1_020)
    again = only(actions, SendAttempt)
    assert bool(again) is is_tried_again
    if again:
        assert only(actions, AwaitPlacement)
        assert again[0].upstream.name != first.upstream.name  # type: ignore[attr-defined]


def test_no_more_upstreams_run_a_request_than_its_route_allows() -> None:
    site = _site()
    site.arrive("r1", route=STATUS_ROUTE)
    assert only(site.tell(AttemptEnded("r1", _R.FAILED)), SendAttempt)
    assert only(site.tell(AttemptEnded("r1", _R.FAILED)), Conclude)


def test_what_never_ran_is_refused_as_not_run() -> None:
    site = GatewaySite(view(upstream("desk-1", "desk")))
    site.arrive("r1", route=BOOKING_ROUTE)
    (refusal,) = only(site.tell(AttemptEnded("r1", _R.REJECTED)), Refuse)
    assert isinstance(refusal, Refuse)
    assert refusal.run_state is RunState.NOT_RUN


def test_what_ran_once_is_not_refused_as_not_run() -> None:
    site = GatewaySite(view(upstream("desk-1", "desk"), upstream("desk-2", "desk")))
    site.arrive("r1", route=STATUS_ROUTE)
    site.tell(AttemptEnded("r1", _R.FAILED))
    actions = site.tell(AttemptEnded("r1", _R.REJECTED))
    assert only(actions, Conclude)
    assert not only(actions, Refuse)


def test_second_tries_stay_within_this_vms_share_of_the_budget() -> None:
    site = _site()
    second_tries = 0
    for number in range(100):
        site.arrive(f"r{number}", route=STATUS_ROUTE)
        actions = site.tell(AttemptEnded(f"r{number}", _R.FAILED))
        second_tries += len(only(actions, SendAttempt))
        site.tell(AttemptEnded(f"r{number}", _R.ANSWERED))
    assert 0 < second_tries <= 8 + 0.2 * 100


def test_no_time_left_means_no_other_try() -> None:
    site = _site()
    site.arrive("r1", route=STATUS_ROUTE)
    actions = site.tell(AttemptEnded("r1", _R.FAILED), at_ms=1_580)
    assert only(actions, Conclude)


def test_a_request_that_is_closed_while_it_is_sent_frees_its_place() -> None:
    site = GatewaySite(view(upstream("models-1", slots=1)))
    site.arrive("r1")
    site.tell(RequestClosed("r1"))
    states = site.core.board.table(UpstreamStateTable)
    assert [state.requests for state in states.rows()] == [0]
