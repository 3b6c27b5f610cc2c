"""Frames on a relayed connection, which tell its end from the end of the VM that relays it.

The operating system ends the connections of a process that is killed as if the process had closed
them. A response without a length would then look complete, so the relaying VM says explicitly that
the upstream has ended its connection.
"""

import struct
from typing import Protocol

_LENGTH = struct.Struct(">I")
#: Largest part in one frame.
MAX_PART_BYTES = 65_536
#: Says that the upstream has ended its connection.
END_FRAME = _LENGTH.pack(0)


def encode_frame(part: bytes) -> bytes:
    """Return a frame with a part of the upstream's bytes, which must not be empty.

    >>> encode_frame(b"abc")
    b'\\x00\\x00\\x00\\x03abc'
    """
    return _LENGTH.pack(len(part)) + part


class UpstreamBytes(Protocol):
    """Finds the upstream's bytes in the data that is received on a connection."""

    @property
    def has_ended(self) -> bool:
        """Return whether the upstream has ended its connection."""

    @property
    def is_between_parts(self) -> bool:
        """Return whether no part has been received incompletely."""

    def feed(self, data: bytes) -> bytes:
        """Return the upstream's bytes in received data, which is empty at the connection's end.

        Raises an ``OSError`` if the connection ends and the upstream has not ended it.
        """


class DirectBytes:
    """The bytes of a connection to the upstream itself."""

    is_between_parts = True

    def __init__(self) -> None:
        self.has_ended = False

    def feed(self, data: bytes) -> bytes:
        """Return the data."""
        self.has_ended = not data
        return data


class UnframedBytes:
    """The bytes of a connection relayed by a VM of an earlier build, which sends no frames.

    Who has ended the connection is unknown, so that its end completes no response.
    """

    has_ended = False
    is_between_parts = True

    def feed(self, data: bytes) -> bytes:
        """Return the data; raises ``ConnectionAbortedError`` at the end of the connection."""
        if not data:
            raise ConnectionAbortedError("a relayed connection ended without a reason")
        return data


class FramedBytes:
    """The bytes in the frames of a relayed connection.

    >>> received = FramedBytes()
    >>> received.feed(encode_frame(b"abc")[:5]), received.is_between_parts
    (b'a', False)
    >>> received.feed(b"bc" + END_FRAME), received.has_ended
    (b'bc', True)
    """

    def __init__(self) -> None:
        self.has_ended = False
        #: The received bytes of a length that is not complete yet.
        self._length = b""
        #: Bytes of the current part that have not been received yet.
        self._left_bytes = 0

    @property
    def is_between_parts(self) -> bool:
        """Return whether no frame has been received incompletely."""
        return not self._left_bytes and not self._length

    def feed(self, data: bytes) -> bytes:
        """Return the upstream's bytes in received data.

        Raises ``ConnectionAbortedError`` if the connection ends before the frame that says so, or
        if a frame is larger than :data:`MAX_PART_BYTES`.
        """
        if not data and not self.has_ended:
            raise ConnectionAbortedError("a relayed connection ended before the upstream's")
        parts: list[bytes] = []
        offset = 0
        while offset < len(data) and not self.has_ended:
            if not self._left_bytes:
                offset = self._read_length(data, offset)
                continue
            part = data[offset : offset + self._left_bytes]
            parts.append(part)
            offset += len(part)
            self._left_bytes -= len(part)
        return b"".join(parts)

    def _read_length(self, data: bytes, offset: int) -> int:
        """Read the next length, or a part of it, and return the offset after it."""
        end = offset + _LENGTH.size - len(self._length)
        self._length += data[offset:end]
        if len(self._length) == _LENGTH.size:
            (self._left_bytes,) = _LENGTH.unpack(self._length)
            self._length = b""
            if self._left_bytes > MAX_PART_BYTES:
                raise ConnectionAbortedError("a frame is too large")
            self.has_ended = not self._left_bytes
        return min(end, len(data))
