"""What the daemon does beside serving: load reports, the configuration, the list of VMs."""

import threading
from collections.abc import Callable

from azureturn.core import ConfigurationSource, ConfigurationTable, LoadReported, UpstreamLeaving
from azureturn.daemon._gossip import CONFIGURATION_KEY, GossipAdapter, listed_event
from azureturn.daemon._services import Services
from azureturn.errors import PlatformError
from azureturn.observability import LogEvent, describe_error
from azureturn.serving import now_ms
from azureturn.settings import UpstreamKind
from azureturn.store import ListedVm

#: Pause before a broken watch is begun anew.
WATCH_RETRY_MS = 500
#: The configuration is also read this often, for the case that a watch has gone silent.
POLL_INTERVAL_MS = 3_000
VM_LIST_INTERVAL_MS = 1_000
#: Beyond so many model engines their load reports are read at this rate, one after another.
PACED_ENGINES = 20
LOAD_REPORTS_PER_S = 20
_MS_PER_S = 1_000


class BackgroundTasks:
    """Threads that feed the core with what the platform and the upstreams say."""

    def __init__(self, services: Services, gossip: GossipAdapter) -> None:
        self._services = services
        self._gossip = gossip
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start every thread."""
        self._enter_vm_list(leaving=False)
        self._read_vm_list()
        interval_ms = self._services.settings.daemon.load_report_interval_ms
        self._every(interval_ms, self._read_load_reports, "load-reports")
        self._every(WATCH_RETRY_MS, self._watch_configuration, "configuration-watch")
        self._every(POLL_INTERVAL_MS, self._poll_configuration, "configuration-poll")
        self._every(VM_LIST_INTERVAL_MS, self._read_vm_list, "vm-list")

    def stop(self) -> None:
        """End the threads at their next pause."""
        self._stopped.set()

    def announce_leaving(self) -> None:
        """Tell the platform that this VM is leaving."""
        self._enter_vm_list(leaving=True)

    def _every(self, interval_ms: int, task: Callable[[], None], name: str) -> None:
        def run() -> None:
            while not self._stopped.wait(interval_ms / _MS_PER_S):
                self._run_once(task)

        threading.Thread(target=run, name=name, daemon=True).start()

    def _run_once(self, task: Callable[[], None]) -> None:
        try:
            task()
        except Exception as error:  # noqa: BLE001
            # A thread that ended here would end without a word, and its task with it.
            self._services.log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))

    def _enter_vm_list(self, *, leaving: bool) -> None:
        vm = self._services.settings.vm
        row = ListedVm(vm.name, vm.availability_zone, vm.host, vm.port, vm.peer_port, leaving)
        try:
            self._services.vm_list.enter(row)
        except PlatformError as error:
            self._services.log.error(LogEvent.VM_LIST_UNAVAILABLE, error=error.message)

    def _read_vm_list(self) -> None:
        try:
            listed = self._services.vm_list.read()
        except PlatformError as error:
            self._services.log.error(LogEvent.VM_LIST_UNAVAILABLE, error=error.message)
            return
        self._services.runtime.submit(listed_event(listed))

    def _read_load_reports(self) -> None:
        configuration = self._services.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).in_force()
        )
        engines = [
            upstream
            for upstream in configuration.shared.upstreams
            if upstream.kind is UpstreamKind.MODEL_ENGINE
        ]
        for upstream in engines:
            client = self._services.upstreams.of(upstream.name, upstream.url)
            report = client.load_report(now_ms())
            if report is not None:
                self._services.runtime.submit(LoadReported(upstream.name, report))
                leaving = UpstreamLeaving(upstream.name, report.leaving)
                self._services.runtime.submit(leaving)
            if len(engines) > PACED_ENGINES:
                self._stopped.wait(1 / LOAD_REPORTS_PER_S)

    def _poll_configuration(self) -> None:
        try:
            entry = self._services.key_value.read(CONFIGURATION_KEY)
        except PlatformError:
            # The watch tells of the outage.
            return
        if entry is not None:
            self._gossip.accept(entry, ConfigurationSource.POLL)

    def _watch_configuration(self) -> None:
        key_value = self._services.key_value
        try:
            entry = key_value.read(CONFIGURATION_KEY)
            from_revision = 1
            if entry is not None:
                self._gossip.accept(entry, ConfigurationSource.POLL)
                from_revision = entry.revision + 1
            for entries in key_value.watch(CONFIGURATION_KEY, from_revision=from_revision):
                for changed in entries:
                    self._gossip.accept(changed, ConfigurationSource.WATCH)
        except PlatformError as error:
            self._services.log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error=error.message)
