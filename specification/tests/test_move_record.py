"""The shipped record and tables go along every step of the specification of moves."""

from collections import deque
from collections.abc import Iterator

import pytest

from azureturn.core.moves import (
    ENDED_STATES,
    Move,
    MoveChangeError,
    MoveReason,
    MoveRecord,
    MoveState,
    MoveTable,
    Verdict,
    decode_record,
    encode_record,
)
from specification.move_record import (
    FINAL,
    MOVERS,
    Mover,
    MoveRecordModel,
    Record,
    Rules,
    Scope,
    State,
    share,
    shown,
)

MOVE_ID = "0123456789ab"
DEADLINE_MS = 1_000
STAGES = (0.01, 1.0)


def shipped(record: Record) -> MoveRecord:
    return MoveRecord(
        MOVE_ID,
        "model",
        "v1",
        "v2",
        0,
        DEADLINE_MS,
        stages=STAGES,
        state=MoveState(record.state),
        stage=record.stage,
        fence=record.fence,
        holder_vm="" if record.holder < 0 else f"vm-{record.holder}",
    )


def edges(scope: Scope) -> Iterator[tuple[State, str, State]]:
    model = MoveRecordModel(Rules(), scope)
    seen = {State()}
    waiting = deque(seen)
    while waiting:
        state = waiting.popleft()
        for label, following in model.steps(state):
            yield state, label, following
            if following not in seen:
                seen.add(following)
                waiting.append(following)


def record_changes() -> set[tuple[Record, Record]]:
    return {
        (state.record, following.record)
        for scope in Scope
        for state, _, following in edges(scope)
        if state.record != following.record
    }


def change_shipped(before: MoveRecord, after: Record) -> MoveRecord:
    """Make the change that the specification made, by the shipped methods."""
    if after.fence > before.fence:
        return before.with_holder(f"vm-{after.holder}", "boot")
    if after.state in FINAL:
        return before.with_end(MoveState(after.state), unix_ms=1)
    return before.with_stage(after.stage, unix_ms=1)


def test_every_change_of_the_specification_is_one_that_the_shipped_record_makes() -> None:
    changes = record_changes()
    assert len(changes) > 20
    for before, after in changes:
        changed = change_shipped(shipped(before), after)
        found = (changed.state.value, changed.stage, changed.fence, changed.holder_vm)
        wanted = shipped(after)
        assert found == (after.state, after.stage, after.fence, wanted.holder_vm)
        assert decode_record(encode_record(changed)) == changed


def test_the_shipped_record_ends_where_the_specification_does_and_nowhere_else() -> None:
    changes = record_changes()
    allowed = {(one.state, to.state) for one, to in changes if one.state != to.state}
    for before in {one for change in changes for one in change}:
        for state in ENDED_STATES:
            if (before.state, state.value) in allowed:
                assert shipped(before).with_end(state, unix_ms=1).state is state
                continue
            with pytest.raises(MoveChangeError):
                shipped(before).with_end(state, unix_ms=1)
        for stage in range(-1, before.stage + 1):
            with pytest.raises(MoveChangeError):
                shipped(before).with_stage(stage, unix_ms=1)


def table_of(mover: Mover) -> tuple[MoveTable, Move]:
    """Return the shipped table of a VM that knows what a mover knows."""
    assert mover.known is not None
    record = shipped(mover.known)
    table = MoveTable()
    move = Move(record, mover.known_revision, 0)
    table.put("model", move)
    if record.state is MoveState.COMPLETED:
        table.completed.add(MOVE_ID)
    if mover.condemned:
        table.condemned[MOVE_ID] = Verdict(1e9, True, MoveReason.FAILURES)
    return table, move


def test_the_shipped_vm_applies_and_shows_what_the_specification_says() -> None:
    known: set[tuple[Mover, bool]] = set()
    for _, _, state in edges(Scope.RECORD):
        known.update((state.movers[number], state.deadline) for number in MOVERS)
    checked = 0
    for mover, deadline in known:
        if mover.known is None:
            continue
        table, move = table_of(mover)
        now_ms = 100_000
        table.heard_at_ms = now_ms if mover.heard else 0
        table.unix_offset_ms = 0 if deadline else -now_ms
        wanted = share(mover)
        assert table.share(move.record) == (0.0 if wanted < 0 else STAGES[wanted])
        state = State(deadline=deadline)
        assert table.shown(move, now_ms)[0].value == shown(state, mover, Rules())
        checked += 1
    assert checked > 100
