"""Structured logging: one JSON object per line, with events and fields from ``LOG_EVENTS``."""

import json
import sys
import threading
import time
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any, TextIO

import logbook

from azureturn.errors import AzureturnError
from azureturn.observability._log_events import LOG_EVENTS, LogEvent

#: Longer text in a field is truncated.
FIELD_LIMIT_CHARACTERS = 300
#: Minimum interval between reports of suppressed lines.
SUPPRESSION_REPORT_INTERVAL_S = 1.0
#: Maximum number of lines waiting to be written.
QUEUE_LIMIT_LINES = 8_192
#: How long a line below error level may wait to be written with others.
BATCH_S = 0.05
#: Share of the queue that lines below error level may fill; the rest is reserved for errors.
_NON_ERROR_SHARE = 0.75
_CHANNEL = "azureturn"
#: Event name in the report of lines that were dropped because the queue was full.
_ALL_EVENTS = "every"


def describe_error(error: BaseException | None) -> str:
    """Return a description of an error that is safe to log.

    The messages of azureturn's own errors are logged. The text of any other error may contain a
    caller's data, so only its type and the place where it was raised are logged.
    """
    if error is None:
        return "unknown"
    if isinstance(error, AzureturnError):
        return f"{error.kind.value}: {error.message}"
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else "unknown place"
    return f"{type(error).__name__} at {place}"


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Formats each log record as one line of JSON."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the JSON line for a record."""
        line: dict[str, Any] = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name.lower(),
            "event": record.message,
        }
        line.update(record.kwargs.get("fields", {}))
        return json.dumps(line, separators=(",", ":"))

    def emit_batch(self, records: Iterable[logbook.LogRecord], reason: str) -> None:
        """Write the lines of several records by a single call."""
        text = "".join(self.encode(self.format(record)) for record in records)
        with self.lock:
            self.write(text)
            self.flush()


class BoundedHandler(logbook.WrapperHandler):  # type: ignore[misc]
    """Writes from a separate thread, so that a slow reader of the log does not block other threads.

    Lines are written together with those of the next :data:`BATCH_S`, or at once if there is an
    error among them: waking the thread up for each line takes longer than writing it. When too many
    lines wait, those below error level are dropped first; dropped lines are counted.
    """

    _direct_attrs = frozenset(
        {
            "handler",
            "dropped_count",
            "_limit_lines",
            "_records",
            "_has_records",
            "_is_urgent",
            "_is_closed",
            "_write_lock",
            "_thread",
        }
    )

    def __init__(self, handler: logbook.Handler, *, limit_lines: int = QUEUE_LIMIT_LINES) -> None:
        super().__init__(handler)
        self.dropped_count = 0
        self._limit_lines = limit_lines
        self._records: deque[logbook.LogRecord] = deque()
        self._has_records = threading.Event()
        #: Set if the thread must not wait for further lines.
        self._is_urgent = threading.Event()
        self._is_closed = False
        self._write_lock = threading.Lock()
        self._thread = threading.Thread(target=self._write_forever, name="log", daemon=True)
        self._thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line, or drop it if the queue is full."""
        is_error = record.level >= logbook.ERROR
        share = 1.0 if is_error else _NON_ERROR_SHARE
        if len(self._records) >= share * self._limit_lines:
            self.dropped_count += 1
            return
        self._records.append(record)
        if is_error:
            self._is_urgent.set()
        if not self._has_records.is_set():
            self._has_records.set()

    def emit_batch(self, records: Iterable[logbook.LogRecord], reason: str) -> None:
        """Queue several lines."""
        for record in records:
            self.emit(record)

    def flush(self) -> None:
        """Write the lines that wait; unlike :meth:`emit`, this blocks until they are written."""
        with self._write_lock:
            records = []
            with suppress(IndexError):
                while True:
                    records.append(self._records.popleft())
            try:
                self.handler.emit_batch(records, "queue")
            except Exception:  # noqa: BLE001
                # Without a place to report it to, lines that cannot be written count as dropped.
                self.dropped_count += len(records)

    def close(self) -> None:
        """Write all lines that wait, and end the thread."""
        self._is_closed = True
        self._is_urgent.set()
        self._has_records.set()
        self._thread.join()
        self.handler.close()

    def _write_forever(self) -> None:
        while not self._is_closed or self._records:
            self._has_records.wait()
            self._is_urgent.wait(BATCH_S)
            # Cleared before the lines are taken, so that later ones set them again.
            self._is_urgent.clear()
            self._has_records.clear()
            self.flush()


class _LineRateLimiter:
    """Token bucket that limits the lines of one event, and counts those it suppresses."""

    def __init__(self, *, burst_lines: int, rate_per_s: float, now_s: float) -> None:
        self._burst_lines = burst_lines
        self._rate_per_s = rate_per_s
        self._tokens = float(burst_lines)
        self._refilled_at_s = now_s
        self.suppressed_count = 0

    def try_acquire(self, now_s: float) -> bool:
        """Return whether a line may be written; if not, count it as suppressed."""
        refill = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(self._burst_lines, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            self.suppressed_count += 1
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Logs events with their fields, but no caller's text and no bearer token.

    Only the fields declared for the event in ``LOG_EVENTS`` are written, and long ones are
    truncated. Each event has a token bucket, so that a flood of errors cannot fill a disk or
    saturate a processor core.
    """

    def __init__(
        self,
        handler: logbook.Handler,
        *,
        vm: str,
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._handler = handler
        self._vm = vm
        self._clock_s = clock_s
        self._lock = threading.Lock()
        now_s = clock_s()
        self._reported_at_s = now_s
        self._limiters = {
            event: _LineRateLimiter(
                burst_lines=definition.burst_lines, rate_per_s=definition.rate_per_s, now_s=now_s
            )
            for event, definition in LOG_EVENTS.items()
        }

    @classmethod
    def from_path(cls, path: str, *, vm: str) -> "EventLog":
        """Return a log that writes to a file, or to standard error if the path is ``-``."""
        if path == "-":
            return cls(JsonLinesHandler(sys.stderr), vm=vm)
        stream = Path(path).open("a", encoding="utf-8")  # noqa: SIM115
        return cls(JsonLinesHandler(stream), vm=vm)

    @classmethod
    def to_stream(cls, stream: TextIO, *, vm: str) -> "EventLog":
        """Return a log that writes to an open stream without blocking the caller."""
        return cls(BoundedHandler(JsonLinesHandler(stream)), vm=vm)

    def info(self, event: LogEvent, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._log(logbook.INFO, event, fields)

    def error(self, event: LogEvent, **fields: Any) -> None:
        """Log an event that needs an operator's attention."""
        self._log(logbook.ERROR, event, fields)

    def flush(self) -> None:
        """Write the lines that wait, and return once they are written."""
        self._handler.flush()

    def close(self) -> None:
        """Report the suppressed lines that have not been reported yet, and close the handler."""
        with self._lock:
            suppressed_counts = self._take_suppressed_counts()
        self._report_suppressed(suppressed_counts)
        if isinstance(self._handler, BoundedHandler):
            self._handler.close()

    def _log(self, level: int, event: LogEvent, fields: dict[str, Any]) -> None:
        now_s = self._clock_s()
        suppressed_counts: dict[str, int] = {}
        with self._lock:
            allowed = self._limiters[event].try_acquire(now_s)
            if now_s - self._reported_at_s >= SUPPRESSION_REPORT_INTERVAL_S:
                self._reported_at_s = now_s
                suppressed_counts = self._take_suppressed_counts()
        if allowed:
            self._handle(level, event, _declared_fields(event, fields))
        if suppressed_counts:
            self._report_suppressed(suppressed_counts)

    def _handle(self, level: int, event: LogEvent, fields: dict[str, Any]) -> None:
        """Pass a record to the only handler, without a logger's search for handlers."""
        line = {"vm": self._vm, **fields}
        record = logbook.LogRecord(_CHANNEL, level, event.value, kwargs={"fields": line})
        record.heavy_init()
        self._handler.handle(record)
        record.close()

    def _take_suppressed_counts(self) -> dict[str, int]:
        suppressed_counts: dict[str, int] = {}
        if isinstance(self._handler, BoundedHandler) and self._handler.dropped_count:
            suppressed_counts[_ALL_EVENTS] = self._handler.dropped_count
            self._handler.dropped_count = 0
        for event, limiter in self._limiters.items():
            if limiter.suppressed_count:
                suppressed_counts[event.value] = limiter.suppressed_count
                limiter.suppressed_count = 0
        return suppressed_counts

    def _report_suppressed(self, suppressed_counts: dict[str, int]) -> None:
        for event, line_count in suppressed_counts.items():
            fields = {"of_event": event, "line_count": line_count}
            self._handle(logbook.ERROR, LogEvent.LINES_LEFT_OUT, fields)


def _declared_fields(event: LogEvent, fields: dict[str, Any]) -> dict[str, Any]:
    """Return the fields that are declared for an event, with long text truncated."""
    declared: dict[str, Any] = {}
    for name in LOG_EVENTS[event].fields:
        if name in fields:
            value = fields[name]
            declared[name] = value[:FIELD_LIMIT_CHARACTERS] if isinstance(value, str) else value
    return declared
