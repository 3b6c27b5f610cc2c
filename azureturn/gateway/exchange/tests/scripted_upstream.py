"""A fake upstream that sends the bytes that a test gives it."""

import socket
import threading
from collections.abc import Callable

#: Called with the connection and the request; sends a response.
Script = Callable[[socket.socket, bytes], None]


class ScriptedUpstream:
    """Listens on a port and runs one script for each request that it reads, in order."""

    def __init__(self, *scripts: Script) -> None:
        self._scripts = list(scripts)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.requests: list[bytes] = []
        self.connections = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        # Without a shutdown, the thread blocked in accept would keep the closed socket listening.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._handle_connection, args=(connection,), daemon=True
            ).start()

    def _handle_connection(self, connection: socket.socket) -> None:
        with connection:
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
