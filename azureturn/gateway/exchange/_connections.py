"""Connections to upstreams, one request at a time on each, and the pool that reuses them."""

import select
import socket
import threading
from collections import deque
from contextlib import suppress
from dataclasses import dataclass

import h11

from azureturn._socket_errors import is_connection_lost
from azureturn._socket_options import RESET_AT_CLOSE
from azureturn._strict_http import StrictConnection
from azureturn.errors import ErrorKind, UpstreamError
from azureturn.gateway.exchange._body_budget import BodyBudget
from azureturn.gateway.relay import DirectBytes, UpstreamBytes
from azureturn.gateway.site import UpstreamRun
from azureturn.serving import now_ms
from azureturn.tasks import receive, send_all

_MS_PER_S = 1_000
_READ_BYTES = 65_536
#: Idle connections kept for one run of an upstream, that is, between a start of it and its end.
_MAX_IDLE_CONNECTIONS = 6
#: A connection that has been idle for longer than this is not reused.
_MAX_IDLE_MS = 1_500
#: The same for a request that must not be sent twice. It is shorter, because such a request fails
#: if the upstream closes the idle connection just as the request is sent.
_MAX_IDLE_UNREPEATABLE_MS = 400
_HEADER_LIMIT_BYTES = 65_536
#: Largest body that is sent in one system call with its head.
_MAX_JOINED_BYTES = 65_536
#: States of the upstream's side in which no response is awaited.
_NOTHING_AWAITED = (h11.IDLE, h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
#: Timeout for opening a connection.
CONNECT_TIMEOUT_MS = 150


class UpstreamConnection:
    """One HTTP/1.1 connection to an upstream; h11 validates the framing.

    ``upstream_bytes`` finds the upstream's bytes in what is received; by default they are all that
    is received.
    """

    def __init__(
        self, connection_socket: socket.socket, upstream_bytes: UpstreamBytes | None = None
    ) -> None:
        connection_socket.setblocking(False)
        self._socket = connection_socket
        self._upstream_bytes = upstream_bytes or DirectBytes()
        self._http = StrictConnection(max_head_bytes=_HEADER_LIMIT_BYTES)
        self._last_request: h11.Request | None = None
        #: Whether part of the last request has not been sent. h11 does not know.
        self._has_unsent_bytes = False
        self.idle_since_ms = 0
        self._aborted = False
        #: Whether a send has found that the connection was reset or timed out.
        self._is_lost = False

    def send(self, request: h11.Request, body: bytes, *, timeout_ms: int) -> None:
        """Send a whole request.

        If the upstream stops reading but has already responded, this is not an error, but no other
        request can follow: the upstream would take its bytes for the rest of this one.
        """
        if self._last_request is not None:
            self._http.start_next_cycle()
        self._last_request = request
        deadline_ms = now_ms() + timeout_ms
        # A large body is not copied behind the head.
        is_large = len(body) > _MAX_JOINED_BYTES
        data = self._serialise(request, body, omits_body=is_large)
        self._has_unsent_bytes = True
        try:
            send_all(self._socket, data, max(1, timeout_ms) / _MS_PER_S)
            if is_large:
                send_all(self._socket, body, max(1, deadline_ms - now_ms()) / _MS_PER_S)
            self._has_unsent_bytes = False
        except OSError as error:
            self._is_lost = is_connection_lost(error)
            if not self._receive_early_response():
                raise _connection_broken(error) from error

    def expect_another_response(self) -> None:
        """Prepare to read a further response, since the last one belonged to another request."""
        assert self._last_request is not None
        self._http.start_next_cycle()
        # h11 expects one request for each response, so the last request is serialised again to
        # advance h11's state machine. The bytes are discarded: the request has been sent already.
        self._serialise(self._last_request, b"", placeholder_body=True)

    def next_event(self, *, timeout_ms: int) -> object:
        """Return the next h11 event; raises ``TimeoutError`` if none arrives in time."""
        deadline_ms = now_ms() + timeout_ms
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                remaining_ms = deadline_ms - now_ms()
                if remaining_ms <= 0:
                    raise TimeoutError
                self._receive(remaining_ms / _MS_PER_S)
        except OSError as error:
            if isinstance(error, TimeoutError) and not is_connection_lost(error):
                raise
            raise _connection_broken(error) from error
        except h11.RemoteProtocolError as error:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "not a valid HTTP response") from error
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise UpstreamError(
                ErrorKind.ANSWER_TRUNCATED, "connection closed before the response was complete"
            )
        return event

    def abort(self) -> None:
        """Shut the connection down, so that a read that waits in another task fails."""
        self._aborted = True
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection, which tells the upstream that its response is not awaited.

        If the request or the response is not complete, the connection is reset. A request that was
        held up on its way would otherwise still arrive, long after it was given up.
        """
        with suppress(OSError):
            if self._has_unsent_bytes or self._http.their_state not in _NOTHING_AWAITED:
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            self._socket.close()

    def is_reusable(self) -> bool:
        """Return whether another request may be sent.

        The last one must have been sent and its response received, both as a whole.
        """
        is_complete = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        has_more = self._http.trailing_data[0] or not self._upstream_bytes.is_between_parts
        return is_complete and not (self._aborted or self._has_unsent_bytes or has_more)

    def is_still_idle(self) -> bool:
        """Return whether the upstream has neither closed the connection nor sent data on it."""
        if self._upstream_bytes.has_ended:
            return False
        poller = select.poll()
        poller.register(self._socket, select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poller.poll(0)

    def _serialise(
        self,
        request: h11.Request,
        body: bytes,
        *,
        placeholder_body: bool = False,
        omits_body: bool = False,
    ) -> bytes:
        """Return the bytes of a request; a body that is omitted follows them."""
        data = self._http.send(request) or b""
        if placeholder_body:
            length = dict(request.headers).get(b"content-length", b"0")
            self._http.send(h11.Data(data=bytes(int(length)))) if int(length) else None
        elif body:
            sent_body = self._http.send(h11.Data(data=body)) or b""
            data += b"" if omits_body else sent_body
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    def _receive(self, timeout_s: float) -> None:
        """Pass received bytes of the upstream to h11, or the end of its connection.

        Without any, nothing is passed: h11 takes an empty part for the end.
        """
        if self._upstream_bytes.has_ended:
            self._http.receive_data(b"")
            return
        data = receive(self._socket, _READ_BYTES, timeout_s)
        # Only the upstream's close may end a body that has neither a length nor chunks.
        if not data and self._aborted:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "connection aborted")
        if not data and self._is_lost:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "connection lost during the request")
        part = self._upstream_bytes.feed(data)
        if part or self._upstream_bytes.has_ended:
            self._http.receive_data(part)

    def _receive_early_response(self) -> bool:
        """Receive data after a failed send, and return whether there was any.

        An upstream may respond before it has read the whole request. The data is passed to h11.
        """
        try:
            data = self._upstream_bytes.feed(self._socket.recv(_READ_BYTES))
        except OSError:
            return False
        if data:
            self._http.receive_data(data)
        return bool(data)


@dataclass(frozen=True)
class PoolKey:
    """What connections that may stand for each other have in common."""

    run: UpstreamRun
    host: str
    port: int
    #: Host of the peer that relays the connections; empty if they are direct.
    relay_host: str


class ConnectionPool:
    """Idle connections."""

    def __init__(self, body_budget: BodyBudget | None = None) -> None:
        #: Memory for the bodies that are buffered, of all callers and upstreams.
        self.body_budget = body_budget or BodyBudget.for_memory(None)
        self._idle: dict[PoolKey, deque[UpstreamConnection]] = {}
        self._lock = threading.Lock()

    def acquire(self, key: PoolKey, *, unrepeatable: bool) -> UpstreamConnection | None:
        """Return a reusable idle connection, or None if there is none."""
        max_idle_ms = _MAX_IDLE_UNREPEATABLE_MS if unrepeatable else _MAX_IDLE_MS
        while True:
            with self._lock:
                idle = self._idle.get(key)
                if not idle:
                    return None
                connection = idle.pop()
            if now_ms() - connection.idle_since_ms <= max_idle_ms and connection.is_still_idle():
                return connection
            connection.close()

    def release(self, key: PoolKey, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.is_reusable():
            connection.close()
            return
        connection.idle_since_ms = now_ms()
        with self._lock:
            idle = self._idle.setdefault(key, deque())
            idle.append(connection)
            evicted = idle.popleft() if len(idle) > _MAX_IDLE_CONNECTIONS else None
        if evicted is not None:
            evicted.close()

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        oldest_ms = now_ms() - _MAX_IDLE_MS
        expired: list[UpstreamConnection] = []
        with self._lock:
            for key, idle in list(self._idle.items()):
                while idle and idle[0].idle_since_ms < oldest_ms:
                    expired.append(idle.popleft())
                if not idle:
                    del self._idle[key]
        for connection in expired:
            connection.close()


def _connection_broken(error: OSError) -> UpstreamError:
    return UpstreamError(ErrorKind.ANSWER_TRUNCATED, type(error).__name__)
