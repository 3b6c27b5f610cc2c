"""A thrift server that serves its connections as tasks of a loop, in place of threads."""

import logging
import socket
from functools import partial
from typing import Any

from thrift.server.TServer import TThreadPoolServer
from thrift.transport.TTransport import TTransportBase, TTransportException

from azureturn.tasks import Priority, TaskLoop, accept, receive, send_all, sleep

_BACKLOG = 128
#: Maximum number of open connections; a further one is closed at once.
_MAX_CONNECTIONS = 512
#: Delay after a connection could not be accepted.
_ACCEPT_RETRY_S = 0.1

_logger = logging.getLogger(__name__)


class _TaskTransport(TTransportBase):  # type: ignore[misc]
    """A thrift transport on a socket whose reads and writes suspend a task."""

    def __init__(self, connection: socket.socket, timeout_s: float) -> None:
        self._connection = connection
        self._timeout_s = timeout_s

    def read(self, size_bytes: int) -> bytes:
        try:
            data = receive(self._connection, size_bytes, self._timeout_s)
        except OSError as error:
            raise TTransportException(message=type(error).__name__, inner=error) from error
        if not data:
            raise TTransportException(TTransportException.END_OF_FILE, "connection closed")
        return data

    def write(self, data: bytes) -> None:
        try:
            send_all(self._connection, data, self._timeout_s)
        except OSError as error:
            raise TTransportException(message=type(error).__name__, inner=error) from error

    def flush(self) -> None:
        """Do nothing; nothing is buffered here."""

    def close(self) -> None:
        self._connection.close()


class TaskServer(TThreadPoolServer):  # type: ignore[misc]
    """Serves each connection in a task of its own; ``timeout_s`` is the longest silence on one."""

    def __init__(
        self,
        address: tuple[str, int],
        loop: TaskLoop,
        processor: Any,
        transport_factory: Any,
        protocol_factory: Any,
        *,
        timeout_s: float,
    ) -> None:
        super().__init__(processor, None, transport_factory, protocol_factory)
        self._address = address
        self._loop = loop
        self._timeout_s = timeout_s
        self._listener: socket.socket | None = None
        self._open_connections = 0

    def start(self) -> None:
        """Open the port and start the task that accepts connections."""
        self._listener = socket.create_server(self._address, backlog=_BACKLOG)
        self._listener.setblocking(False)
        self._loop.spawn(self.serve, priority=Priority.CONTROL)

    def stop(self) -> None:
        """Accept no more connections."""
        listener, self._listener = self._listener, None
        if listener is not None:
            # Wakes the task that waits for connections.
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def serve(self) -> None:
        """Accept connections until the server is stopped."""
        while (listener := self._listener) is not None:
            try:
                connection = accept(listener)
            except OSError as error:
                # No descriptor is left, or stop() has closed the listener.
                if self._listener is not None:
                    _logger.error("connection not accepted: %r", error)
                    sleep(_ACCEPT_RETRY_S)
                continue
            if self._open_connections >= _MAX_CONNECTIONS:
                connection.close()
                continue
            serve = partial(self._serve_connection, connection)
            self._loop.spawn(serve, priority=Priority.CONTROL)

    def _serve_connection(self, connection: socket.socket) -> None:
        self._open_connections += 1
        try:
            self.serveClient(_TaskTransport(connection, self._timeout_s))
        finally:
            self._open_connections -= 1
            connection.close()
