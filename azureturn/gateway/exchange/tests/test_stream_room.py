"""Room for parts of streams that callers do not read."""

from io import StringIO

from azureturn.gateway.exchange._body_budget import FREE_BYTES, BodyBudget, BodyReservation
from azureturn.gateway.exchange._room_reporter import RoomReporter
from azureturn.gateway.exchange._stream_room import EVENT_BYTES, StreamRoom
from azureturn.observability import EventLog, Metrics

_PART_BYTES = 100_000


def _new_room(budget: BodyBudget, resets: list[str]) -> StreamRoom:
    reporter = RoomReporter(EventLog.to_stream(StringIO(), vm="vm-1"), Metrics(None), "q-1")
    return StreamRoom(budget, reporter, lambda: resets.append("reset"))


def test_a_stream_that_is_not_read_loses_its_room_to_a_body_that_waits() -> None:
    now_s = 0.0
    budget = BodyBudget(_PART_BYTES, now_s=lambda: now_s)
    resets: list[str] = []
    room = _new_room(budget, resets)
    room.begin(_PART_BYTES)
    now_s = 1.0
    assert BodyReservation(budget).resize_or_wait(_PART_BYTES, wait_s=0.0)
    assert resets == ["reset"]


def test_a_stream_that_is_read_keeps_its_room() -> None:
    now_s = 0.0
    budget = BodyBudget(_PART_BYTES, now_s=lambda: now_s)
    resets: list[str] = []
    room = _new_room(budget, resets)
    room.begin(_PART_BYTES)
    room.record_progress(_PART_BYTES // 2)
    now_s = 1.0
    assert not BodyReservation(budget).resize_or_wait(_PART_BYTES, wait_s=0.0)
    room.end()
    assert (budget.reserved_bytes, resets) == (0, [])


def test_events_count_beyond_their_bytes() -> None:
    budget = BodyBudget(_PART_BYTES)
    room = _new_room(budget, [])
    room.part = b"data:\n\n" * 200
    room.begin(FREE_BYTES)
    assert budget.reserved_bytes == 200 * EVENT_BYTES
