"""One caller's request and the channel on which it is answered."""

import socket
from collections.abc import Iterable
from typing import Any

from azureturn.errors import CallerError
from azureturn.serving import read_whole_body


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
        announced = self.header_values.get("content-length")
        try:
            return read_whole_body(self._request.rfile.read, announced, limit_bytes=limit_bytes)
        except CallerError:
            # What is left of the body would be taken for the next request.
            self._request.close_connection = True
            raise

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
