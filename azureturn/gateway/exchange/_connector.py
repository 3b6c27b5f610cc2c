"""Opens connections to upstreams, directly or through a peer."""

import socket

from azureturn.errors import ErrorKind, UpstreamUnreachableError
from azureturn.gateway.exchange._connections import CONNECT_TIMEOUT_MS, UpstreamConnection
from azureturn.gateway.relay import RelayClient
from azureturn.gateway.site import RegisteredUpstream
from azureturn.store import SOCKET_OPTIONS
from azureturn.tasks import connect

_MS_PER_S = 1_000


class UpstreamConnector:
    """Opens new connections to upstreams."""

    def __init__(self, relay_client: RelayClient | None = None) -> None:
        self._relay_client = relay_client

    def connect(
        self,
        upstream: RegisteredUpstream,
        relay_host: str,
        *,
        timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> UpstreamConnection:
        """Open a connection, through the peer at ``relay_host`` unless that is empty.

        Raises :class:`UpstreamUnreachableError`, whose cause is a ``ConnectionRefusedError`` if no
        process accepts connections at the upstream.
        """
        try:
            if relay_host and self._relay_client is not None:
                relayed = self._relay_client.connect(
                    relay_host, upstream.run, timeout_ms=timeout_ms
                )
                return UpstreamConnection(relayed.socket, relayed.upstream_bytes)
            return UpstreamConnection(_open_socket(upstream, timeout_ms))
        except OSError as error:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            raise UpstreamUnreachableError(kind, type(error).__name__) from error


def _open_socket(upstream: RegisteredUpstream, timeout_ms: int) -> socket.socket:
    connection = connect((upstream.host, upstream.port), timeout_ms / _MS_PER_S)
    for level, name, value in SOCKET_OPTIONS:
        connection.setsockopt(level, name, value)
    return connection
