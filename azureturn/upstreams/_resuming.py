"""Streams one answer of a model engine; a stream that breaks is resumed on a new connection.

The request itself is sent only once.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from azureturn.errors import ErrorKind, UpstreamError, UpstreamUnreachableError
from azureturn.upstreams._client import StreamedAnswer, UpstreamClient, UpstreamRequest
from azureturn.upstreams._events import EventSplitter, Usage

#: Maximum number of resumes in a row without a new event, and of all resumes of one answer.
NO_PROGRESS_RESUME_LIMIT = 6
RESUME_LIMIT = 64
#: Delay after a failed resume; it doubles with each resume that brings no new event.
RESUME_DELAY_MS = 100
_MS_PER_S = 1_000

#: Failures of the connection; other failures cannot be remedied by a resume.
_CONNECTION_FAILURES = frozenset(
    {ErrorKind.UPSTREAM_SILENT, ErrorKind.ANSWER_TRUNCATED, ErrorKind.UPSTREAM_UNREACHABLE}
)


@dataclass(frozen=True)
class ResumeCount:
    """Counts the resumes of an answer."""

    #: Resumes since the last event.
    since_progress: int = 0
    total: int = 0

    def with_resume(self) -> "ResumeCount":
        """Return a copy with one more resume."""
        return ResumeCount(self.since_progress + 1, self.total + 1)

    def with_progress(self) -> "ResumeCount":
        """Return a copy in which no resume has been made since the last event."""
        return replace(self, since_progress=0)

    @property
    def exhausted(self) -> bool:
        """Return whether a limit has been reached."""
        return self.since_progress >= NO_PROGRESS_RESUME_LIMIT or self.total >= RESUME_LIMIT


class ResumingStream:
    """Dispatches a request once, and resumes the answer's stream when it breaks or times out.

    The read timeout doubles with each resume that brings no event, so that an engine busy with a
    long prompt is not mistaken for a failed one. No resume begins after the deadline. A stream that
    cannot be resumed, since its events have no ids, is awaited until the deadline.

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
        #: Called once, after the first event.
        self._on_first_event = on_first_event
        self._has_first_event = False
        self._splitter = EventSplitter(request.request_id)
        self._answer: StreamedAnswer | None = None
        self._aborted = False
        self._resume_count = ResumeCount()

    @property
    def resumes(self) -> int:
        """Return how often the answer was resumed."""
        return self._resume_count.total

    @property
    def usage(self) -> Usage:
        """Return the usage reported by the engine."""
        return self._splitter.usage

    def open(self) -> StreamedAnswer:
        """Dispatch the request, and return the answer after receiving its headers."""
        try:
            self._answer = self._client.send(self._request)
        except UpstreamUnreachableError:
            raise
        except UpstreamError as error:
            self._answer = self._resume(error)
        return self._answer

    def blocks(self) -> Iterator[bytes]:
        """Yield blocks of complete events up to the terminator, each event once."""
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

    def set_read_timeout(self, timeout_ms: int) -> None:
        """Change the maximum time to wait for the next byte on the current connection."""
        if self._answer is not None:
            self._answer.set_read_timeout(timeout_ms)

    def abort(self) -> None:
        """Abort the answer from another thread, without further resumes."""
        self._aborted = True
        if self._answer is not None:
            self._answer.abort()

    def close(self) -> None:
        """Close the current connection."""
        if self._answer is not None:
            self._answer.close()

    def _blocks_of_connection(self) -> Iterator[bytes]:
        assert self._answer is not None
        for piece in self._answer.iter_body():
            block = self._splitter.feed(piece)
            if block:
                self._note_progress()
                yield block
            if self._splitter.ended:
                return
        raise UpstreamError(ErrorKind.ANSWER_TRUNCATED)

    def _note_progress(self) -> None:
        if not self._has_first_event:
            self._has_first_event = True
            self._on_first_event()
        if self._resume_count.since_progress or not self._splitter.resumable:
            self._resume_count = self._resume_count.with_progress()
            assert self._answer is not None
            self._answer.set_read_timeout(self._read_timeout_ms())

    def _read_timeout_ms(self) -> int:
        if not self._splitter.resumable:
            # The rest of the answer can only come on this connection.
            return max(self._request.read_timeout_ms, self._remaining_ms())
        read_timeout_ms = self._request.read_timeout_ms << self._resume_count.since_progress
        return max(1, min(read_timeout_ms, self._remaining_ms()))

    def _resume(self, cause: UpstreamError) -> StreamedAnswer:
        """Return the rest of the answer, or raise ``cause`` if it cannot be resumed."""
        while self._may_resume(cause):
            self._resume_count = self._resume_count.with_resume()
            request = replace(self._request, read_timeout_ms=self._read_timeout_ms())
            try:
                answer = self._client.resume(request, last_event_id=self._splitter.last_event_id)
            except UpstreamError as error:
                if error.kind not in _CONNECTION_FAILURES:
                    raise
                self._sleep_before_retry()
                continue
            if answer.status == 200 and answer.is_event_stream:
                return answer
            answer.close()
            break
        raise cause

    def _may_resume(self, cause: UpstreamError) -> bool:
        if self._aborted or cause.kind not in _CONNECTION_FAILURES:
            return False
        return (
            self._splitter.resumable
            and not self._resume_count.exhausted
            and self._remaining_ms() > 0
        )

    def _sleep_before_retry(self) -> None:
        delay_ms = RESUME_DELAY_MS << self._resume_count.since_progress
        time.sleep(max(0, min(delay_ms, self._remaining_ms())) / _MS_PER_S)
