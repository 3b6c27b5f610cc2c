"""Logs: one JSON object a line, with events and fields from one documented list."""

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

#: Longer text in a field is cut.
FIELD_LIMIT_CHARACTERS = 300
#: Left-out lines are told of at most this often.
LEFT_OUT_INTERVAL_S = 1.0
#: Lines that wait to be written.
QUEUE_LIMIT_LINES = 8_192
#: Part of the queue that ordinary lines may fill; the rest is for errors.
_ORDINARY_SHARE = 0.75
#: Name under which lines are counted that found the queue full.
_EVERY_EVENT = "every"


def describe_error(error: BaseException | None) -> str:
    """Return what may be logged of an error.

    Our own errors carry sentences of ours. Any other error may carry a caller's bytes in its
    text, so only its type and the place where it was raised are told.
    """
    if error is None:
        return "unknown"
    if isinstance(error, AzureturnError):
        return f"{error.kind.value}: {error.message}"
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else "unknown place"
    return f"{type(error).__name__} at {place}"


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each record as a line of JSON."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the line of one record."""
        line: dict[str, Any] = {
            "time": record.time.isoformat() + "Z",
            "level": record.level_name.lower(),
            "event": record.message,
        }
        line.update(record.kwargs.get("fields", {}))
        return json.dumps(line, separators=(",", ":"))


class BoundedHandler(logbook.queues.ThreadedWrapperHandler):  # type: ignore[misc]
    """Writes from a thread of its own, so that a slow reader of the log holds nobody up.

    When its queue fills, ordinary lines are dropped before errors; what was dropped is counted.
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
        """Queue a line, or drop it."""
        share = 1.0 if record.level >= logbook.ERROR else _ORDINARY_SHARE
        if self.queue.qsize() >= share * self._limit_lines:
            self.dropped_count += 1
            return
        super().emit(record)


class _LineBucket:
    """A token bucket for one event's lines, with a count of those that found it empty."""

    def __init__(self, *, burst_lines: int, rate_per_s: float, now_s: float) -> None:
        self._burst_lines = burst_lines
        self._rate_per_s = rate_per_s
        self._tokens = float(burst_lines)
        self._filled_at_s = now_s
        self.left_out_count = 0

    def take(self, now_s: float) -> bool:
        """Return whether a line may be written, and count it where not."""
        gained = (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._burst_lines, self._tokens + gained)
        self._filled_at_s = now_s
        if self._tokens < 1:
            self.left_out_count += 1
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Logs events with their fields; never a caller's text and never a token.

    Only the fields of the event's row in the list are written, long ones are cut, and each
    event has a token bucket, so that a flood of errors can't fill a disk or take a core.
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
        self._told_at_s = now_s
        self._buckets = {
            event: _LineBucket(burst_lines=row.burst_lines, rate_per_s=row.rate_per_s, now_s=now_s)
            for event, row in LOG_EVENTS.items()
        }

    @classmethod
    def from_path(cls, path: str, *, vm: str) -> "EventLog":
        """Return a log that writes to a path, or to standard error for ``-``."""
        if path == "-":
            return cls(JsonLinesHandler(sys.stderr), vm=vm)
        stream = Path(path).open("a", encoding="utf-8")  # noqa: SIM115
        return cls(JsonLinesHandler(stream), vm=vm)

    @classmethod
    def to_stream(cls, stream: TextIO, *, vm: str) -> "EventLog":
        """Return a log that writes to an open stream and never waits for it."""
        return cls(BoundedHandler(JsonLinesHandler(stream)), vm=vm)

    def info(self, event: LogEvent, **fields: Any) -> None:
        """Log something that happens in ordinary service."""
        self._log(self._logger.info, event, fields)

    def error(self, event: LogEvent, **fields: Any) -> None:
        """Log something that an operator should know of."""
        self._log(self._logger.error, event, fields)

    def close(self) -> None:
        """Tell of all lines that were left out and not yet told of."""
        with self._lock:
            left_out = self._take_left_out()
        self._tell_left_out(left_out)
        if isinstance(self._handler, BoundedHandler):
            self._handler.close()

    def _log(self, write: Callable[..., None], event: LogEvent, fields: dict[str, Any]) -> None:
        now_s = self._clock_s()
        left_out: dict[str, int] = {}
        with self._lock:
            allowed = self._buckets[event].take(now_s)
            if now_s - self._told_at_s >= LEFT_OUT_INTERVAL_S:
                self._told_at_s = now_s
                left_out = self._take_left_out()
        if allowed:
            write(event.value, fields={"vm": self._vm, **_allowed_fields(event, fields)})
        self._tell_left_out(left_out)

    def _take_left_out(self) -> dict[str, int]:
        left_out: dict[str, int] = {}
        if isinstance(self._handler, BoundedHandler) and self._handler.dropped_count:
            left_out[_EVERY_EVENT] = self._handler.dropped_count
            self._handler.dropped_count = 0
        for event, bucket in self._buckets.items():
            if bucket.left_out_count:
                left_out[event.value] = bucket.left_out_count
                bucket.left_out_count = 0
        return left_out

    def _tell_left_out(self, left_out: dict[str, int]) -> None:
        for event, line_count in left_out.items():
            fields = {"vm": self._vm, "of_event": event, "line_count": line_count}
            self._logger.error(LogEvent.LINES_LEFT_OUT.value, fields=fields)


def _allowed_fields(event: LogEvent, fields: dict[str, Any]) -> dict[str, Any]:
    return {name: _cut(fields[name]) for name in LOG_EVENTS[event].fields if name in fields}


def _cut(value: Any) -> Any:
    return value[:FIELD_LIMIT_CHARACTERS] if isinstance(value, str) else value
