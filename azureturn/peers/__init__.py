"""The protocol between the system's own processes, over thrift."""

from azureturn.peers._authentication import EnvelopeSigner, decode_struct, encode_struct
from azureturn.peers._client import PeerAddress, PeerClient
from azureturn.peers._heartbeats import heartbeat_from_wire, heartbeat_to_wire
from azureturn.peers._server import PeerHandler, PeerServer
from azureturn.peers.gen.ttypes import (
    ConfigurationAnswer,
    ConfigurationQuery,
    Header,
    Heartbeat,
    Outcome,
    OutcomeQuery,
    OutcomeState,
    PeerRefused,
)

__all__ = [
    "ConfigurationAnswer",
    "ConfigurationQuery",
    "EnvelopeSigner",
    "Header",
    "Heartbeat",
    "Outcome",
    "OutcomeQuery",
    "OutcomeState",
    "PeerAddress",
    "PeerClient",
    "PeerHandler",
    "PeerRefused",
    "PeerServer",
    "decode_struct",
    "encode_struct",
    "heartbeat_from_wire",
    "heartbeat_to_wire",
]
