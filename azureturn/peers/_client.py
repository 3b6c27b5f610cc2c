"""Calls from one VM to another."""

import logging
from dataclasses import dataclass
from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TBufferedTransport

from azureturn.errors import AzureturnError, ErrorKind, PeerUnavailableError
from azureturn.peers._authentication import EnvelopeSigner, decode_struct, encode_struct
from azureturn.peers.gen.Peer import Client
from azureturn.peers.gen.ttypes import (
    Heartbeat,
    OperatorAnswer,
    OperatorQuery,
    Outcome,
    OutcomeQuery,
    PeerRefused,
)

#: Time beyond the wait that a call asks for.
CALL_TIMEOUT_MS = 1_000

_Answer = TypeVar("_Answer")

# The library logs what it also raises; our own log tells it once, in our own form.
logging.getLogger("thrift").addHandler(logging.NullHandler())


@dataclass(frozen=True)
class PeerAddress:
    """Where another VM's peer port is."""

    host: str
    peer_port: int


class PeerClient:
    """Calls other VMs, one connection a call, each call sent once."""

    def __init__(self, signer: EnvelopeSigner) -> None:
        self._signer = signer

    def find_outcome(self, address: PeerAddress, query: OutcomeQuery) -> Outcome:
        """Return what a VM knows of a call that it holds the claim of."""
        timeout_ms = query.wait_ms + CALL_TIMEOUT_MS
        return self._call(address, "find_outcome", query, Outcome, timeout_ms=timeout_ms)

    def exchange_heartbeat(self, address: PeerAddress, heartbeat: Heartbeat) -> Heartbeat:
        """Give a VM this VM's heartbeat and return its own."""
        return self._call(
            address, "exchange_heartbeat", heartbeat, Heartbeat, timeout_ms=CALL_TIMEOUT_MS
        )

    def operate(
        self,
        address: PeerAddress,
        name: str,
        argument: Any,
        answer_type: type[_Answer],
        *,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> _Answer:
        """Return a VM's answer to an operator's query."""
        query = OperatorQuery(name=name, argument=encode_struct(argument))
        answer = self._call(address, "operate", query, OperatorAnswer, timeout_ms=timeout_ms)
        return decode_struct(answer_type, answer.answer or b"")

    def _call(
        self,
        address: PeerAddress,
        call: str,
        body: Any,
        answer_type: type[_Answer],
        *,
        timeout_ms: int,
    ) -> _Answer:
        socket = TSocket(address.host, address.peer_port)
        socket.setTimeout(timeout_ms)
        transport = TBufferedTransport(socket)
        client = Client(TCompactProtocol(transport))
        try:
            transport.open()
            envelope = getattr(client, call)(self._signer.seal(call, body))
        except PeerRefused as refused:
            raise AzureturnError(ErrorKind(refused.kind), refused.message) from refused
        except (TException, OSError) as error:
            raise PeerUnavailableError(ErrorKind.INTERNAL, str(error)) from error
        finally:
            transport.close()
        return self._signer.open(f"{call}.answer", envelope, answer_type)
