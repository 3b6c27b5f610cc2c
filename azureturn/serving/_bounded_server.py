"""HTTP server for callers, with limits on size and time, and azureturn's own error answers."""

import socket
import threading
import time
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from queue import Empty, SimpleQueue
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest, SizeCheckWrapper
from cheroot.wsgi import Server

from azureturn._socket_options import (
    ORDERLY_CLOSE,
    RESET_AT_CLOSE,
    SMALL_BUFFER_OPTIONS,
    keep_alive_options,
)
from azureturn.errors import (
    DEFAULT_RETRY_AFTER_MS,
    ERROR_RESPONSES,
    STOPPING_RETRY_AFTER_MS,
    AzureturnError,
    ErrorKind,
    RefusedError,
    RunState,
    UpstreamError,
)
from azureturn.serving._caller_io import (
    UNREAD_TIMEOUT_S,
    CallerConnectionError,
    CallerReader,
    CallerWriter,
)
from azureturn.serving._caller_watch import has_disconnected
from azureturn.serving._connection_memory import (
    DEFAULT_LIMIT_BYTES,
    ConnectionMemory,
    HeadLines,
    HeadMemory,
    HeadRefusedError,
)
from azureturn.serving._loop_connections import LoopConnections
from azureturn.serving._request_bodies import BodyInChunks, BodyWithLength
from azureturn.serving._request_end import RequestEnd
from azureturn.serving._request_headers import StrictHeaderReader, framing_mistake
from azureturn.serving._task_pool import TaskPool
from azureturn.tasks import Priority, TaskLoop, receive

_MS_PER_S = 1_000
#: Keep-alive probes detect a caller whose machine has disappeared after about 30 s, even while
#: it waits for an answer.
_CALLER_SOCKET_OPTIONS = keep_alive_options(idle_s=10, interval_s=5, probes=4)
#: The kernel gives up a caller that takes nothing for this time.
_USUAL_UNREAD_TIMEOUT_MS = int(_MS_PER_S * UNREAD_TIMEOUT_S)
#: The longest such time that the kernel takes.
_MAX_UNREAD_TIMEOUT_MS = (1 << 31) - 1

#: Limits on draining a connection, that is, reading and discarding the rest of a refused request.
DRAIN_LIMIT_MS = 300
DRAIN_LIMIT_BYTES = 4 << 20
#: Size of the listen backlog: the operating system's queue of connections not accepted yet.
BACKLOG_LIMIT = 1_024
_DRAIN_PIECE_BYTES = 65_536
#: How long the last answers of a planned stop may take, and their callers to read them.
_LAST_ANSWERS_TIMEOUT_S = 0.3
_LAST_ANSWERS_POLL_S = 0.01
_LAST_CHUNK = b"0\r\n\r\n"
#: Maximum number of idle keep-alive connections.
_IDLE_CONNECTIONS = 2_000

#: Error kinds by the HTTP status of the errors that cheroot itself detects.
_KIND_BY_STATUS = {
    "400": ErrorKind.MALFORMED_REQUEST,
    "408": ErrorKind.REQUEST_TIMEOUT,
    "413": ErrorKind.BODY_TOO_LARGE,
    "414": ErrorKind.HEADERS_TOO_LARGE,
    "500": ErrorKind.INTERNAL,
    "503": ErrorKind.OVERLOADED,
}


def _make_file(sock: socket.socket, mode: str, bufsize: int) -> Any:
    return CallerReader(sock) if "r" in mode else CallerWriter(sock)


class _CallerRequest(HTTPRequest):
    """One HTTP request; refusals by the server itself have the format of all other refusals."""

    header_reader = StrictHeaderReader()

    def __init__(self, server: "BoundedServer", conn: HTTPConnection) -> None:
        super().__init__(server, conn, proxy_mode=True)
        #: Whether its own answer comes first, or that of a planned stop.
        self.end = RequestEnd()

    def parse_request(self) -> None:
        """Read the request line and headers, with the header timeout for both together."""
        self.conn.rfile.set_deadline(self.server.header_timeout_ms)
        head = self.conn.begin_head(self._stop_reading_head)
        try:
            super().parse_request()
        except HeadRefusedError:
            self.inheaders.clear()
            self.refuse(_new_overloaded_error())
            return
        if not head.finish():
            raise TimeoutError("timed out")
        self.conn.rfile.set_deadline(self.server.body_timeout_ms)

    def _stop_reading_head(self) -> None:
        # The task of this request may run much later, so what it holds is dropped here.
        self.inheaders.clear()
        self.conn.rfile.stop()

    def read_request_line(self) -> bool:
        """Read the request line; what is read of the head is counted from here on."""
        lines = HeadLines(self.conn.rfile.readline, self.conn.head)
        self.rfile = SizeCheckWrapper(lines, self.server.max_request_header_size)
        is_read: bool = super().read_request_line()  # type: ignore[no-untyped-call]
        return is_read

    def read_request_headers(self) -> bool:
        """Read the headers; return False after a refusal, which closes the connection."""
        is_read: bool = super().read_request_headers()  # type: ignore[no-untyped-call]
        mistake = framing_mistake(self.inheaders, is_http_1_1=self.response_protocol == "HTTP/1.1")
        if is_read and mistake:
            self.close_connection = True
            self.simple_response("400 Bad Request", mistake)
            return False
        return is_read

    def respond(self) -> None:
        """Serve the request; it counts as in flight until its answer has been sent."""
        self.server.add_in_flight(self)
        try:
            if self.chunked_read:
                self.rfile = BodyInChunks(self.conn.rfile)
            else:
                length = int(self.inheaders.get(b"Content-Length", 0))
                self.rfile = BodyWithLength(self.conn.rfile, max(0, length))
            self.server.gateway(self).respond()
            if self.ready:
                self.ensure_headers_sent()
            if self.chunked_write:
                self.conn.wfile.write(_LAST_CHUNK)
            self.conn.set_resets_on_close(False)
        finally:
            self.server.discard_in_flight(self)

    def _read_rest(self) -> bool:
        """Read what is left of the body, so that the connection can be used again.

        Return False if that is not possible, or if it is too much.
        """
        if self.close_connection:
            return False
        left_bytes = _DRAIN_PIECE_BYTES
        try:
            while left_bytes > 0 and (piece := self.rfile.read(left_bytes)):
                left_bytes -= len(piece)
        except (AzureturnError, ValueError, OSError):
            return False
        is_at_end: bool = self.rfile.is_at_end
        return is_at_end

    def _ends_by_closing(self) -> bool:
        """Return whether only the close of the connection ends the response."""
        names = {name.lower() for name, _ in self.outheaders}
        return self.response_protocol != "HTTP/1.1" and b"content-length" not in names

    def send_headers(self) -> None:
        """Send the headers; close the connection after a refusal with an unread request body."""
        if not self.end.begin_answer():
            raise CallerConnectionError("a planned stop has answered the request")
        is_refusal = any(name == self.server.refusal_marker for name, _ in self.outheaders)
        if not self.rfile.is_at_end and (is_refusal or not self._read_rest()):
            self.close_connection = True
            self.conn.drains_on_close = True
        self.conn.rfile.clear_deadline()
        # Until the response is complete, also the end of this process must not look like its end.
        self.conn.set_resets_on_close(self._ends_by_closing())
        super().send_headers()

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Write the refusal for an error that cheroot detected, and close the connection."""
        code = str(status)[:3]
        if code == "500" and has_disconnected(self.conn.socket.fileno()):
            # What ended the request is logged by the application, and nobody reads a refusal.
            self.close_connection = True
            return
        kind = _KIND_BY_STATUS.get(code, ErrorKind.MALFORMED_REQUEST)
        if code == "413" and not self.ready:
            kind = ErrorKind.HEADERS_TOO_LARGE
        self.refuse(AzureturnError(kind))

    def end_by_stop(self) -> bool:
        """Answer the request at the end of a planned stop; return False if it has an answer."""
        run_state = self.end.end_by_stop()
        if run_state is None:
            return False
        self.refuse(self.server.new_stop_error(self, run_state), self.end.request_id)
        with suppress(OSError):
            # The caller sees the end even if the application still waits for something.
            self.conn.socket.shutdown(socket.SHUT_WR)
        return True

    def refuse(self, error: AzureturnError, request_id: str = "") -> None:
        """Write a refusal and close the connection."""
        kind = error.kind
        request_id = request_id or self.server.new_request_id()
        self.server.report_refusal(request_id, error)
        message = self.server.refusal(error, request_id)
        body = message.body
        lines = [f"HTTP/1.1 {ERROR_RESPONSES[kind].status} {kind.value}"]
        lines += [f"{name}: {value}" for name, value in message.headers.items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        self.close_connection = True
        self.conn.drains_on_close = True
        try:
            self.conn.wfile.write("\r\n".join(lines).encode("latin-1") + body)
        except OSError:
            # The caller has disconnected.
            return


class _CallerConnection(HTTPConnection):
    RequestHandlerClass = _CallerRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = None) -> None:
        super().__init__(server, sock, _make_file)
        self.drains_on_close = False
        self._resets_on_close = False
        self._unread_timeout_ms = _USUAL_UNREAD_TIMEOUT_MS
        self.head: HeadMemory | None = None
        sock.setblocking(False)
        for level, name, value in _CALLER_SOCKET_OPTIONS:
            sock.setsockopt(level, name, value)
        self._is_counted = True
        server.connection_memory.count_connection(1)

    def communicate(self) -> bool:
        """Read and serve the next request, unless its caller has left; return whether to go on."""
        if self.server.drops_left_callers and has_disconnected(self.socket.fileno()):
            self.server.report_left_caller(self.rfile.has_unread_request)
            return False
        try:
            goes_on: bool = super().communicate()  # type: ignore[no-untyped-call]
        finally:
            if self.head is not None:
                self.head.release()
        return goes_on

    def begin_head(self, stop_reading: Callable[[], None]) -> HeadMemory:
        """Begin to count the head of the next request, until the request has been answered."""
        self.head = HeadMemory(self.server.connection_memory, stop_reading)
        return self.head

    def set_request_arrival(self, arrived_since_s: float) -> None:
        """Record when the next request may have arrived, in seconds of the monotonic clock."""
        self.rfile.set_arrival(arrived_since_s)

    @property
    def request_age_s(self) -> float:
        """Return how long ago the request that was read last may have arrived, at most."""
        age_s: float = time.monotonic() - self.rfile.arrived_since_s
        return age_s

    def set_time_limit(self, time_left_ms: int) -> None:
        """Set the time limit of the request, until which a caller that reads nothing is awaited.

        A caller that reads slowly makes room for more of its answer only now and then.
        """
        self.wfile.patient_until_s = time.monotonic() + time_left_ms / _MS_PER_S
        timeout_ms = min(max(_USUAL_UNREAD_TIMEOUT_MS, time_left_ms), _MAX_UNREAD_TIMEOUT_MS)
        if timeout_ms == self._unread_timeout_ms:
            return
        self._unread_timeout_ms = timeout_ms
        with suppress(OSError):
            # A connection that has failed needs no time limit.
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def set_resets_on_close(self, resets: bool) -> None:
        """Set whether the end of the connection, or of this process, resets it.

        A reset shows that a response is incomplete which only the end of the connection ends.
        """
        if resets == self._resets_on_close:
            return
        self._resets_on_close = resets
        value = RESET_AT_CLOSE if resets else ORDERLY_CLOSE
        with suppress(OSError):
            # A connection that has failed needs no reset.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def close(self) -> None:
        """Close the connection, after draining it if the caller may still be sending."""
        if self._is_counted:
            self._is_counted = False
            self.server.connection_memory.count_connection(-1)
        if self.drains_on_close:
            self._drain()
        super().close()

    def _close_kernel_socket(self) -> None:
        # Without a shutdown before it, a close with a linger time of 0 resets the connection.
        if not self._resets_on_close:
            super()._close_kernel_socket()  # type: ignore[misc]

    def _drain(self) -> None:
        # Closing a socket with unread bytes would reset the connection, and the caller could lose
        # the answer.
        deadline_s = time.monotonic() + DRAIN_LIMIT_MS / _MS_PER_S
        left_bytes = DRAIN_LIMIT_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while left_bytes > 0 and (left_s := deadline_s - time.monotonic()) > 0:
                piece = receive(self.socket, _DRAIN_PIECE_BYTES, left_s)
                if not piece:
                    return
                left_bytes -= len(piece)
        except OSError:
            return


def _new_overloaded_error() -> AzureturnError:
    # The unread request may repeat a call that ran, so "not run" must not be reported.
    return AzureturnError(
        ErrorKind.OVERLOADED,
        run_state=RunState.UNKNOWN,
        retry_after_ms=DEFAULT_RETRY_AFTER_MS,
    )


@dataclass(frozen=True)
class RefusalMessage:
    """Headers and body of the answer to a refused request."""

    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class ServerLimits:
    """Limits of a server and its connections."""

    #: Requests that are read or served at the same time.
    requests: int
    header_bytes: int
    header_timeout_ms: int
    body_timeout_ms: int
    #: Maximum idle time of a connection between two requests.
    idle_timeout_ms: int
    #: Maximum number of idle connections that are kept open.
    idle_connections: int = _IDLE_CONNECTIONS
    #: Accepted connections that may wait for a thread, if the server has threads.
    accept_backlog: int = 1
    #: Memory of all connections and of the heads of their requests.
    connection_bytes: int = DEFAULT_LIMIT_BYTES


class BoundedServer(Server):
    """CherryPy's HTTP server with azureturn's limits.

    With a ``loop``, each request is served by a task of ``priority``, and :meth:`prepare` is all
    that has to be called. Without, it is served by one of as many
    threads as there may be requests at the same time, and ``accept_backlog`` connections may wait
    for a thread. Connections beyond the limits are refused as ``overloaded``.
    """

    ConnectionClass = _CallerConnection

    def __init__(
        self,
        address: tuple[str, int],
        application: Any,
        limits: ServerLimits,
        *,
        new_request_id: Callable[[], str],
        refusal: Callable[[AzureturnError, str], RefusalMessage],
        report_error: Callable[[str], None],
        report_refusal: Callable[[str, AzureturnError], None],
        refusal_marker: str = "",
        loop: TaskLoop | None = None,
        priority: Priority = Priority.REQUEST,
    ) -> None:
        threads = limits.requests if loop is None else 1
        super().__init__(
            address,
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=BACKLOG_LIMIT,
            timeout=-(-limits.idle_timeout_ms // _MS_PER_S),
            shutdown_timeout=1,
            accepted_queue_size=limits.accept_backlog,
            accepted_queue_timeout=0,
        )
        self.connection_memory = ConnectionMemory(limits.connection_bytes)
        self.keep_alive_conn_limit = limits.idle_connections
        self.max_request_header_size = limits.header_bytes
        # Disabled because the application limits bodies itself and reports the exact error kind.
        self.max_request_body_size = 0
        self.header_timeout_ms = limits.header_timeout_ms
        self.body_timeout_ms = limits.body_timeout_ms
        self.new_request_id = new_request_id
        self.refusal = refusal
        #: Name of the header that marks an answer as a refusal; the refused request may have
        #: unread bytes.
        self.refusal_marker = refusal_marker.encode()
        self.report_refusal = report_refusal
        #: Whether a request is not even read if its caller has left before.
        self.drops_left_callers = False
        self._report_error = report_error
        self._in_flight: set[_CallerRequest] = set()
        self._in_flight_lock = threading.Lock()
        self._loop = loop
        if loop is not None:
            self.requests = TaskPool(
                self,
                loop,
                limit=limits.requests,
                refuse=self._refuse_as_overloaded,
                priority=priority,
            )

    def prepare(self) -> None:
        """Open the port; with a loop, connections are accepted from now on."""
        super().prepare()
        for level, name, value in SMALL_BUFFER_OPTIONS:
            self.socket.setsockopt(level, name, value)
        if self._loop is not None:
            self._connections.close()  # type: ignore[has-type]
            self._connections = LoopConnections(self, self._loop)
            self._connections.start()

    @property
    def requests_in_flight(self) -> int:
        """Return how many requests wait for a thread or have not been answered completely."""
        queued: int = self.requests.qsize
        return len(self._in_flight) + queued

    def report_left_caller(self, had_sent_request: bool) -> None:
        """Note that a caller left before its next request was read, if it had sent one."""

    def add_in_flight(self, request: _CallerRequest) -> None:
        """Record that a request has been read and is being served."""
        with self._in_flight_lock:
            self._in_flight.add(request)

    def discard_in_flight(self, request: _CallerRequest) -> None:
        """Record that a request is served no longer."""
        with self._in_flight_lock:
            self._in_flight.discard(request)

    def end_requests(self) -> int:
        """Give each request that has no answer a last one, whatever it waits for.

        Return how many there were, once these answers have been written and their callers have had
        some time to read them. The process is to end then: the requests are not served any more.
        """
        with self._in_flight_lock:
            requests = list(self._in_flight)
        ends_at_s = time.monotonic() + _LAST_ANSWERS_TIMEOUT_S
        results: SimpleQueue[bool] = SimpleQueue()
        for request in requests:
            self._spawn(partial(self._end_request, request, results))
        ended_count = 0
        with suppress(Empty):
            for _ in requests:
                ended_count += results.get(timeout=max(0.0, ends_at_s - time.monotonic()))
        # Closing a connection with unread bytes of a body would reset it.
        while time.monotonic() < ends_at_s and any(row in self._in_flight for row in requests):
            time.sleep(_LAST_ANSWERS_POLL_S)
        return ended_count

    def _end_request(self, request: _CallerRequest, results: "SimpleQueue[bool]") -> None:
        is_ended = False
        try:
            is_ended = request.end_by_stop()
        finally:
            results.put(is_ended)

    def _spawn(self, function: Callable[[], None]) -> None:
        """Call a function in a task, or on a thread if there is no loop."""
        if self._loop is None:
            threading.Thread(target=function, name="last-answer", daemon=True).start()
        else:
            self._loop.spawn(function, priority=Priority.CONTROL)

    def new_stop_error(self, request: _CallerRequest, run_state: RunState) -> AzureturnError:
        """Return what a request is told that has no answer when a planned stop ends."""
        if run_state is RunState.NOT_RUN:
            return RefusedError(ErrorKind.STOPPING, retry_after_ms=STOPPING_RETRY_AFTER_MS)
        return UpstreamError(ErrorKind.UPSTREAM_SILENT, "this VM stops")

    def refuse_backlog(self) -> None:
        """Refuse connections in the listen backlog; closing the port would reset them."""
        listening_socket = self.socket
        if listening_socket is None:
            return
        listening_socket.setblocking(False)
        for _ in range(BACKLOG_LIMIT):
            try:
                caller_socket, _address = listening_socket.accept()
            except OSError:
                return
            connection = _CallerConnection(self, caller_socket)
            # The unread request may repeat a call that ran, so "not run" must not be reported.
            error = AzureturnError(ErrorKind.STOPPING, run_state=RunState.UNKNOWN)
            _CallerRequest(self, connection).refuse(error)
            connection.close()

    def _serve_unservicable(self) -> None:
        """Refuse the connections that no thread can serve; called on a thread of its own."""
        while self.ready:
            connection = self._unservicable_conns.get()  # type: ignore[attr-defined]
            if not isinstance(connection, HTTPConnection):
                return
            self._refuse_as_overloaded(connection)

    def _refuse_as_overloaded(self, connection: HTTPConnection) -> None:
        _CallerRequest(self, connection).refuse(_new_overloaded_error())
        connection.linger = True
        connection.close()

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Pass an error that cheroot could not handle to ``report_error``."""
        self._report_error(msg)
