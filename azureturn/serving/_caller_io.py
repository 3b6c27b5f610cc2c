"""Reads from and writes to a caller's connection, with limits on the time and on what is held."""

import errno
import fcntl
import socket
import struct
import termios
import time
from contextlib import suppress
from typing import Protocol

from azureturn.tasks import (
    WRITABLE,
    receive_available,
    wait_until_ready,
    yield_to_others,
)

_MS_PER_S = 1_000
#: Maximum time for which a caller may read nothing of its answer before the answer is given up.
UNREAD_TIMEOUT_S = 30.0
#: How often a write that waits looks whether the caller has read something.
_PROGRESS_INTERVAL_S = 1.0
_INT = struct.Struct("@i")
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


class CallerConnectionError(ConnectionError):
    """The caller's connection has failed, or the caller has stopped reading its answer.

    Only writes to callers raise it, so that it shows which side of an exchange has failed. The HTTP
    library takes its error number for a caller who has left.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(errno.EPIPE, reason)


class CallerWriter:
    """Writes to a non-blocking socket, without copying what is written.

    Once a write has failed, of which the caller may have received a part, nothing more is written:
    the caller would take it for the rest of that part.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.bytes_written = 0
        #: Room for what the caller does not take at once; None if it needs none.
        self.room: WriteRoom | None = None
        #: Until when the caller may read nothing, if that is later than by the usual limit.
        self.patient_until_s = 0.0
        #: Whether a write has begun and not reached its end.
        self._is_incomplete = False

    def write(self, data: bytes) -> int:
        """Write all bytes; raise :class:`CallerConnectionError` if the caller does not read on."""
        if self._is_incomplete:
            raise CallerConnectionError("an earlier write has not reached its end")
        self._is_incomplete = True
        try:
            self._write_all(memoryview(data))
        except OSError as error:
            raise CallerConnectionError(str(error) or type(error).__name__) from error
        self._is_incomplete = False
        self.bytes_written += len(data)
        return len(data)

    def _write_all(self, data: memoryview) -> None:
        unsent = data[self._send_available(data) :]
        if not unsent:
            return
        if self.room is None:
            self._write_rest(unsent)
            return
        self.room.begin(len(unsent))
        try:
            self._write_rest(unsent)
        finally:
            self.room.end()

    def _write_rest(self, unsent: memoryview) -> None:
        while unsent:
            self._wait_until_writable()
            sent_bytes = self._send_available(unsent)
            if self.room is not None:
                self.room.record_progress(sent_bytes)
            unsent = unsent[sent_bytes:]

    def _wait_until_writable(self) -> None:
        """Wait for as long as the caller reads on, however slowly.

        What the kernel holds may be more than the caller reads for a long time, and the kernel
        takes nothing more meanwhile. So what the caller has acknowledged of it counts, too.
        """
        stalled_since_s = time.monotonic()
        unread_bytes = 0
        while True:
            with suppress(TimeoutError):
                wait_until_ready({self._socket.fileno(): WRITABLE}, _PROGRESS_INTERVAL_S)
                return
            now_s = time.monotonic()
            earlier_bytes, unread_bytes = unread_bytes, _unacknowledged_bytes(self._socket)
            if unread_bytes < earlier_bytes:
                stalled_since_s = now_s
            gives_up_at_s = max(stalled_since_s + UNREAD_TIMEOUT_S, self.patient_until_s)
            if now_s >= gives_up_at_s:
                raise TimeoutError("the caller does not read its answer")

    def _send_available(self, data: memoryview) -> int:
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0


def _unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how much was sent that the other end has not acknowledged; 0 if that is not known."""
    try:
        return int(_INT.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_INT.size)))[0])
    except OSError:
        # Then only what the kernel takes shows that the caller reads on.
        return 0
