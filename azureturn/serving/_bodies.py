"""Reads a caller's request body completely, up to a size limit."""

from collections.abc import Callable
from typing import Protocol

from azureturn.errors import CallerError, ErrorKind

_READ_BYTES = 65_536
#: Maximum number of digits in a Content-Length header.
_LENGTH_DIGITS = 15


class BodyRoom(Protocol):
    """Decides how much of a body may be held in memory."""

    @property
    def free_bytes(self) -> int:
        """Return how much of any body may be read before :meth:`acquire`."""

    def acquire(self, size_bytes: int) -> None:
        """Wait until a body of this size may be held; may raise :class:`AzureturnError`."""

    def record_progress(self, size_bytes: int) -> None:
        """Record that so many bytes were read after :meth:`acquire`."""


def read_whole_body(
    read: Callable[[int], bytes],
    content_length_header: str | None,
    *,
    limit_bytes: int,
    room: BodyRoom | None = None,
) -> bytes:
    """Return the request body, read with ``read``.

    ``content_length_header`` is the raw Content-Length header, or None if there is none. Nothing is
    read beyond what ``room`` allows; a body without a length is taken to be as large as it may be,
    so that no body waits for room while it holds some. Raise
    :class:`CallerError` if the body is too large, is incomplete or is not received in time.
    """
    length = _parse_content_length(content_length_header)
    if length is not None and length > limit_bytes:
        raise CallerError(ErrorKind.BODY_TOO_LARGE)
    body = bytearray()
    has_room = room is None
    try:
        while piece := read(_READ_BYTES if room is None or has_room else room.free_bytes):
            body += piece
            if len(body) > limit_bytes:
                raise CallerError(ErrorKind.BODY_TOO_LARGE)
            if room is None or len(body) == length:
                continue
            if not has_room and len(body) >= room.free_bytes:
                room.acquire(limit_bytes if length is None else length)
                has_room = True
            room.record_progress(len(piece))
    except TimeoutError as error:
        raise CallerError(ErrorKind.REQUEST_TIMEOUT) from error
    except (ValueError, OSError) as error:
        raise CallerError(
            ErrorKind.MALFORMED_REQUEST, "the connection failed before the end of the body"
        ) from error
    if length is not None and len(body) != length:
        raise CallerError(ErrorKind.MALFORMED_REQUEST, "the body is shorter than announced")
    return bytes(body)


def _parse_content_length(header: str | None) -> int | None:
    if header is None:
        return None
    if not header.isascii() or not header.isdecimal() or len(header) > _LENGTH_DIGITS:
        raise CallerError(ErrorKind.BAD_HEADER, "Content-Length must be a decimal integer")
    return int(header)
