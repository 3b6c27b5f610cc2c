"""The body of a streamed answer: blocks of events as they come, and one end for each stream."""

from collections.abc import Callable, Iterator

from azureturn.errors import AzureturnError, ErrorKind, UpstreamError
from azureturn.upstreams import StreamedAnswer, error_event


class StreamedBody:
    """An iterator that the HTTP server reads, and closes when the caller has left.

    ``on_end`` is called once: with None for a stream that was whole, else with the error. A
    stream that can't be made whole ends with an event that says so, never with a terminator.
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
        """End the stream; before its end that means that the caller has left."""
        self._finish(AzureturnError(ErrorKind.CALLER_GONE))

    def _finish(self, error: AzureturnError | None) -> None:
        if self._ended:
            return
        self._ended = True
        self._close()
        self._on_end(error)


def forwarded_headers(answer: StreamedAnswer) -> dict[str, str]:
    """Return the headers of another VM's answer that the caller gets."""
    return {name: value for name, value in answer.headers.items() if _is_passed(name.lower())}


def _is_passed(name: str) -> bool:
    ours = name.startswith("azureturn-")
    return ours or name in ("content-type", "x-request-id", "retry-after", "x-should-retry")
