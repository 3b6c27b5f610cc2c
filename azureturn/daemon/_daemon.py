"""One daemon, put together from its settings."""

import secrets
import threading
import time

from azureturn.core import (
    CancelAtUpstream,
    ClaimAbandoned,
    Configuration,
    Core,
    ReadSegment,
    Started,
    SwapSegment,
)
from azureturn.daemon._background import BackgroundTasks
from azureturn.daemon._caller_server import CallerServer
from azureturn.daemon._claimants import answer_query, release_waiting
from azureturn.daemon._claims import ClaimCaller
from azureturn.daemon._face import CallerFace
from azureturn.daemon._outcomes import CallOutcomes
from azureturn.daemon._runtime import CoreRuntime, now_ms
from azureturn.daemon._services import Services
from azureturn.observability import EventLog, LogEvent, metrics_from_settings
from azureturn.peers import (
    EnvelopeSigner,
    Heartbeat,
    Outcome,
    OutcomeQuery,
    PeerClient,
    PeerServer,
)
from azureturn.platform import KeyValueClient, VmListClient
from azureturn.settings import Settings

_MS_PER_S = 1_000
_BOOT_ID_BYTES = 8
_STOP_POLL_S = 0.02


class _PeerFace:
    """What this VM does for other VMs."""

    def __init__(self, services: Services) -> None:
        self._services = services

    def find_outcome(self, query: OutcomeQuery) -> Outcome:
        """Return what this process knows of a call that it holds the claim of."""
        return answer_query(self._services, query)

    def exchange_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Return this VM's own heartbeat."""
        vm = self._services.settings.vm
        return Heartbeat(
            vm=vm.name,
            availability_zone=vm.availability_zone,
            boot_id=self._services.boot_id,
            sequence=now_ms(),
            configuration_revision=0,
            leaving=False,
            leaving_upstreams=[],
        )


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
            report_error=lambda text: services.log.error(LogEvent.INTERNAL_ERROR, error=text),
        )
        signer = EnvelopeSigner(
            settings.daemon.peer_secret, settings.vm.name, clock_s=time.monotonic
        )
        peer_face = _PeerFace(services)
        self._peer_server = PeerServer(settings.vm.host, settings.vm.peer_port, peer_face, signer)
        self._claims = ClaimCaller(services.key_value, services.runtime.submit)
        self._background = BackgroundTasks(services)
        services.runtime.perform(ReadSegment, self._claims.take)
        services.runtime.perform(SwapSegment, self._claims.take)
        services.runtime.perform(ClaimAbandoned, lambda action: release_waiting(services, action))
        services.runtime.perform(CancelAtUpstream, self._cancel)

    @classmethod
    def from_settings(cls, settings: Settings) -> "Daemon":
        """Return a daemon that is ready to start."""
        seed = settings.daemon.random_seed
        core = Core.from_settings(settings, seed=secrets.randbits(64) if seed is None else seed)
        runtime = CoreRuntime(core, tick_interval_ms=settings.daemon.tick_interval_ms)
        boot_id = secrets.token_hex(_BOOT_ID_BYTES)
        runtime.submit(Started(Configuration(0, settings.shared), boot_id))
        signer = EnvelopeSigner(
            settings.daemon.peer_secret, settings.vm.name, clock_s=time.monotonic
        )
        services = Services(
            settings=settings,
            boot_id=boot_id,
            runtime=runtime,
            key_value=KeyValueClient.from_settings(settings.platform),
            vm_list=VmListClient(settings.platform.vm_list_url),
            peers=PeerClient(signer),
            outcomes=CallOutcomes(),
            log=EventLog.from_path(settings.daemon.log_path, vm=settings.vm.name),
            metrics=metrics_from_settings(settings.daemon),
        )
        return cls(services)

    def start(self) -> None:
        """Begin to serve; return once the ports are open."""
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
        return cut == 0

    def _cancel(self, action: CancelAtUpstream) -> None:
        client = self._services.upstream_client(action.upstream)
        threading.Thread(
            target=client.cancel, args=(action.request_id,), name="cancel", daemon=True
        ).start()
