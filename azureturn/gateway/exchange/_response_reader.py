"""Reads the parts of a response that every reader of one needs."""

from collections.abc import Callable

import h11

from azureturn.errors import ErrorKind, UpstreamError
from azureturn.gateway.exchange._connections import UpstreamConnection
from azureturn.gateway.exchange._response_deadline import ResponseDeadline

#: How much of a body that nobody needs is read, for instance to use its connection again.
MAX_SKIPPED_BYTES = 1 << 16
#: Maximum number of informational responses (status 1xx) before the response.
_MAX_INFORMATIONAL_RESPONSES = 16


def read_final_head(
    connection: UpstreamConnection,
    *,
    deadline: ResponseDeadline,
    on_informational: Callable[[h11.InformationalResponse], object],
) -> h11.Response:
    """Return the head of a response, after those of informational ones.

    Raises ``TimeoutError`` if it does not arrive in time, and :class:`UpstreamError` if what
    arrives is no response.
    """
    for _ in range(_MAX_INFORMATIONAL_RESPONSES + 1):
        event = deadline.next_event(connection)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            break
        on_informational(event)
    raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "expected a response head")


def skip_body(connection: UpstreamConnection, *, deadline: ResponseDeadline) -> bool:
    """Read a body that nobody needs, and return whether it has ended.

    At most :data:`MAX_SKIPPED_BYTES` are read, or a part more. Raises as
    :func:`read_final_head` does.
    """
    skipped_bytes = 0
    while skipped_bytes <= MAX_SKIPPED_BYTES:
        event = deadline.next_event(connection)
        if isinstance(event, h11.EndOfMessage):
            return True
        assert isinstance(event, h11.Data)
        skipped_bytes += len(event.data)
    return False
