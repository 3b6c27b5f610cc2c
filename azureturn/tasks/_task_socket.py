"""A socket for libraries that block: its calls suspend the current task instead of the thread."""

import socket
from typing import Any

from azureturn.tasks._loop import READABLE, WRITABLE
from azureturn.tasks._sockets import finish_connecting, send_all, wait_until_ready


class TaskSocket(socket.socket):
    """A stream socket with the timeouts of a blocking one, though its descriptor never blocks.

    A library that is given such a socket works in tasks and on threads alike.

    >>> connection = TaskSocket(socket.AF_INET, socket.SOCK_STREAM)
    >>> connection.settimeout(0.5)
    >>> connection.gettimeout()
    0.5
    >>> connection.close()
    """

    def __init__(self, *arguments: Any, **named_arguments: Any) -> None:
        super().__init__(*arguments, **named_arguments)
        super().settimeout(0.0)
        self._timeout_s: float | None = None

    def settimeout(self, value: float | None) -> None:
        """Set how long each call may wait, in seconds; None for as long as it takes."""
        self._timeout_s = value

    def gettimeout(self) -> float | None:
        """Return how long each call may wait, in seconds."""
        return self._timeout_s

    def connect(self, address: Any) -> None:
        """Connect to an address; raises an ``OSError``, for instance ``TimeoutError``."""
        finish_connecting(self, self.connect_ex(address), self._timeout_s)

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Return what has been received, or no bytes at the end of the connection."""
        if flags or self._timeout_s == 0:
            return super().recv(bufsize, flags)
        while True:
            try:
                return super().recv(bufsize)
            except BlockingIOError:
                wait_until_ready({self.fileno(): READABLE}, self._timeout_s)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive into a buffer and return the number of bytes, 0 at the end of the connection."""
        while True:
            try:
                return super().recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                wait_until_ready({self.fileno(): READABLE}, self._timeout_s)

    def send(self, data: Any, flags: int = 0) -> int:
        """Send some of the bytes, and return how many."""
        while True:
            try:
                return super().send(data, flags)
            except BlockingIOError:
                wait_until_ready({self.fileno(): WRITABLE}, self._timeout_s)

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send all bytes."""
        send_all(self, data, self._timeout_s)
