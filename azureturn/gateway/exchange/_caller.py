"""One caller's request and the channel on which it is answered."""

import socket
from collections.abc import Iterable
from typing import Any

from azureturn.errors import CallerError, ErrorKind

_READ_BYTES = 65_536
_LENGTH_DIGITS = 15


class CallerChannel:
    """Reads a request from the HTTP library and writes one answer to it."""

    def __init__(self, request: Any) -> None:
        self._request = request
        self.method: str = request.method.decode("latin-1")
        #: Path and query as the caller sent them.
        self.target: str = request.uri.decode("latin-1")
        self.headers: tuple[tuple[str, str], ...] = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.inheaders.items()
        )
        #: By name in lower case.
        self.header_values = {name.lower(): value for name, value in self.headers}
        self.has_begun = False

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition("?")[0]

    @property
    def socket(self) -> socket.socket:
        """Return the connection, to be watched for the caller's leaving."""
        found: socket.socket = self._request.conn.socket
        return found

    def read_body(self, limit_bytes: int) -> bytes:
        """Return the whole body; :class:`CallerError` where it is too large or broke off."""
        length = self.header_values.get("content-length")
        if length is not None and (not length.isdecimal() or len(length) > _LENGTH_DIGITS):
            raise CallerError(ErrorKind.BAD_HEADER, "Content-Length must be a whole number")
        if length is not None and int(length) > limit_bytes:
            self._request.close_connection = True
            raise CallerError(ErrorKind.BODY_TOO_LARGE)
        body = bytearray()
        try:
            while piece := self._request.rfile.read(_READ_BYTES):
                body += piece
                if len(body) > limit_bytes:
                    self._request.close_connection = True
                    raise CallerError(ErrorKind.BODY_TOO_LARGE)
        except TimeoutError as error:
            self._request.close_connection = True
            raise CallerError(ErrorKind.REQUEST_TIMEOUT) from error
        except (ValueError, OSError) as error:
            self._request.close_connection = True
            raise CallerError(ErrorKind.MALFORMED_REQUEST, "the body broke off") from error
        if length is not None and len(body) != int(length):
            self._request.close_connection = True
            raise CallerError(ErrorKind.MALFORMED_REQUEST, "the body is shorter than announced")
        return bytes(body)

    def answer(
        self,
        status: int,
        reason: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        *,
        close: bool,
    ) -> None:
        """Write a whole answer."""
        length = [("Content-Length", str(len(body)))]
        self._begin(status, reason, [*headers, *length], close=close)
        if body and self.method != "HEAD":
            self._request.write(body)

    def begin_stream(
        self, status: int, reason: str, headers: Iterable[tuple[str, str]], *, close: bool
    ) -> None:
        """Write the head of an answer whose length is not known; its end is the chunk of none."""
        self._begin(status, reason, list(headers), close=close)

    def write(self, data: bytes) -> None:
        """Write a piece of a stream."""
        self._request.write(data)

    def _begin(
        self, status: int, reason: str, headers: list[tuple[str, str]], *, close: bool
    ) -> None:
        request = self._request
        request.status = f"{status} {reason}".encode("latin-1")
        request.outheaders = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        request.close_connection = request.close_connection or close
        self.has_begun = True
        request.sent_headers = True
        request.send_headers()
