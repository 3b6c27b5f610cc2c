"""An upstream that answers each connection with bytes that a test wrote."""

import socket
import threading
from collections.abc import Callable

Script = Callable[[socket.socket, bytes], None]


class ScriptedUpstream:
    """Listens on a port and lets a script answer each request that it reads."""

    def __init__(self, *scripts: Script) -> None:
        self._scripts = list(scripts)
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listening.getsockname()[1]
        self.requests: list[bytes] = []
        self.connections = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        """Take no more connections."""
        # A thread that waits for a connection would keep a closed socket listening.
        self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listening.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection: socket.socket) -> None:
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
            piece = connection.recv(65_536)
        except OSError:
            return b""
        if not piece:
            return b""
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += connection.recv(65_536)
    return head + b"\r\n\r\n" + body


def answers(data: bytes, *, close: bool = False, reset: bool = False) -> Script:
    """Return a script that sends these bytes."""

    def script(connection: socket.socket, request: bytes) -> None:
        connection.sendall(data)
        if reset:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if close or reset:
            connection.close()

    return script
