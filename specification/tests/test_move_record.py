"""Conformance of the implementation of moves to every step of their specification."""

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
    FINAL_STATES,
    MOVERS,
    Mover,
    MoveRecordModel,
    Record,
    Safeguards,
    Scope,
    State,
    applied_stage,
    displayed_state,
)

MOVE_ID = "0123456789ab"
DEADLINE_MS = 1_000
STAGES = (0.01, 1.0)


def implementation_record(record: Record) -> MoveRecord:
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


def transitions(scope: Scope) -> Iterator[tuple[State, str, State]]:
    """Yield each reachable transition as the state, the label of the step and its successor."""
    model = MoveRecordModel(Safeguards(), scope)
    seen = {State()}
    queue = deque(seen)
    while queue:
        state = queue.popleft()
        for label, successor in model.steps(state):
            yield state, label, successor
            if successor not in seen:
                seen.add(successor)
                queue.append(successor)


def record_changes() -> set[tuple[Record, Record]]:
    return {
        (state.record, successor.record)
        for scope in Scope
        for state, _, successor in transitions(scope)
        if state.record != successor.record
    }


def apply_change(before: MoveRecord, after: Record) -> MoveRecord:
    """Make the specification's change with the methods of the implementation."""
    if after.fence > before.fence:
        return before.with_holder(f"vm-{after.holder}", "boot")
    if after.state in FINAL_STATES:
        return before.with_end(MoveState(after.state), unix_ms=1)
    return before.with_stage(after.stage, unix_ms=1)


def test_record_supports_every_change_of_the_specification() -> None:
    changes = record_changes()
    assert len(changes) > 20
    for before, after in changes:
        changed = apply_change(implementation_record(before), after)
        actual = (changed.state.value, changed.stage, changed.fence, changed.holder_vm)
        expected = implementation_record(after)
        assert actual == (after.state, after.stage, after.fence, expected.holder_vm)
        assert decode_record(encode_record(changed)) == changed


def test_record_ends_only_where_the_specification_does() -> None:
    changes = record_changes()
    allowed_changes = {(old.state, new.state) for old, new in changes if old.state != new.state}
    for before in {record for change in changes for record in change}:
        for state in ENDED_STATES:
            if (before.state, state.value) in allowed_changes:
                assert implementation_record(before).with_end(state, unix_ms=1).state is state
                continue
            with pytest.raises(MoveChangeError):
                implementation_record(before).with_end(state, unix_ms=1)
        for stage in range(-1, before.stage + 1):
            with pytest.raises(MoveChangeError):
                implementation_record(before).with_stage(stage, unix_ms=1)


def make_table(mover: Mover) -> tuple[MoveTable, Move]:
    """Return the implementation's table of a VM with the mover's knowledge, and the move in it."""
    assert mover.known is not None
    record = implementation_record(mover.known)
    table = MoveTable()
    move = Move(record, mover.known_revision, 0)
    table.put("model", move)
    if record.state is MoveState.COMPLETED:
        table.completed.add(MOVE_ID)
    if mover.condemned:
        table.condemned[MOVE_ID] = Verdict(1e9, True, MoveReason.FAILURES)
    return table, move


def test_table_matches_the_specification() -> None:
    movers_and_deadlines: set[tuple[Mover, bool]] = set()
    for _, _, state in transitions(Scope.RECORD):
        movers_and_deadlines.update((state.movers[number], state.deadline) for number in MOVERS)
    checked_count = 0
    for mover, deadline in movers_and_deadlines:
        if mover.known is None:
            continue
        table, move = make_table(mover)
        now_ms = 100_000
        table.service_reached_at_ms = now_ms if mover.in_contact else 0
        table.unix_offset_ms = 0 if deadline else -now_ms
        expected_stage = applied_stage(mover)
        assert table.share(move.record) == (0.0 if expected_stage < 0 else STAGES[expected_stage])
        state = State(deadline=deadline)
        assert table.state_to_report(move, now_ms)[0].value == displayed_state(
            state, mover, Safeguards()
        )
        checked_count += 1
    assert checked_count > 100
