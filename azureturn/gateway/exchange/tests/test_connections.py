"""Tests of :class:`UpstreamConnection` at errors of its socket."""

import errno
import os
import socket

import h11
import pytest

from azureturn.errors import UpstreamError
from azureturn.gateway.exchange._connections import UpstreamConnection

_REQUEST = h11.Request(method="GET", target="/", headers=[("Host", "site.example")])
_TIMEOUT_MS = 5_000


class _TimedOutSocket(socket.socket):
    """Reports at its end that the kernel has given the connection up.

    The kernel does so if the other end has not answered its probes for some time.
    """

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        if data := super().recv(bufsize, flags):
            return data
        raise OSError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT))


@pytest.mark.parametrize("received", [b"", b"HTTP/1.1 200 OK\r\n\r\npart"], ids=["head", "body"])
def test_a_connection_that_the_kernel_gives_up_is_broken_and_not_silent(received: bytes) -> None:
    # Guards against MIXED: what is read after the error looks like the ordinary end of an answer
    # without a length.
    own_end, other_end = socket.socketpair()
    with other_end, _TimedOutSocket(fileno=own_end.detach()) as timed_out:
        connection = UpstreamConnection(timed_out)
        connection.send(_REQUEST, b"", timeout_ms=_TIMEOUT_MS)
        other_end.sendall(received)
        other_end.shutdown(socket.SHUT_WR)
        with pytest.raises(UpstreamError, match="TimeoutError"):
            while connection.next_event(timeout_ms=_TIMEOUT_MS):
                pass
