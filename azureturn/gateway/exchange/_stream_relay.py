"""Relays a stream to its caller: only whole events, in order, each of them once."""

from collections.abc import Callable

from azureturn.errors import ErrorKind, UpstreamError
from azureturn.gateway.exchange._framing import BodyFraming
from azureturn.gateway.exchange._response_progress import ResponseProgress
from azureturn.gateway.exchange._sse_events import SseEvent, SseEventSplitter
from azureturn.serving import now_ms


class StreamRelay:
    """Relays the stream of one request over all of its attempts.

    Each attempt begins with :meth:`begin_attempt`. Received data is passed to :meth:`feed`, and
    :meth:`finish` is called when the body has ended.

    >>> relay = StreamRelay(None)
    >>> relay.begin_attempt(ResponseProgress(), print)
    >>> relay.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> relay.last_event_number
    1
    """

    _splitter: SseEventSplitter
    _progress: ResponseProgress
    _write: Callable[[bytes], None]

    def __init__(self, last_event_number: int | None) -> None:
        #: Number of the last event that the caller has; None if it has none.
        self.last_event_number = last_event_number
        #: Whether another attempt can go on after the last event; not after an event without a
        #: number, since its position cannot be named.
        self.is_resumable = True

    def begin_attempt(self, progress: ResponseProgress, write: Callable[[bytes], None]) -> None:
        """Begin with an attempt's response; whole events are passed to ``write``."""
        self._splitter = SseEventSplitter()
        self._progress = progress
        self._write = write

    def feed(self, data: bytes) -> None:
        """Relay the events that ``data`` completes.

        Raises :class:`UpstreamError` if an event is not the successor of the one before it, after
        relaying the events before it.
        """
        try:
            events = self._splitter.feed(data)
        except ValueError as error:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, str(error)) from error
        self._progress.partial_event_bytes = len(self._splitter.remainder)
        in_order = 0
        try:
            for event in events:
                self._check_order(event.number)
                in_order += 1
        finally:
            del events[in_order:]
            self._relay(events)

    def finish(self) -> None:
        """Relay what follows the last event.

        Raises :class:`UpstreamError` if the stream was broken off. Without a length and chunks, a
        body ends whenever its connection is closed.
        """
        if self._splitter.is_inside_event:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "stream ended inside an event")
        is_unframed = self._progress.framing is BodyFraming.CONNECTION_CLOSE
        if is_unframed and not self._progress.event_count:
            raise UpstreamError(
                ErrorKind.ANSWER_TRUNCATED, "connection closed before the first event"
            )
        self._write(self._splitter.remainder)

    def _check_order(self, number: int | None) -> None:
        """Raise :class:`UpstreamError` unless ``number`` is the successor of the last event's."""
        if number is None:
            return
        last = self.last_event_number
        if last is not None and number != last + 1:
            raise UpstreamError(
                ErrorKind.ANSWER_MISMATCHED, f"event number {number} received after {last}"
            )
        self.last_event_number = number

    def _relay(self, events: list[SseEvent]) -> None:
        """Pass on events, and drop them before the caller takes them, which may be much later."""
        if not events:
            return
        if any(event.number is None for event in events):
            self.is_resumable = False
        self._progress.record(len(events), now_ms())
        data = b"".join(event.data for event in events)
        events.clear()
        self._write(data)
