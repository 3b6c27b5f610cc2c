"""Connections to upstreams: one request at a time on each, kept while they are sound."""

import select
import socket
import threading
from collections import deque
from contextlib import suppress

import h11

from azureturn.errors import ErrorKind, UpstreamError, UpstreamUnreachableError
from azureturn.serving import now_ms
from azureturn.store import SOCKET_OPTIONS

_MS_PER_S = 1_000
_READ_BYTES = 65_536
#: Idle connections kept to one upstream.
_IDLE_LIMIT = 6
#: A kept connection is not used again after this long idle.
_IDLE_LIMIT_MS = 1_500
#: For what may not be repeated: an upstream that closes while it is idle must not be met.
_SURE_IDLE_LIMIT_MS = 400
_HEADER_LIMIT_BYTES = 65_536
#: Longest wait for a new connection.
CONNECT_TIMEOUT_MS = 150


class UpstreamConnection:
    """One connection, whose framing the library checks."""

    def __init__(self, connected: socket.socket) -> None:
        self._socket = connected
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEADER_LIMIT_BYTES)
        self._sent: h11.Request | None = None
        self.idle_since_ms = 0
        self._aborted = False

    @classmethod
    def open(cls, host: str, port: int, *, timeout_ms: int) -> "UpstreamConnection":
        """Return a new connection; :class:`UpstreamUnreachableError` where there is none."""
        try:
            connected = socket.create_connection((host, port), timeout=timeout_ms / _MS_PER_S)
            for level, name, value in SOCKET_OPTIONS:
                connected.setsockopt(level, name, value)
        except OSError as error:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            raise UpstreamUnreachableError(kind, type(error).__name__) from error
        return cls(connected)

    def send(self, request: h11.Request, body: bytes, *, timeout_ms: int) -> None:
        """Send a whole request; the answer may have begun to come before it is sent."""
        if self._sent is not None:
            self._http.start_next_cycle()
        self._sent = request
        data = self._framed(request, body)
        self._socket.settimeout(max(1, timeout_ms) / _MS_PER_S)
        try:
            self._socket.sendall(data)
        except OSError as error:
            if not self._answer_waits():
                raise _broken(error) from error

    def skip_answer(self) -> None:
        """Go on to the next answer after one that belongs to another request."""
        assert self._sent is not None
        self._http.start_next_cycle()
        # The library pairs answers with requests; the request has been sent already.
        self._framed(self._sent, b"", only_head=True)

    def next_event(self, *, timeout_ms: int) -> object:
        """Return the library's next event; ``TimeoutError`` where none comes in time."""
        ends_at_ms = now_ms() + timeout_ms
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                left_ms = ends_at_ms - now_ms()
                if left_ms <= 0:
                    raise TimeoutError
                self._socket.settimeout(left_ms / _MS_PER_S)
                self._http.receive_data(self._socket.recv(_READ_BYTES))
        except TimeoutError:
            raise
        except OSError as error:
            raise _broken(error) from error
        except h11.RemoteProtocolError as error:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "not an answer in HTTP") from error
        if isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "closed before the answer")
        return event

    def abort(self) -> None:
        """Wake the thread that waits here; it finds the connection closed."""
        self._aborted = True
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; the upstream sees that nobody waits."""
        with suppress(OSError):
            self._socket.close()

    def is_reusable(self) -> bool:
        """Return whether the last exchange ended so that another may follow."""
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        return done and not self._aborted and not self._http.trailing_data[0]

    def is_quiet(self) -> bool:
        """Return whether the other side neither closed nor sent anything while it was idle."""
        poller = select.poll()
        poller.register(self._socket, select.POLLIN | select.POLLHUP | select.POLLERR)
        return not poller.poll(0)

    def _framed(self, request: h11.Request, body: bytes, *, only_head: bool = False) -> bytes:
        data = self._http.send(request) or b""
        if only_head:
            length = dict(request.headers).get(b"content-length", b"0")
            self._http.send(h11.Data(data=bytes(int(length)))) if int(length) else None
        elif body:
            data += self._http.send(h11.Data(data=body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    def _answer_waits(self) -> bool:
        """Return whether an answer came although the request could not be sent whole."""
        try:
            self._socket.settimeout(0.0)
            data = self._socket.recv(_READ_BYTES)
        except OSError:
            return False
        if data:
            self._http.receive_data(data)
        return bool(data)


class ConnectionPool:
    """Kept connections by upstream run."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int, str, int], deque[UpstreamConnection]] = {}
        self._lock = threading.Lock()

    def take(self, key: tuple[str, int, str, int], *, sure: bool) -> UpstreamConnection | None:
        """Return a sound kept connection, or None where there is none."""
        limit_ms = _SURE_IDLE_LIMIT_MS if sure else _IDLE_LIMIT_MS
        while True:
            with self._lock:
                kept = self._idle.get(key)
                if not kept:
                    return None
                connection = kept.pop()
            if now_ms() - connection.idle_since_ms <= limit_ms and connection.is_quiet():
                return connection
            connection.close()

    def keep(self, key: tuple[str, int, str, int], connection: UpstreamConnection) -> None:
        """Keep a connection whose exchange has ended."""
        if not connection.is_reusable():
            connection.close()
            return
        connection.idle_since_ms = now_ms()
        with self._lock:
            kept = self._idle.setdefault(key, deque())
            kept.append(connection)
            dropped = kept.popleft() if len(kept) > _IDLE_LIMIT else None
        if dropped is not None:
            dropped.close()

    def close_idle(self) -> None:
        """Close what was idle for too long, and forget upstreams that nothing is kept of."""
        oldest_ms = now_ms() - _IDLE_LIMIT_MS
        closed: list[UpstreamConnection] = []
        with self._lock:
            for key, kept in list(self._idle.items()):
                while kept and kept[0].idle_since_ms < oldest_ms:
                    closed.append(kept.popleft())
                if not kept:
                    del self._idle[key]
        for connection in closed:
            connection.close()


def _broken(error: OSError) -> UpstreamError:
    return UpstreamError(ErrorKind.ANSWER_TRUNCATED, type(error).__name__)
