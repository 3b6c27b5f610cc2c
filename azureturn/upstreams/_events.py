"""Parses a model engine's stream of server-sent events: splits it and checks its completeness."""

import json
import re
from dataclasses import dataclass
from typing import Any

from azureturn.errors import AzureturnError, ErrorKind, UpstreamError

#: Maximum size of one event, and of all events buffered until the next event id.
EVENT_LIMIT_BYTES = 1 << 20
#: Maximum length of the event id that is stored and sent when a stream is resumed.
EVENT_ID_LIMIT_BYTES = 128

_BOUNDARY = b"\n\n"
_TERMINATOR = b"[DONE]"
_ERROR_PREFIX = b'{"error"'
_USAGE_KEY = b'"usage"'
_REQUEST_ID_SUFFIX = re.compile(r"[0-9a-f]{20}$")


@dataclass(frozen=True)
class Usage:
    """Token counts of an answer as reported by the engine."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0

    @classmethod
    def from_json(cls, usage: Any) -> "Usage":
        """Return the usage in an answer's ``usage`` object; missing counts are read as 0."""
        if not isinstance(usage, dict):
            return cls()
        details = usage.get("prompt_tokens_details")
        cached_tokens = details.get("cached_tokens", 0) if isinstance(details, dict) else 0
        return cls(
            prompt_tokens=_count_or_zero(usage.get("prompt_tokens")),
            cached_tokens=_count_or_zero(cached_tokens),
            output_tokens=_count_or_zero(usage.get("completion_tokens")),
        )


def _count_or_zero(value: object) -> int:
    return value if isinstance(value, int) and 0 <= value < 1 << 40 else 0


def parse_json_or_none(data: bytes) -> Any:
    """Return the JSON value in ``data``, or None if it is not valid JSON."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return None


def parse_usage(body: bytes) -> Usage:
    """Return the usage in the JSON body of an answer or in the data of an event."""
    document = parse_json_or_none(body)
    return Usage.from_json(document.get("usage") if isinstance(document, dict) else None)


def check_answer_id(answer_id: object, request_id: str) -> None:
    """Raise with kind ``answer_mismatched`` if an answer's id belongs to another request.

    Engines that receive a request id build the answer's id from it. An id that ends with the
    random part of an azureturn request id, but not with this request's id, belongs to another
    request. Ids that an engine chose itself prove nothing and are accepted.
    """
    if not isinstance(answer_id, str) or answer_id.endswith(request_id):
        return
    if _REQUEST_ID_SUFFIX.search(answer_id):
        raise UpstreamError(ErrorKind.ANSWER_MISMATCHED)


class EventSplitter:
    """Splits a stream into complete events and returns each of them once.

    Partial events are buffered, so that an interrupted stream can be resumed after the last event
    that was returned. If events carry ids, events without an id are also buffered until the next
    event that has an id, because a stream can only be resumed after an id.

    >>> splitter = EventSplitter("vm-1-0")
    >>> splitter.feed(b'id: 1\\ndata: {"id": "a"}\\n\\nid: 2\\nda')
    b'id: 1\\ndata: {"id": "a"}\\n\\n'
    >>> splitter.last_event_id
    '1'
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        #: The bytes received after the last complete event.
        self._pending = b""
        #: Complete events that the current call of :meth:`feed` returns.
        self._ready: list[bytes] = []
        #: Complete events without an id that wait for the next event with an id.
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._encoded_answer_id = b""
        self._usage_data = b""
        #: Whether events carry ids; determined by the first event.
        self._has_ids: bool | None = None
        #: Whether numeric event ids have been consecutive so far.
        self._has_consecutive_ids = True
        self._resumed = False
        self.last_event_id = ""
        self.ended = False
        #: Number of data events returned, without the terminator.
        self.event_count = 0

    @property
    def resumable(self) -> bool:
        """Return whether the rest of the stream can be requested without repeating any event."""
        return self.event_count == 0 or bool(self._has_ids)

    @property
    def usage(self) -> Usage:
        """Return the reported usage, or else the number of events as the output tokens."""
        if self._usage_data:
            return parse_usage(self._usage_data)
        return Usage(output_tokens=self.event_count)

    def feed(self, piece: bytes) -> bytes:
        """Return the events that ``piece`` completes, joined into one block."""
        pending = self._pending + piece
        if b"\r" in pending:
            pending = pending.replace(b"\r\n", b"\n")
        *events, self._pending = pending.split(_BOUNDARY)
        if len(self._pending) + self._buffered_bytes > EVENT_LIMIT_BYTES:
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "an event exceeds the limit")
        for event in events:
            if self.ended:
                break
            self._process_event(event.lstrip(b"\n"))
        block = b"".join(self._ready)
        self._ready.clear()
        return block

    def restart(self) -> None:
        """Discard buffered events before a resume; the resumed stream repeats them."""
        self._pending = b""
        self._buffered.clear()
        self._buffered_bytes = 0
        self._resumed = True

    def _process_event(self, event: bytes) -> None:
        event_id, data = _parse_fields(event)
        if data is None:
            return
        if _TERMINATOR in data.split(b"\n"):
            self.ended = True
            self._emit(event)
            return
        self._check_data(data)
        if self._has_ids is None:
            self._has_ids = event_id is not None
        if not self._has_ids:
            self.event_count += 1
            self._emit(event)
        elif event_id is None:
            self._buffered.append(event)
            self._buffered_bytes += len(event)
        elif not self._is_repeated(event_id):
            self.last_event_id = event_id
            self.event_count += 1
            self._emit(event)

    def _emit(self, event: bytes) -> None:
        for complete_event in (*self._buffered, event):
            self._ready += (complete_event, _BOUNDARY)
        self._buffered.clear()
        self._buffered_bytes = 0

    def _check_data(self, data: bytes) -> None:
        if data.startswith(_ERROR_PREFIX):
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "the engine sent an error event")
        if not self._encoded_answer_id:
            document = parse_json_or_none(data)
            answer_id = document.get("id") if isinstance(document, dict) else None
            check_answer_id(answer_id, self._request_id)
            self._encoded_answer_id = (
                b'"id"' if answer_id is None else json.dumps(answer_id).encode()
            )
        elif self._encoded_answer_id not in data:
            raise UpstreamError(ErrorKind.ANSWER_MISMATCHED)
        if _USAGE_KEY in data and b"null" not in data[data.index(_USAGE_KEY) :][:14]:
            self._usage_data = data

    def _is_repeated(self, event_id: str) -> bool:
        """Return whether the event with this id was returned before.

        Raise if numeric ids were consecutive so far and skip a number after a resume, which means
        that events were lost.
        """
        if not (event_id.isdecimal() and self.last_event_id.isdecimal()):
            return event_id == self.last_event_id
        step = int(event_id) - int(self.last_event_id)
        if step > 1 and self._resumed and self._has_consecutive_ids:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "events are missing after a resume")
        self._has_consecutive_ids = self._has_consecutive_ids and step == 1
        return step <= 0


def _parse_fields(event: bytes) -> tuple[str | None, bytes | None]:
    """Return an event's id and data, each None if the event has none."""
    event_id: str | None = None
    data: bytes | None = None
    for line in event.split(b"\n"):
        if line.startswith(b"data:"):
            data = line[5:].strip() if data is None else data + b"\n" + line[5:].strip()
        elif line.startswith(b"id:"):
            event_id = line[3:].strip()[:EVENT_ID_LIMIT_BYTES].decode("ascii", "replace")
    return event_id, data


def error_event(error: AzureturnError, request_id: str) -> bytes:
    """Return the error event that ends a stream which could not be completed."""
    body = {
        "error": {
            "message": error.message,
            "type": error.kind.value,
            "run_state": error.run_state.value,
            "request_id": request_id,
        }
    }
    return b"data: " + json.dumps(body).encode() + b"\n\n"
