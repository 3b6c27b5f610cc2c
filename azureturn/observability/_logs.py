"""Structured logging: one JSON object per line, with events and fields from ``LOG_EVENTS``."""

import json
import sys
import threading
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO

import logbook
import logbook.queues

from azureturn.errors import AzureturnError
from azureturn.observability._log_events import LOG_EVENTS, LogEvent

#: Longer text in a field is truncated.
FIELD_LIMIT_CHARACTERS = 300
#: Minimum interval between reports of suppressed lines.
SUPPRESSION_REPORT_INTERVAL_S = 1.0
#: Maximum number of lines waiting to be written.
QUEUE_LIMIT_LINES = 8_192
#: Share of the queue that lines below error level may fill; the rest is reserved for errors.
_NON_ERROR_SHARE = 0.75
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


class BoundedHandler(logbook.queues.ThreadedWrapperHandler):  # type: ignore[misc]
    """Writes from a separate thread, so that a slow reader of the log does not block other threads.

    When its queue fills, lines below error level are dropped first; dropped lines are counted.
    """

    _direct_attrs = logbook.queues.ThreadedWrapperHandler._direct_attrs | {
        "dropped_count",
        "_limit_lines",
    }

    def __init__(self, handler: logbook.Handler, *, limit_lines: int = QUEUE_LIMIT_LINES) -> None:
        self.dropped_count = 0
        self._limit_lines = limit_lines
        super().__init__(handler, limit_lines)

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line, or drop it if the queue is full."""
        share = 1.0 if record.level >= logbook.ERROR else _NON_ERROR_SHARE
        if self.queue.qsize() >= share * self._limit_lines:
            self.dropped_count += 1
            return
        super().emit(record)


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
        self._logger = logbook.Logger("azureturn")
        self._logger.handlers.append(handler)
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
        self._log(self._logger.info, event, fields)

    def error(self, event: LogEvent, **fields: Any) -> None:
        """Log an event that needs an operator's attention."""
        self._log(self._logger.error, event, fields)

    def close(self) -> None:
        """Report the suppressed lines that have not been reported yet, and close the handler."""
        with self._lock:
            suppressed_counts = self._take_suppressed_counts()
        self._report_suppressed(suppressed_counts)
        if isinstance(self._handler, BoundedHandler):
            self._handler.close()

    def _log(self, write: Callable[..., None], event: LogEvent, fields: dict[str, Any]) -> None:
        now_s = self._clock_s()
        suppressed_counts: dict[str, int] = {}
        with self._lock:
            allowed = self._limiters[event].try_acquire(now_s)
            if now_s - self._reported_at_s >= SUPPRESSION_REPORT_INTERVAL_S:
                self._reported_at_s = now_s
                suppressed_counts = self._take_suppressed_counts()
        if allowed:
            write(event.value, fields={"vm": self._vm, **_declared_fields(event, fields)})
        self._report_suppressed(suppressed_counts)

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
            fields = {"vm": self._vm, "of_event": event, "line_count": line_count}
            self._logger.error(LogEvent.LINES_LEFT_OUT.value, fields=fields)


def _declared_fields(event: LogEvent, fields: dict[str, Any]) -> dict[str, Any]:
    return {name: _truncate(fields[name]) for name in LOG_EVENTS[event].fields if name in fields}


def _truncate(value: Any) -> Any:
    return value[:FIELD_LIMIT_CHARACTERS] if isinstance(value, str) else value
