"""Thrift calls between VMs of the gateway: fetches a peer's view if it is newer."""

from contextlib import suppress

from azureturn.errors import AzureturnError, ErrorKind
from azureturn.gateway.daemon._store_watcher import ViewHolder
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import FetchView
from azureturn.gateway.site import SiteView
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
from azureturn.tasks import Mailbox, MailboxFullError, TaskLoop

_QUEUE_LIMIT = 4


class GatewayPeerHandler:
    """Handles calls from peers; only ``fetch_configuration`` is supported."""

    def __init__(self, view_holder: ViewHolder) -> None:
        self._view_holder = view_holder

    def fetch_configuration(self, query: ConfigurationQuery) -> ConfigurationAnswer:
        """Return this VM's view if it is newer than the one of the calling peer."""
        view = self._view_holder.view
        is_newer = view.revision > (query.newer_than_revision or 0)
        if not is_newer and view.configuration_version <= (query.newer_than_version or 0):
            return ConfigurationAnswer(revision=0, document=b"")
        if query.only_changes:
            return self._changes_after(query.newer_than_revision or 0)
        return ConfigurationAnswer(revision=view.revision, document=self._view_holder.encode())

    def _changes_after(self, revision: int) -> ConfigurationAnswer:
        encoded = self._view_holder.encode_changes(revision)
        if encoded is None:
            return ConfigurationAnswer(revision=0, document=b"")
        difference, data = encoded
        return ConfigurationAnswer(
            revision=difference.revision,
            document=data,
            changes_after=revision,
            changed_revision=difference.changed_revision,
        )

    def find_outcome(self, query: OutcomeQuery) -> Outcome:
        """Not supported: the gateway has no claims."""
        raise _unsupported_call()

    def run_ticketed_call(self, call: TicketedCall) -> Outcome:
        """Not supported: the gateway has no tickets."""
        raise _unsupported_call()

    def exchange_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Not supported: the gateway's VMs send each other reports instead."""
        raise _unsupported_call()

    def offer_request(self, offer: Offer) -> OfferAnswer:
        """Not supported: a request is served by the VM that received it."""
        raise _unsupported_call()

    def operate(self, query: OperatorQuery) -> OperatorAnswer:
        """Not supported: operators write to the store."""
        raise _unsupported_call()


class ViewFetcher:
    """A task that fetches the views of peers."""

    def __init__(
        self,
        client: PeerClient,
        view_holder: ViewHolder,
        log: EventLog,
        *,
        peer_port: int,
        loop: TaskLoop,
    ) -> None:
        self._client = client
        self._view_holder = view_holder
        self._log = log
        self._peer_port = peer_port
        self._loop = loop
        self._queue: Mailbox[FetchView] = Mailbox(limit=_QUEUE_LIMIT)

    def start(self) -> None:
        """Start the task."""
        run_forever(self._fetch_forever, "view-fetcher", self._log, loop=self._loop)

    def enqueue(self, action: FetchView) -> None:
        """Queue a fetch; drop it if the queue is full, as the controllers request it again."""
        with suppress(MailboxFullError):
            self._queue.put(action)

    def _fetch_forever(self) -> None:
        while True:
            action = self._queue.get()
            view = self._view_holder.view
            has_configuration = view.configuration_version >= action.configuration_version
            if view.revision > action.newer_than_revision and has_configuration:
                continue
            try:
                is_done = action.takes_changes and self._fetch(action, view, only_changes=True)
                if action.takes_whole and not is_done:
                    self._fetch(action, view, only_changes=False)
            except (AzureturnError, ValueError) as error:
                self._log.error(LogEvent.PEER_UNREACHABLE, vm_host=action.host, error=str(error))

    def _fetch(self, action: FetchView, view: SiteView, *, only_changes: bool) -> bool:
        """Fetch what is newer than a view; return whether there was something newer."""
        query = ConfigurationQuery(
            newer_than_revision=view.revision,
            newer_than_version=view.configuration_version,
            only_changes=only_changes or None,
        )
        address = PeerAddress(action.host, self._peer_port)
        answer = self._client.fetch_configuration(address, query)
        if not answer.revision:
            return False
        if answer.changes_after is None:
            return self._view_holder.apply_peer_view(answer.revision, answer.document)
        return self._view_holder.apply_peer_changes(
            answer.document,
            base_revision=answer.changes_after,
            revision=answer.revision,
            changed_revision=answer.changed_revision or 0,
        )


def _unsupported_call() -> AzureturnError:
    return AzureturnError(ErrorKind.NOT_FOUND, "call is not supported by the gateway")
