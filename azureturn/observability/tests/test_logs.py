"""Logs: bounded, and free of what callers send."""

import io
import json
import threading
from typing import Any

from azureturn.errors import AzureturnError, ErrorKind
from azureturn.observability import (
    LOG_EVENTS,
    BoundedHandler,
    EventLog,
    JsonLinesHandler,
    LogEvent,
    describe_error,
)


class Clock:
    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def log_to(stream: io.StringIO, clock: Clock) -> EventLog:
    return EventLog(JsonLinesHandler(stream), vm="vm-1", clock_s=clock)


def lines_of(stream: io.StringIO) -> list[dict[str, Any]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_flood_of_errors_is_cut_and_counted() -> None:
    stream, clock = io.StringIO(), Clock()
    log = log_to(stream, clock)
    for _ in range(10_000):
        log.error(LogEvent.INTERNAL_ERROR, error="again")
    burst = LOG_EVENTS[LogEvent.INTERNAL_ERROR].burst_lines
    assert len(lines_of(stream)) == burst
    clock.now_s = 1.0
    log.info(LogEvent.DAEMON_STOPPING)
    left_out = lines_of(stream)[-1]
    assert left_out["event"] == "lines_left_out"
    assert left_out["of_event"] == "internal_error"
    assert left_out["line_count"] == 10_000 - burst


def test_a_flood_of_one_event_leaves_room_for_others() -> None:
    stream, clock = io.StringIO(), Clock()
    log = log_to(stream, clock)
    for _ in range(1_000):
        log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error="down")
    log.info(LogEvent.DAEMON_STOPPING)
    assert lines_of(stream)[-1]["event"] == "daemon_stopping"


def test_closing_tells_what_was_left_out() -> None:
    stream, clock = io.StringIO(), Clock()
    log = log_to(stream, clock)
    for _ in range(LOG_EVENTS[LogEvent.INTERNAL_ERROR].burst_lines + 3):
        log.error(LogEvent.INTERNAL_ERROR, error="again")
    log.close()
    assert lines_of(stream)[-1]["line_count"] == 3


def test_fields_that_the_row_does_not_name_are_not_written() -> None:
    stream, clock = io.StringIO(), Clock()
    log_to(stream, clock).info(LogEvent.DAEMON_STOPPING, body="secret text")
    assert "secret" not in stream.getvalue()


def test_an_unforeseen_error_is_told_without_its_text() -> None:
    try:
        b"caller text \xff".decode()
    except UnicodeDecodeError as error:
        told = describe_error(error)
    assert told.startswith("UnicodeDecodeError at test_logs.py:")
    assert "caller text" not in told


def test_our_own_error_is_told_with_its_sentence() -> None:
    error = AzureturnError(ErrorKind.NO_UPSTREAM, "no upstream is left")
    assert describe_error(error) == "no_upstream: no upstream is left"


class _StuckStream(io.StringIO):
    """A stream whose reader has stopped until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.go_on = threading.Event()

    def write(self, text: str) -> int:
        self.go_on.wait(10)
        return super().write(text)


def test_a_reader_that_stops_holds_nobody_up_and_what_is_dropped_is_counted() -> None:
    stream = _StuckStream()
    handler = BoundedHandler(JsonLinesHandler(stream), limit_lines=40)
    log = EventLog(handler, vm="vm-1")
    for number in range(100):
        log.info(LogEvent.REQUEST_ENDED, request_id=str(number))
    for _ in range(5):
        log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error="down")
    stream.go_on.set()
    log.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    events = [line["event"] for line in lines]
    assert events.count("key_value_unavailable") == 5
    dropped = [line for line in lines if line["event"] == "lines_left_out"]
    assert dropped[0]["of_event"] == "every"
    assert dropped[0]["line_count"] + events.count("request_ended") == 100
