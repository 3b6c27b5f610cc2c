"""Serves the connections of an HTTP server as tasks of a loop, in place of its pool of threads."""

import sys
import threading
from collections.abc import Callable
from functools import partial
from typing import Any

from azureturn.tasks import Priority, TaskLoop


class TaskPool:
    """Takes the place of the HTTP library's thread pool: each request is read and served by a task.

    A connection that waits for its next request has no task. Beyond ``limit`` connections at the
    same time, further ones are passed to ``refuse``.
    """

    def __init__(
        self,
        server: Any,
        loop: TaskLoop,
        *,
        limit: int,
        refuse: Callable[[Any], None],
        priority: Priority = Priority.REQUEST,
    ) -> None:
        self._server = server
        self._loop = loop
        self._limit = limit
        self._refuse = refuse
        self._priority = priority
        self._lock = threading.Lock()
        self._open = 0
        self._not_started = 0

    @property
    def qsize(self) -> int:
        """Return the number of accepted connections whose task has not run yet.

        A planned stop waits for them, as the request of each may already have been received.
        """
        return self._not_started

    @property
    def open_connections(self) -> int:
        """Return the number of connections whose request is being read or served."""
        return self._open

    def start(self) -> None:
        """Do nothing; the loop has its own start."""

    def stop(self, timeout: float = 0.0) -> None:
        """Do nothing; tasks that are still running end with the process."""

    def put(self, connection: Any) -> None:
        """Serve the next request of a connection, or refuse it."""
        with self._lock:
            is_accepted = self._open < self._limit
            self._open += 1 if is_accepted else 0
            self._not_started += 1
        serve = self._serve if is_accepted else self._refuse
        self._loop.spawn(partial(self._start, serve, connection), priority=self._priority)

    def _start(self, serve: Callable[[Any], None], connection: Any) -> None:
        with self._lock:
            self._not_started -= 1
        serve(connection)

    def _serve(self, connection: Any) -> None:
        """Serve one request, then return the connection to the server or close it."""
        keep_open = False
        try:
            keep_open = connection.communicate()
        except Exception:  # noqa: BLE001
            # A connection that breaks must not end its server.
            self._server.error_log(f"unhandled error: {sys.exception()!r}")
        finally:
            with self._lock:
                self._open -= 1
            if keep_open:
                self._server.put_conn(connection)
            else:
                connection.close()
