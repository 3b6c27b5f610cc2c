"""Relaying a model engine's event stream: what is looked at and what is passed on unchanged."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from azureturn.errors import AzureturnError, ErrorKind, UpstreamError

_TERMINATOR = b"data: [DONE]"
_EVENT_MARK = b"data: "
#: Room for the last events, which hold the usage and the terminator.
_TAIL_BYTES = 4_096


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
    return value if isinstance(value, int) and value >= 0 else 0


def usage_of_whole(body: bytes) -> Usage:
    """Return the usage in a whole answer's body."""
    try:
        document = json.loads(body)
    except ValueError:
        return Usage()
    return Usage.from_json(document.get("usage") if isinstance(document, dict) else None)


class EventRelay:
    """Passes pieces on and knows, at the end, whether the stream was whole.

    >>> relay = EventRelay()
    >>> list(relay.relay([b"data: {}\\n\\n", b"data: [DONE]\\n\\n"]))
    [b'data: {}\\n\\n', b'data: [DONE]\\n\\n']
    >>> relay.events
    1
    """

    def __init__(self) -> None:
        self._tail = b""
        self._marks = 0

    @property
    def whole(self) -> bool:
        """Return whether the terminator has come."""
        return self._tail.rstrip().endswith(_TERMINATOR)

    @property
    def events(self) -> int:
        """Return the number of events so far, the terminator not counted."""
        return self._marks - int(self.whole)

    @property
    def usage(self) -> Usage:
        """Return the usage that the last events hold."""
        for line in reversed(self._tail.split(b"\n")):
            if line.startswith(_EVENT_MARK) and b'"usage"' in line:
                return usage_of_whole(line.removeprefix(_EVENT_MARK))
        return Usage(output_tokens=self.events)

    def relay(self, pieces: Iterator[bytes] | list[bytes]) -> Iterator[bytes]:
        """Yield every piece; raise with kind ``answer_truncated`` if no terminator came."""
        for piece in pieces:
            self._marks += piece.count(_EVENT_MARK)
            self._tail = (self._tail + piece)[-_TAIL_BYTES:]
            yield piece
        if not self.whole:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED)


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
