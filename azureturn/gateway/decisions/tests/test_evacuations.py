"""Availability zones whose upstreams operators have taken out of service."""

from dataclasses import replace

import pytest

from azureturn.errors import ErrorKind
from azureturn.framework import Refuse
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    ColdUpstreamTable,
    ProbeConnection,
    SendAttempt,
    StoreLost,
    StoreReached,
    UpstreamConnectionFailed,
    UpstreamSilent,
    ViewChanged,
    may_probe,
    may_relay,
    may_relay_another,
    may_send,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    BOOKING_ROUTE,
    STATUS_ROUTE,
    GatewayCoreHarness,
    configuration,
    of_type,
    upstream,
    view,
)
from azureturn.gateway.site import MoveOrder, SiteView, join_revision

_COLD_START_MS = 3_000
_CONFIGURATION = configuration(cold_start_ms=_COLD_START_MS, cold_per_s=12.0)
_IN_A = upstream("in-a", "desk", cold_left_ms=0, started_unix_ms=7)
_IN_B = upstream("in-b", "desk", cold_left_ms=0, started_unix_ms=8, availability_zone="b")
_ENGINES = (
    upstream("engine-a", started_unix_ms=7),
    upstream("engine-b", started_unix_ms=7, availability_zone="b"),
)
_BOTH = (_IN_A, _IN_B, *_ENGINES)


def _evacuated(revision: int, **fields: object) -> SiteView:
    return view(*_BOTH, revision=revision, evacuated=("a",), **fields)  # type: ignore[arg-type]


def _sent_to(actions: tuple[object, ...]) -> set[str]:
    return {action.upstream.name for action in actions if isinstance(action, SendAttempt)}


def _fill(harness: GatewayCoreHarness) -> None:
    """Use up the capacity of all upstreams of the plain service."""
    for number in range(40):
        harness.submit_request(f"filler-{number}", route=STATUS_ROUTE)


def test_new_requests_go_to_other_zones_only() -> None:
    """The VM's own zone is otherwise preferred."""
    harness = GatewayCoreHarness(_evacuated(10))
    for number in range(8):
        assert _sent_to(harness.submit_request(f"r{number}", route=STATUS_ROUTE)) == {"in-b"}


def test_a_service_with_no_upstream_elsewhere_refuses_at_once() -> None:
    """A request that can't be sent anywhere must not wait for its time limit."""
    harness = GatewayCoreHarness(view(_IN_A, evacuated=("a",)))
    (refused,) = of_type(harness.submit_request("r1", route=STATUS_ROUTE), Refuse)
    assert isinstance(refused, Refuse) and refused.kind is ErrorKind.NO_UPSTREAM


def test_queued_requests_and_retries_leave_out_the_zone() -> None:
    """Requests that were received before the order are placed after it."""
    harness = GatewayCoreHarness(view(*_BOTH))
    _fill(harness)
    harness.submit_request("waiting", route=STATUS_ROUTE)
    harness.handle_event(ViewChanged(_evacuated(11)))
    sent: set[str] = set()
    for number in range(40):
        ended = AttemptEnded(f"filler-{number}", AttemptResult.FAILED)
        sent |= _sent_to(harness.handle_event(ended))
    assert sent == {"in-b"}


def test_a_broken_stream_is_not_resumed_in_the_zone() -> None:
    """Only the streams that are in progress there continue."""
    harness = GatewayCoreHarness(view(*_ENGINES))
    harness.handle_event(ViewChanged(view(*_ENGINES, revision=11, evacuated=("b",))))
    assert _sent_to(harness.submit_request("r1")) == {"engine-a"}
    harness.handle_event(ViewChanged(view(*_ENGINES, revision=12, evacuated=("a", "b"))))
    broken = AttemptEnded("r1", AttemptResult.BROKEN, event_count=3)
    assert not _sent_to(harness.handle_event(broken))


def test_a_version_move_sends_nothing_to_the_zone() -> None:
    """The new version may run in the zone only."""
    new = replace(_IN_A, name="new", version="v2")
    order = MoveOrder("desk", "v2", duration_ms=10)
    harness = GatewayCoreHarness(view(new, *_BOTH, evacuated=("a",), order=order))
    for number in range(8):
        assert _sent_to(harness.submit_request(f"r{number}", route=BOOKING_ROUTE)) <= {"in-b"}


def test_what_was_placed_before_the_order_is_not_sent() -> None:
    """Opening a connection may take longer than the operators allow for."""
    harness = GatewayCoreHarness(view(*_BOTH))
    board = harness.core.board
    checks = {
        "request": lambda: may_send(board, _IN_A, harness.now_ms, "r1"),
        "relayed connection": lambda: may_relay(board, _IN_A, harness.now_ms),
        "request on a relayed connection": lambda: may_relay_another(board, _IN_A, harness.now_ms),
        "connection probe": lambda: may_probe(board, _IN_A, harness.now_ms, sends_request=False),
        "status request": lambda: may_probe(board, _IN_A, harness.now_ms, sends_request=True),
    }
    assert all(check() for check in checks.values())
    harness.handle_event(ViewChanged(_evacuated(11)))
    assert not [name for name, check in checks.items() if check()]
    harness.handle_event(ViewChanged(view(*_BOTH, revision=12)))
    assert all(check() for check in checks.values())


@pytest.mark.parametrize("event", [UpstreamConnectionFailed, UpstreamSilent])
def test_unreachable_upstreams_of_the_zone_are_not_probed(event: type) -> None:
    """A probe reaches an upstream like a request."""
    harness = GatewayCoreHarness(view(*_BOTH))
    for run in (_IN_A.run, _IN_B.run, _ENGINES[0].run):
        harness.handle_event(event(run))
    harness.handle_event(ViewChanged(_evacuated(11)))
    actions = tuple(action for at in range(2_000, 4_000, 50) for action in harness.tick(at))
    probed = {action.upstream.name for action in of_type(actions, ProbeConnection)}  # type: ignore[attr-defined]
    assert "in-b" in probed and not probed & {"in-a", "engine-a"}


def test_an_order_stays_in_force_while_the_store_is_down() -> None:
    """The order does not depend on contact with the store."""
    harness = GatewayCoreHarness(_evacuated(10))
    harness.handle_event(StoreReached())
    harness.handle_event(StoreLost(), at_ms=2_000)
    harness.tick(600_000)
    assert _sent_to(harness.submit_request("r1", route=STATUS_ROUTE)) == {"in-b"}


def test_a_restored_store_that_lacks_the_order_does_not_end_it() -> None:
    """The copy may be older than the order; nobody has removed it."""
    harness = GatewayCoreHarness(_evacuated(10))
    restored = view(*_BOTH, revision=join_revision(1, 5))
    harness.handle_event(ViewChanged(restored), at_ms=2_000)
    assert _sent_to(harness.submit_request("r1", route=STATUS_ROUTE)) == {"in-b"}
    harness.handle_event(ViewChanged(_evacuated(join_revision(1, 6))), at_ms=3_000)
    removed = view(*_BOTH, revision=join_revision(1, 7))
    harness.handle_event(ViewChanged(removed), at_ms=4_000)
    sent = [_sent_to(harness.submit_request(f"r2-{n}", route=STATUS_ROUTE)) for n in range(8)]
    assert {"in-a"} in sent


@pytest.mark.parametrize(
    ("stated_ms", "is_cold"),
    [(None, True), (0, False), (2_500, True)],
    ids=["states nothing new", "states 0", "states a time"],
)
def test_upstreams_are_cold_when_their_zone_returns(stated_ms: int | None, is_cold: bool) -> None:
    """They may have become cold while they got nothing, before their registrations say so."""
    harness = GatewayCoreHarness(_evacuated(10, stored_configuration=_CONFIGURATION))
    cold = harness.core.board.table(ColdUpstreamTable)
    returned = view(*_BOTH, revision=11, stored_configuration=_CONFIGURATION)
    harness.handle_event(ViewChanged(returned), at_ms=8_000)
    assert cold.is_limited(_IN_A, 8_000) and not cold.is_limited(_IN_B, 8_000)
    if stated_ms is not None:
        stated = replace(_IN_A, cold_left_ms=stated_ms)
        later = view(stated, revision=12, stored_configuration=_CONFIGURATION, upstream_revision=12)
        harness.handle_event(ViewChanged(later), at_ms=8_500)
    assert cold.is_limited(_IN_A, 8_500) is is_cold
    assert not cold.is_limited(_IN_A, 8_500 + _COLD_START_MS)
