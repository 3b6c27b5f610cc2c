"""Signed envelopes, which authenticate VMs and operators to each other by a shared secret."""

import secrets
import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, TypeVar

from itsdangerous import BadData, Signer, TimestampSigner
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.TSerialization import TTransport

from azureturn.errors import AzureturnError, ErrorKind
from azureturn.peers.gen.ttypes import Envelope, Message

#: Maximum age of a message; nonces are stored for at least as long, to detect replays.
REPLAY_WINDOW_S = 30
#: Maximum number of stored nonces; while it is reached, all messages are refused.
NONCE_LIMIT = 100_000
_NONCE_BYTES = 12

_Struct = TypeVar("_Struct")


def encode_struct(struct: Any) -> bytes:
    """Return a thrift struct encoded with the compact protocol."""
    transport = TTransport.TMemoryBuffer()
    struct.write(TCompactProtocolAccelerated(transport))
    return bytes(transport.getvalue())


def decode_struct(struct_type: type[_Struct], data: bytes) -> _Struct:
    """Return the struct encoded in ``data``, or raise with kind ``malformed_request``."""
    struct = struct_type()
    try:
        limit = len(data) + 1
        transport = TTransport.TMemoryBuffer(data)
        protocol = TCompactProtocolAccelerated(
            transport, string_length_limit=limit, container_length_limit=limit
        )
        struct.read(protocol)  # type: ignore[attr-defined]
    except Exception as error:
        raise AzureturnError(ErrorKind.MALFORMED_REQUEST, "not a valid peer message") from error
    return struct


class EnvelopeSigner:
    """Signs messages with the shared secret, and verifies those received.

    A message is accepted once, while it is not older than ``REPLAY_WINDOW_S``. The signature covers
    the name of the call, so that a message for one call is invalid for another.
    """

    def __init__(self, secret: str, vm: str, *, clock_s: Callable[[], float]) -> None:
        self._secret = secret
        self._vm = vm
        self._clock_s = clock_s
        self._nonces: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def seal(self, call_name: str, struct: Any) -> Envelope:
        """Return a signed envelope for the call ``call_name`` that contains a struct."""
        nonce = secrets.token_urlsafe(_NONCE_BYTES)
        message = Message(sender_vm=self._vm, nonce=nonce, body=encode_struct(struct))
        return Envelope(signed_message=self._signer(call_name).sign(encode_struct(message)))

    def open(self, call_name: str, envelope: Envelope, struct_type: type[_Struct]) -> _Struct:
        """Verify an envelope and return its struct, or raise with kind ``forbidden``."""
        try:
            signed_message = envelope.signed_message or b""
            data = self._signer(call_name).unsign(signed_message, max_age=REPLAY_WINDOW_S)
        except BadData as error:
            raise AzureturnError(ErrorKind.FORBIDDEN, "the signature is not valid") from error
        message = decode_struct(Message, data)
        self._register_nonce(f"{message.sender_vm}/{message.nonce}")
        return decode_struct(struct_type, message.body or b"")

    def sign_text(self, call_name: str, text: str) -> str:
        """Return a signed text, for places such as HTTP headers that cannot hold an envelope."""
        return self._signer(call_name).sign(text).decode()

    def open_text(self, call_name: str, signed_text: str) -> str:
        """Verify a signed text and return it, or raise with kind ``forbidden``.

        Each text is accepted only once.
        """
        try:
            text = self._signer(call_name).unsign(signed_text, max_age=REPLAY_WINDOW_S).decode()
        except BadData as error:
            raise AzureturnError(ErrorKind.FORBIDDEN, "the signature is not valid") from error
        self._register_nonce(f"{call_name}/{text}")
        return text

    def signature(self, call_name: str, data: bytes) -> bytes:
        """Return a signature of ``data`` that does not expire and may be used again.

        It suits a request that gives a replaying sender nothing, and needs no common clock.
        """
        return self._plain_signer(call_name).get_signature(data)

    def is_signed(self, call_name: str, data: bytes, signature: bytes) -> bool:
        """Return whether :meth:`signature` returned this signature of ``data``."""
        return self._plain_signer(call_name).verify_signature(data, signature)

    def _plain_signer(self, call_name: str) -> Signer:
        return Signer(self._secret, salt=f"azureturn.peers.{call_name}")

    def _signer(self, call_name: str) -> TimestampSigner:
        return TimestampSigner(self._secret, salt=f"azureturn.peers.{call_name}")

    def _register_nonce(self, nonce: str) -> None:
        now_s = self._clock_s()
        with self._lock:
            while self._nonces and next(iter(self._nonces.values())) < now_s - 2 * REPLAY_WINDOW_S:
                self._nonces.popitem(last=False)
            if nonce in self._nonces or len(self._nonces) >= NONCE_LIMIT:
                raise AzureturnError(
                    ErrorKind.FORBIDDEN, "replayed message, or too many recent ones"
                )
            self._nonces[nonce] = now_s
