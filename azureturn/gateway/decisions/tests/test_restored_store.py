"""The decision core when the store comes back from a copy, in a new era."""

import pytest

from azureturn.gateway.decisions import (
    LogRetainedUpstreams,
    MoveTable,
    PeerReportReceived,
    StoreReached,
    ViewChanged,
    ViewTable,
    WriteMoveStatus,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    of_type,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.site import (
    MoveOrder,
    MoveState,
    MoveStatus,
    SiteView,
    StoredDocument,
    join_revision,
)

_UPSTREAMS = (
    upstream("e-1", started_unix_ms=1),
    upstream("e-2", started_unix_ms=1, version="v2"),
)
_ORDER = MoveOrder("models", "v2", 10_000)
#: Time after the return in which upstreams register again.
_RENEWAL_MS = 1_800


def _view(
    era: int,
    revision: int,
    *,
    order_revision: int = 0,
    state: MoveState | None = None,
    status_revision: int = 0,
    upstreams: tuple[object, ...] = _UPSTREAMS,
) -> SiteView:
    """Return a view in an era; revisions are those of the store itself."""
    documents = dict(view(*upstreams).stored_documents)  # type: ignore[arg-type]
    if order_revision:
        order_at = join_revision(era, order_revision)
        documents["order"] = StoredDocument("order", order_at, b"", _ORDER)
    if state is not None:
        status_at = join_revision(era, status_revision)
        status = MoveStatus("models", "v2", state)
        documents["status"] = StoredDocument("status", status_at, b"", status)
    return SiteView(join_revision(era, revision), documents)


def _writes(vm: GatewayCoreHarness, until_ms: int) -> list[WriteMoveStatus]:
    writes: list[WriteMoveStatus] = []
    for at_ms in range(vm.now_ms + 100, until_ms, 100):
        writes += of_type(vm.tick(at_ms), WriteMoveStatus)  # type: ignore[arg-type]
    return writes


@pytest.mark.parametrize("state", [MoveState.COMPLETE, MoveState.ROLLED_BACK])
@pytest.mark.parametrize("is_order_in_copy", [True, False])
def test_a_move_that_had_ended_stays_so_and_its_status_is_written_again(
    state: MoveState, is_order_in_copy: bool
) -> None:
    vm = GatewayCoreHarness(_view(1, 100))
    vm.handle_event(
        ViewChanged(_view(1, 120, order_revision=105, state=state, status_revision=120))
    )
    copy = _view(2, 104, order_revision=103 if is_order_in_copy else 0)
    vm.handle_event(ViewChanged(copy))
    # The operator writes the order again; the store gives it a revision that was used before.
    vm.handle_event(ViewChanged(_view(2, 105, order_revision=105)))
    (move,) = vm.core.board.table(MoveTable).rows()
    assert (move.ended, move.completed) == (True, state is MoveState.COMPLETE)
    assert {write.status.state for write in _writes(vm, 3_000)} == {state}


def test_a_running_move_goes_on_where_it_was() -> None:
    vm = GatewayCoreHarness(_view(1, 100))
    vm.handle_event(ViewChanged(_view(1, 110, order_revision=105)))
    (before,) = vm.core.board.table(MoveTable).rows()
    vm.handle_event(ViewChanged(_view(2, 90)), at_ms=6_000)
    vm.handle_event(ViewChanged(_view(2, 105, order_revision=105)), at_ms=6_500)
    (after,) = vm.core.board.table(MoveTable).rows()
    assert after.began_at_ms == before.began_at_ms


def test_an_order_that_is_written_again_without_a_restore_is_a_new_one() -> None:
    vm = GatewayCoreHarness(_view(1, 100))
    vm.handle_event(ViewChanged(_view(1, 110, order_revision=105)))
    vm.handle_event(ViewChanged(_view(1, 120, order_revision=120)), at_ms=6_000)
    (move,) = vm.core.board.table(MoveTable).rows()
    assert move.began_at_ms == 6_000


@pytest.mark.parametrize(
    ("peer_revision", "expected"),
    [(None, 2), (join_revision(1, 500), 2), (join_revision(2, 90), 1)],
    ids=["no peer", "peer in the earlier era", "peer in the new era"],
)
def test_upstreams_that_the_copy_lacks_are_used_until_they_could_register_again(
    peer_revision: int | None, expected: int
) -> None:
    vm = GatewayCoreHarness(_view(1, 100))
    vm.handle_event(StoreReached())
    actions = vm.handle_event(ViewChanged(_view(2, 90, upstreams=_UPSTREAMS[:1])), at_ms=9_000)
    assert of_type(actions, LogRetainedUpstreams)
    views = vm.core.board.table(ViewTable)
    assert views.store_contact_ms(9_000) == 0
    if peer_revision is not None:
        report = peer_report("vm-2", view_revision=peer_revision, store_contact_ms=2_500)
        vm.handle_event(PeerReportReceived(report))
    assert len(views.serving_upstreams("models", 9_000 + _RENEWAL_MS - 1)) == expected
    assert len(views.serving_upstreams("models", 9_000 + _RENEWAL_MS)) == 1


def test_a_view_of_an_earlier_era_that_arrives_late_changes_nothing() -> None:
    vm = GatewayCoreHarness(_view(2, 90))
    vm.handle_event(ViewChanged(_view(1, 500, upstreams=())))
    assert len(vm.core.board.table(ViewTable).current().upstreams) == 2


def test_an_upstream_that_left_does_not_become_ready_because_the_copy_says_so() -> None:
    vm = GatewayCoreHarness(_view(1, 100))
    leaving = upstream("e-1", started_unix_ms=1, is_leaving=True)
    vm.handle_event(ViewChanged(_view(1, 110, upstreams=(leaving, _UPSTREAMS[1]))))
    vm.handle_event(ViewChanged(_view(2, 90)))
    serving = vm.core.board.table(ViewTable).serving_upstreams("models", vm.now_ms)
    assert [row.name for row in serving] == ["e-2"]
