"""What the daemon does beside serving: load reports, the configuration, the list of VMs."""

import json
import threading
from collections.abc import Callable

from azureturn.core import (
    Configuration,
    ConfigurationReceived,
    ConfigurationSource,
    ConfigurationTable,
    LoadReported,
)
from azureturn.daemon._runtime import now_ms
from azureturn.daemon._services import Services
from azureturn.errors import AzureturnError, PlatformError
from azureturn.observability import LogEvent, describe_error
from azureturn.platform import KeyValueEntry, ListedVm
from azureturn.settings import UpstreamKind, check_shared_settings

CONFIGURATION_KEY = "configuration"
#: Pause before a broken watch is begun anew, and between polls of the configuration.
WATCH_RETRY_MS = 1_000
_MS_PER_S = 1_000


class BackgroundTasks:
    """Threads that feed the core with what the platform and the upstreams say."""

    def __init__(self, services: Services) -> None:
        self._services = services
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start every thread."""
        self._enter_vm_list(leaving=False)
        interval_ms = self._services.settings.daemon.load_report_interval_ms
        self._every(interval_ms, self._read_load_reports, "load-reports")
        self._every(WATCH_RETRY_MS, self._watch_configuration, "configuration-watch")

    def stop(self) -> None:
        """End the threads at their next pause."""
        self._stopped.set()

    def announce_leaving(self) -> None:
        """Tell the platform that this VM is leaving."""
        self._enter_vm_list(leaving=True)

    def _every(self, interval_ms: int, task: Callable[[], None], name: str) -> None:
        def run() -> None:
            while not self._stopped.wait(interval_ms / _MS_PER_S):
                task()

        threading.Thread(target=run, name=name, daemon=True).start()

    def _enter_vm_list(self, *, leaving: bool) -> None:
        vm = self._services.settings.vm
        row = ListedVm(vm.name, vm.availability_zone, vm.host, vm.port, vm.peer_port, leaving)
        try:
            self._services.vm_list.enter(row)
        except PlatformError as error:
            self._services.log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error=error.message)

    def _read_load_reports(self) -> None:
        configuration = self._services.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).in_force()
        )
        for upstream in configuration.shared.upstreams:
            if upstream.kind is not UpstreamKind.MODEL_ENGINE:
                continue
            client = self._services.upstreams.of(upstream.name, upstream.url)
            report = client.load_report(now_ms())
            if report is not None:
                self._services.runtime.submit(LoadReported(upstream.name, report))

    def _watch_configuration(self) -> None:
        key_value = self._services.key_value
        try:
            entry = key_value.read(CONFIGURATION_KEY)
            from_revision = 1
            if entry is not None:
                self._accept(entry, ConfigurationSource.POLL)
                from_revision = entry.revision + 1
            for entries in key_value.watch(CONFIGURATION_KEY, from_revision=from_revision):
                for changed in entries:
                    self._accept(changed, ConfigurationSource.WATCH)
        except PlatformError as error:
            self._services.log.error(LogEvent.KEY_VALUE_UNAVAILABLE, error=error.message)

    def _accept(self, entry: KeyValueEntry, source: ConfigurationSource) -> None:
        try:
            shared = check_shared_settings(json.loads(entry.value))
        except (AzureturnError, ValueError) as error:
            self._services.log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))
            return
        configuration = Configuration(entry.revision, shared, source)
        self._services.runtime.submit(ConfigurationReceived(configuration))
        self._services.log.info(
            LogEvent.CONFIGURATION_IN_FORCE, revision=entry.revision, source=source.value
        )
