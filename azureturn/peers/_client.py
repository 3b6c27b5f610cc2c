"""Client for calls to other VMs."""

import logging
import time
from dataclasses import dataclass
from typing import Any, TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TBufferedTransport

from azureturn.errors import AzureturnError, ErrorKind, PeerUnavailableError, PeerUnreachableError
from azureturn.peers._authentication import EnvelopeSigner, decode_struct, encode_struct
from azureturn.peers.gen.Peer import Client
from azureturn.peers.gen.ttypes import (
    ConfigurationAnswer,
    ConfigurationQuery,
    Heartbeat,
    Offer,
    OfferAnswer,
    OperatorAnswer,
    OperatorQuery,
    Outcome,
    OutcomeQuery,
    PeerRefused,
    TicketedCall,
)
from azureturn.tasks import TaskSocket

#: Time allowed for a call in addition to the wait that the call itself asks for.
CALL_TIMEOUT_MS = 1_000
#: Maximum age of a connection, so that a dead one is not reused for long.
CONNECTION_LIFETIME_S = 30.0
#: Maximum number of idle connections to all peers together.
IDLE_LIMIT = 32

_Answer = TypeVar("_Answer")

# thrift logs errors that it also raises; azureturn logs them itself, once and in its own format.
logging.getLogger("thrift").addHandler(logging.NullHandler())


@dataclass(frozen=True)
class PeerAddress:
    """Host and peer port of another VM."""

    host: str
    peer_port: int


class _TaskTransport(TSocket):  # type: ignore[misc]
    """A transport whose waits suspend the current task, if there is one."""

    def _do_open(self, family: int, socktype: int) -> TaskSocket:
        return TaskSocket(family, socktype)


class _Connection:
    """One open connection to a peer."""

    def __init__(self, address: PeerAddress) -> None:
        self._socket = _TaskTransport(address.host, address.peer_port)
        self._transport = TBufferedTransport(self._socket)
        self.client = Client(TCompactProtocol(self._transport))
        self._opened_at_s = 0.0

    def open(self, timeout_ms: int) -> None:
        self._socket.setTimeout(timeout_ms)
        if not self._transport.isOpen():
            self._transport.open()
            self._opened_at_s = time.monotonic()

    @property
    def is_reusable(self) -> bool:
        return time.monotonic() - self._opened_at_s < CONNECTION_LIFETIME_S

    def close(self) -> None:
        self._transport.close()


class PeerClient:
    """Calls other VMs; each call is sent once.

    One idle connection per peer is kept for a limited time and reused for the next call to that
    peer. Ticketed calls, which may take long, open their own connection.
    """

    def __init__(self, signer: EnvelopeSigner) -> None:
        self._signer = signer
        self._idle: dict[PeerAddress, _Connection] = {}

    def find_outcome(self, address: PeerAddress, query: OutcomeQuery) -> Outcome:
        """Return the outcome of a call from the VM that holds its claim."""
        timeout_ms = query.wait_ms + CALL_TIMEOUT_MS
        return self._call(address, "find_outcome", query, Outcome, timeout_ms=timeout_ms)

    def run_ticketed_call(self, address: PeerAddress, call: TicketedCall) -> Outcome:
        """Run a ticketed call on the VM that issued the ticket, and return its outcome.

        :class:`PeerUnreachableError` means that no part of the call was sent.
        """
        connection = _Connection(address)
        try:
            connection.open(CALL_TIMEOUT_MS)
        except (TException, OSError) as error:
            connection.close()
            raise PeerUnreachableError(ErrorKind.INTERNAL, str(error)) from error
        timeout_ms = call.timeout_ms + CALL_TIMEOUT_MS
        return self._call_on(
            connection, address, "run_ticketed_call", call, Outcome, timeout_ms=timeout_ms
        )

    def exchange_heartbeat(self, address: PeerAddress, heartbeat: Heartbeat) -> Heartbeat:
        """Send this VM's heartbeat to a VM and return that VM's heartbeat."""
        return self._call(
            address, "exchange_heartbeat", heartbeat, Heartbeat, timeout_ms=CALL_TIMEOUT_MS
        )

    def offer_request(self, address: PeerAddress, offer: Offer, *, timeout_ms: int) -> OfferAnswer:
        """Ask a VM to accept a request that this VM would otherwise shed."""
        return self._call(address, "offer_request", offer, OfferAnswer, timeout_ms=timeout_ms)

    def fetch_configuration(
        self, address: PeerAddress, query: ConfigurationQuery
    ) -> ConfigurationAnswer:
        """Return a VM's configuration if it is newer than the query's revision, else revision 0."""
        return self._call(
            address, "fetch_configuration", query, ConfigurationAnswer, timeout_ms=CALL_TIMEOUT_MS
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
        """Send the operator query ``name`` to a VM and return the decoded answer."""
        query = OperatorQuery(name=name, argument=encode_struct(argument))
        answer = self._call(address, "operate", query, OperatorAnswer, timeout_ms=timeout_ms)
        return decode_struct(answer_type, answer.answer or b"")

    def _call(
        self,
        address: PeerAddress,
        call_name: str,
        body: Any,
        answer_type: type[_Answer],
        *,
        timeout_ms: int,
    ) -> _Answer:
        connection = self._idle.pop(address, None) or _Connection(address)
        return self._call_on(
            connection, address, call_name, body, answer_type, timeout_ms=timeout_ms
        )

    def _call_on(
        self,
        connection: _Connection,
        address: PeerAddress,
        call_name: str,
        body: Any,
        answer_type: type[_Answer],
        *,
        timeout_ms: int,
    ) -> _Answer:
        query = self._signer.seal(call_name, body)
        try:
            connection.open(timeout_ms)
            envelope = getattr(connection.client, call_name)(query)
        except PeerRefused as refused:
            connection.close()
            raise AzureturnError(_error_kind(refused), refused.message or "") from refused
        except (TException, OSError, EOFError) as error:
            connection.close()
            raise PeerUnavailableError(ErrorKind.INTERNAL, str(error)) from error
        except Exception as error:
            # thrift raises errors of many other types, for instance KeyError, for what it cannot
            # decode. Their texts may contain a part of it.
            connection.close()
            message = f"no valid answer of a peer: {type(error).__name__}"
            raise PeerUnavailableError(ErrorKind.INTERNAL, message) from error
        self._release(address, connection)
        return self._signer.open(f"{call_name}.answer", envelope, answer_type)

    def _release(self, address: PeerAddress, connection: _Connection) -> None:
        if not connection.is_reusable or len(self._idle) >= IDLE_LIMIT:
            connection.close()
            return
        replaced_connection = self._idle.pop(address, None)
        if replaced_connection is not None:
            replaced_connection.close()
        self._idle[address] = connection


def _error_kind(refused: PeerRefused) -> ErrorKind:
    try:
        return ErrorKind(refused.kind)
    except ValueError:
        return ErrorKind.INTERNAL
