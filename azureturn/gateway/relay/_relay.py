"""One relayed connection: passes bytes on in both directions at the same time."""

import socket
from collections.abc import Callable
from contextlib import suppress

from azureturn._socket_options import RESET_AT_CLOSE
from azureturn.gateway.relay._frames import END_FRAME, MAX_PART_BYTES, encode_frame
from azureturn.serving import has_disconnected
from azureturn.tasks import HUNG_UP, READABLE, WRITABLE, wait_until_ready

#: How long the upstream may read nothing of a request.
_UPSTREAM_UNREAD_TIMEOUT_S = 30.0
#: How long the peer may read nothing of a response. It reads on only as its caller does, and gives
#: up a caller who has stopped by itself.
_PEER_UNREAD_TIMEOUT_S = 120.0


class Relay:
    """A connection of a peer and the one to the upstream that it is relayed to.

    Neither direction waits for the other: an upstream may respond before it has read the whole
    request, and the peer may give the request up meanwhile.
    """

    def __init__(
        self,
        peer: socket.socket,
        upstream: socket.socket,
        *,
        sends_frames: bool,
        may_begin_request: Callable[[], bool] = lambda: True,
    ) -> None:
        self._peer = peer
        self._upstream = upstream
        self._may_begin_request = may_begin_request
        #: Whether bytes of the upstream have been received since the last ones of the peer, so that
        #: the peer's next ones begin another request.
        self._has_response = False
        self._to_upstream = _Direction(
            peer, upstream, encode=bytes, on_received=self._on_peer_bytes
        )
        encode = _encode_for_peer if sends_frames else bytes
        self._to_peer = _Direction(
            upstream, peer, encode=encode, on_received=self._on_upstream_bytes
        )

    def pass_on(self) -> None:
        """Pass bytes on until one side ends the connection, and close the upstream's.

        If either connection is reset, so is the other. An orderly end could make an incomplete
        response look complete, and would deliver a request that the peer has given up.
        """
        try:
            while not (self._to_upstream.has_ended or self._to_peer.has_ended):
                self._pass_on_once()
        except OSError:
            # A reset of either side, or a side that reads nothing more.
            for connection in (self._peer, self._upstream):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        finally:
            self._upstream.close()

    def _on_upstream_bytes(self) -> None:
        self._has_response = True

    def _on_peer_bytes(self) -> None:
        if self._has_response and not self._may_begin_request():
            raise ConnectionAbortedError("the upstream must get no further request now")
        self._has_response = False

    def _pass_on_once(self) -> None:
        """Wait until either direction can go on, and let it."""
        # The end of the peer's connection counts also while nothing more is read from it. That
        # of the upstream's does not: what the upstream has sent before is still passed on.
        events = {self._peer.fileno(): HUNG_UP}
        directions = [self._to_peer]
        if not self._to_upstream.is_stopped:
            events[self._upstream.fileno()] = 0
            directions.insert(0, self._to_upstream)
        for direction in directions:
            descriptor = direction.awaited.fileno()
            events[descriptor] = events.get(descriptor, 0) | direction.awaited_event
        ready = wait_until_ready(events, self._unread_timeout_s)
        if self._to_upstream.has_unsent_bytes and has_disconnected(self._peer.fileno()):
            raise ConnectionAbortedError("the peer left before its request was passed on")
        ready_directions = [row for row in directions if row.awaited.fileno() in ready]
        if not ready_directions:
            raise ConnectionAbortedError("a connection failed of which nothing was awaited")
        for direction in ready_directions:
            self._advance(direction)

    @property
    def _unread_timeout_s(self) -> float | None:
        """Return how long the side that is sent something may read nothing of it."""
        if self._to_upstream.has_unsent_bytes:
            return _UPSTREAM_UNREAD_TIMEOUT_S
        return _PEER_UNREAD_TIMEOUT_S if self._to_peer.has_unsent_bytes else None

    def _advance(self, direction: "_Direction") -> None:
        try:
            direction.advance()
        except BrokenPipeError:
            if direction is not self._to_upstream:
                raise
            # The upstream has closed its connection in order, and takes no more of the request.
            # What it has sent may be a whole response.
            direction.stop()


class _Direction:
    """Bytes on their way from one connection to the other, one part at a time."""

    def __init__(
        self,
        source: socket.socket,
        destination: socket.socket,
        *,
        encode: Callable[[bytes], bytes],
        on_received: Callable[[], None],
    ) -> None:
        self._source = source
        self._destination = destination
        #: Returns what is sent for a part, or for the end if the part is empty.
        self._encode = encode
        #: Called before a part is passed on; may raise an ``OSError``.
        self._on_received = on_received
        self._unsent = memoryview(b"")
        self._source_has_ended = False
        #: Whether nothing more is passed on.
        self.is_stopped = False

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether the destination has not taken all of the last part."""
        return bool(self._unsent)

    @property
    def has_ended(self) -> bool:
        """Return whether the source has ended its connection and all has been passed on."""
        return self._source_has_ended and not self._unsent

    @property
    def awaited(self) -> socket.socket:
        """Return the connection that has to be ready before this direction can go on."""
        return self._destination if self._unsent else self._source

    @property
    def awaited_event(self) -> int:
        """Return the event for which it has to be ready."""
        return WRITABLE if self._unsent else READABLE

    def advance(self) -> None:
        """Send the rest of the last part, or receive the next one and begin to send it."""
        # What is not ready after all is awaited again.
        with suppress(BlockingIOError):
            if not self._unsent:
                part = self._source.recv(MAX_PART_BYTES)
                self._source_has_ended = not part
                if part:
                    self._on_received()
                self._unsent = memoryview(self._encode(part))
            if self._unsent:
                self._unsent = self._unsent[self._destination.send(self._unsent) :]

    def stop(self) -> None:
        """Pass nothing more on, as the destination takes nothing more."""
        self.is_stopped = True
        self._unsent = memoryview(b"")


def _encode_for_peer(part: bytes) -> bytes:
    return encode_frame(part) if part else END_FRAME
