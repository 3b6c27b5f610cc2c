"""Activates configurations and synchronises the upstream table with the active one."""

from azureturn.core._configuration import Configuration, ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import ConfigurationActivated, ConfigurationReceived, Started
from azureturn.core._upstreams import Upstream, UpstreamTable
from azureturn.framework import Context, Controller, on
from azureturn.settings import Settings


@controller("configuration")
class ConfigurationController(Controller[Settings]):
    """Accepts only increasing revisions, so that an older configuration is never restored."""

    writes = (ConfigurationTable, UpstreamTable)

    @on(Started)
    def _on_started(self, event: Started, context: Context) -> None:
        self._accept(event.configuration, context)

    @on(ConfigurationReceived)
    def _on_received(self, event: ConfigurationReceived, context: Context) -> None:
        self._accept(event.configuration, context)

    def _accept(self, configuration: Configuration, context: Context) -> None:
        if not self.board.write(ConfigurationTable).accept(configuration):
            return
        self._sync_upstreams(configuration)
        context.post(ConfigurationActivated(configuration))

    def _sync_upstreams(self, configuration: Configuration) -> None:
        upstreams = self.board.write(UpstreamTable)
        configured = {upstream.name: upstream for upstream in configuration.shared.upstreams}
        for name, settings in configured.items():
            upstream = upstreams.get(name) or Upstream(settings)
            upstreams.put(name, upstream.with_settings(settings))
        for old_name in [name for name, _ in upstreams.items() if name not in configured]:
            upstreams.remove(old_name)
