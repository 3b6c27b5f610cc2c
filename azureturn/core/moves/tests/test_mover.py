"""Tests of the mover, which advances a move: leases, orders, outages and verdicts.

Several VMs share one move record.
"""

from dataclasses import dataclass, field, replace

import pytest

from azureturn.core import (
    Configuration,
    Core,
    Placed,
    Request,
    RequestFailed,
    RequestTable,
    Started,
    Upstream,
    UpstreamTable,
)
from azureturn.core.moves import (
    CondemnedMove,
    Counts,
    EvidenceKey,
    EvidenceReceived,
    EvidenceRow,
    EvidenceSource,
    EvidenceTable,
    ModelLoadTable,
    MoveReason,
    MoveRecord,
    MovesRead,
    MoveState,
    MoveTable,
    MoveWritten,
    ObserveVersions,
    OrderEnded,
    OrderKind,
    SendOrder,
    StoredMove,
    VersionsObserved,
    WriteMove,
    WriteResult,
)
from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, Event, Tick
from azureturn.json_files import read_merged
from azureturn.settings import Settings, UpstreamKind, check_settings
from standins.site import EXAMPLES

MODEL = "fibre-large"
UNIX_MS = 1_000_000
RECORD = MoveRecord(
    "0123456789ab", MODEL, "v1", "v2", UNIX_MS, UNIX_MS + 600_000, samples_per_stage=1
)
STEP_MS = 200


def vm_settings(name: str) -> Settings:
    document = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
    settings = check_settings(document)
    return replace(settings, vm=replace(settings.vm, name=name))


@dataclass
class Fleet:
    """VMs, the stored record, and engines that execute every order."""

    vms: dict[str, Core] = field(default_factory=dict)
    stored: StoredMove = field(default_factory=lambda: StoredMove(RECORD, 1))
    #: Whether the key-value service is unreachable.
    service_down: bool = False
    #: Whether the answers to writes are lost after the write took effect.
    lose_answers: bool = False
    #: Names of the VMs that handle no events.
    paused: set[str] = field(default_factory=set)
    #: Loaded versions by engine.
    versions: dict[str, set[str]] = field(default_factory=dict)
    #: Time, VM and order of every order sent.
    orders: list[tuple[int, str, SendOrder]] = field(default_factory=list)
    now_ms: int = 0

    @classmethod
    def of(cls, count: int) -> "Fleet":
        """Return a fleet whose VMs have read the record."""
        fleet = cls()
        for number in range(count):
            settings = vm_settings(f"vm-{number}")
            core = Core.from_settings(settings, seed=number)
            core.handle(Started(Configuration(0, settings.shared), f"boot-{number}"), 0)
            fleet.vms[f"vm-{number}"] = core
            upstreams = core.board.table(UpstreamTable)
            fleet.versions = {
                upstream.settings.name: {"v1"}
                for upstream in upstreams.rows()
                if MODEL in upstream.settings.targets
            }
        return fleet

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for name in self.vms:
                if name in self.paused:
                    continue
                if not self.service_down:
                    self.deliver(name, MovesRead((self.stored,), UNIX_MS + self.now_ms))
                self.deliver(name, Tick())

    def deliver(self, name: str, event: Event) -> None:
        for action in self.vms[name].handle(event, self.now_ms):
            self.perform(name, action)

    def perform(self, name: str, action: Action) -> None:
        if isinstance(action, WriteMove):
            self.write(name, action)
        elif isinstance(action, ObserveVersions):
            versions = frozenset(self.versions[action.upstream])
            self.deliver(name, VersionsObserved(action.upstream, versions))
        elif isinstance(action, SendOrder):
            self.orders.append((self.now_ms, name, action))
            loaded = self.versions[action.upstream]
            (loaded.add if action.kind is OrderKind.LOAD else loaded.discard)(action.version)
            self.deliver(name, OrderEnded(action.upstream, action.kind, True, 10))

    def write(self, name: str, action: WriteMove) -> None:
        if self.service_down:
            self.deliver(name, MoveWritten(action.record, WriteResult.UNKNOWN))
        elif action.expected_revision != self.stored.revision:
            self.deliver(name, MoveWritten(action.record, WriteResult.CONFLICT))
        else:
            self.stored = StoredMove(action.record, self.stored.revision + 1)
            answer_lost = self.lose_answers
            result = WriteResult.UNKNOWN if answer_lost else WriteResult.WRITTEN
            self.deliver(name, MoveWritten(action.record, result, self.stored.revision))

    def table(self, name: str) -> MoveTable:
        return self.vms[name].board.table(MoveTable)

    def state_to_report(self, name: str) -> MoveState:
        move = self.table(name).get(MODEL)
        assert move is not None
        return self.table(name).state_to_report(move, self.now_ms)[0]

    def share(self, name: str) -> float:
        move = self.table(name).get(MODEL)
        assert move is not None
        return self.table(name).share(move.record)


def failing_version_rows() -> tuple[EvidenceRow, ...]:
    source = EvidenceSource("elsewhere", "1")
    new = EvidenceKey(0, 0, "diagnosis", True)
    old = EvidenceKey(0, 0, "diagnosis", False)
    return (
        EvidenceRow(source, RECORD.move_id, new, Counts(20, 0, (15, 0, 0, 0, 0))),
        EvidenceRow(source, RECORD.move_id, old, Counts(2_000, 0, (10, 0, 0, 0, 0))),
    )


@pytest.mark.parametrize("lose_answers", [False, True])
def test_only_the_lease_holder_sends_orders_and_every_engine_loads(lose_answers: bool) -> None:
    fleet = Fleet.of(4)
    fleet.lose_answers = lose_answers
    fleet.run(30_000)
    assert {name for _, name, _ in fleet.orders} == {fleet.stored.record.holder_vm}
    assert all(loaded == {"v1", "v2"} for loaded in fleet.versions.values())


def test_successor_of_a_paused_holder_waits_for_lease_and_order_limit() -> None:
    fleet = Fleet.of(2)
    fleet.run(1_000)
    first_holder = fleet.stored.record.holder_vm
    fleet.paused.add(first_holder)
    paused_at_ms = fleet.now_ms
    for loaded in fleet.versions.values():
        loaded.discard("v2")
    fleet.run(60_000)
    record = fleet.stored.record
    assert record.holder_vm != first_holder
    limits = vm_settings("vm-0").shared.policy.moves
    successor_orders_ms = [
        sent_at_ms for sent_at_ms, name, _ in fleet.orders if name == record.holder_vm
    ]
    assert min(successor_orders_ms) >= paused_at_ms + limits.order_limit_ms
    assert min(order.fence for _, name, order in fleet.orders if name == record.holder_vm) > 1


def test_resumed_holder_sends_no_order_under_its_old_fence() -> None:
    fleet = Fleet.of(2)
    fleet.run(1_000)
    first_holder = fleet.stored.record.holder_vm
    fleet.paused.add(first_holder)
    fleet.run(30_000)
    fleet.paused.clear()
    order_count = len(fleet.orders)
    fence = fleet.stored.record.fence
    fleet.run(5_000)
    assert fleet.stored.record.fence == fence
    assert all(name != first_holder for _, name, _ in fleet.orders[order_count:])


def test_bad_version_loses_its_share_while_the_service_is_down() -> None:
    fleet = Fleet.of(1)
    fleet.stored = StoredMove(replace(RECORD, state=MoveState.RAMPING, stage=0), 1)
    fleet.run(400)
    assert fleet.share("vm-0") == 0.01
    fleet.service_down = True
    fleet.now_ms += 1_000
    fleet.deliver("vm-0", EvidenceReceived(failing_version_rows()))
    assert fleet.share("vm-0") == 0.0
    assert fleet.state_to_report("vm-0") is MoveState.TAKEN_BACK
    fleet.run(20_000)
    fleet.service_down = False
    fleet.run(2_000)
    record = fleet.stored.record
    assert (record.state, record.reason) == (MoveState.TAKEN_BACK, MoveReason.FAILURES)
    assert "15 of 20 new" in record.detail


def test_condemned_move_from_a_peer_is_applied() -> None:
    fleet = Fleet.of(1)
    fleet.stored = StoredMove(replace(RECORD, state=MoveState.RAMPING, stage=0), 1)
    fleet.run(400)
    condemned_move = CondemnedMove(RECORD.move_id, MoveReason.SLOW, "reported by vm-9")
    fleet.deliver("vm-0", EvidenceReceived((), (condemned_move,)))
    assert fleet.share("vm-0") == 0.0


def test_service_outage_at_the_deadline_freezes_the_share() -> None:
    fleet = Fleet.of(2)
    fleet.stored = StoredMove(replace(RECORD, state=MoveState.RAMPING, stage=1), 1)
    fleet.run(400)
    fleet.service_down = True
    fleet.now_ms = 600_000
    fleet.run(1_000)
    assert {fleet.state_to_report(name) for name in fleet.vms} == {MoveState.FROZEN}
    assert {fleet.share(name) for name in fleet.vms} == {0.05}
    fleet.service_down = False
    fleet.run(30_000)
    record = fleet.stored.record
    assert (record.state, record.reason) == (MoveState.TAKEN_BACK, MoveReason.DEADLINE_PASSED)


def test_move_with_unreachable_deadline_is_taken_back_early() -> None:
    fleet = Fleet.of(2)
    fleet.stored = StoredMove(replace(RECORD, samples_per_stage=1_000_000), 1)
    fleet.run(90_000)
    record = fleet.stored.record
    assert record.reason is MoveReason.DEADLINE_UNREACHABLE
    assert record.ended_unix_ms < record.deadline_unix_ms
    assert "s are left" in record.detail


def test_losing_version_is_unloaded_only_after_the_move_has_ended() -> None:
    fleet = Fleet.of(2)
    fleet.run(20_000)
    ended_record = fleet.stored.record.with_end(
        MoveState.ABORTED, MoveReason.OPERATOR, unix_ms=UNIX_MS + fleet.now_ms
    )
    ended_at_ms = fleet.now_ms
    assert all(order.kind is OrderKind.LOAD for _, _, order in fleet.orders)
    fleet.stored = StoredMove(ended_record, fleet.stored.revision + 1)
    fleet.run(60_000)
    unload_times_ms = [
        sent_at_ms for sent_at_ms, _, order in fleet.orders if order.kind is OrderKind.UNLOAD
    ]
    assert (
        min(unload_times_ms)
        >= ended_at_ms + vm_settings("vm-0").shared.policy.moves.unload_after_ms
    )
    assert all(loaded == {"v1"} for loaded in fleet.versions.values())
    assert fleet.stored.record.settled


def test_engine_missing_the_version_is_not_a_candidate() -> None:
    table = MoveTable()
    fleet = Fleet.of(1)
    fleet.stored = StoredMove(replace(RECORD, missing=("fibre-large-1",)), 1)
    fleet.run(200)
    table = fleet.table("vm-0")
    upstreams: list[Upstream] = list(fleet.vms["vm-0"].board.table(UpstreamTable).rows())
    names = {upstream.settings.name for upstream in table.with_version(upstreams, MODEL, "v2")}
    assert "fibre-large-1" not in names
    assert "fibre-large-2" in names


def test_request_that_was_not_run_adds_no_evidence() -> None:
    fleet = Fleet.of(1)
    fleet.stored = StoredMove(replace(RECORD, state=MoveState.RAMPING, stage=4), 1)
    fleet.run(400)
    core = fleet.vms["vm-0"]
    request = Request(
        "r1", "call-centre", "diagnosis", 0, MODEL, UpstreamKind.MODEL_ENGINE, 0, 1_000_000
    )
    core.board.table(RequestTable).put("r1", request)
    core.handle(Placed("r1"), fleet.now_ms)
    assert next(core.board.table(ModelLoadTable).rows()).outstanding == 1
    failure = RequestFailed("r1", ErrorKind.DEADLINE_PASSED, RunState.NOT_RUN)
    core.handle(failure, fleet.now_ms)
    assert core.board.table(EvidenceTable).get(RECORD.move_id) is None
    assert next(core.board.table(ModelLoadTable).rows()).outstanding == 0
