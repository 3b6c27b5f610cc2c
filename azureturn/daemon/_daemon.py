"""Builds the daemon from its settings, and starts and stops it."""

import secrets
import sys
import threading
import time

from azureturn._time_of_day import unix_now_ms
from azureturn.core import (
    CancelAtUpstream,
    ClaimAbandoned,
    Configuration,
    Core,
    FetchConfiguration,
    HeldCallTable,
    LeavingAnnounced,
    OfferToPeers,
    ReadSegment,
    SendHeartbeat,
    Started,
    SwapSegment,
)
from azureturn.daemon._accounting import Accounting
from azureturn.daemon._background import BackgroundTasks
from azureturn.daemon._caller_application import CallerApplication
from azureturn.daemon._caller_server import CallerServer
from azureturn.daemon._claim_store import ClaimStoreAdapter
from azureturn.daemon._context import DaemonContext
from azureturn.daemon._duplicate_calls import release_waiters
from azureturn.daemon._moves import MoveAdapter
from azureturn.daemon._offers import OfferAdapter
from azureturn.daemon._outcomes import CallOutcomes
from azureturn.daemon._peer_exchange import PeerExchangeAdapter
from azureturn.daemon._peer_handler import DaemonPeerHandler
from azureturn.daemon._ticketed_calls import TicketedCalls
from azureturn.daemon._tickets import TicketIssuer
from azureturn.framework import AwaitPlacement
from azureturn.observability import EventLog, LogEvent, Metrics, describe_error
from azureturn.peers import (
    EnvelopeSigner,
    PeerClient,
    PeerServer,
)
from azureturn.serving import CoreRuntime, PlannedStop, StopLimits, StopStage
from azureturn.settings import Settings
from azureturn.store import KeyValueClient, VmListClient

_BOOT_ID_BYTES = 8


class Daemon:
    """The entry daemon of one VM.

    >>> daemon = Daemon.from_settings(settings)  # doctest: +SKIP
    >>> daemon.start()  # doctest: +SKIP
    >>> daemon.stop()  # doctest: +SKIP
    True
    """

    def __init__(self, context: DaemonContext) -> None:
        self._context = context
        self._started = False
        settings = context.settings
        limits = settings.daemon
        self._stop = PlannedStop(
            lambda: StopLimits(limits.balancer_lag_ms, limits.stop_limit_ms),
            unfinished=self._count_unfinished,
            end_requests=lambda: self._caller_server.end_requests(),
        )
        self._offers = OfferAdapter(context)
        tickets = TicketIssuer(settings, boot_id=context.boot_id)
        ticketed_calls = TicketedCalls(context, tickets)
        application = CallerApplication(
            context,
            self._offers,
            tickets=tickets,
            ticketed_calls=ticketed_calls,
            is_ready=self._is_ready,
            is_finishing=self._is_finishing,
        )
        self._caller_server = CallerServer(
            settings,
            application.wsgi_application(),
            new_request_id=context.new_request_id,
            report_error=lambda _text: context.log.error(
                LogEvent.INTERNAL_ERROR, error=describe_error(sys.exception())
            ),
            report_refusal=context.accounting.request_refused,
        )
        self._peer_server = PeerServer(
            settings.vm.host,
            settings.vm.peer_port,
            DaemonPeerHandler(context, ticketed_calls),
            context.signer,
        )
        self._claims = ClaimStoreAdapter(context.key_value, context.runtime.submit)
        self._gossip = PeerExchangeAdapter(context)
        self._background = BackgroundTasks(context, self._gossip)
        self._moves = MoveAdapter(context)
        context.runtime.register_handler(SendHeartbeat, self._gossip.send)
        context.runtime.register_handler(FetchConfiguration, self._gossip.fetch)
        context.runtime.register_handler(OfferToPeers, self._offers.enqueue_offer)
        context.runtime.register_handler(AwaitPlacement, lambda action: None)
        context.runtime.register_handler(ReadSegment, self._claims.enqueue)
        context.runtime.register_handler(SwapSegment, self._claims.enqueue)
        context.runtime.register_handler(
            ClaimAbandoned, lambda action: release_waiters(context, action)
        )
        context.runtime.register_handler(CancelAtUpstream, self._cancel)

    @classmethod
    def from_settings(cls, settings: Settings) -> "Daemon":
        """Return a daemon with these settings, not yet started."""
        seed = settings.daemon.random_seed
        core = Core.from_settings(settings, seed=secrets.randbits(64) if seed is None else seed)
        log = EventLog.from_path(settings.daemon.log_path, vm=settings.vm.name)

        def report_error(error: Exception) -> None:
            log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))

        runtime = CoreRuntime(
            core,
            tick_interval_ms=settings.daemon.tick_interval_ms,
            report_error=report_error,
        )
        boot_id = secrets.token_hex(_BOOT_ID_BYTES)
        runtime.submit(Started(Configuration(0, settings.shared), boot_id))
        signer = EnvelopeSigner(
            settings.daemon.peer_secret, settings.vm.name, clock_s=time.monotonic
        )
        metrics = Metrics.from_settings(settings.daemon)
        context = DaemonContext(
            settings=settings,
            boot_id=boot_id,
            runtime=runtime,
            key_value=KeyValueClient.from_settings(settings.platform),
            vm_list=VmListClient(settings.platform.vm_list_url),
            peers=PeerClient(signer),
            signer=signer,
            outcomes=CallOutcomes(),
            log=log,
            metrics=metrics,
            accounting=Accounting(
                runtime=runtime,
                log=log,
                metrics=metrics,
                started_at_unix_ms=unix_now_ms(),
            ),
        )
        return cls(context)

    def start(self) -> None:
        """Start serving; return once the ports are open."""
        self._gossip.start()
        self._gossip.load_initial_configuration()
        self._context.runtime.start()
        self._claims.start()
        self._offers.start()
        self._peer_server.start()
        self._caller_server.prepare()
        threading.Thread(target=self._caller_server.serve, name="caller-server").start()
        self._background.start()
        self._moves.start()
        self._started = True
        vm = self._context.settings.vm
        self._context.log.info(
            LogEvent.DAEMON_STARTED, host=vm.host, port=vm.port, peer_port=vm.peer_port
        )

    def stop(self) -> bool:
        """Shut down gracefully; return whether all requests and claims were completed first."""
        self._context.log.info(LogEvent.DAEMON_STOPPING)
        unfinished_count = self._stop.run(announce=self._announce_leaving)
        self._background.stop()
        self._moves.stop()
        if not unfinished_count:
            self._caller_server.refuse_backlog()
            self._caller_server.stop()
            self._peer_server.stop()
        self._context.runtime.stop()
        unsettled_claims = self._unsettled_claims()
        self._context.log.info(
            LogEvent.DAEMON_STOPPED,
            requests_cut=max(0, unfinished_count - unsettled_claims),
            claims_unsettled=unsettled_claims,
        )
        self._context.log.close()
        return unfinished_count == 0

    def skip_stop_wait(self) -> None:
        """Make a planned stop end without waiting for unfinished requests."""
        self._stop.skip_wait()

    def _announce_leaving(self) -> None:
        self._context.runtime.submit(LeavingAnnounced())
        self._background.announce_leaving()

    def _count_unfinished(self) -> int:
        return self._requests_in_flight() + self._unsettled_claims()

    def _requests_in_flight(self) -> int:
        in_flight = self._caller_server.requests_in_flight
        return max(in_flight, self._context.runtime.requests_in_progress)

    def _unsettled_claims(self) -> int:
        return self._context.runtime.inspect(
            lambda core: core.board.table(HeldCallTable).unsettled_count()
        )

    def _is_ready(self) -> bool:
        return self._started and self._stop.stage is StopStage.SERVING

    def _is_finishing(self) -> bool:
        return self._stop.stage >= StopStage.FINISHING

    def _cancel(self, action: CancelAtUpstream) -> None:
        self._context.cancel_at_engine(action.upstream, action.request_id)
