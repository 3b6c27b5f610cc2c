"""Changes of moves by operators: concurrent changes conflict, lost responses are resolved."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from azureturn.command._errors import CommandError
from azureturn.command._move_store import MoveStore
from azureturn.core.moves import MoveRecord, MoveState, decode_record, encode_record, move_key
from azureturn.errors import CompareFailedError, ErrorKind, KeyValueUnavailableError
from azureturn.store import KeyValueEntry

RECORD = MoveRecord("0123456789ab", "model", "v1", "v2", 0, 600_000)
COMPETING_RECORD = replace(RECORD, move_id="ba9876543210", to_version="v3")
KEY = move_key("model")


@dataclass
class FakeKeyValue:
    """In-memory compare-and-swap; each write first runs the next callback of ``before_write``."""

    entries: dict[str, KeyValueEntry] = field(default_factory=dict)
    revision: int = 1
    before_write: list[Callable[[], None]] = field(default_factory=list)
    lost_responses: int = 0

    def read(self, key: str) -> KeyValueEntry | None:
        return self.entries.get(key)

    def put(self, record: MoveRecord) -> int:
        self.revision += 1
        self.entries[KEY] = KeyValueEntry(KEY, encode_record(record), self.revision)
        return self.revision

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        if self.before_write:
            self.before_write.pop(0)()
        current = self.entries.get(key)
        if (current.revision if current else 0) != expected_revision:
            raise CompareFailedError(ErrorKind.CONFLICT, "unexpected revision")
        revision = self.put(decode_record(value))
        if self.lost_responses:
            self.lost_responses -= 1
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, "no response")
        return revision


def make_store(key_value: FakeKeyValue) -> MoveStore:
    return MoveStore(key_value, sleep=lambda _: None)  # type: ignore[arg-type]


def fail_without_response() -> None:
    raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, "no response")


def test_lost_response_is_resolved_by_reading_back() -> None:
    key_value = FakeKeyValue(lost_responses=1)
    assert make_store(key_value).start(RECORD).record == RECORD
    assert key_value.revision == 2


def test_lost_write_is_retried() -> None:
    key_value = FakeKeyValue(before_write=[fail_without_response])
    assert make_store(key_value).start(RECORD).record == RECORD


def test_conflict_names_the_other_move() -> None:
    key_value = FakeKeyValue()
    key_value.before_write.append(lambda: key_value.put(COMPETING_RECORD) and None)
    with pytest.raises(CommandError, match=COMPETING_RECORD.move_id) as caught:
        make_store(key_value).start(RECORD)
    assert caught.value.kind is ErrorKind.CONFLICT


def test_competing_move_after_a_lost_write_is_a_conflict() -> None:
    key_value = FakeKeyValue(before_write=[fail_without_response])
    store = MoveStore(key_value, sleep=lambda _: key_value.put(COMPETING_RECORD) and None)  # type: ignore[arg-type]
    with pytest.raises(CommandError, match=COMPETING_RECORD.move_id):
        store.start(RECORD)


@pytest.mark.parametrize("settled", [False, True])
def test_new_move_is_refused_until_the_last_one_is_settled(settled: bool) -> None:
    key_value = FakeKeyValue()
    key_value.put(
        replace(COMPETING_RECORD.with_end(MoveState.TAKEN_BACK, unix_ms=1), settled=settled)
    )
    if settled:
        assert make_store(key_value).start(RECORD).record == RECORD
        return
    with pytest.raises(CommandError, match="still being cleared"):
        make_store(key_value).start(RECORD)


def test_move_must_start_from_the_serving_version() -> None:
    key_value = FakeKeyValue()
    baking = COMPETING_RECORD.with_stage(4, unix_ms=1)
    key_value.put(baking.with_end(MoveState.COMPLETED, unix_ms=2).with_settled())
    with pytest.raises(CommandError, match="served by v3"):
        make_store(key_value).start(RECORD)


def test_abort_is_retried_after_a_concurrent_change() -> None:
    key_value = FakeKeyValue()
    key_value.put(RECORD)
    key_value.before_write.append(lambda: key_value.put(RECORD.with_stage(1, unix_ms=1)) and None)
    assert make_store(key_value).abort("model").record.state is MoveState.ABORTED


def test_abort_does_not_change_an_ended_move() -> None:
    key_value = FakeKeyValue()
    key_value.put(RECORD.with_end(MoveState.TAKEN_BACK, unix_ms=1))
    assert make_store(key_value).abort("model").record.state is MoveState.TAKEN_BACK
