"""Operations on non-blocking sockets that suspend a task, or block a thread, until they are done.

All of them need a socket in non-blocking mode.
"""

import errno
import os
import select
import socket
import time
from collections.abc import Mapping
from typing import Any

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


def receive_into(connection: socket.socket, buffer: Any, timeout_s: float | None) -> int:
    """Receive into a buffer and return the number of bytes, 0 at the end of the connection.

    Raises ``TimeoutError`` if nothing is received in time.
    """
    deadline_s = _deadline_s(timeout_s)
    while True:
        try:
            return connection.recv_into(buffer)
        except BlockingIOError:
            wait_until_ready({connection.fileno(): READABLE}, _left_s(deadline_s))


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
        error = connection.connect_ex(address)
        if error == errno.EINPROGRESS:
            wait_until_ready({connection.fileno(): WRITABLE}, timeout_s)
            error = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
    except BaseException:
        connection.close()
        raise
    return connection


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


def _deadline_s(timeout_s: float | None) -> float | None:
    return None if timeout_s is None else time.monotonic() + timeout_s


def _left_s(deadline_s: float | None) -> float | None:
    return None if deadline_s is None else deadline_s - time.monotonic()
