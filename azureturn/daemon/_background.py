"""Background tasks: polling load reports, the configuration and the list of VMs."""

import threading
from collections.abc import Callable

from azureturn.core import ConfigurationSource, ConfigurationTable, LoadReported, UpstreamLeaving
from azureturn.daemon._context import DaemonContext
from azureturn.daemon._peer_exchange import (
    CONFIGURATION_KEY,
    PeerExchangeAdapter,
    peers_listed_event,
)
from azureturn.errors import PlatformError
from azureturn.observability import LogEvent, describe_error
from azureturn.serving import now_ms
from azureturn.settings import UpstreamKind
from azureturn.store import ListedVm

#: Delay before a broken watch is re-established.
WATCH_RETRY_MS = 500
#: Interval of additional configuration reads, in case the watch has stalled unnoticed.
POLL_INTERVAL_MS = 3_000
VM_LIST_INTERVAL_MS = 1_000
#: Above this number of model engines, their load reports are read one at a time at the rate
#: below.
PACING_THRESHOLD_ENGINES = 20
PACED_LOAD_REPORTS_PER_S = 20
_MS_PER_S = 1_000


class BackgroundTasks:
    """Threads that poll the platform and the upstreams and submit the results to the core."""

    def __init__(self, context: DaemonContext, gossip: PeerExchangeAdapter) -> None:
        self._context = context
        self._gossip = gossip
        self._stopped = threading.Event()

    def start(self) -> None:
        """Register this VM, read the list of VMs, and start all threads."""
        self._register_vm(leaving=False)
        self._read_vm_list()
        interval_ms = self._context.settings.daemon.load_report_interval_ms
        self._start_periodic(interval_ms, self._read_load_reports, "load-reports")
        self._start_periodic(WATCH_RETRY_MS, self._watch_configuration, "configuration-watch")
        self._start_periodic(POLL_INTERVAL_MS, self._poll_configuration, "configuration-poll")
        self._start_periodic(VM_LIST_INTERVAL_MS, self._read_vm_list, "vm-list")

    def stop(self) -> None:
        """Make each thread exit after its current run."""
        self._stopped.set()

    def announce_leaving(self) -> None:
        """Mark this VM as leaving in the platform's list."""
        self._register_vm(leaving=True)

    def _start_periodic(self, interval_ms: int, task: Callable[[], None], name: str) -> None:
        def run() -> None:
            while not self._stopped.wait(interval_ms / _MS_PER_S):
                self._run_once(task)

        threading.Thread(target=run, name=name, daemon=True).start()

    def _run_once(self, task: Callable[[], None]) -> None:
        try:
            task()
        except Exception as error:  # noqa: BLE001
            # An uncaught exception would end the thread silently, and its task would never run
            # again.
            self._context.log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))

    def _register_vm(self, *, leaving: bool) -> None:
        vm = self._context.settings.vm
        listed_vm = ListedVm(vm.name, vm.availability_zone, vm.host, vm.port, vm.peer_port, leaving)
        try:
            self._context.vm_list.register(listed_vm)
        except PlatformError as error:
            self._context.log.error(LogEvent.VM_LIST_UNAVAILABLE, error=error.message)

    def _read_vm_list(self) -> None:
        try:
            listed_vms = self._context.vm_list.read()
        except PlatformError as error:
            self._context.log.error(LogEvent.VM_LIST_UNAVAILABLE, error=error.message)
            return
        self._context.runtime.submit(peers_listed_event(listed_vms))

    def _read_load_reports(self) -> None:
        configuration = self._context.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).get_active()
        )
        engines = [
            upstream
            for upstream in configuration.shared.upstreams
            if upstream.kind is UpstreamKind.MODEL_ENGINE
        ]
        for upstream in engines:
            client = self._context.upstreams.client_for(upstream.name, upstream.url)
            report = client.load_report(now_ms())
            if report is not None:
                self._context.runtime.submit(LoadReported(upstream.name, report))
                leaving_event = UpstreamLeaving(upstream.name, report.leaving)
                self._context.runtime.submit(leaving_event)
            if len(engines) > PACING_THRESHOLD_ENGINES:
                self._stopped.wait(1 / PACED_LOAD_REPORTS_PER_S)

    def _poll_configuration(self) -> None:
        try:
            entry = self._context.key_value.read(CONFIGURATION_KEY)
        except PlatformError:
            # _watch_configuration logs the outage.
            return
        if entry is not None:
            self._gossip.submit_if_newer(entry, ConfigurationSource.POLL)

    def _watch_configuration(self) -> None:
        key_value = self._context.key_value
        try:
            entry = key_value.read(CONFIGURATION_KEY)
            from_revision = 1
            if entry is not None:
                self._gossip.submit_if_newer(entry, ConfigurationSource.POLL)
                from_revision = entry.revision + 1
            for entries in key_value.watch(CONFIGURATION_KEY, from_revision=from_revision):
                for changed_entry in entries:
                    self._gossip.submit_if_newer(changed_entry, ConfigurationSource.WATCH)
        except PlatformError as error:
            self._context.log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error=error.message)
