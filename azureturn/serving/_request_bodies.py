"""Finds a request's body in what a caller sends: a body with a length, or one in chunks.

The framing is read strictly: what is not certain to belong to this request could be taken for the
next one.
"""

import re
from typing import Protocol

from azureturn.errors import CallerError, ErrorKind
from azureturn.serving._caller_io import CallerReader
from azureturn.tasks import yield_to_others

_READ_BYTES = 16_384
#: Maximum length of the line before a chunk, with its extensions.
CHUNK_LINE_LIMIT_BYTES = 4_096
#: Maximum size of all trailers together, and of their number.
TRAILER_LIMIT_BYTES = 32_768
TRAILER_LIMIT_LINES = 1_000
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r\n")
_TRAILER = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r\n")
_CRLF = b"\r\n"
#: Chunks of one size in a row are decoded together if they are at most this large.
_MAX_RUN_CHUNK_BYTES = 16
_MIN_RUN_CHUNKS = 8
#: A task lets others go on after it has parsed so many chunks or runs of chunks.
_TURN_CHUNKS = 1_000


class RequestBody(Protocol):
    """The body of one request."""

    @property
    def is_at_end(self) -> bool:
        """Return whether the whole body has been read, and all that belongs to it."""

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes as soon as there are any; none at the end of the body."""


class BodyWithLength:
    """A body whose length was announced."""

    def __init__(self, reader: CallerReader, length: int) -> None:
        self._reader = reader
        self.remaining = length

    @property
    def is_at_end(self) -> bool:
        """Return whether the whole body has been read."""
        return not self.remaining

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes; none at the end of the body or of the connection."""
        data = self._reader.read_available(min(size, self.remaining)) if self.remaining else b""
        self.remaining -= len(data)
        return data


class BodyInChunks:
    """A body in chunks, and the trailers behind it, which are read and discarded.

    Raises ``ValueError`` if the framing is not valid, and :class:`CallerError` if a line or the
    trailers are too large.
    """

    def __init__(self, reader: CallerReader) -> None:
        self._reader = reader
        #: Received bytes that are not decoded yet: a part of a line, or the end of a chunk.
        self._undecoded = b""
        #: Bytes of the current chunk that have not been received yet.
        self._left_bytes = 0
        self._is_inside_chunk = False
        self._has_last_chunk = False
        self._decoded: list[bytes] = []
        self._turn_chunks = 0
        self.is_at_end = False

    def read(self, size: int) -> bytes:
        """Return up to ``size`` decoded bytes; none at the end of the body."""
        size = min(size, _READ_BYTES)
        while not self._decoded and not self.is_at_end:
            if self._has_last_chunk:
                self._read_trailers()
                return b""
            received = self._reader.read_available(size)
            if not received:
                raise ValueError("the connection ended inside a body in chunks")
            self._decode(self._undecoded + received)
        data = b"".join(self._decoded)
        self._decoded.clear()
        return data

    def _decode(self, data: bytes) -> None:
        """Decode all that is complete in received data, and keep the rest."""
        position = 0
        while position < len(data) and not self._has_last_chunk:
            next_position = self._decode_next(data, position)
            if next_position == position:
                break
            position = next_position
            self._turn_chunks += 1
            if self._turn_chunks >= _TURN_CHUNKS:
                self._turn_chunks = 0
                yield_to_others()
        self._undecoded = data[position:]
        if self._has_last_chunk:
            self._reader.unread(self._undecoded)
            self._undecoded = b""

    def _decode_next(self, data: bytes, position: int) -> int:
        """Decode the next part and return the position after it; the same if it is incomplete."""
        if self._left_bytes:
            part = data[position : position + self._left_bytes]
            self._decoded.append(part)
            self._left_bytes -= len(part)
            return position + len(part)
        if self._is_inside_chunk:
            end = data[position : position + len(_CRLF)]
            if not _CRLF.startswith(end):
                raise ValueError("a chunk is longer than announced")
            if end != _CRLF:
                return position
            self._is_inside_chunk = False
            return position + len(_CRLF)
        return self._decode_chunk_line(data, position)

    def _decode_chunk_line(self, data: bytes, position: int) -> int:
        line = _CHUNK_LINE.match(data, position)
        if line is None:
            available_bytes = len(data) - position
            if available_bytes > CHUNK_LINE_LIMIT_BYTES:
                raise CallerError(ErrorKind.HEADERS_TOO_LARGE, "the line of a chunk is too long")
            if data.find(b"\n", position) >= 0:
                raise ValueError("the line of a chunk is not valid")
            return position
        size = int(line[1], 16)
        if not size:
            self._has_last_chunk = True
            return line.end()
        if size <= _MAX_RUN_CHUNK_BYTES:
            end = self._decode_run(data, line[0], position, size)
            if end > position:
                return end
        self._left_bytes = size
        self._is_inside_chunk = True
        return line.end()

    def _decode_run(self, data: bytes, line: bytes, position: int, size: int) -> int:
        """Decode the chunks in a row that have the same line, and return the position after them.

        A body in chunks of one byte would take seconds if each of them were decoded for itself.
        """
        step = len(line) + size + len(_CRLF)
        chunks = (len(data) - position) // step
        framing = [(index, line[index : index + 1]) for index in range(len(line))]
        framing += [(step - 2, b"\r"), (step - 1, b"\n")]
        for index, byte in framing:
            if chunks < _MIN_RUN_CHUNKS:
                return position
            column = data[position + index : position + chunks * step : step]
            chunks -= len(column.lstrip(byte))
        if chunks < _MIN_RUN_CHUNKS:
            return position
        end = position + chunks * step
        content = bytearray(chunks * size)
        for index in range(size):
            content[index::size] = data[position + len(line) + index : end : step]
        self._decoded.append(bytes(content))
        return end

    def _read_trailers(self) -> None:
        left_bytes = TRAILER_LIMIT_BYTES
        for _ in range(TRAILER_LIMIT_LINES + 1):
            line = self._reader.readline(left_bytes)
            left_bytes -= len(line)
            if line == _CRLF:
                self.is_at_end = True
                return
            if left_bytes <= 0:
                break
            if not _TRAILER.fullmatch(line):
                raise ValueError("a trailer is not valid")
        raise CallerError(ErrorKind.HEADERS_TOO_LARGE, "the trailers are too large")
