"""A fake upstream that sends the bytes that a test gives it."""

import socket
from collections.abc import Callable

from standins._local_listener import LocalListener

#: Called with the connection and the request; sends a response.
Script = Callable[[socket.socket, bytes], None]


class ScriptedUpstream(LocalListener):
    """Listens on a port and runs one script for each request that it reads, in order."""

    def __init__(self, *scripts: Script) -> None:
        self._scripts = list(scripts)
        self.requests: list[bytes] = []
        super().__init__(self._run_scripts)

    def _run_scripts(self, connection: socket.socket) -> None:
        while self._scripts:
            request = _read_request(connection)
            if not request:
                return
            self.requests.append(request)
            self._scripts.pop(0)(connection, request)


def _read_request(connection: socket.socket) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            chunk = connection.recv(65_536)
        except OSError:
            return b""
        if not chunk:
            return b""
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += connection.recv(65_536)
    return head + b"\r\n\r\n" + body


def respond_with(data: bytes, *, close: bool = False, reset: bool = False) -> Script:
    """Return a script that sends ``data``, then closes or resets the connection if asked to."""

    def script(connection: socket.socket, request: bytes) -> None:
        connection.sendall(data)
        if reset:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if close or reset:
            connection.close()

    return script
