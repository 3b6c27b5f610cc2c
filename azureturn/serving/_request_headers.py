"""Reads the headers of requests; refuses framing that another program may read differently.

Source: RFC 9112, sections 5 and 6. A message whose end is uncertain could hide a further request.
"""

import re
from collections.abc import Iterable
from typing import Any, Protocol

from cheroot.server import HeaderReader

#: Headers that determine where the body ends; each may occur once.
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")


class _LineReader(Protocol):
    def readline(self) -> bytes: ...


class _HeaderLines:
    """Passes on header lines; raises ``ValueError`` at one that is not allowed."""

    def __init__(self, reader: _LineReader) -> None:
        self._reader = reader
        self._framing_headers: set[bytes] = set()

    def readline(self) -> bytes:
        line = self._reader.readline()
        if line[:1] in (b" ", b"\t"):
            raise ValueError("a header is continued on the next line")
        name = line.partition(b":")[0].lower()
        if name.rstrip() in _FRAMING_HEADERS:
            if name.rstrip() in self._framing_headers:
                raise ValueError("a framing header is repeated")
            self._framing_headers.add(name.rstrip())
        if name.endswith((b" ", b"\t")):
            raise ValueError("there is space between a header's name and the colon")
        return line


class StrictHeaderReader(HeaderReader):
    """Reads headers strictly.

    >>> from io import BytesIO
    >>> StrictHeaderReader()(BytesIO(b"Content-Length: 5\\r\\n\\r\\n"))
    {b'Content-Length': b'5'}
    """

    def __call__(self, rfile: _LineReader, hdict: Any = None) -> Any:
        """Return the headers by name; raises ``ValueError`` if they are not valid."""
        headers = super().__call__(_HeaderLines(rfile), hdict)
        length = headers.get(b"Content-Length")
        if length is not None and not _CONTENT_LENGTH.fullmatch(length):
            raise ValueError("Content-Length is not a number")
        return headers


def framing_mistake(header_names: Iterable[bytes], *, is_http_1_1: bool) -> str:
    """Return why the framing of a request is not certain; empty if it is.

    >>> framing_mistake([b"Content-Length"], is_http_1_1=False)
    ''
    """
    if b"Transfer-Encoding" not in header_names:
        return ""
    if not is_http_1_1:
        return "Transfer-Encoding requires HTTP/1.1"
    if b"Content-Length" in header_names:
        return "both Transfer-Encoding and Content-Length are given"
    return ""
