"""Reads a caller's body whole, within a limit."""

from collections.abc import Callable

from azureturn.errors import CallerError, ErrorKind

_READ_BYTES = 65_536
#: Most digits of an announced length.
_LENGTH_DIGITS = 15


def read_whole_body(
    read: Callable[[int], bytes], announced_length: str | None, *, limit_bytes: int
) -> bytes:
    """Return the body; :class:`CallerError` where it is too large, broke off or took too long.

    ``announced_length`` is the header as it came, or None where there is none.
    """
    length = _length_of(announced_length)
    if length is not None and length > limit_bytes:
        raise CallerError(ErrorKind.BODY_TOO_LARGE)
    body = bytearray()
    try:
        while piece := read(_READ_BYTES):
            body += piece
            if len(body) > limit_bytes:
                raise CallerError(ErrorKind.BODY_TOO_LARGE)
    except TimeoutError as error:
        raise CallerError(ErrorKind.REQUEST_TIMEOUT) from error
    except (ValueError, OSError) as error:
        raise CallerError(ErrorKind.MALFORMED_REQUEST, "the body broke off") from error
    if length is not None and len(body) != length:
        raise CallerError(ErrorKind.MALFORMED_REQUEST, "the body is shorter than announced")
    return bytes(body)


def _length_of(header: str | None) -> int | None:
    if header is None:
        return None
    if not header.isascii() or not header.isdecimal() or len(header) > _LENGTH_DIGITS:
        raise CallerError(ErrorKind.BAD_HEADER, "Content-Length must be a whole number")
    return int(header)
