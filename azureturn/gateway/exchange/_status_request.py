"""Asks an upstream for its status, which shows whether its responses come back."""

import h11

from azureturn.errors import ErrorKind, UpstreamError
from azureturn.gateway.exchange._connections import UpstreamConnection
from azureturn.gateway.site import RegisteredUpstream


def request_status(
    connection: UpstreamConnection, upstream: RegisteredUpstream, path: str, *, timeout_ms: int
) -> h11.Response | h11.InformationalResponse:
    """Send a request for the status page, and return the head of any response.

    Raises ``TimeoutError`` if there is none in time, and :class:`UpstreamError` if the connection
    breaks or what arrives is no response.
    """
    headers = [("Host", f"{upstream.host}:{upstream.port}"), ("Connection", "close")]
    request = h11.Request(method="GET", target=path, headers=headers)
    connection.send(request, b"", timeout_ms=timeout_ms)
    event = connection.next_event(timeout_ms=timeout_ms)
    if not isinstance(event, h11.Response | h11.InformationalResponse):
        raise UpstreamError(ErrorKind.ANSWER_TRUNCATED, "expected a response head")
    return event
