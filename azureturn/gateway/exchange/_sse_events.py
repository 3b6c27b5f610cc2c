"""Splits a server-sent event stream into whole events and reads their numbers."""

import re
from dataclasses import dataclass

#: An empty line ends an event; lines end with LF, CRLF or CR. Of two ends that overlap, the one
#: that begins first also ends first, or both end at the same byte.
_EVENT_END = re.compile(rb"\n\n|\n\r\n|\r\r")
_ID_FIELD = b"id:"
#: A line of an event: a comment, or the name of a field with an optional value.
_LINE = re.compile(rb"(:.*|[A-Za-z][A-Za-z0-9-]*(:.*)?)?", re.DOTALL)
#: Maximum size of an event; more data without the end of an event is an error.
MAX_EVENT_BYTES = 1 << 20


@dataclass(frozen=True)
class SseEvent:
    """One event as received, including the empty line that ends it."""

    data: bytes
    #: The event's ``id`` as a number; None if it has no numeric id.
    number: int | None


class SseEventSplitter:
    """Splits received data into whole events.

    >>> splitter = SseEventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [SseEvent(data=b'id: 1\\ndata: a\\n\\n', number=1)]
    >>> splitter.remainder
    b'id: 2\\nda'
    """

    def __init__(self) -> None:
        self._pending = b""

    @property
    def remainder(self) -> bytes:
        """Return the received part of an event that is not complete yet."""
        return self._pending

    @property
    def is_inside_event(self) -> bool:
        """Return whether the received data ends inside an event.

        Empty lines and whole comment lines after the last event belong to no event.
        """
        lines = self._pending.splitlines(keepends=True)
        return any(not _is_empty_or_comment(line) for line in lines)

    def feed(self, data: bytes) -> list[SseEvent]:
        """Return the events that ``data`` completes.

        Raises ``ValueError`` if more than :data:`MAX_EVENT_BYTES` are pending, or if the data is
        no event stream.
        """
        self._pending += data
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError("event is larger than the limit")
        events: list[SseEvent] = []
        while self._pending and (end := _EVENT_END.search(self._pending)) is not None:
            event, self._pending = self._pending[: end.end()], self._pending[end.end() :]
            events.append(SseEvent(event, _event_number(event)))
        return events


def _is_empty_or_comment(line: bytes) -> bool:
    is_whole_line = line.endswith((b"\n", b"\r"))
    return is_whole_line and (not line.strip(b"\r\n") or line.startswith(b":"))


def _event_number(event: bytes) -> int | None:
    """Return the number of an event, or None if it has none.

    Raises ``ValueError`` if a line of it belongs to no event stream.
    """
    number_text: bytes | None = None
    for line in event.splitlines():
        if not _LINE.fullmatch(line):
            raise ValueError("data is no event stream")
        if number_text is None and line.startswith(_ID_FIELD):
            number_text = line[len(_ID_FIELD) :].strip()
    return int(number_text) if number_text is not None and number_text.isdigit() else None
