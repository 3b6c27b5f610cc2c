"""HTTP responses of urllib3 that are checked, and limited, whatever the other end sends.

urllib3 reads the line before each chunk, and those after the last one, without a limit. Python's
own library accepts heads that are broken: what follows a line without a field is no part of the
head for it, and so the body may be another one than was sent.
"""

import io
import re
from http.client import HTTPException, HTTPResponse
from typing import Any

import h11
import urllib3
from urllib3.connection import HTTPConnection

from azureturn._socket_errors import is_connection_lost
from azureturn._strict_http import StrictConnection

#: Maximum length of one line, and of a head or a trailer section.
MAX_LINE_BYTES = 65_536
#: Maximum number of lines in a row, as of a head. A chunk's line is followed by data.
MAX_LINES = 1_000
#: The line before a chunk, of which the size is 0 for the last one.
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(?:;.*)?\r?\n", re.DOTALL)


class _CheckedLines:
    """A socket's file with one response, whose lines are limited and checked.

    Informational responses are left out. Raises ``HTTPException`` for a line that is broken, and
    beyond the limits; its text does not contain the line.
    """

    def __init__(self, file: Any) -> None:
        self._file = file
        self._lines = 0
        #: Sees the head and the trailer section, but no chunk between them.
        self._http = StrictConnection(max_head_bytes=MAX_LINE_BYTES)
        self._http.send(h11.Request(method="GET", target="/", headers=[("Host", "any")]))
        self._http.send(h11.EndOfMessage())
        #: The head, of which the lines are read after it has been checked; None before.
        self._head: io.BytesIO | None = None
        self._is_in_trailers = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, or the first ``size`` bytes of it."""
        if self._head is None:
            self._head = io.BytesIO(self._read_head())
        if head_line := self._head.readline(size):
            return head_line
        line = self._read_line(size)
        self._is_in_trailers = self._is_in_trailers or _is_last_chunk(line)
        if self._is_in_trailers:
            self._check(line)
        return line

    def read(self, size: int = -1) -> bytes:
        """Return data of the body."""
        self._lines = 0
        data: bytes = self._file.read(size)
        return data

    def readinto(self, buffer: Any) -> int:
        """Read data of the body into a buffer."""
        self._lines = 0
        size: int = self._file.readinto(buffer)
        return size

    def _read_head(self) -> bytes:
        """Return the head of the final response; nothing if the connection ends before it."""
        head = b""
        while line := self._read_line():
            head += line
            event = self._check(line)
            if isinstance(event, h11.Response):
                return head
            if isinstance(event, h11.InformationalResponse):
                head = b""
        if head:
            raise HTTPException("connection closed inside a head")
        return b""

    def _read_line(self, size: int = -1) -> bytes:
        self._lines += 1
        if self._lines > MAX_LINES:
            raise HTTPException(f"more than {MAX_LINES} lines in a row")
        line: bytes = self._file.readline(MAX_LINE_BYTES + 1 if size < 0 else size)
        if len(line) > MAX_LINE_BYTES:
            raise HTTPException(f"line of more than {MAX_LINE_BYTES} bytes")
        return line

    def _check(self, line: bytes) -> object:
        """Return h11's event after a line, which is empty at the end of the connection."""
        self._http.receive_data(line)
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            # The text of h11's error contains the line, which must reach no caller either.
            raise HTTPException("broken head or trailer section") from error


def _is_last_chunk(line: bytes) -> bool:
    """Return whether the line before a chunk says that it is the last one."""
    if not line:
        return False
    size = _CHUNK_SIZE.fullmatch(line)
    if size is None:
        raise HTTPException("broken size of a chunk")
    return not size[1].strip(b"0")


class LimitedResponse(HTTPResponse):
    """A response whose lines are limited and checked."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.fp: Any = _CheckedLines(self.fp)


class LimitedConnection(HTTPConnection):
    """A connection of urllib3 with limited responses.

    urllib3 reads a response although the request could not be sent as a whole. If the connection
    was lost, its end ends no body.
    """

    response_class = LimitedResponse
    #: Whether a send has found that the connection was reset or timed out.
    _is_lost = False

    def connect(self) -> None:
        """Open the connection, also again after it was closed."""
        self._is_lost = False
        super().connect()

    def send(self, data: Any) -> None:
        """Send a part of a request."""
        try:
            super().send(data)
        except OSError as error:
            self._is_lost = is_connection_lost(error)
            raise

    def getresponse(self) -> Any:
        """Return the response, whose body has not been read.

        Raises ``ConnectionResetError`` if the end of the body cannot be told.
        """
        response = super().getresponse()
        has_marked_end = response.chunked or response.length_remaining is not None
        if self._is_lost and not has_marked_end:
            response.close()
            raise ConnectionResetError("connection lost before a response without a length ended")
        return response


class LimitedConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of connections with limited responses."""

    ConnectionCls = LimitedConnection


def limited_pool_manager(
    *, pool_class: type[urllib3.HTTPConnectionPool] = LimitedConnectionPool, **options: Any
) -> urllib3.PoolManager:
    """Return a pool manager with limited responses; ``options`` are those of urllib3's."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {**manager.pool_classes_by_scheme, "http": pool_class}
    return manager


def read_whole(response: Any, *, limit_bytes: int) -> bytes:
    """Return the body of a response that was requested without ``preload_content``.

    Its connection is used again. Raises urllib3's ``HTTPError`` or an ``OSError`` if the body is
    not complete, or larger than ``limit_bytes``; the connection is then closed.
    """
    try:
        data: bytes = response.read(limit_bytes + 1, decode_content=False)
        if len(data) > limit_bytes:
            raise urllib3.exceptions.HTTPError(f"body of more than {limit_bytes} bytes")
        # urllib3 checks the length only where a read returns nothing.
        if response.length_remaining:
            raise urllib3.exceptions.IncompleteRead(len(data), response.length_remaining)
    except (urllib3.exceptions.HTTPError, OSError):
        response.close()
        raise
    response.release_conn()
    return data
