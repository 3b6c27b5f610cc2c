"""Logs are bounded and contain no data from callers."""

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


def make_log(stream: io.StringIO, clock: Clock) -> EventLog:
    return EventLog(JsonLinesHandler(stream), vm="vm-1", clock_s=clock)


def read_lines(stream: io.StringIO) -> list[dict[str, Any]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_excess_lines_of_an_event_are_suppressed_and_counted() -> None:
    stream, clock = io.StringIO(), Clock()
    log = make_log(stream, clock)
    for _ in range(10_000):
        log.error(LogEvent.INTERNAL_ERROR, error="again")
    burst = LOG_EVENTS[LogEvent.INTERNAL_ERROR].burst_lines
    assert len(read_lines(stream)) == burst
    clock.now_s = 1.0
    log.info(LogEvent.DAEMON_STOPPING)
    report = read_lines(stream)[-1]
    assert report["event"] == "lines_left_out"
    assert report["of_event"] == "internal_error"
    assert report["line_count"] == 10_000 - burst


def test_rate_limit_of_one_event_does_not_affect_others() -> None:
    stream, clock = io.StringIO(), Clock()
    log = make_log(stream, clock)
    for _ in range(1_000):
        log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error="down")
    log.info(LogEvent.DAEMON_STOPPING)
    assert read_lines(stream)[-1]["event"] == "daemon_stopping"


def test_close_reports_suppressed_lines() -> None:
    stream, clock = io.StringIO(), Clock()
    log = make_log(stream, clock)
    for _ in range(LOG_EVENTS[LogEvent.INTERNAL_ERROR].burst_lines + 3):
        log.error(LogEvent.INTERNAL_ERROR, error="again")
    log.close()
    assert read_lines(stream)[-1]["line_count"] == 3


def test_undeclared_fields_are_not_written() -> None:
    stream, clock = io.StringIO(), Clock()
    make_log(stream, clock).info(LogEvent.DAEMON_STOPPING, body="secret text")
    assert "secret" not in stream.getvalue()


def test_foreign_error_is_described_without_its_text() -> None:
    try:
        b"caller text \xff".decode()
    except UnicodeDecodeError as error:
        description = describe_error(error)
    assert description.startswith("UnicodeDecodeError at test_logs.py:")
    assert "caller text" not in description


def test_own_error_is_described_with_its_message() -> None:
    error = AzureturnError(ErrorKind.NO_UPSTREAM, "no upstream is left")
    assert describe_error(error) == "no_upstream: no upstream is left"


class _BlockedStream(io.StringIO):
    """A stream whose writes block until ``resume`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.resume = threading.Event()

    def write(self, text: str) -> int:
        self.resume.wait(10)
        return super().write(text)


def test_blocked_reader_does_not_block_logging_and_dropped_lines_are_counted() -> None:
    stream = _BlockedStream()
    handler = BoundedHandler(JsonLinesHandler(stream), limit_lines=40)
    log = EventLog(handler, vm="vm-1")
    for number in range(100):
        log.info(LogEvent.REQUEST_ENDED, request_id=str(number))
    for _ in range(5):
        log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error="down")
    stream.resume.set()
    log.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    events = [line["event"] for line in lines]
    assert events.count("key_value_unavailable") == 5
    dropped = [line for line in lines if line["event"] == "lines_left_out"]
    assert dropped[0]["of_event"] == "every"
    assert dropped[0]["line_count"] + events.count("request_ended") == 100


class _CountingStream(io.StringIO):
    """A stream that counts its writes."""

    writes = 0

    def write(self, text: str) -> int:
        self.writes += 1
        return super().write(text)


def test_lines_that_wait_are_written_together() -> None:
    # Guards against waking up the log's thread, and a call of the system, for each line.
    stream = _CountingStream()
    log = EventLog.to_stream(stream, vm="vm-1")
    for number in range(100):
        log.info(LogEvent.REQUEST_ENDED, request_id=str(number))
    log.flush()
    lines = [json.loads(line)["request_id"] for line in stream.getvalue().splitlines()]
    assert lines == [str(number) for number in range(100)]
    assert stream.writes < 10
    log.close()


class _BrokenStream(io.StringIO):
    """A stream that takes nothing until it is mended."""

    is_broken = True

    def write(self, text: str) -> int:
        if self.is_broken:
            raise OSError("no space left")
        return super().write(text)


def test_lines_that_cannot_be_written_are_counted_and_later_ones_are_written() -> None:
    # Guards against a log that ends with the first failed write.
    stream = _BrokenStream()
    log = EventLog.to_stream(stream, vm="vm-1")
    for number in range(3):
        log.info(LogEvent.REQUEST_ENDED, request_id=str(number))
    log.flush()
    stream.is_broken = False
    log.info(LogEvent.DAEMON_STOPPING)
    log.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert {line["event"]: line.get("line_count") for line in lines} == {
        "daemon_stopping": None,
        "lines_left_out": 3,
    }
