"""One answer of a model engine over as many connections as it takes, dispatched once."""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from azureturn.errors import ErrorKind, UpstreamError, UpstreamUnreachableError
from azureturn.upstreams._client import StreamedAnswer, UpstreamClient, UpstreamRequest
from azureturn.upstreams._events import EventSplitter, Usage

#: Resumes in a row that may bring nothing, and resumes of one answer in all.
FRUITLESS_RESUME_LIMIT = 6
RESUME_LIMIT = 64
#: Pause after a resume that found no connection; it doubles each time.
RESUME_PAUSE_MS = 100
_MS_PER_S = 1_000

#: Failures of a connection; after any other failure a resume would not help.
_BROKEN_CONNECTION = frozenset(
    {ErrorKind.UPSTREAM_SILENT, ErrorKind.ANSWER_TRUNCATED, ErrorKind.UPSTREAM_UNREACHABLE}
)


@dataclass(frozen=True)
class ResumeCount:
    """How often an answer was resumed."""

    #: Since the last event.
    fruitless: int = 0
    total: int = 0

    def with_one_more(self) -> "ResumeCount":
        """Return a copy after one more resume."""
        return ResumeCount(self.fruitless + 1, self.total + 1)

    def with_progress(self) -> "ResumeCount":
        """Return a copy after an event has come."""
        return replace(self, fruitless=0)

    @property
    def used_up(self) -> bool:
        """Return whether there may be no further resume."""
        return self.fruitless >= FRUITLESS_RESUME_LIMIT or self.total >= RESUME_LIMIT


class ResumingStream:
    """Dispatches a request once, and asks for the rest wherever its stream breaks or goes silent.

    Each silence that a resume did not end doubles the next wait, so that an engine which is
    busy with a long prompt is not taken for a broken one. No resume begins after the deadline.

    >>> stream = ResumingStream(client, request, remaining_ms=remaining_ms)  # doctest: +SKIP
    >>> stream.open().status  # doctest: +SKIP
    200
    >>> b"".join(stream.blocks()).endswith(b"data: [DONE]\\n\\n")  # doctest: +SKIP
    True
    """

    def __init__(
        self,
        client: UpstreamClient,
        request: UpstreamRequest,
        *,
        remaining_ms: Callable[[], int],
        on_first_event: Callable[[], None] = lambda: None,
    ) -> None:
        self._client = client
        self._request = request
        self._remaining_ms = remaining_ms
        #: Called once, when the first event has come.
        self._on_first_event = on_first_event
        self._progressed = False
        self._splitter = EventSplitter(request.request_id)
        self._answer: StreamedAnswer | None = None
        self._aborted = False
        self._count = ResumeCount()

    @property
    def resumes(self) -> int:
        """Return how often the answer was resumed."""
        return self._count.total

    @property
    def usage(self) -> Usage:
        """Return what the engine says that the answer took."""
        return self._splitter.usage

    def open(self) -> StreamedAnswer:
        """Dispatch, and return the answer once its headers are here."""
        try:
            self._answer = self._client.send(self._request)
        except UpstreamUnreachableError:
            raise
        except UpstreamError as error:
            self._answer = self._resume(error)
        return self._answer

    def blocks(self) -> Iterator[bytes]:
        """Yield blocks of whole events up to the terminator, none of them twice."""
        try:
            while not self._splitter.ended:
                try:
                    yield from self._blocks_of_connection()
                except UpstreamError as error:
                    self.close()
                    self._answer = self._resume(error)
                    self._splitter.restart()
        finally:
            self.close()

    def limit_wait(self, timeout_ms: int) -> None:
        """Change the longest wait for the next byte of the present connection."""
        if self._answer is not None:
            self._answer.limit_wait(timeout_ms)

    def abort(self) -> None:
        """End the answer from another thread: nobody wants it any more."""
        self._aborted = True
        if self._answer is not None:
            self._answer.abort()

    def close(self) -> None:
        """Close the present connection."""
        if self._answer is not None:
            self._answer.close()

    def _blocks_of_connection(self) -> Iterator[bytes]:
        assert self._answer is not None
        for piece in self._answer.pieces():
            block = self._splitter.feed(piece)
            if block:
                self._note_progress()
                yield block
            if self._splitter.ended:
                return
        raise UpstreamError(ErrorKind.ANSWER_TRUNCATED)

    def _note_progress(self) -> None:
        if not self._progressed:
            self._progressed = True
            self._on_first_event()
        if self._count.fruitless:
            self._count = self._count.with_progress()
            assert self._answer is not None
            self._answer.limit_wait(self._wait_ms())

    def _wait_ms(self) -> int:
        wait_ms = self._request.read_timeout_ms << self._count.fruitless
        return max(1, min(wait_ms, self._remaining_ms()))

    def _resume(self, cause: UpstreamError) -> StreamedAnswer:
        """Return the rest of the answer, or raise ``cause`` where there is no way to it."""
        while self._may_resume(cause):
            self._count = self._count.with_one_more()
            request = replace(self._request, read_timeout_ms=self._wait_ms())
            try:
                answer = self._client.resume(request, last_event_id=self._splitter.last_event_id)
            except UpstreamError as error:
                if error.kind not in _BROKEN_CONNECTION:
                    raise
                self._pause()
                continue
            if answer.status == 200 and answer.is_event_stream:
                return answer
            answer.close()
            break
        raise cause

    def _may_resume(self, cause: UpstreamError) -> bool:
        if self._aborted or cause.kind not in _BROKEN_CONNECTION:
            return False
        return self._splitter.resumable and not self._count.used_up and self._remaining_ms() > 0

    def _pause(self) -> None:
        pause_ms = RESUME_PAUSE_MS << self._count.fruitless
        time.sleep(max(0, min(pause_ms, self._remaining_ms())) / _MS_PER_S)
