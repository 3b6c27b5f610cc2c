"""Operations on non-blocking sockets that suspend a task, or block a thread, until they are done.

All of them need a socket in non-blocking mode.
"""

import errno
import os
import select
import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass

from azureturn.tasks._loop import READABLE, WRITABLE, current_task

_MS_PER_S = 1_000


def wait_until_ready(events_by_descriptor: Mapping[int, int], timeout_s: float | None) -> list[int]:
    """Return the descriptors that are ready for their events, as soon as there is one.

    The events are :data:`READABLE` or :data:`WRITABLE`. Raises ``TimeoutError`` if none is ready
    in time.
    """
    if timeout_s is not None and timeout_s <= 0:
        raise TimeoutError("timed out")
    task = current_task()
    if task is None:
        ready = _poll(events_by_descriptor, timeout_s)
    else:
        ready = task.loop.suspend_until_ready(task, events_by_descriptor, timeout_s)
    if not ready:
        raise TimeoutError("timed out")
    return ready


def receive(connection: socket.socket, size_bytes: int, timeout_s: float | None) -> bytes:
    """Return what has been received, or no bytes at the end of the connection.

    Raises ``TimeoutError`` if nothing is received in time.
    """
    deadline_s = _deadline_s(timeout_s)
    while True:
        wait_until_ready({connection.fileno(): READABLE}, _left_s(deadline_s))
        try:
            return connection.recv(size_bytes)
        except BlockingIOError:
            continue


@dataclass(frozen=True)
class Received:
    """What was received, and since when it may have been there."""

    #: Empty at the end of the connection.
    data: bytes
    #: Whether nothing had arrived yet at the time of the call.
    has_waited: bool
    #: If so, when it may have arrived, at the earliest.
    arrived_since_s: float


def receive_available(
    connection: socket.socket, size_bytes: int, timeout_s: float | None
) -> Received:
    """Return what has been received; raises ``TimeoutError`` if nothing is received in time.

    No memory is held for the data while nothing has arrived.
    """
    deadline_s = _deadline_s(timeout_s)
    has_waited = False
    while True:
        try:
            return Received(connection.recv(size_bytes), has_waited, _arrived_since_s())
        except BlockingIOError:
            wait_until_ready({connection.fileno(): READABLE}, _left_s(deadline_s))
            has_waited = True


def send_all(connection: socket.socket, data: bytes, timeout_s: float | None) -> None:
    """Send all bytes; raises ``TimeoutError`` if the other end does not take them in time."""
    deadline_s = _deadline_s(timeout_s)
    unsent = memoryview(data)
    while unsent:
        try:
            unsent = unsent[connection.send(unsent) :]
        except BlockingIOError:
            wait_until_ready({connection.fileno(): WRITABLE}, _left_s(deadline_s))


def connect(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Return a non-blocking socket that is connected to an IPv4 address.

    Raises an ``OSError``, for instance ``ConnectionRefusedError`` or ``TimeoutError``.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        finish_connecting(connection, connection.connect_ex(address), timeout_s)
    except BaseException:
        connection.close()
        raise
    return connection


def finish_connecting(connection: socket.socket, error: int, timeout_s: float | None) -> None:
    """Wait until a connection is open, of which ``connect_ex`` has returned ``error``.

    Raises an ``OSError`` if it cannot be opened.
    """
    if error == errno.EINPROGRESS:
        wait_until_ready({connection.fileno(): WRITABLE}, timeout_s)
        error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


def accept(listener: socket.socket) -> socket.socket:
    """Return the next connection to a listening socket, in non-blocking mode.

    Raises an ``OSError`` if the listening socket has been shut down.
    """
    while True:
        wait_until_ready({listener.fileno(): READABLE}, None)
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            continue
        connection.setblocking(False)
        return connection


def _poll(events_by_descriptor: Mapping[int, int], timeout_s: float | None) -> list[int]:
    poller = select.poll()
    for descriptor, events in events_by_descriptor.items():
        poller.register(descriptor, events)
    timeout_ms = None if timeout_s is None else max(1, int(timeout_s * _MS_PER_S))
    return [descriptor for descriptor, _ in poller.poll(timeout_ms)]


def _arrived_since_s() -> float:
    task = current_task()
    return time.monotonic() if task is None else task.loop.arrived_since_s


def _deadline_s(timeout_s: float | None) -> float | None:
    return None if timeout_s is None else time.monotonic() + timeout_s


def _left_s(deadline_s: float | None) -> float | None:
    return None if deadline_s is None else deadline_s - time.monotonic()
