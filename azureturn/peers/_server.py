"""The thrift server that other VMs and operators call."""

import threading
from typing import Any, Protocol

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.server.TServer import TThreadPoolServer
from thrift.transport.TSocket import TServerSocket
from thrift.transport.TTransport import TBufferedTransportFactory

from azureturn.errors import AzureturnError
from azureturn.peers._authentication import EnvelopeSigner
from azureturn.peers.gen.Peer import Processor
from azureturn.peers.gen.ttypes import (
    ConfigurationAnswer,
    ConfigurationQuery,
    Envelope,
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

PEER_THREADS = 32
#: A peer's connection that brings nothing for this long is closed.
IDLE_TIMEOUT_MS = 30_000
#: Largest string or container that a message may announce.
MESSAGE_LIMIT_BYTES = 4 << 20


class PeerHandler(Protocol):
    """What the daemon does for other VMs."""

    def find_outcome(self, query: OutcomeQuery) -> Outcome:
        """Return what is known of a call."""

    def run_ticketed_call(self, call: TicketedCall) -> Outcome:
        """Run a call whose ticket this process minted."""

    def exchange_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take a heartbeat in and return this VM's own."""

    def offer_request(self, offer: Offer) -> OfferAnswer:
        """Say whether this VM takes a request that the peer would shed."""

    def fetch_configuration(self, query: ConfigurationQuery) -> ConfigurationAnswer:
        """Return the configuration where it is newer."""

    def operate(self, query: OperatorQuery) -> OperatorAnswer:
        """Answer an operator's query."""


class _SignedHandler:
    """Opens envelopes, calls the handler, and seals its answer."""

    def __init__(self, handler: PeerHandler, signer: EnvelopeSigner) -> None:
        self._handler = handler
        self._signer = signer

    def find_outcome(self, query: Envelope) -> Envelope:
        return self._answer("find_outcome", query, OutcomeQuery)

    def run_ticketed_call(self, call: Envelope) -> Envelope:
        return self._answer("run_ticketed_call", call, TicketedCall)

    def exchange_heartbeat(self, heartbeat: Envelope) -> Envelope:
        return self._answer("exchange_heartbeat", heartbeat, Heartbeat)

    def offer_request(self, offer: Envelope) -> Envelope:
        return self._answer("offer_request", offer, Offer)

    def fetch_configuration(self, query: Envelope) -> Envelope:
        return self._answer("fetch_configuration", query, ConfigurationQuery)

    def operate(self, query: Envelope) -> Envelope:
        return self._answer("operate", query, OperatorQuery)

    def _answer(self, call: str, envelope: Envelope, body_type: type[Any]) -> Envelope:
        try:
            body = self._signer.open(call, envelope, body_type)
            answer = getattr(self._handler, call)(body)
        except AzureturnError as error:
            raise PeerRefused(kind=error.kind.value, message=error.message) from error
        return self._signer.seal(f"{call}.answer", answer)


class _ServerSocket(TServerSocket):  # type: ignore[misc]
    """Bounds how long a thread waits for a silent peer."""

    def accept(self) -> Any:
        connection = super().accept()
        if connection is not None:
            connection.setTimeout(IDLE_TIMEOUT_MS)
        return connection


class PeerServer:
    """Serves other VMs from a fixed number of threads."""

    def __init__(
        self, host: str, peer_port: int, handler: PeerHandler, signer: EnvelopeSigner
    ) -> None:
        self._socket = _ServerSocket(host, peer_port)
        factory = TCompactProtocolAcceleratedFactory(
            string_length_limit=MESSAGE_LIMIT_BYTES, container_length_limit=MESSAGE_LIMIT_BYTES
        )
        self._server = TThreadPoolServer(
            Processor(_SignedHandler(handler, signer)),
            self._socket,
            TBufferedTransportFactory(),
            factory,
            daemon=True,
        )
        self._server.setNumThreads(PEER_THREADS)

    def start(self) -> None:
        """Begin to serve on threads of its own."""
        threading.Thread(target=self._server.serve, name="peer-server", daemon=True).start()

    def stop(self) -> None:
        """Take no more connections."""
        self._socket.close()
