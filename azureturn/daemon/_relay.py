"""Relays the body of a streamed answer and reports the end of the stream exactly once."""

from collections.abc import Callable, Iterator

from azureturn.errors import AzureturnError, ErrorKind, UpstreamError
from azureturn.upstreams import EVENT_LIMIT_BYTES, StreamedAnswer, error_event

_EVENT_END = b"\n\n"


class StreamedBody:
    """Iterator over the body; the HTTP server reads it, or closes it if the caller disconnects.

    ``on_end`` is called exactly once: with None if the stream was complete, otherwise with the
    error. A stream that cannot be completed ends with an error event instead of the terminator.
    """

    def __init__(
        self,
        blocks: Iterator[bytes],
        request_id: str,
        *,
        close: Callable[[], None],
        on_end: Callable[[AzureturnError | None], None],
    ) -> None:
        self._blocks = blocks
        self._request_id = request_id
        self._close = close
        self._on_end = on_end
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._ended:
            raise StopIteration
        try:
            return next(self._blocks)
        except StopIteration:
            self._finish(None)
            raise
        except UpstreamError as error:
            self._finish(error)
            return error_event(error, self._request_id)
        except Exception:
            self._finish(AzureturnError(ErrorKind.INTERNAL))
            raise

    def close(self) -> None:
        """Close the stream; if it has not ended, report that the caller disconnected."""
        self._finish(AzureturnError(ErrorKind.CALLER_GONE))

    def _finish(self, error: AzureturnError | None) -> None:
        if self._ended:
            return
        self._ended = True
        self._close()
        self._on_end(error)


def whole_events(parts: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the events of a stream in blocks of whole events.

    Raises :class:`UpstreamError` if the stream ends inside an event.

    >>> list(whole_events(iter([b"data: a\\n", b"\\ndata: b\\n\\nda", b"ta: c\\n\\n"])))
    [b'data: a\\n\\ndata: b\\n\\n', b'data: c\\n\\n']
    """
    pending = b""
    for part in parts:
        *events, pending = (pending + part).split(_EVENT_END)
        if len(pending) > EVENT_LIMIT_BYTES:
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, "an event exceeds the limit")
        if events:
            yield b"".join(event + _EVENT_END for event in events)
    if pending:
        raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "the stream ended inside an event")


def relayed_headers(answer: StreamedAnswer) -> dict[str, str]:
    """Return those headers of another VM's answer that are passed on to the caller."""
    return {
        name: value for name, value in answer.headers.items() if _is_relayed_header(name.lower())
    }


def _is_relayed_header(name: str) -> bool:
    is_azureturn_header = name.startswith("azureturn-")
    return is_azureturn_header or name in (
        "content-type",
        "x-request-id",
        "retry-after",
        "x-should-retry",
    )
