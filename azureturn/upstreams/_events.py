"""A model engine's event stream: split at event boundaries, checked, and whole or not."""

import json
import re
from dataclasses import dataclass
from typing import Any

from azureturn.errors import AzureturnError, ErrorKind, UpstreamError

#: Largest single event, and most bytes held back while waiting for the next event id.
EVENT_LIMIT_BYTES = 1 << 20
#: Longest event id that is remembered and sent back when a stream is resumed.
EVENT_ID_LIMIT_BYTES = 128

_BOUNDARY = b"\n\n"
_TERMINATOR = b"[DONE]"
_ERROR_MARK = b'{"error"'
_USAGE_MARK = b'"usage"'
_OWN_REQUEST_ID = re.compile(r"[0-9a-f]{20}$")


@dataclass(frozen=True)
class Usage:
    """What the engine says that an answer took."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0

    @classmethod
    def from_json(cls, usage: Any) -> "Usage":
        """Return the usage of an answer's ``usage`` object; what is missing counts as 0."""
        if not isinstance(usage, dict):
            return cls()
        details = usage.get("prompt_tokens_details")
        cached = details.get("cached_tokens", 0) if isinstance(details, dict) else 0
        return cls(
            prompt_tokens=_count(usage.get("prompt_tokens")),
            cached_tokens=_count(cached),
            output_tokens=_count(usage.get("completion_tokens")),
        )


def _count(value: object) -> int:
    return value if isinstance(value, int) and 0 <= value < 1 << 40 else 0


def json_of(data: bytes) -> Any:
    """Return the JSON in ``data``, or None where there is none."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return None


def usage_of_whole(body: bytes) -> Usage:
    """Return the usage in a whole answer's body."""
    document = json_of(body)
    return Usage.from_json(document.get("usage") if isinstance(document, dict) else None)


def check_answer_id(answer_id: object, request_id: str) -> None:
    """Raise with kind ``answer_mismatched`` where an answer's id names another request.

    Engines that were given a request id build their answer's id from it. An id that ends like
    one of ours but is not this request's belongs to another; an engine's own ids tell nothing.
    """
    if not isinstance(answer_id, str) or answer_id.endswith(request_id):
        return
    if _OWN_REQUEST_ID.search(answer_id):
        raise UpstreamError(ErrorKind.ANSWER_MISMATCHED)


class EventSplitter:
    """Takes pieces of a stream and gives back whole events, each of them once.

    A partial event is held back, so that a stream which breaks off can be resumed after the
    last event that was passed on. Events without an id behind events with one are held back
    too, since the engine can only be asked to go on after an id.

    >>> splitter = EventSplitter("vm-1-0")
    >>> splitter.feed(b'id: 1\\ndata: {"id": "a"}\\n\\nid: 2\\nda')
    b'id: 1\\ndata: {"id": "a"}\\n\\n'
    >>> splitter.last_event_id
    '1'
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._pending = b""
        self._ready: list[bytes] = []
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._answer_id_mark = b""
        self._usage_data = b""
        #: Whether events carry ids; the first event decides.
        self._has_ids: bool | None = None
        self._contiguous = True
        self._resumed = False
        self.last_event_id = ""
        self.ended = False
        #: Data events passed on, the terminator not counted.
        self.events = 0

    @property
    def resumable(self) -> bool:
        """Return whether the rest can be asked for without receiving anything twice."""
        return self.events == 0 or bool(self._has_ids)

    @property
    def usage(self) -> Usage:
        """Return the usage that the stream told, or the number of events as its output."""
        if self._usage_data:
            return usage_of_whole(self._usage_data)
        return Usage(output_tokens=self.events)

    def feed(self, piece: bytes) -> bytes:
        """Return the whole events that ``piece`` completes, in one block."""
        pending = self._pending + piece
        if b"\r" in pending:
            pending = pending.replace(b"\r\n", b"\n")
        *events, self._pending = pending.split(_BOUNDARY)
        if len(self._pending) + self._held_bytes > EVENT_LIMIT_BYTES:
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "an event is over the limit")
        for event in events:
            if self.ended:
                break
            self._take(event.lstrip(b"\n"))
        block = b"".join(self._ready)
        self._ready.clear()
        return block

    def restart(self) -> None:
        """Forget what was held back; the resumed stream brings it again."""
        self._pending = b""
        self._held.clear()
        self._held_bytes = 0
        self._resumed = True

    def _take(self, event: bytes) -> None:
        event_id, data = _fields(event)
        if data is None:
            return
        if _TERMINATOR in data.split(b"\n"):
            self.ended = True
            self._release(event)
            return
        self._check(data)
        if self._has_ids is None:
            self._has_ids = event_id is not None
        if not self._has_ids:
            self.events += 1
            self._release(event)
        elif event_id is None:
            self._held.append(event)
            self._held_bytes += len(event)
        elif not self._is_repeated(event_id):
            self.last_event_id = event_id
            self.events += 1
            self._release(event)

    def _release(self, event: bytes) -> None:
        for one in (*self._held, event):
            self._ready += (one, _BOUNDARY)
        self._held.clear()
        self._held_bytes = 0

    def _check(self, data: bytes) -> None:
        if data.startswith(_ERROR_MARK):
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the engine ended with an error")
        if not self._answer_id_mark:
            document = json_of(data)
            answer_id = document.get("id") if isinstance(document, dict) else None
            check_answer_id(answer_id, self._request_id)
            self._answer_id_mark = b'"id"' if answer_id is None else json.dumps(answer_id).encode()
        elif self._answer_id_mark not in data:
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED)
        if _USAGE_MARK in data and b"null" not in data[data.index(_USAGE_MARK) :][:14]:
            self._usage_data = data

    def _is_repeated(self, event_id: str) -> bool:
        """Return whether an event came before; numbers that skip some tell of a loss."""
        if not (event_id.isdecimal() and self.last_event_id.isdecimal()):
            return event_id == self.last_event_id
        step = int(event_id) - int(self.last_event_id)
        if step > 1 and self._resumed and self._contiguous:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "events are missing after a resume")
        self._contiguous = self._contiguous and step == 1
        return step <= 0


def _fields(event: bytes) -> tuple[str | None, bytes | None]:
    """Return an event's id and data, each None where the event has none."""
    event_id: str | None = None
    data: bytes | None = None
    for line in event.split(b"\n"):
        if line.startswith(b"data:"):
            data = line[5:].strip() if data is None else data + b"\n" + line[5:].strip()
        elif line.startswith(b"id:"):
            event_id = line[3:].strip()[:EVENT_ID_LIMIT_BYTES].decode("ascii", "replace")
    return event_id, data


def error_event(error: AzureturnError, request_id: str) -> bytes:
    """Return the event that ends a stream which could not be made whole."""
    body = {
        "error": {
            "message": error.message,
            "type": error.kind.value,
            "run_state": error.run_state.value,
            "request_id": request_id,
        }
    }
    return b"data: " + json.dumps(body).encode() + b"\n\n"
