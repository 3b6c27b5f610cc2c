"""Logs: one JSON object a line, with event names from one documented list."""

import json
import sys
from enum import StrEnum
from pathlib import Path
from typing import Any

import logbook


class LogEvent(StrEnum):
    """Every event that is logged."""

    DAEMON_STARTED = "daemon_started"
    DAEMON_STOPPING = "daemon_stopping"
    DAEMON_STOPPED = "daemon_stopped"
    REQUEST_ENDED = "request_ended"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    CONFIGURATION_REFUSED = "configuration_refused"
    CONFIGURATION_UNKNOWN_AT_START = "configuration_unknown_at_start"
    VM_LIST_UNAVAILABLE = "vm_list_unavailable"
    KEY_VALUE_UNAVAILABLE = "key_value_unavailable"
    INTERNAL_ERROR = "internal_error"


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


class EventLog:
    """Logs events with their fields; never a caller's text and never a token."""

    def __init__(self, handler: logbook.Handler, *, vm: str) -> None:
        self._logger = logbook.Logger("azureturn")
        self._logger.handlers.append(handler)
        self._vm = vm

    @classmethod
    def from_path(cls, path: str, *, vm: str) -> "EventLog":
        """Return a log that writes to a path, or to standard error for ``-``."""
        if path == "-":
            return cls(JsonLinesHandler(sys.stderr), vm=vm)
        stream = Path(path).open("a", encoding="utf-8")  # noqa: SIM115
        return cls(JsonLinesHandler(stream), vm=vm)

    def info(self, event: LogEvent, **fields: Any) -> None:
        """Log something that happens in ordinary service."""
        self._logger.info(event.value, fields={"vm": self._vm, **fields})

    def error(self, event: LogEvent, **fields: Any) -> None:
        """Log something that an operator should know of."""
        self._logger.error(event.value, fields={"vm": self._vm, **fields})
