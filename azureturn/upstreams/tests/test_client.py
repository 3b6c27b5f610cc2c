"""Tests of the HTTP client of an upstream."""

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from azureturn.errors import ErrorKind, UpstreamError
from azureturn.upstreams import UpstreamClient, UpstreamRequest

_EVENT = b"data: a\n\n"


@contextmanager
def _upstream(framing: bytes, body: bytes) -> Iterator[UpstreamClient]:
    """Serve one response with the given framing header, and close its connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s\r\n\r\n"
                connection.sendall(head % framing + body)

        threading.Thread(target=serve, daemon=True).start()
        yield UpstreamClient(f"http://127.0.0.1:{listener.getsockname()[1]}")


def _received(client: UpstreamClient) -> bytes:
    request = UpstreamRequest(
        "GET", "/", {}, b"", "r1", connect_timeout_ms=2_000, read_timeout_ms=2_000
    )
    return b"".join(client.send(request).iter_body())


@pytest.mark.parametrize(
    ("framing", "body"),
    [
        (b"Content-Length: 9", _EVENT),
        (b"Transfer-Encoding: chunked", b"9\r\n" + _EVENT + b"\r\n0\r\n\r\n"),
    ],
    ids=["length", "chunked"],
)
def test_a_body_with_a_marked_end_is_complete(framing: bytes, body: bytes) -> None:
    with _upstream(framing, body) as client:
        assert _received(client) == _EVENT


@pytest.mark.parametrize(
    ("framing", "body"),
    [
        (b"Connection: close", _EVENT),
        (b"Content-Length: 10", _EVENT),
        (b"Transfer-Encoding: chunked", b"9\r\n" + _EVENT + b"\r\n"),
    ],
    ids=["neither length nor chunks", "shorter than its length", "without the last chunk"],
)
def test_a_body_that_may_have_been_broken_off_is_not_complete(framing: bytes, body: bytes) -> None:
    with _upstream(framing, body) as client, pytest.raises(UpstreamError) as raised:
        _received(client)
    assert raised.value.kind is ErrorKind.ANSWER_TRUNCATED
