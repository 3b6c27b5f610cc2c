"""Operators' changes of moves: one winner, one clear conflict, lost answers read back."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from azureturn.command._errors import CommandError
from azureturn.command._move_store import MoveStore
from azureturn.core.moves import MoveRecord, MoveState, decode_record, encode_record, move_key
from azureturn.errors import CompareFailedError, ErrorKind, KeyValueUnavailableError
from azureturn.store import KeyValueEntry

RECORD = MoveRecord("0123456789ab", "model", "v1", "v2", 0, 600_000)
RIVAL = replace(RECORD, move_id="ba9876543210", to_version="v3")
KEY = move_key("model")


@dataclass
class FakeService:
    """Compare-and-swap in memory; ``before_write`` are run, one for each write."""

    entries: dict[str, KeyValueEntry] = field(default_factory=dict)
    revision: int = 1
    before_write: list[Callable[[], None]] = field(default_factory=list)
    lose_answers: int = 0

    def read(self, key: str) -> KeyValueEntry | None:
        return self.entries.get(key)

    def put(self, record: MoveRecord) -> int:
        self.revision += 1
        self.entries[KEY] = KeyValueEntry(KEY, encode_record(record), self.revision)
        return self.revision

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        if self.before_write:
            self.before_write.pop(0)()
        present = self.entries.get(key)
        if (present.revision if present else 0) != expected_revision:
            raise CompareFailedError(ErrorKind.CONFLICT, "another revision")
        revision = self.put(decode_record(value))
        if self.lose_answers:
            self.lose_answers -= 1
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, "no answer")
        return revision


def store_on(service: FakeService) -> MoveStore:
    return MoveStore(service, sleep=lambda _: None)  # type: ignore[arg-type]


def no_answer() -> None:
    raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, "no answer")


def test_a_lost_answer_is_read_back() -> None:
    service = FakeService(lose_answers=1)
    assert store_on(service).start(RECORD).record == RECORD
    assert service.revision == 2


def test_a_lost_write_is_sent_again() -> None:
    service = FakeService(before_write=[no_answer])
    assert store_on(service).start(RECORD).record == RECORD


def test_the_later_operator_is_told_which_move_came_first() -> None:
    service = FakeService()
    service.before_write.append(lambda: service.put(RIVAL) and None)
    with pytest.raises(CommandError, match=RIVAL.move_id) as refused:
        store_on(service).start(RECORD)
    assert refused.value.kind is ErrorKind.CONFLICT


def test_a_rival_that_lands_after_a_lost_write_is_a_conflict() -> None:
    service = FakeService(before_write=[no_answer])
    store = MoveStore(service, sleep=lambda _: service.put(RIVAL) and None)  # type: ignore[arg-type]
    with pytest.raises(CommandError, match=RIVAL.move_id):
        store.start(RECORD)


@pytest.mark.parametrize("settled", [False, True])
def test_a_new_move_waits_until_the_last_is_cleared_from_the_engines(settled: bool) -> None:
    service = FakeService()
    service.put(replace(RIVAL.with_end(MoveState.TAKEN_BACK, unix_ms=1), settled=settled))
    if settled:
        assert store_on(service).start(RECORD).record == RECORD
        return
    with pytest.raises(CommandError, match="still being cleared"):
        store_on(service).start(RECORD)


def test_a_move_starts_from_the_version_that_serves() -> None:
    service = FakeService()
    baking = RIVAL.with_stage(4, unix_ms=1)
    service.put(baking.with_end(MoveState.COMPLETED, unix_ms=2).with_settled())
    with pytest.raises(CommandError, match="served by v3"):
        store_on(service).start(RECORD)


def test_an_abort_follows_whatever_changed_the_record_first() -> None:
    service = FakeService()
    service.put(RECORD)
    service.before_write.append(lambda: service.put(RECORD.with_stage(1, unix_ms=1)) and None)
    assert store_on(service).abort("model").record.state is MoveState.ABORTED


def test_an_abort_does_not_change_how_a_move_ended() -> None:
    service = FakeService()
    service.put(RECORD.with_end(MoveState.TAKEN_BACK, unix_ms=1))
    assert store_on(service).abort("model").record.state is MoveState.TAKEN_BACK
