"""VMs with the shipped cores around one record: holders, races, orders, outages, bad versions."""

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


def settings_of(name: str) -> Settings:
    document = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
    settings = check_settings(document)
    return replace(settings, vm=replace(settings.vm, name=name))


@dataclass
class Fleet:
    """VMs, the record in the service, and engines that carry out any order."""

    vms: dict[str, Core] = field(default_factory=dict)
    stored: StoredMove = field(default_factory=lambda: StoredMove(RECORD, 1))
    down: bool = False
    lose_answers: bool = False
    paused: set[str] = field(default_factory=set)
    versions: dict[str, set[str]] = field(default_factory=dict)
    #: (time, VM, order) of every order.
    orders: list[tuple[int, str, SendOrder]] = field(default_factory=list)
    now_ms: int = 0

    @classmethod
    def of(cls, count: int) -> "Fleet":
        """Return a fleet whose VMs have read the record."""
        fleet = cls()
        for number in range(count):
            settings = settings_of(f"vm-{number}")
            core = Core.from_settings(settings, seed=number)
            core.handle(Started(Configuration(0, settings.shared), f"boot-{number}"), 0)
            fleet.vms[f"vm-{number}"] = core
            upstreams = core.board.table(UpstreamTable)
            fleet.versions = {
                one.settings.name: {"v1"}
                for one in upstreams.rows()
                if MODEL in one.settings.targets
            }
        return fleet

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for name in self.vms:
                if name in self.paused:
                    continue
                if not self.down:
                    self.give(name, MovesRead((self.stored,), UNIX_MS + self.now_ms))
                self.give(name, Tick())

    def give(self, name: str, event: Event) -> None:
        for action in self.vms[name].handle(event, self.now_ms):
            self.perform(name, action)

    def perform(self, name: str, action: Action) -> None:
        if isinstance(action, WriteMove):
            self.write(name, action)
        elif isinstance(action, ObserveVersions):
            versions = frozenset(self.versions[action.upstream])
            self.give(name, VersionsObserved(action.upstream, versions))
        elif isinstance(action, SendOrder):
            self.orders.append((self.now_ms, name, action))
            held = self.versions[action.upstream]
            (held.add if action.kind is OrderKind.LOAD else held.discard)(action.version)
            self.give(name, OrderEnded(action.upstream, action.kind, True, 10))

    def write(self, name: str, action: WriteMove) -> None:
        if self.down:
            self.give(name, MoveWritten(action.record, WriteResult.UNKNOWN))
        elif action.expected_revision != self.stored.revision:
            self.give(name, MoveWritten(action.record, WriteResult.CONFLICT))
        else:
            self.stored = StoredMove(action.record, self.stored.revision + 1)
            lost = self.lose_answers
            result = WriteResult.UNKNOWN if lost else WriteResult.WRITTEN
            self.give(name, MoveWritten(action.record, result, self.stored.revision))

    def table(self, name: str) -> MoveTable:
        return self.vms[name].board.table(MoveTable)

    def shown(self, name: str) -> MoveState:
        move = self.table(name).get(MODEL)
        assert move is not None
        return self.table(name).shown(move, self.now_ms)[0]

    def share(self, name: str) -> float:
        move = self.table(name).get(MODEL)
        assert move is not None
        return self.table(name).share(move.record)


def bad_rows() -> tuple[EvidenceRow, ...]:
    source = EvidenceSource("elsewhere", "1")
    new = EvidenceKey(0, 0, "diagnosis", True)
    old = EvidenceKey(0, 0, "diagnosis", False)
    return (
        EvidenceRow(source, RECORD.move_id, new, Counts(20, 0, (15, 0, 0, 0, 0))),
        EvidenceRow(source, RECORD.move_id, old, Counts(2_000, 0, (10, 0, 0, 0, 0))),
    )


@pytest.mark.parametrize("lose_answers", [False, True])
def test_one_vm_holds_the_move_and_loads_every_engine(lose_answers: bool) -> None:
    fleet = Fleet.of(4)
    fleet.lose_answers = lose_answers
    fleet.run(30_000)
    assert {name for _, name, _ in fleet.orders} == {fleet.stored.record.holder_vm}
    assert all(held == {"v1", "v2"} for held in fleet.versions.values())


def test_a_paused_holder_is_followed_after_its_lease_and_its_longest_order() -> None:
    fleet = Fleet.of(2)
    fleet.run(1_000)
    first = fleet.stored.record.holder_vm
    fleet.paused.add(first)
    paused_ms = fleet.now_ms
    for held in fleet.versions.values():
        held.discard("v2")
    fleet.run(60_000)
    record = fleet.stored.record
    assert record.holder_vm != first
    limits = settings_of("vm-0").shared.policy.moves
    after = [when_ms for when_ms, name, _ in fleet.orders if name == record.holder_vm]
    assert min(after) >= paused_ms + limits.order_limit_ms
    assert min(order.fence for _, name, order in fleet.orders if name == record.holder_vm) > 1


def test_a_resumed_holder_changes_nothing_under_its_old_fence() -> None:
    fleet = Fleet.of(2)
    fleet.run(1_000)
    first = fleet.stored.record.holder_vm
    fleet.paused.add(first)
    fleet.run(30_000)
    fleet.paused.clear()
    sent = len(fleet.orders)
    fence = fleet.stored.record.fence
    fleet.run(5_000)
    assert fleet.stored.record.fence == fence
    assert all(name != first for _, name, _ in fleet.orders[sent:])


def test_a_vm_stops_sending_to_a_bad_version_without_the_service() -> None:
    fleet = Fleet.of(1)
    fleet.stored = StoredMove(replace(RECORD, state=MoveState.RAMPING, stage=0), 1)
    fleet.run(400)
    assert fleet.share("vm-0") == 0.01
    fleet.down = True
    fleet.now_ms += 1_000
    fleet.give("vm-0", EvidenceReceived(bad_rows()))
    assert fleet.share("vm-0") == 0.0
    assert fleet.shown("vm-0") is MoveState.TAKEN_BACK
    fleet.run(20_000)
    fleet.down = False
    fleet.run(2_000)
    record = fleet.stored.record
    assert (record.state, record.reason) == (MoveState.TAKEN_BACK, MoveReason.FAILURES)
    assert "15 of 20 new" in record.detail


def test_a_vm_believes_a_peer_that_a_version_is_bad() -> None:
    fleet = Fleet.of(1)
    fleet.stored = StoredMove(replace(RECORD, state=MoveState.RAMPING, stage=0), 1)
    fleet.run(400)
    told = CondemnedMove(RECORD.move_id, MoveReason.SLOW, "told by vm-9")
    fleet.give("vm-0", EvidenceReceived((), (told,)))
    assert fleet.share("vm-0") == 0.0


def test_in_an_outage_at_the_deadline_the_share_stays_and_is_shown_as_unknown() -> None:
    fleet = Fleet.of(2)
    fleet.stored = StoredMove(replace(RECORD, state=MoveState.RAMPING, stage=1), 1)
    fleet.run(400)
    fleet.down = True
    fleet.now_ms = 600_000
    fleet.run(1_000)
    assert {fleet.shown(name) for name in fleet.vms} == {MoveState.FROZEN}
    assert {fleet.share(name) for name in fleet.vms} == {0.05}
    fleet.down = False
    fleet.run(30_000)
    record = fleet.stored.record
    assert (record.state, record.reason) == (MoveState.TAKEN_BACK, MoveReason.DEADLINE_PASSED)


def test_a_move_that_no_longer_fits_is_taken_back_early_and_says_so() -> None:
    fleet = Fleet.of(2)
    fleet.stored = StoredMove(replace(RECORD, samples_per_stage=1_000_000), 1)
    fleet.run(90_000)
    record = fleet.stored.record
    assert record.reason is MoveReason.DEADLINE_UNREACHABLE
    assert record.ended_unix_ms < record.deadline_unix_ms
    assert "s are left" in record.detail


def test_the_version_that_lost_is_unloaded_after_the_end_only() -> None:
    fleet = Fleet.of(2)
    fleet.run(20_000)
    ended = fleet.stored.record.with_end(
        MoveState.ABORTED, MoveReason.OPERATOR, unix_ms=UNIX_MS + fleet.now_ms
    )
    ended_ms = fleet.now_ms
    assert all(order.kind is OrderKind.LOAD for _, _, order in fleet.orders)
    fleet.stored = StoredMove(ended, fleet.stored.revision + 1)
    fleet.run(60_000)
    unloads = [when_ms for when_ms, _, one in fleet.orders if one.kind is OrderKind.UNLOAD]
    assert min(unloads) >= ended_ms + settings_of("vm-0").shared.policy.moves.unload_after_ms
    assert all(held == {"v1"} for held in fleet.versions.values())
    assert fleet.stored.record.settled


def test_an_engine_without_the_version_gets_none_of_its_requests() -> None:
    table = MoveTable()
    fleet = Fleet.of(1)
    fleet.stored = StoredMove(replace(RECORD, missing=("fibre-large-1",)), 1)
    fleet.run(200)
    table = fleet.table("vm-0")
    upstreams: list[Upstream] = list(fleet.vms["vm-0"].board.table(UpstreamTable).rows())
    names = {one.settings.name for one in table.with_version(upstreams, MODEL, "v2")}
    assert "fibre-large-1" not in names
    assert "fibre-large-2" in names


def test_a_request_that_was_not_run_says_nothing_of_its_version() -> None:
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
    failed = RequestFailed("r1", ErrorKind.DEADLINE_PASSED, RunState.NOT_RUN)
    core.handle(failed, fleet.now_ms)
    assert core.board.table(EvidenceTable).get(RECORD.move_id) is None
    assert next(core.board.table(ModelLoadTable).rows()).outstanding == 0
