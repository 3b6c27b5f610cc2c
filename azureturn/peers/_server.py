"""The thrift server for calls of other VMs and operators."""

import threading
from typing import Any, Protocol

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.server.TServer import TThreadPoolServer
from thrift.transport.TSocket import TServerSocket
from thrift.transport.TTransport import TBufferedTransportFactory

from azureturn.errors import AzureturnError
from azureturn.peers._authentication import EnvelopeSigner
from azureturn.peers._task_server import TaskServer
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
from azureturn.tasks import TaskLoop

_MS_PER_S = 1_000
PEER_THREADS = 32
#: Maximum time without data on a peer's connection before it is closed.
IDLE_TIMEOUT_MS = 30_000
#: Maximum length of a string or container in a message.
MESSAGE_LIMIT_BYTES = 4 << 20


class PeerHandler(Protocol):
    """Handles the calls of other VMs and operators; implemented by each daemon."""

    def find_outcome(self, query: OutcomeQuery) -> Outcome:
        """Return the outcome of a call whose claim or ticket this process holds."""

    def run_ticketed_call(self, call: TicketedCall) -> Outcome:
        """Run a call whose ticket this process issued."""

    def exchange_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Process a peer's heartbeat and return this VM's own."""

    def offer_request(self, offer: Offer) -> OfferAnswer:
        """Return whether this VM accepts a request that the peer would otherwise shed."""

    def fetch_configuration(self, query: ConfigurationQuery) -> ConfigurationAnswer:
        """Return the configuration if it is newer than the query's revision, else revision 0."""

    def operate(self, query: OperatorQuery) -> OperatorAnswer:
        """Answer an operator query."""


class _SignedHandler:
    """Verifies an envelope, calls the handler, and signs its answer."""

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

    def _answer(self, call_name: str, envelope: Envelope, body_type: type[Any]) -> Envelope:
        try:
            body = self._signer.open(call_name, envelope, body_type)
            answer = getattr(self._handler, call_name)(body)
        except AzureturnError as error:
            raise PeerRefused(kind=error.kind.value, message=error.message) from error
        return self._signer.seal(f"{call_name}.answer", answer)


class _ServerSocket(TServerSocket):  # type: ignore[misc]
    """Sets a timeout on accepted connections, so that an idle peer does not occupy a thread."""

    def accept(self) -> Any:
        connection = super().accept()
        if connection is not None:
            connection.setTimeout(IDLE_TIMEOUT_MS)
        return connection


class _ThreadServer(TThreadPoolServer):  # type: ignore[misc]
    """Serves peers with :data:`PEER_THREADS` threads."""

    def start(self) -> None:
        self.setNumThreads(PEER_THREADS)
        threading.Thread(target=self.serve, name="peer-server", daemon=True).start()

    def stop(self) -> None:
        self.serverTransport.close()


class PeerServer:
    """Serves peers, in tasks of ``loop`` if there is one, or else on threads."""

    def __init__(
        self,
        host: str,
        peer_port: int,
        handler: PeerHandler,
        signer: EnvelopeSigner,
        *,
        loop: TaskLoop | None = None,
    ) -> None:
        processor = Processor(_SignedHandler(handler, signer))
        transport_factory = TBufferedTransportFactory()
        protocol_factory = TCompactProtocolAcceleratedFactory(
            string_length_limit=MESSAGE_LIMIT_BYTES, container_length_limit=MESSAGE_LIMIT_BYTES
        )
        self._server: TaskServer | _ThreadServer
        if loop is not None:
            self._server = TaskServer(
                (host, peer_port),
                loop,
                processor,
                transport_factory,
                protocol_factory,
                timeout_s=IDLE_TIMEOUT_MS / _MS_PER_S,
            )
        else:
            self._server = _ThreadServer(
                processor,
                _ServerSocket(host, peer_port),
                transport_factory,
                protocol_factory,
                daemon=True,
            )

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop()
