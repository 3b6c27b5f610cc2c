"""Calls between VMs of the gateway: a peer's view, where it is newer."""

import queue

from azureturn.errors import AzureturnError, ErrorKind
from azureturn.gateway.daemon._store_follower import ViewKeeper
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import FetchView
from azureturn.observability import EventLog, LogEvent
from azureturn.peers import (
    ConfigurationAnswer,
    ConfigurationQuery,
    Heartbeat,
    Offer,
    OfferAnswer,
    OperatorAnswer,
    OperatorQuery,
    Outcome,
    OutcomeQuery,
    PeerAddress,
    PeerClient,
    TicketedCall,
)

_QUEUE_LIMIT = 4


class GatewayPeerFace:
    """Answers peers; of their calls the gateway needs only the one for the view."""

    def __init__(self, keeper: ViewKeeper) -> None:
        self._keeper = keeper

    def fetch_configuration(self, query: ConfigurationQuery) -> ConfigurationAnswer:
        """Return this VM's view where it is newer than the asker's."""
        revision = self._keeper.view.revision
        if revision <= (query.newer_than_revision or 0):
            return ConfigurationAnswer(revision=0, document=b"")
        return ConfigurationAnswer(revision=revision, document=self._keeper.encode())

    def find_outcome(self, query: OutcomeQuery) -> Outcome:
        """Refuse: the gateway has no claims."""
        raise _not_here()

    def run_ticketed_call(self, call: TicketedCall) -> Outcome:
        """Refuse: the gateway has no tickets."""
        raise _not_here()

    def exchange_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Refuse: the gateway's VMs send each other reports."""
        raise _not_here()

    def offer_request(self, offer: Offer) -> OfferAnswer:
        """Refuse: requests stay where they came."""
        raise _not_here()

    def operate(self, query: OperatorQuery) -> OperatorAnswer:
        """Refuse: operators write to the store."""
        raise _not_here()


class ViewFetcher:
    """A thread that asks peers for their views."""

    def __init__(
        self, client: PeerClient, keeper: ViewKeeper, log: EventLog, *, peer_port: int
    ) -> None:
        self._client = client
        self._keeper = keeper
        self._log = log
        self._peer_port = peer_port
        self._waiting: queue.Queue[FetchView] = queue.Queue(_QUEUE_LIMIT)

    def start(self) -> None:
        """Begin to fetch."""
        run_forever(self._fetch_forever, "view-fetcher", self._log)

    def take(self, action: FetchView) -> None:
        """Fetch soon; while others are being fetched, the decisions ask again."""
        if not self._waiting.full():
            self._waiting.put_nowait(action)

    def _fetch_forever(self) -> None:
        while True:
            action = self._waiting.get()
            if self._keeper.view.revision > action.newer_than_revision:
                continue
            try:
                query = ConfigurationQuery(newer_than_revision=action.newer_than_revision)
                address = PeerAddress(action.host, self._peer_port)
                answer = self._client.fetch_configuration(address, query)
                if answer.revision:
                    self._keeper.accept_from_peer(answer.revision, answer.document)
            except (AzureturnError, ValueError) as error:
                self._log.error(LogEvent.PEER_UNREACHABLE, vm_host=action.host, error=str(error))


def _not_here() -> AzureturnError:
    return AzureturnError(ErrorKind.NOT_FOUND, "not a call of the gateway")
