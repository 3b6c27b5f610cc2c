"""Detects callers that close their connection while their request is in progress."""

import select
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from azureturn.tasks import HUNG_UP, TaskLoop

_DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_DISCONNECT_STATES = select.POLLRDHUP | select.POLLHUP | select.POLLERR
#: With EPOLLONESHOT, each connection is reported once.
_WATCH_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT


class CallerWatch(Protocol):
    """Watches the connections of all requests in progress.

    A caller that shuts down its sending side is taken to have disconnected, because HTTP clients
    do not half-close a connection and then wait for the answer.
    """

    def watch(self, connection: socket.socket, on_disconnected: Callable[[], None]) -> int:
        """Call ``on_disconnected`` once if the caller closes the connection.

        Return the file descriptor to pass to :meth:`unwatch`. If this process has already closed
        the connection, ``on_disconnected`` is called at once.
        """

    def unwatch(self, descriptor: int) -> None:
        """Stop watching; call this before the connection is closed or serves its next request."""


class LoopCallerWatch:
    """Watches the connections on the loop whose tasks serve them.

    Callers that leave are noticed by each poll of the loop, so that this takes no longer when the
    loop is busy than anything else that it does.
    """

    def __init__(self, loop: TaskLoop) -> None:
        self._loop = loop

    def watch(self, connection: socket.socket, on_disconnected: Callable[[], None]) -> int:
        """Call ``on_disconnected`` on the loop, where it must not wait."""
        descriptor = connection.fileno()
        if descriptor < 0 or has_disconnected(descriptor):
            on_disconnected()
        else:
            self._loop.watch(descriptor, HUNG_UP, on_disconnected)
        return descriptor

    def unwatch(self, descriptor: int) -> None:
        """Stop watching a connection."""
        self._loop.unwatch(descriptor)


class ThreadCallerWatch:
    """Watches the connections on a thread of its own."""

    def __init__(self) -> None:
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callable[[], None]] = {}
        threading.Thread(target=self._poll_loop, name="caller-watch", daemon=True).start()

    def watch(self, connection: socket.socket, on_disconnected: Callable[[], None]) -> int:
        """Call ``on_disconnected`` on the thread of the watch."""
        descriptor = connection.fileno()
        if descriptor < 0:
            on_disconnected()
            return descriptor
        with self._lock:
            self._callbacks[descriptor] = on_disconnected
            self._poll.register(descriptor, _WATCH_EVENTS)
        return descriptor

    def unwatch(self, descriptor: int) -> None:
        """Stop watching a connection."""
        with self._lock:
            if self._callbacks.pop(descriptor, None) is not None:
                with suppress(OSError):
                    self._poll.unregister(descriptor)

    def _poll_loop(self) -> None:
        while True:
            for descriptor, mask in self._poll.poll():
                if mask & _DISCONNECT_EVENTS:
                    self._notify(descriptor)

    def _notify(self, descriptor: int) -> None:
        with self._lock:
            callback = self._callbacks.get(descriptor)
            # The event may be that of an earlier connection with the same descriptor.
            if callback is None or not has_disconnected(descriptor):
                return
        callback()


def has_disconnected(descriptor: int) -> bool:
    """Return whether the other end of a connection has closed it, or it has failed."""
    poller = select.poll()
    poller.register(descriptor, select.POLLRDHUP)
    return any(mask & _DISCONNECT_STATES for _, mask in poller.poll(0))
