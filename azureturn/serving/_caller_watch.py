"""Notices that a caller has closed its connection while its request waits or is answered."""

import select
import socket
import threading
from collections.abc import Callable
from contextlib import suppress

_GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
#: Each connection is told of once.
_WATCHED = select.EPOLLRDHUP | select.EPOLLONESHOT


class CallerWatch:
    """One thread that watches the connections of all requests in progress.

    A caller that closes its side while it waits is taken to have left; callers of HTTP do not
    close their side and wait on.
    """

    def __init__(self) -> None:
        self._poll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callable[[], None]] = {}
        threading.Thread(target=self._serve, name="caller-watch", daemon=True).start()

    def watch(self, connection: socket.socket, on_gone: Callable[[], None]) -> int:
        """Call ``on_gone`` once if the connection's other side closes; return what to unwatch."""
        number = connection.fileno()
        if number < 0:
            on_gone()
            return number
        with self._lock:
            self._callbacks[number] = on_gone
            self._poll.register(number, _WATCHED)
        return number

    def unwatch(self, number: int) -> None:
        """Stop watching; it must come before the connection is closed or serves the next."""
        with self._lock:
            if self._callbacks.pop(number, None) is not None:
                with suppress(OSError):
                    self._poll.unregister(number)

    def _serve(self) -> None:
        while True:
            for number, mask in self._poll.poll():
                if mask & _GONE:
                    self._tell(number)

    def _tell(self, number: int) -> None:
        with self._lock:
            callback = self._callbacks.get(number)
        if callback is not None:
            callback()
