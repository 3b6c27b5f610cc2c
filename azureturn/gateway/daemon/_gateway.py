"""Builds a gateway process from its settings and a platform adapter."""

import secrets
import time
from dataclasses import dataclass, replace

from azureturn._time_of_day import unix_now_ms
from azureturn.framework import Core
from azureturn.gateway.daemon._connection_probes import ConnectionProbes
from azureturn.gateway.daemon._decision_log import DecisionLog
from azureturn.gateway.daemon._peer_calls import GatewayPeerHandler, ViewFetcher
from azureturn.gateway.daemon._peer_reports import ReportSocket
from azureturn.gateway.daemon._process_metrics import ProcessMetrics
from azureturn.gateway.daemon._restorable_store import RestorableStore
from azureturn.gateway.daemon._send_budget import SendBudget
from azureturn.gateway.daemon._store_watcher import StoreWatcher, ViewHolder
from azureturn.gateway.daemon._store_writer import StoreWriter
from azureturn.gateway.daemon._strain_detector import StrainDetector
from azureturn.gateway.daemon._zones_page import zones_page
from azureturn.gateway.decisions import (
    GATEWAY_CONTROLLERS,
    FetchView,
    FollowerCall,
    GatewayStarted,
    PeerTable,
    ProbeConnection,
    SendReport,
    StoreCallLimits,
    StoreCallTable,
    UpstreamConnectionFailed,
    UpstreamProcessEnded,
    ViewTable,
    VmLeaving,
    WriteAllotmentRecord,
    WriteMoveStatus,
    WriteQuarantineRecord,
    may_probe,
    may_relay,
    may_relay_another,
    may_send,
    next_follower_call,
)
from azureturn.gateway.exchange import (
    CONNECT_TIMEOUT_MS,
    BodyBudget,
    ConnectionPool,
    ExchangeServices,
    GatewayServer,
    StatusPage,
    StatusServer,
    UpstreamConnector,
)
from azureturn.gateway.relay import RelayClient, RelayServer
from azureturn.gateway.settings import GatewaySettings
from azureturn.gateway.site import Dialect, DocumentCodec, RegisteredUpstream, UpstreamRun
from azureturn.observability import (
    EventLog,
    LogEvent,
    Metric,
    describe_error,
)
from azureturn.peers import EnvelopeSigner, PeerClient, PeerServer
from azureturn.serving import (
    BoundedServer,
    CoreRuntime,
    LoopCallerWatch,
    PlannedStop,
    StopLimits,
    StopStage,
    now_ms,
)
from azureturn.store import TransactionalStore
from azureturn.tasks import Priority, TaskLoop, sleep

#: How long before the process is killed a planned stop aborts the requests still in flight.
_STOP_MARGIN_MS = 700
_IDLE_CHECK_INTERVAL_S = 0.5
_METRICS_PATH = "/metrics"
_ZONES_PATH = "/zones"


@dataclass(frozen=True)
class PlatformAdapter:
    """The objects that an adapter to a platform provides."""

    store: TransactionalStore
    documents: DocumentCodec
    dialect: Dialect


class GatewayDaemon:
    """The gateway: serves callers from ``start`` until ``stop``."""

    def __init__(self, settings: GatewaySettings, adapter: PlatformAdapter, log: EventLog) -> None:
        self._settings = settings
        self._stop_started_at_ms: int | None = None
        self._log = log
        seed = secrets.randbits(64)
        core = Core.from_controllers(GATEWAY_CONTROLLERS, settings, seed=seed)
        self._loop = TaskLoop("task-loop", self._report_task_error)
        self._runtime = CoreRuntime(
            core,
            tick_interval_ms=settings.limits.tick_interval_ms,
            report_error=self._report_task_error,
        )
        self._body_budget = BodyBudget.for_memory(settings.vm.memory_mb)
        self._process_metrics = ProcessMetrics(self._runtime, self._loop, self._body_budget)
        self._strain_detector = StrainDetector(self._runtime, log, self._process_metrics.metrics)
        self._view_holder = ViewHolder(self._runtime, adapter.documents, log)
        self._stop = PlannedStop(
            self._stop_limits,
            unfinished=self._requests_in_flight,
            end_requests=lambda: self._server.end_requests(),
        )
        vm = settings.vm
        signer = EnvelopeSigner(settings.limits.peer_secret, vm.name, clock_s=time.monotonic)
        connector = UpstreamConnector(RelayClient(vm.name, signer, port=vm.relay_port))
        self._relay_server = self._new_relay_server(signer)
        self._services = self._new_services(adapter.dialect, connector)
        self._report_socket = ReportSocket(
            vm.host,
            vm.peer_port,
            self._runtime,
            log,
            self._loop,
            budget=SendBudget(link_mbps=vm.link_mbps, now_s=time.monotonic()),
            interval_ms=self._report_interval_ms,
        )
        self._view_fetcher = ViewFetcher(
            PeerClient(signer), self._view_holder, log, peer_port=vm.peer_port, loop=self._loop
        )
        self._peer_server = PeerServer(
            vm.host, vm.peer_port, GatewayPeerHandler(self._view_holder), signer, loop=self._loop
        )
        store = RestorableStore(adapter.store, log, guard_prefix=adapter.documents.era_guard_prefix)
        self._writer = StoreWriter(store, self._view_holder, adapter.documents, log, self._loop)
        self._watcher = StoreWatcher(
            store,
            self._view_holder,
            adapter.documents,
            log,
            wait_ms=lambda: self._settings.watch_wait_ms,
            vm_count=lambda: len(self._view_holder.view.vms),
            follower_call=self._next_follower_call,
            count_call=lambda: self._process_metrics.metrics.count(Metric.STORE_READS),
            loop=self._loop,
        )
        self._server = GatewayServer(self._services, self._loop)
        self._servers = self._new_servers(adapter.dialect.readiness_path)
        self._probes = ConnectionProbes(
            self._runtime,
            connector,
            adapter.dialect,
            log,
            self._loop,
            may_probe=self._may_probe,
        )
        self._register_handlers()

    def _new_relay_server(self, signer: EnvelopeSigner) -> RelayServer:
        vm = self._settings.vm
        return RelayServer(
            (vm.host, vm.relay_port),
            signer,
            self._log,
            self._loop,
            find_upstream=self._find_available_upstream,
            may_relay_another=self._may_relay_another,
            report_failure=self._report_relay_failure,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
        )

    def _new_services(self, dialect: Dialect, connector: UpstreamConnector) -> ExchangeServices:
        return ExchangeServices(
            settings=lambda: self._settings,
            runtime=self._runtime,
            dialect=dialect,
            log=self._log,
            metrics=self._process_metrics.metrics,
            view=lambda: self._view_holder.view,
            closes_connections=lambda: (
                self._stop.stage is not StopStage.SERVING or self._strain_detector.is_strained()
            ),
            time_left_ms=self._time_left_ms,
            may_send=self._may_send,
            configuration_age_ms=self._configuration_age_ms,
            connector=connector,
            caller_watch=LoopCallerWatch(self._loop),
            pool=ConnectionPool(self._body_budget),
        )

    def _new_servers(self, readiness_path: str) -> dict[str, BoundedServer]:
        """Return the HTTP servers by name, in the order in which they start."""
        vm, metrics_port = self._settings.vm, self._settings.limits.metrics_port
        readiness_address = (vm.readiness_host, vm.readiness_port)
        readiness = {readiness_path: self._readiness_page}
        servers: dict[str, BoundedServer] = {
            "readiness": StatusServer(readiness_address, self._log, readiness, self._loop),
            "callers": self._server,
        }
        if metrics_port:
            pages = {
                _METRICS_PATH: lambda: self._process_metrics.page(self._server),
                _ZONES_PATH: self._zones_page,
            }
            address = (vm.host, metrics_port)
            servers["metrics"] = StatusServer(address, self._log, pages, self._loop)
        return servers

    @property
    def settings(self) -> GatewaySettings:
        """Return the current settings."""
        return self._settings

    def start(self) -> None:
        """Start the loop with all tasks and servers; return once the ports are open."""
        self._loop.start()
        self._runtime.submit(GatewayStarted(self._settings.vm.name, unix_now_ms()))
        self._watcher.start()
        self._report_socket.start()
        self._view_fetcher.start()
        self._probes.start()
        self._peer_server.start()
        self._relay_server.start()
        self._runtime.start(self._loop)
        for server in self._servers.values():
            server.prepare()
        self._writer.start(self._settings.vm)
        self._process_metrics.start()
        self._loop.spawn(self._close_idle_connections, priority=Priority.CONTROL)
        vm = self._settings.vm
        self._log.info(
            LogEvent.DAEMON_STARTED,
            host=vm.caller_host,
            port=vm.caller_port,
            peer_port=vm.peer_port,
        )

    def stop(self) -> bool:
        """Run a planned stop; return whether every request in flight was finished."""
        self._log.info(LogEvent.DAEMON_STOPPING)
        requests_cut = self._stop.run(announce=self._announce_stop)
        self._log.info(LogEvent.DAEMON_STOPPED, requests_cut=requests_cut, claims_unsettled=0)
        self._log.close()
        return requests_cut == 0

    def skip_stop_wait(self) -> None:
        """Make a planned stop end without waiting for requests in flight."""
        self._stop.skip_wait()

    def change_settings(self, settings: GatewaySettings) -> None:
        """Apply new settings, except addresses, which stay as they were at the start."""
        outcome = "unchanged" if settings == self._settings else "changed"
        self._settings = replace(
            settings, vm=self._settings.vm.with_seed_hosts(settings.vm.seed_hosts)
        )
        self._runtime.inspect(lambda core: core.change_settings(self._settings))
        self._log.info(LogEvent.SETTINGS_RELOADED, outcome=outcome)

    def log_invalid_settings(self, error: str) -> None:
        """Log that the settings could not be read; the current ones are kept."""
        self._log.error(LogEvent.SETTINGS_RELOADED, outcome="not valid", error=error)

    def _register_handlers(self) -> None:
        """Connect the core's actions to the parts that carry them out."""
        DecisionLog(self._log).register(self._runtime)
        self._runtime.register_handler(ProbeConnection, self._probes.enqueue)
        self._runtime.register_handler(SendReport, self._send_report)
        self._runtime.register_handler(FetchView, self._view_fetcher.enqueue)
        self._runtime.register_handler(WriteMoveStatus, self._writer.enqueue)
        self._runtime.register_handler(WriteAllotmentRecord, self._writer.enqueue)
        self._runtime.register_handler(WriteQuarantineRecord, self._writer.enqueue)

    def _report_interval_ms(self) -> int:
        """Return the interval at which the VMs of this site send reports."""
        shortest_ms = self._settings.limits.report_interval_ms
        return self._runtime.inspect(
            lambda core: core.board.table(PeerTable).interval_ms(shortest_ms)
        )

    def _stop_limits(self) -> StopLimits:
        """Return the limits of a planned stop by the current settings."""
        lag_ms = self._settings.limits.balancer_lag_ms
        stop_limit_ms = self._settings.bounds.stop_limit_ms - lag_ms - _STOP_MARGIN_MS
        return StopLimits(lag_ms, stop_limit_ms)

    def _time_left_ms(self) -> int | None:
        """Return the time left to answer a new request, in milliseconds; None if not limited.

        There is no limit until the balancer has had time to notice the stop.
        """
        if self._stop.stage is StopStage.SERVING or self._stop_started_at_ms is None:
            return None
        if self._stop.stage >= StopStage.CLOSING:
            return 0
        limits = self._stop_limits()
        waited_ms = now_ms() - self._stop_started_at_ms
        if waited_ms <= limits.balancer_lag_ms:
            return None
        return limits.balancer_lag_ms + limits.stop_limit_ms - waited_ms

    def _announce_stop(self) -> None:
        self._stop_started_at_ms = now_ms()
        limits = self._stop_limits()
        limit_ms = limits.balancer_lag_ms + limits.stop_limit_ms
        self._runtime.submit(VmLeaving(self._stop_started_at_ms + limit_ms))

    def _requests_in_flight(self) -> int:
        own_requests = max(self._server.requests_in_flight, self._runtime.requests_in_progress)
        return own_requests + self._relay_server.open_relays

    def _may_send(self, upstream: RegisteredUpstream, request_id: str) -> bool:
        return self._runtime.inspect(
            lambda core: may_send(core.board, upstream, now_ms(), request_id)
        )

    def _may_probe(self, upstream: RegisteredUpstream, sends_request: bool) -> bool:
        return self._runtime.inspect(
            lambda core: may_probe(core.board, upstream, now_ms(), sends_request=sends_request)
        )

    def _may_relay_another(self, upstream: RegisteredUpstream) -> bool:
        return self._runtime.inspect(lambda core: may_relay_another(core.board, upstream, now_ms()))

    def _may_relay(self, upstream: RegisteredUpstream) -> bool:
        return self._runtime.inspect(lambda core: may_relay(core.board, upstream, now_ms()))

    def _next_follower_call(self) -> FollowerCall | None:
        limits = StoreCallLimits.from_bounds(self._settings.bounds)
        return self._runtime.inspect(
            lambda core: next_follower_call(core.board, limits, self._settings.vm, now_ms())
        )

    def _configuration_age_ms(self) -> int:
        """Return the time since the store, or a peer that it answers, had no later configuration.

        The peer may have heard that when its own call to the store began to wait.
        """
        by_peer_at_ms, known_at_ms = self._runtime.inspect(
            lambda core: (
                core.board.table(ViewTable).confirmed_by_peer_at_ms,
                core.board.table(StoreCallTable).known_at_ms or 0,
            )
        )
        peer_knew_at_ms = by_peer_at_ms - self._settings.watch_wait_ms
        return now_ms() - max(self._watcher.answered_at_ms, peer_knew_at_ms, known_at_ms)

    def _find_available_upstream(self, name: str) -> RegisteredUpstream | None:
        """Return the upstream that a peer asks for, unless it may be sent no request now."""
        upstream = self._view_holder.view.upstreams.get(name)
        if upstream is None or not self._may_relay(upstream):
            return None
        return upstream

    def _report_relay_failure(self, run: UpstreamRun, refused: bool) -> None:
        event = UpstreamProcessEnded(run) if refused else UpstreamConnectionFailed(run)
        self._runtime.submit(event)

    def _is_ready(self) -> bool:
        if self._stop.stage is not StopStage.SERVING or self._strain_detector.is_strained():
            return False
        return self._view_holder.view.configuration is not None

    def _readiness_page(self) -> StatusPage:
        return StatusPage(200, b"ready\n") if self._is_ready() else StatusPage(503, b"not ready\n")

    def _zones_page(self) -> StatusPage:
        vm = self._settings.vm.name
        return self._runtime.inspect(lambda core: zones_page(core, vm, now_ms()))

    def _send_report(self, action: SendReport) -> None:
        report = action.report.with_strained(self._strain_detector.is_strained())
        self._report_socket.send(replace(action, report=report))

    def _report_task_error(self, error: BaseException) -> None:
        self._log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))

    def _close_idle_connections(self) -> None:
        while True:
            sleep(_IDLE_CHECK_INTERVAL_S)
            self._services.pool.close_idle()
