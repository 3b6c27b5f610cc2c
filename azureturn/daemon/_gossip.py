"""Exchanges heartbeats with other VMs; gets the configuration from them and the store."""

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
from azureturn.daemon._heartbeats import heartbeat_from_wire, heartbeat_to_wire
from azureturn.daemon._services import Services
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
#: Calls that may wait for a thread; further heartbeats fail, and their rows are sent with the
#: next one.
WAITING_LIMIT = 64
_INITIAL_LOAD_RETRY_S = 0.1
_MS_PER_S = 1_000


class GossipAdapter:
    """Executes the calls to peers that the membership controller requests, on its own threads."""

    def __init__(self, services: Services) -> None:
        self._services = services
        self._waiting: queue.Queue[Action] = queue.Queue(WAITING_LIMIT)
        vm = services.settings.vm
        self._identity = PeerIdentity(
            vm.name,
            vm.availability_zone,
            vm.host,
            vm.peer_port,
            services.boot_id,
            time.time_ns() // 1_000_000,
        )

    def start(self) -> None:
        """Submit this VM's identity to the core and start the threads."""
        self._services.runtime.submit(PeerStarted(self._identity))
        for number in range(GOSSIP_THREADS):
            name = f"gossip-{number}"
            threading.Thread(target=self._serve, name=name, daemon=True).start()

    def send(self, action: SendHeartbeat) -> None:
        """Queue a heartbeat exchange with a peer."""
        self._enqueue(action)

    def fetch(self, action: FetchConfiguration) -> None:
        """Queue a fetch of the configuration from a peer that has a higher revision."""
        self._enqueue(action)

    def accept_configuration(self, entry: KeyValueEntry, source: ConfigurationSource) -> None:
        """Submit a configuration to the core if its revision is higher than the one in force.

        An invalid document is logged and ignored.
        """
        if entry.revision <= self._revision_in_force():
            return
        try:
            shared = check_shared_settings(json.loads(entry.value))
        except (AzureturnError, ValueError) as error:
            self._services.log.error(LogEvent.CONFIGURATION_REFUSED, error=describe_error(error))
            return
        configuration = Configuration(entry.revision, shared, source)
        self._services.runtime.submit(ConfigurationReceived(configuration))
        if self._revision_in_force() == entry.revision:
            self._services.log.info(
                LogEvent.CONFIGURATION_IN_FORCE, revision=entry.revision, source=source.value
            )

    def load_initial_configuration(self) -> None:
        """Load the configuration from the store, or else the highest revision of any peer.

        Called before serving, and retried for ``start_wait_ms`` at most. If neither can be
        reached, that is logged and the daemon serves with the configuration of its settings files.
        """
        ends_at_ms = now_ms() + self._services.settings.daemon.start_wait_ms
        while True:
            if self._load_from_store() or self._load_from_peers():
                return
            if now_ms() >= ends_at_ms:
                break
            time.sleep(_INITIAL_LOAD_RETRY_S)
        self._services.log.error(LogEvent.CONFIGURATION_UNKNOWN_AT_START)

    def _load_from_store(self) -> bool:
        try:
            entry = self._services.key_value.read(CONFIGURATION_KEY)
        except PlatformError:
            return False
        if entry is not None:
            self.accept_configuration(entry, ConfigurationSource.POLL)
        return True

    def _load_from_peers(self) -> bool:
        answers = [self._fetch_from(peer) for peer in self._initial_peers()]
        return any(answers)

    def _initial_peers(self) -> list[PeerAddress]:
        seeds = [
            PeerAddress(seed.rpartition(":")[0], int(seed.rpartition(":")[2]))
            for seed in self._services.settings.platform.seed_peers
        ]
        try:
            listed = self._services.vm_list.read()
        except PlatformError:
            return seeds
        own = self._services.settings.vm.name
        return [PeerAddress(vm.host, vm.peer_port) for vm in listed if vm.name != own] + seeds

    def _enqueue(self, action: Action) -> None:
        try:
            self._waiting.put_nowait(action)
        except queue.Full:
            if isinstance(action, SendHeartbeat):
                self._services.runtime.submit(HeartbeatFailed(action.peer.vm))

    def _serve(self) -> None:
        while True:
            action = self._waiting.get()
            try:
                self._execute(action)
            except Exception as error:  # noqa: BLE001
                self._services.log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))

    def _execute(self, action: Action) -> None:
        if isinstance(action, SendHeartbeat):
            self._exchange_heartbeat(action)
        elif isinstance(action, FetchConfiguration) and action.revision > self._revision_in_force():
            self._fetch_from(PeerAddress(action.peer.host, action.peer.peer_port))

    def _exchange_heartbeat(self, action: SendHeartbeat) -> None:
        address = PeerAddress(action.peer.host, action.peer.peer_port)
        try:
            answer = self._services.peers.exchange_heartbeat(
                address, heartbeat_to_wire(action.heartbeat)
            )
        except AzureturnError:
            self._services.runtime.submit(HeartbeatFailed(action.peer.vm))
            return
        received = HeartbeatReceived(heartbeat_from_wire(answer), answer_wanted=False)
        self._services.runtime.submit(received)

    def _fetch_from(self, address: PeerAddress) -> bool:
        query = ConfigurationQuery(newer_than_revision=self._revision_in_force())
        try:
            answer = self._services.peers.fetch_configuration(address, query)
        except AzureturnError:
            return False
        if answer.revision:
            entry = KeyValueEntry(CONFIGURATION_KEY, answer.document or b"", answer.revision)
            self.accept_configuration(entry, ConfigurationSource.PEER)
        return True

    def _revision_in_force(self) -> int:
        return self._services.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).in_force().revision
        )


def peers_listed_event(listed: tuple[ListedVm, ...]) -> PeersListed:
    """Return the core event for the platform's list of VMs."""
    rows = [
        (PeerIdentity(vm.name, vm.availability_zone, vm.host, vm.peer_port), vm.leaving)
        for vm in listed
    ]
    return PeersListed(tuple(rows))
