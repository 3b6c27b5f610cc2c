"""A port of the loopback address whose connections are served in threads."""

import socket
import threading
from collections.abc import Callable


class LocalListener:
    """Accepts connections on a free port, and serves each in a thread of its own.

    ``serve`` is called with each connection, which is closed afterwards.
    """

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        #: Number of connections accepted.
        self.connections = 0
        self._thread = threading.Thread(target=self._accept_forever, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Accept no more connections."""
        # Without a shutdown, the thread blocked in accept would keep the closed socket listening.
        self._listener.shutdown(socket.SHUT_RDWR)
        # The thread may be about to accept by the number of the descriptor, which the next socket
        # gets once this one is closed: it would take that one's connections.
        self._thread.join()
        self._listener.close()

    def _accept_forever(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve_one, args=(connection,), daemon=True).start()

    def _serve_one(self, connection: socket.socket) -> None:
        with connection:
            self._serve(connection)
