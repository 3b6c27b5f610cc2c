"""One daemon, put together from its settings."""

import secrets
import sys
import threading
import time

from azureturn._time_of_day import unix_now_ms
from azureturn.core import (
    CancelAtUpstream,
    Configuration,
    Core,
    FetchConfiguration,
    LeavingAnnounced,
    SendHeartbeat,
    Started,
    WriteClaim,
)
from azureturn.daemon._accounting import Accounting
from azureturn.daemon._background import BackgroundTasks
from azureturn.daemon._caller_server import CallerServer
from azureturn.daemon._claims import ClaimWriter
from azureturn.daemon._face import CallerFace
from azureturn.daemon._gossip import GossipAdapter
from azureturn.daemon._outcomes import OutcomeStore
from azureturn.daemon._peer_face import PeerFace
from azureturn.daemon._runtime import CoreRuntime, now_ms
from azureturn.daemon._services import Services
from azureturn.observability import EventLog, LogEvent, Metrics, describe_error
from azureturn.peers import (
    EnvelopeSigner,
    PeerClient,
    PeerServer,
)
from azureturn.platform import KeyValueClient, VmListClient
from azureturn.settings import Settings

_MS_PER_S = 1_000
_BOOT_ID_BYTES = 8
_STOP_POLL_S = 0.02


class Daemon:
    """The entry daemon of one VM.

    >>> daemon = Daemon.from_settings(settings)  # doctest: +SKIP
    >>> daemon.start()  # doctest: +SKIP
    >>> daemon.stop()  # doctest: +SKIP
    True
    """

    def __init__(self, services: Services) -> None:
        self._services = services
        self._ready = False
        settings = services.settings
        face = CallerFace(services, is_ready=lambda: self._ready)
        self._caller_server = CallerServer(
            settings,
            face.application(),
            new_request_id=services.new_request_id,
            report_error=lambda _text: services.log.error(
                LogEvent.INTERNAL_ERROR, error=describe_error(sys.exception())
            ),
            report_refusal=services.accounting.refused,
        )
        signer = EnvelopeSigner(
            settings.daemon.peer_secret, settings.vm.name, clock_s=time.monotonic
        )
        peer_face = PeerFace(services)
        self._peer_server = PeerServer(settings.vm.host, settings.vm.peer_port, peer_face, signer)
        self._claims = ClaimWriter(
            services.key_value, services.runtime, vm=settings.vm, boot_id=services.boot_id
        )
        self._gossip = GossipAdapter(services)
        self._background = BackgroundTasks(services, self._gossip)
        services.runtime.perform(SendHeartbeat, self._gossip.send)
        services.runtime.perform(FetchConfiguration, self._gossip.fetch)
        services.runtime.perform(WriteClaim, self._claims.write)
        services.runtime.perform(CancelAtUpstream, self._cancel)

    @classmethod
    def from_settings(cls, settings: Settings) -> "Daemon":
        """Return a daemon that is ready to start."""
        seed = settings.daemon.random_seed
        core = Core.from_settings(settings, seed=secrets.randbits(64) if seed is None else seed)
        runtime = CoreRuntime(core, tick_interval_ms=settings.daemon.tick_interval_ms)
        runtime.submit(Started(Configuration(0, settings.shared)))
        signer = EnvelopeSigner(
            settings.daemon.peer_secret, settings.vm.name, clock_s=time.monotonic
        )
        log = EventLog.from_path(settings.daemon.log_path, vm=settings.vm.name)
        metrics = Metrics.from_settings(settings.daemon)
        services = Services(
            settings=settings,
            boot_id=secrets.token_hex(_BOOT_ID_BYTES),
            runtime=runtime,
            key_value=KeyValueClient.from_settings(settings.platform),
            vm_list=VmListClient(settings.platform.vm_list_url),
            peers=PeerClient(signer),
            outcomes=OutcomeStore(),
            log=log,
            metrics=metrics,
            accounting=Accounting(
                runtime=runtime,
                log=log,
                metrics=metrics,
                started_at_unix_ms=unix_now_ms(),
            ),
        )
        return cls(services)

    def start(self) -> None:
        """Begin to serve; return once the ports are open."""
        self._gossip.start()
        self._gossip.learn_configuration()
        self._services.runtime.start()
        self._claims.start()
        self._peer_server.start()
        self._caller_server.prepare()
        threading.Thread(target=self._caller_server.serve, name="caller-server").start()
        self._background.start()
        self._ready = True
        vm = self._services.settings.vm
        self._services.log.info(
            LogEvent.DAEMON_STARTED, host=vm.host, port=vm.port, peer_port=vm.peer_port
        )

    def stop(self) -> bool:
        """Stop in an orderly way and return whether no request in flight was cut."""
        limits = self._services.settings.daemon
        self._ready = False
        self._background.announce_leaving()
        self._services.runtime.submit(LeavingAnnounced())
        self._services.log.info(LogEvent.DAEMON_STOPPING)
        time.sleep(limits.balancer_lag_ms / _MS_PER_S)
        ends_at_ms = now_ms() + limits.stop_limit_ms
        while self._services.runtime.requests_in_progress and now_ms() < ends_at_ms:
            time.sleep(_STOP_POLL_S)
        cut = self._services.runtime.requests_in_progress
        self._background.stop()
        self._caller_server.stop()
        self._peer_server.stop()
        self._services.runtime.stop()
        self._services.log.info(LogEvent.DAEMON_STOPPED, requests_cut=cut)
        self._services.log.close()
        return cut == 0

    def _cancel(self, action: CancelAtUpstream) -> None:
        client = self._services.upstream_client(action.upstream)
        threading.Thread(
            target=client.cancel, args=(action.request_id,), name="cancel", daemon=True
        ).start()
