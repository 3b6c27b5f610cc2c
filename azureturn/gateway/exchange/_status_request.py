"""Asks an upstream for its status, which shows whether its responses come back."""

from collections.abc import Callable
from contextlib import suppress

import h11

from azureturn.gateway.exchange._connections import UpstreamConnection
from azureturn.gateway.exchange._response_deadline import ResponseDeadline
from azureturn.gateway.exchange._response_reader import read_final_head, skip_body
from azureturn.gateway.site import RegisteredUpstream
from azureturn.serving import now_ms


def request_status(
    connection: UpstreamConnection,
    upstream: RegisteredUpstream,
    path: str,
    *,
    timeout_ms: int,
    on_head: Callable[[h11.Response | h11.InformationalResponse], None],
) -> None:
    """Send a request for the status page, and read any response.

    ``on_head`` is called with each head as soon as it has been received. Raises ``TimeoutError`` if
    the head of the response does not arrive in time, and :class:`UpstreamError` if the connection
    breaks or what arrives is no response. A body that takes longer changes nothing.
    """
    headers = [("Host", f"{upstream.host}:{upstream.port}"), ("Connection", "close")]
    request = h11.Request(method="GET", target=path, headers=headers)
    deadline = ResponseDeadline(now_ms() + timeout_ms)
    connection.send(request, b"", timeout_ms=timeout_ms)
    on_head(read_final_head(connection, deadline=deadline, on_informational=on_head))
    with suppress(TimeoutError):
        skip_body(connection, deadline=deadline)
