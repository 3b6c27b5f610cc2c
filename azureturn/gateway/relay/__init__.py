"""Relayed connections: a VM that reaches no upstream connects to them through its peers.

The peer connects to the upstream and passes bytes on in both directions, those of the upstream in
frames; it takes no decisions and does not look into the bytes. All decisions on a request stay with
the VM that received it.
"""

from azureturn.gateway.relay._client import RelayClient, RelayedConnection, RelayRefusedError
from azureturn.gateway.relay._frames import DirectBytes, UpstreamBytes
from azureturn.gateway.relay._server import RelayServer

__all__ = [
    "DirectBytes",
    "RelayClient",
    "RelayRefusedError",
    "RelayServer",
    "RelayedConnection",
    "UpstreamBytes",
]
