"""Opens connections to upstreams through a peer."""

import socket
from dataclasses import dataclass

from azureturn._socket_options import SOCKET_OPTIONS
from azureturn.errors import AzureturnError
from azureturn.gateway.relay._frames import FramedBytes, UnframedBytes, UpstreamBytes
from azureturn.gateway.relay._messages import receive_message, relay_request, send_message
from azureturn.gateway.site import UpstreamRun
from azureturn.peers import EnvelopeSigner, RelayAnswer, RelayOutcome
from azureturn.tasks import connect

_MS_PER_S = 1_000


class RelayRefusedError(OSError):
    """The peer could not connect to the upstream, or did not want to."""


@dataclass(frozen=True)
class RelayedConnection:
    """A connection to a peer that relays it to an upstream."""

    #: In non-blocking mode.
    socket: socket.socket
    #: Finds the upstream's bytes in what is received.
    upstream_bytes: UpstreamBytes


class RelayClient:
    """Asks peers to relay connections."""

    def __init__(self, vm: str, signer: EnvelopeSigner, *, port: int) -> None:
        self._vm = vm
        self._signer = signer
        self._port = port

    def connect(self, host: str, run: UpstreamRun, *, timeout_ms: int) -> RelayedConnection:
        """Return a connection that the peer at ``host`` relays to the upstream.

        ``timeout_ms`` applies to each of the two connections. Raises ``ConnectionRefusedError`` if
        no process accepts connections at the upstream, and another ``OSError`` if either connection
        cannot be opened otherwise.
        """
        timeout_s = timeout_ms / _MS_PER_S
        connection = connect((host, self._port), timeout_s)
        try:
            for level, name, value in SOCKET_OPTIONS:
                connection.setsockopt(level, name, value)
            send_message(connection, relay_request(run, self._vm, self._signer), timeout_s)
            answer = receive_message(connection, RelayAnswer, 2 * timeout_s)
        except AzureturnError as error:
            connection.close()
            raise RelayRefusedError(error.message) from error
        except OSError:
            connection.close()
            raise
        if answer.outcome == RelayOutcome.CONNECTED:
            received = FramedBytes() if answer.sends_frames else UnframedBytes()
            return RelayedConnection(connection, received)
        connection.close()
        if answer.outcome == RelayOutcome.REFUSED:
            raise ConnectionRefusedError("the upstream refused the peer's connection")
        raise RelayRefusedError(f"relay outcome {answer.outcome}")
