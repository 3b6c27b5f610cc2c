"""Relayed connections: a VM that reaches no upstream connects to them through its peers.

The peer connects to the upstream and passes bytes on in both directions; it takes no decisions and
does not look into the bytes. All decisions on a request stay with the VM that received it.
"""

from azureturn.gateway.relay._client import RelayClient, RelayRefusedError
from azureturn.gateway.relay._server import RelayServer

__all__ = ["RelayClient", "RelayRefusedError", "RelayServer"]
