"""Exchanges heartbeats with other VMs, and loads the configuration from them or the store."""

import json
import queue
import threading
import time

from azureturn.core import (
    Configuration,
    ConfigurationReceived,
    ConfigurationSource,
    ConfigurationTable,
    FetchConfiguration,
    HeartbeatFailed,
    HeartbeatReceived,
    PeersListed,
    PeerStarted,
    SendHeartbeat,
)
from azureturn.core.membership import PeerIdentity
from azureturn.daemon._context import DaemonContext
from azureturn.daemon._heartbeats import heartbeat_from_wire, heartbeat_to_wire
from azureturn.errors import AzureturnError, PlatformError
from azureturn.framework import Action
from azureturn.observability import LogEvent, describe_error
from azureturn.peers import (
    ConfigurationQuery,
    PeerAddress,
)
from azureturn.serving import now_ms
from azureturn.settings import check_shared_settings
from azureturn.store import KeyValueEntry, ListedVm

CONFIGURATION_KEY = "configuration"
#: Threads that call peers; an unresponsive peer blocks one for a second.
GOSSIP_THREADS = 4
#: Calls that may wait for a thread. Further heartbeats fail; the gossip rows that they carry are
#: sent with the next heartbeat to the same peer.
QUEUE_LIMIT = 64
_INITIAL_LOAD_RETRY_S = 0.1
_MS_PER_S = 1_000


class PeerExchangeAdapter:
    """Exchanges heartbeats with peers, and loads the configuration from peers or the store.

    Calls to peers are requested by the membership controller and executed on own threads.
    """

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self._queue: queue.Queue[Action] = queue.Queue(QUEUE_LIMIT)
        vm = context.settings.vm
        self._identity = PeerIdentity(
            vm.name,
            vm.availability_zone,
            vm.host,
            vm.peer_port,
            context.boot_id,
            # The incarnation: peers prefer the gossip rows of the process that started last.
            time.time_ns() // 1_000_000,
        )

    def start(self) -> None:
        """Submit this VM's identity to the core and start the threads."""
        self._context.runtime.submit(PeerStarted(self._identity))
        for number in range(GOSSIP_THREADS):
            name = f"gossip-{number}"
            threading.Thread(target=self._execute_forever, name=name, daemon=True).start()

    def send(self, action: SendHeartbeat) -> None:
        """Queue a heartbeat exchange with a peer."""
        self._enqueue(action)

    def fetch(self, action: FetchConfiguration) -> None:
        """Queue a fetch of the configuration from a peer that has a higher revision."""
        self._enqueue(action)

    def submit_if_newer(self, entry: KeyValueEntry, source: ConfigurationSource) -> None:
        """Submit a configuration to the core if its revision is higher than the current one.

        An invalid document is logged and ignored.
        """
        if entry.revision <= self._current_revision():
            return
        try:
            shared_settings = check_shared_settings(json.loads(entry.value))
        except (AzureturnError, ValueError) as error:
            self._context.log.error(LogEvent.CONFIGURATION_REFUSED, error=describe_error(error))
            return
        configuration = Configuration(entry.revision, shared_settings, source)
        self._context.runtime.submit(ConfigurationReceived(configuration))
        if self._current_revision() == entry.revision:
            self._context.log.info(
                LogEvent.CONFIGURATION_IN_FORCE, revision=entry.revision, source=source.value
            )

    def load_initial_configuration(self) -> None:
        """Load the configuration from the store, or else the highest revision of any peer.

        Called before serving, and retried for ``start_wait_ms`` at most. If neither the store nor
        a peer can be reached by then, an error is logged and the daemon serves with the
        configuration of its settings files.
        """
        ends_at_ms = now_ms() + self._context.settings.daemon.start_wait_ms
        while True:
            if self._load_from_store() or self._load_from_peers():
                return
            if now_ms() >= ends_at_ms:
                break
            time.sleep(_INITIAL_LOAD_RETRY_S)
        self._context.log.error(LogEvent.CONFIGURATION_UNKNOWN_AT_START)

    def _load_from_store(self) -> bool:
        """Return whether the store could be read; it may contain no configuration."""
        try:
            entry = self._context.key_value.read(CONFIGURATION_KEY)
        except PlatformError:
            return False
        if entry is not None:
            self.submit_if_newer(entry, ConfigurationSource.POLL)
        return True

    def _load_from_peers(self) -> bool:
        """Return whether any peer answered; it may have no newer configuration."""
        reached = [self._fetch_from(address) for address in self._initial_peers()]
        return any(reached)

    def _initial_peers(self) -> list[PeerAddress]:
        seeds = [
            PeerAddress(seed.rpartition(":")[0], int(seed.rpartition(":")[2]))
            for seed in self._context.settings.platform.seed_peers
        ]
        try:
            listed_vms = self._context.vm_list.read()
        except PlatformError:
            return seeds
        own_name = self._context.settings.vm.name
        return [
            PeerAddress(vm.host, vm.peer_port) for vm in listed_vms if vm.name != own_name
        ] + seeds

    def _enqueue(self, action: Action) -> None:
        try:
            self._queue.put_nowait(action)
        except queue.Full:
            if isinstance(action, SendHeartbeat):
                self._context.runtime.submit(HeartbeatFailed(action.peer.vm))

    def _execute_forever(self) -> None:
        while True:
            action = self._queue.get()
            try:
                self._execute(action)
            except Exception as error:  # noqa: BLE001
                self._context.log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))

    def _execute(self, action: Action) -> None:
        if isinstance(action, SendHeartbeat):
            self._exchange_heartbeat(action)
        elif isinstance(action, FetchConfiguration) and action.revision > self._current_revision():
            self._fetch_from(PeerAddress(action.peer.host, action.peer.peer_port))

    def _exchange_heartbeat(self, action: SendHeartbeat) -> None:
        address = PeerAddress(action.peer.host, action.peer.peer_port)
        try:
            answer = self._context.peers.exchange_heartbeat(
                address, heartbeat_to_wire(action.heartbeat)
            )
        except AzureturnError:
            self._context.runtime.submit(HeartbeatFailed(action.peer.vm))
            return
        event = HeartbeatReceived(heartbeat_from_wire(answer), answer_wanted=False)
        self._context.runtime.submit(event)

    def _fetch_from(self, address: PeerAddress) -> bool:
        """Fetch a newer configuration from a peer; return whether the peer answered."""
        query = ConfigurationQuery(newer_than_revision=self._current_revision())
        try:
            answer = self._context.peers.fetch_configuration(address, query)
        except AzureturnError:
            return False
        if answer.revision:
            entry = KeyValueEntry(CONFIGURATION_KEY, answer.document or b"", answer.revision)
            self.submit_if_newer(entry, ConfigurationSource.PEER)
        return True

    def _current_revision(self) -> int:
        return self._context.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).get_active().revision
        )


def peers_listed_event(listed_vms: tuple[ListedVm, ...]) -> PeersListed:
    """Return the core event for the platform's list of VMs."""
    listed_peers = [
        (PeerIdentity(vm.name, vm.availability_zone, vm.host, vm.peer_port), vm.leaving)
        for vm in listed_vms
    ]
    return PeersListed(tuple(listed_peers))
