"""Accepts the connections of an HTTP server on a loop, and watches idle ones for a request."""

import time
from functools import partial
from typing import Any

from cheroot.connections import ConnectionManager

from azureturn.tasks import READABLE, Priority, TaskLoop, sleep, wait_until_ready

#: Delay after a connection could not be accepted.
_ACCEPT_RETRY_S = 0.1
#: How often idle connections are looked at, whose maximum idle time is much longer.
_EXPIRY_INTERVAL_S = 5.0


class LoopConnections(ConnectionManager):
    """Takes the place of the HTTP library's connection manager, which needs a thread.

    All connections that wait in the listen backlog are accepted before any of them is served: the
    time that a request waits is known only once its connection has been accepted.
    """

    def __init__(self, server: Any, loop: TaskLoop) -> None:
        super().__init__(server)
        self._loop = loop
        self._idle: set[Any] = set()
        # The loop waits for the listening socket.
        self._selector.unregister(server.socket.fileno())  # type: ignore[attr-defined]

    def start(self) -> None:
        """Start the tasks that accept and expire connections."""
        self._loop.spawn(self._accept_forever, priority=Priority.CONTROL)
        self._loop.spawn(self._expire_forever, priority=Priority.CONTROL)

    def put(self, conn: Any) -> None:
        """Wait for the next request of a connection; call this on the loop."""
        conn.last_used = time.time()
        if conn.rfile.has_data():
            conn.set_request_arrival(time.monotonic())
            self.server.process_conn(conn)
            return
        self._idle.add(conn)
        self._loop.watch(conn.socket.fileno(), READABLE, partial(self._end_idle_time, conn))

    def stop(self) -> None:
        """Accept no more connections."""
        self._stop_requested = True

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.close()
        self._selector.close()  # type: ignore[attr-defined]

    @property
    def _num_connections(self) -> int:
        return len(self._idle)

    def _end_idle_time(self, connection: Any) -> None:
        self._idle.discard(connection)
        connection.set_request_arrival(self._loop.arrived_since_s)
        self.server.process_conn(connection)

    def _accept_forever(self) -> None:
        listener = self.server.socket
        listener.setblocking(False)
        while not self._stop_requested:
            try:
                connection = self._from_server_socket(listener)  # type: ignore[attr-defined]
                if connection is None:
                    wait_until_ready({listener.fileno(): READABLE}, None)
                    continue
            except (OSError, ValueError):
                # No descriptor is left, or the listening socket has been closed.
                if not self._stop_requested:
                    self.server.error_log("connection not accepted")
                    sleep(_ACCEPT_RETRY_S)
                continue
            connection.set_request_arrival(self._loop.arrived_since_s)
            self.server.process_conn(connection)

    def _expire_forever(self) -> None:
        while not self._stop_requested:
            sleep(_EXPIRY_INTERVAL_S)
            oldest = time.time() - self.server.timeout
            for connection in [row for row in self._idle if row.last_used < oldest]:
                self._idle.discard(connection)
                self._loop.unwatch(connection.socket.fileno())
                connection.close()
