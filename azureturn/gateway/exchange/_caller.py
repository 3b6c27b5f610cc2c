"""The caller's side of an exchange, on top of the HTTP library."""

import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from azureturn.errors import AzureturnError
from azureturn.gateway.exchange._room_reporter import RoomReporter
from azureturn.gateway.exchange._stream_room import StreamRoom
from azureturn.serving import BodyRoom, RequestEnd, has_disconnected, now_ms, read_whole_body

_MS_PER_S = 1_000
#: A large response is written in pieces of this size, so that its progress is known.
_WRITE_BYTES = 65_536


class CallerChannel:
    """Reads one request of a caller and writes the response to it; wraps the library's request."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self.method: str = request.method.decode("latin-1")
        #: Path and query, as received.
        self.target: str = request.uri.decode("latin-1")
        self.headers: tuple[tuple[str, str], ...] = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.inheaders.items()
        )
        #: Header values by lower-case name.
        self.header_values = {name.lower(): value for name, value in self.headers}
        #: Whether the head of the response has been sent.
        self.response_started = False
        self._stream_room: StreamRoom | None = None
        #: Whether the exchange answers the request, or a planned stop does.
        self.end: RequestEnd = request.end
        self.end.request_id = self.header_values.get("x-request-id", "")

    @property
    def arrived_at_ms(self) -> int:
        """Return when the request may have arrived, at the earliest; it may have waited unread."""
        age_s: float = self._request.conn.request_age_s
        return now_ms() - int(_MS_PER_S * age_s)

    def has_disconnected(self) -> bool:
        """Return whether the caller has closed the connection, or a planned stop has answered."""
        descriptor = self.socket.fileno()
        return self.end.is_ended_by_stop or descriptor < 0 or has_disconnected(descriptor)

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]

    @property
    def socket(self) -> socket.socket:
        """Return the socket of the caller's connection, to be watched for a disconnect."""
        connection: socket.socket = self._request.conn.socket
        return connection

    @property
    def has_body_up_to(self) -> int | None:
        """Return the stated length of the body; None if none is stated, or it is not valid."""
        if "transfer-encoding" in self.header_values:
            return None
        length = self.header_values.get("content-length", "0")
        return int(length) if length.isascii() and length.isdecimal() else None

    @property
    def reading_left_s(self) -> float | None:
        """Return how long the request may still take to arrive; None if that is not limited."""
        left_s: float | None = self._request.conn.rfile.left_s
        return left_s

    def set_time_limit(self, time_left_ms: int) -> None:
        """Set for how long the caller may read nothing of its answer, if that is unusually long."""
        self._request.conn.set_time_limit(time_left_ms)

    def stop_reading(self) -> None:
        """Let the reading of the body time out."""
        self._request.conn.rfile.stop()

    def reset(self) -> None:
        """Break the connection, so that a write that waits fails."""
        self._request.conn.set_resets_on_close(True)
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def read_body(self, limit_bytes: int, room: BodyRoom | None = None) -> bytes:
        """Return the whole body, of which no more is held than ``room`` allows.

        Raises :class:`AzureturnError` if the body is too large or the connection breaks.
        """
        content_length = self.header_values.get("content-length")
        try:
            return read_whole_body(
                self._request.rfile.read, content_length, limit_bytes=limit_bytes, room=room
            )
        except AzureturnError:
            # Without closing, the rest of the body would be parsed as the next request.
            self._request.close_connection = True
            raise

    def send_response(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        *,
        close: bool,
        on_progress: Callable[[int], None] | None = None,
    ) -> None:
        """Send a whole response with a Content-Length.

        Raises :class:`CallerConnectionError`, as all methods that write do, if the caller has left
        or does not read on.
        """
        # The exchange has room for the whole body.
        self._request.conn.wfile.room = None
        content_length = [("Content-Length", str(len(body)))]
        self._send_head(status, reason, [*headers, *content_length], close=close)
        if not body or self.method == "HEAD":
            return
        if on_progress is None or len(body) <= _WRITE_BYTES:
            self._request.write(body)
            return
        unsent = memoryview(body)
        while unsent:
            self._request.write(unsent[:_WRITE_BYTES])
            on_progress(len(unsent[:_WRITE_BYTES]))
            unsent = unsent[_WRITE_BYTES:]

    def start_stream(
        self, status: int, reason: str, headers: Iterable[tuple[str, str]], *, close: bool
    ) -> None:
        """Send the head of a chunked response; the HTTP library ends it with an empty chunk.

        What the caller does not read of the response needs room from here on.
        """
        services = self._request.server.services
        request_id = self.header_values.get("x-request-id", "")
        reporter = RoomReporter(services.log, services.metrics, request_id)
        self._stream_room = StreamRoom(services.pool.body_budget, reporter, self.reset)
        self._request.conn.wfile.room = self._stream_room
        self._send_head(status, reason, list(headers), close=close)

    def write(self, data: bytes) -> None:
        """Write a part of a streamed response."""
        if self._stream_room is None:
            self._request.write(data)
            return
        self._stream_room.part = data
        try:
            self._request.write(data)
        finally:
            self._stream_room.part = b""

    def _send_head(
        self, status: int, reason: str, headers: list[tuple[str, str]], *, close: bool
    ) -> None:
        request = self._request
        request.status = f"{status} {reason}".encode("latin-1")
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        request.close_connection = request.close_connection or close
        self.response_started = True
        request.sent_headers = True
        request.send_headers()
