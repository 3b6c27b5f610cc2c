"""A faulty server that sends bytes without end, until the client closes the connection."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from standins._local_listener import LocalListener

#: What a test treats as bytes without end.
_MAX_SENT_BYTES = 1 << 28


class EndlessServer(LocalListener):
    """Sends each client ``prefix``, and then ``block`` again and again."""

    def __init__(self, prefix: bytes, block: bytes) -> None:
        self._prefix = prefix
        #: Large writes, so that a test does not take long.
        self._block = block * max(1, 65_536 // len(block))
        #: Bytes sent on each connection that has ended.
        self.sent_bytes: list[int] = []
        super().__init__(self._record_sent)

    def _record_sent(self, connection: socket.socket) -> None:
        self.sent_bytes.append(self._send(connection))

    def _send(self, connection: socket.socket) -> int:
        sent = 0
        try:
            connection.recv(65_536)
            connection.sendall(self._prefix)
            while sent < _MAX_SENT_BYTES:
                connection.sendall(self._block)
                sent += len(self._block)
        except OSError:
            # The client has closed the connection.
            return sent
        return sent


@contextmanager
def endless_server(prefix: bytes, block: bytes) -> Iterator[EndlessServer]:
    """Run a server until the end of the block."""
    server = EndlessServer(prefix, block)
    try:
        yield server
    finally:
        server.close()
