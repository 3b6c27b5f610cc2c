"""Reads a caller's request body completely, up to a size limit."""

from collections.abc import Callable

from azureturn.errors import CallerError, ErrorKind

_READ_BYTES = 65_536
#: Maximum number of digits in a Content-Length header.
_LENGTH_DIGITS = 15


def read_whole_body(
    read: Callable[[int], bytes], content_length_header: str | None, *, limit_bytes: int
) -> bytes:
    """Return the request body, read with ``read``.

    ``content_length_header`` is the raw Content-Length header, or None if there is none. Raise
    :class:`CallerError` if the body is too large, is incomplete or is not received in time.
    """
    length = _parse_content_length(content_length_header)
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
