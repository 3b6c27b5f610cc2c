"""The messages that open a relayed connection: a thrift struct behind its length."""

import socket
import struct
import time
from typing import Any, TypeVar

from azureturn.gateway.site import UpstreamRun
from azureturn.peers import EnvelopeSigner, RelayRequest, decode_struct, encode_struct
from azureturn.tasks import receive, send_all

#: Name under which relay requests are signed.
_CALL_NAME = "relay"
_LENGTH = struct.Struct(">H")
_MESSAGE_LIMIT_BYTES = 4_096

_Struct = TypeVar("_Struct")


def relay_request(run: UpstreamRun, sender_vm: str, signer: EnvelopeSigner) -> RelayRequest:
    """Return a signed request for a connection to a run of an upstream."""
    name, started_unix_ms = run
    request = RelayRequest(sender_vm, name, started_unix_ms, reads_frames=True)
    request.signature = signer.signature(_CALL_NAME, _signed_bytes(request))
    return request


def is_signed(request: RelayRequest, signer: EnvelopeSigner) -> bool:
    """Return whether a VM of this site has signed the request."""
    return signer.is_signed(_CALL_NAME, _signed_bytes(request), request.signature or b"")


def send_message(connection: socket.socket, message: Any, timeout_s: float) -> None:
    """Send a thrift struct."""
    data = encode_struct(message)
    send_all(connection, _LENGTH.pack(len(data)) + data, timeout_s)


def receive_message(
    connection: socket.socket, struct_type: type[_Struct], timeout_s: float
) -> _Struct:
    """Receive a thrift struct, and not a byte more.

    Raises ``OSError`` if the connection ends before, or if the struct is not complete in time, and
    :class:`AzureturnError` if the message is not valid.
    """
    deadline_s = time.monotonic() + timeout_s
    (length,) = _LENGTH.unpack(_receive(connection, _LENGTH.size, deadline_s))
    if length > _MESSAGE_LIMIT_BYTES:
        raise ConnectionAbortedError("message is too large")
    return decode_struct(struct_type, _receive(connection, length, deadline_s))


def _signed_bytes(request: RelayRequest) -> bytes:
    return f"{request.sender_vm}/{request.upstream}/{request.started_unix_ms}".encode()


def _receive(connection: socket.socket, size: int, deadline_s: float) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = receive(connection, size - len(data), deadline_s - time.monotonic())
        if not part:
            raise ConnectionAbortedError("connection ended inside a message")
        data += part
    return bytes(data)
