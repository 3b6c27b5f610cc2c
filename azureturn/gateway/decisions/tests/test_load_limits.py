"""Limits on the requests in progress and on those that wait: who is refused beyond them."""

from dataclasses import replace

import pytest

from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, Refuse
from azureturn.gateway.decisions import AttemptEnded, AttemptResult, ReturnLastResult, SendAttempt
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    BOOKING_ROUTE,
    ENGINE,
    STREAM_ROUTE,
    GatewayCoreHarness,
    of_type,
    upstream,
    view,
)
from azureturn.gateway.settings import GatewayLimits

#: Requests that the only engine is sent: its slots, and one ahead.
_SENT = 5
_PATIENT_ROUTE = replace(STREAM_ROUTE, objective_ms=10_000)


def _site(*engines: str, **limits: int) -> GatewayCoreHarness:
    registered = [upstream(name) for name in engines or ("m-1",)]
    site = GatewayCoreHarness(view(*registered, upstream("desk-1", "desk")))
    settings = replace(site.settings, limits=GatewayLimits(**limits))  # type: ignore[arg-type]
    site.core.change_settings(settings)
    return site


def _submit(site: GatewayCoreHarness, request_id: str, rank: int = 2) -> tuple[Action, ...]:
    return site.submit_request(request_id, route=_PATIENT_ROUTE, urgency_rank=rank)


def _fill(site: GatewayCoreHarness) -> None:
    """Send as many urgent requests as the engine takes."""
    for number in range(_SENT):
        assert of_type(_submit(site, f"sent-{number}", rank=0), SendAttempt)


def _refused_ids(actions: tuple[Action, ...]) -> list[str]:
    refusals = [action for action in actions if isinstance(action, Refuse)]
    for refusal in refusals:
        assert refusal.kind is ErrorKind.OVERLOADED
        assert refusal.run_state is RunState.NOT_RUN
        assert refusal.retry_after_ms is not None
        assert refusal.retry_after_ms > 0
    return [refusal.request_id for refusal in refusals]


@pytest.mark.parametrize(
    ("rank", "refused_ids"),
    [
        pytest.param(1, ["waiting-2"], id="the least urgent one that waits"),
        pytest.param(3, ["new"], id="the new one, if it is the least urgent"),
    ],
)
def test_with_too_many_waiting_the_least_urgent_is_refused(
    rank: int, refused_ids: list[str]
) -> None:
    site = _site(requests_waiting=3)
    _fill(site)
    for number, waiting_rank in enumerate((1, 1, 2)):
        assert not _refused_ids(_submit(site, f"waiting-{number}", waiting_rank))
    assert _refused_ids(_submit(site, "new", rank)) == refused_ids


def test_a_request_that_need_not_wait_is_placed_whatever_waits_elsewhere() -> None:
    site = _site(requests_waiting=1)
    _fill(site)
    _submit(site, "waiting")
    actions = site.submit_request("booking", route=BOOKING_ROUTE)
    assert of_type(actions, SendAttempt)
    assert not _refused_ids(actions)


@pytest.mark.parametrize(
    ("rank", "refused_ids"),
    [
        pytest.param(1, ["waiting"], id="a less urgent one that waits"),
        pytest.param(2, ["new"], id="the new one, if none is less urgent"),
    ],
)
def test_with_too_many_in_progress_the_least_urgent_is_refused(
    rank: int, refused_ids: list[str]
) -> None:
    site = _site(requests_in_progress=_SENT + 1)
    _fill(site)
    _submit(site, "waiting")
    assert _refused_ids(_submit(site, "new", rank)) == refused_ids


def test_the_first_requests_of_a_service_do_not_count_for_the_time_since_the_boot() -> None:
    # Guards against an expected wait of minutes, for which a burst after the start was refused.
    site = GatewayCoreHarness(view(upstream("m-1")), now_ms=3_600_000)
    _fill(site)
    site.tick(site.now_ms + 20)
    for number in range(3):
        assert not _refused_ids(_submit(site, f"waiting-{number}"))


def test_with_all_sent_the_new_request_is_refused() -> None:
    site = _site(requests_in_progress=_SENT)
    _fill(site)
    assert _refused_ids(_submit(site, "new", 0)) == ["new"]


def test_a_request_that_ran_ends_with_its_result_instead_of_a_refusal() -> None:
    site = _site("m-1", "m-2", requests_waiting=1)
    for number in range(2 * ENGINE.slots):
        assert of_type(_submit(site, f"sent-{number}"), SendAttempt)
    # The most urgent ones are sent ahead of the slots.
    for number in range(2):
        assert of_type(_submit(site, f"ahead-{number}", 0), SendAttempt)
    _submit(site, "waiting", 0)
    # The slot that this frees goes to the request that waits; the failed one waits in its place.
    actions = site.handle_event(AttemptEnded("sent-0", AttemptResult.FAILED))
    assert [action.request_id for action in of_type(actions, SendAttempt)] == ["waiting"]
    actions = _submit(site, "urgent", 0)
    assert not _refused_ids(actions)
    assert [action.request_id for action in of_type(actions, ReturnLastResult)] == ["sent-0"]
