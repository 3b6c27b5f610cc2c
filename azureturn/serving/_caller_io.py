"""Reads from and writes to a caller's connection, with limits on the time and on what is held."""

import socket
import time
from contextlib import suppress
from typing import Protocol

from azureturn.tasks import (
    WRITABLE,
    receive_available,
    send_all,
    wait_until_ready,
    yield_to_others,
)

_MS_PER_S = 1_000
#: Maximum time for which the caller may read nothing of its answer.
CALLER_WRITE_TIMEOUT_S = 30.0
#: How much is received ahead of what is parsed: a whole head within the stated limit.
_READ_AHEAD_BYTES = 16_384
#: A task lets others go on after it has received so much without waiting once.
_TURN_BYTES = 1 << 18


class CallerReader:
    """Reads from a non-blocking socket; all reads of one message together have a deadline.

    Takes the place of the file from which the HTTP library reads. While it waits for bytes, it
    holds only those that have been received and not read, at most :data:`_READ_AHEAD_BYTES`.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._buffer = b""
        self._position = 0
        self._deadline_s: float | None = None
        #: When the first bytes of the request that is read next may have arrived, at the earliest.
        self.arrived_since_s = time.monotonic()
        self._awaits_request = True
        self._turn_bytes = 0
        self._is_stopped = False

    @property
    def has_unread_request(self) -> bool:
        """Return whether bytes have been received and not read."""
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def has_data(self) -> bool:
        """Return whether bytes have been received ahead of what was read."""
        return self._position < len(self._buffer)

    def set_arrival(self, arrived_since_s: float) -> None:
        """Record that a request may have arrived since a time, and is read next."""
        self.arrived_since_s = arrived_since_s
        self._awaits_request = True

    def set_deadline(self, timeout_ms: int) -> None:
        """Set the deadline of reads to ``timeout_ms`` from now."""
        self._deadline_s = time.monotonic() + timeout_ms / _MS_PER_S

    def stop(self) -> None:
        """Let the read that waits in another task, and all further ones, time out."""
        self._is_stopped = True
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    def clear_deadline(self) -> None:
        """Remove the deadline of reads."""
        self._deadline_s = None

    @property
    def left_s(self) -> float | None:
        """Return the time until the deadline; None if there is none."""
        return None if self._deadline_s is None else self._deadline_s - time.monotonic()

    def readline(self, size: int = -1) -> bytes:
        """Return the next line with its end, or what comes first of its ``size`` bytes."""
        searched_bytes = 0
        while True:
            available_bytes = len(self._buffer) - self._position
            limit_bytes = available_bytes if size < 0 else size
            start = self._position + searched_bytes
            end = self._buffer.find(b"\n", start, self._position + limit_bytes) + 1
            if end:
                return self._take(end - self._position)
            if 0 <= size <= available_bytes:
                return self._take(size)
            searched_bytes = available_bytes
            if not self._receive_more():
                return self._take(available_bytes)

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes, or fewer at the end of the connection."""
        parts: list[bytes] = []
        while size > 0 and (part := self.read_available(size)):
            parts.append(part)
            size -= len(part)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def read_available(self, size: int) -> bytes:
        """Return up to ``size`` bytes as soon as there are any; none at the connection's end."""
        if self.has_data():
            return self._take(size)
        return self._receive(size)

    def unread(self, data: bytes) -> None:
        """Take back bytes that belong to what is read next."""
        self._buffer = data + self._buffer[self._position :]
        self._position = 0

    def close(self) -> None:
        """Drop what has been received and not read."""
        self._buffer, self._position = b"", 0

    def _take(self, size: int) -> bytes:
        data = self._buffer[self._position : self._position + size]
        self._position += len(data)
        if self._position == len(self._buffer):
            self._buffer, self._position = b"", 0
        return data

    def _receive_more(self) -> bool:
        """Receive behind the bytes that were not read; return False at the connection's end."""
        data = self._receive(_READ_AHEAD_BYTES)
        self._buffer = self._buffer[self._position :] + data
        self._position = 0
        return bool(data)

    def _receive(self, size: int) -> bytes:
        """Return what is available, or raise ``TimeoutError`` after the deadline."""
        left_s = self.left_s
        if self._is_stopped or (left_s is not None and left_s <= 0):
            raise TimeoutError("timed out")
        if self._turn_bytes > _TURN_BYTES:
            self._turn_bytes = 0
            yield_to_others()
        received = receive_available(self._socket, size, left_s)
        if self._is_stopped:
            raise TimeoutError("timed out")
        self._turn_bytes = 0 if received.has_waited else self._turn_bytes + len(received.data)
        if received.has_waited and self._awaits_request:
            self.arrived_since_s = received.arrived_since_s
        self._awaits_request = False
        return received.data


class WriteRoom(Protocol):
    """Limits what is held for callers who do not read."""

    def begin(self, size_bytes: int) -> None:
        """Count bytes that the caller has not taken at once; may raise an ``OSError``."""

    def record_progress(self, size_bytes: int) -> None:
        """Record that the caller has taken so many of them."""

    def end(self) -> None:
        """Count them no more."""


class CallerWriter:
    """Writes to a non-blocking socket, without copying what is written."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.bytes_written = 0
        #: Room for what the caller does not take at once; None if it needs none.
        self.room: WriteRoom | None = None

    def write(self, data: bytes) -> int:
        """Write all bytes; raise ``TimeoutError`` if the caller does not read them."""
        if self.room is None:
            send_all(self._socket, data, CALLER_WRITE_TIMEOUT_S)
        else:
            self._write_with_room(self.room, memoryview(data))
        self.bytes_written += len(data)
        return len(data)

    def _write_with_room(self, room: WriteRoom, data: memoryview) -> None:
        sent_bytes = self._send_available(data)
        if sent_bytes == len(data):
            return
        deadline_s = time.monotonic() + CALLER_WRITE_TIMEOUT_S
        room.begin(len(data) - sent_bytes)
        try:
            while sent_bytes < len(data):
                left_s = deadline_s - time.monotonic()
                wait_until_ready({self._socket.fileno(): WRITABLE}, left_s)
                taken_bytes = self._send_available(data[sent_bytes:])
                room.record_progress(taken_bytes)
                sent_bytes += taken_bytes
        finally:
            room.end()

    def _send_available(self, data: memoryview) -> int:
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0
