"""HTTP responses of urllib3 whose lines have limits, whatever the other end sends.

urllib3 reads the line before each chunk, and those after the last one, without a limit. Python's
own library skips informational responses (status 1xx) for as long as they come.
"""

from http.client import HTTPException, HTTPResponse
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from azureturn._socket_errors import is_connection_lost

#: Maximum length of one line.
MAX_LINE_BYTES = 65_536
#: Maximum number of lines in a row, as of a head. A chunk's line is followed by data.
MAX_LINES = 1_000


class _LimitedLines:
    """A socket's file whose lines have limits; raises ``HTTPException`` beyond them."""

    def __init__(self, file: Any) -> None:
        self._file = file
        self._lines = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, or the first ``size`` bytes of it."""
        self._lines += 1
        if self._lines > MAX_LINES:
            raise HTTPException(f"more than {MAX_LINES} lines in a row")
        line: bytes = self._file.readline(MAX_LINE_BYTES + 1 if size < 0 else size)
        if len(line) > MAX_LINE_BYTES:
            raise HTTPException(f"line of more than {MAX_LINE_BYTES} bytes")
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


class LimitedResponse(HTTPResponse):
    """A response whose lines have limits."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.fp: Any = _LimitedLines(self.fp)


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
    except (urllib3.exceptions.HTTPError, OSError):
        response.close()
        raise
    response.release_conn()
    return data
