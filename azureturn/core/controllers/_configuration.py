"""Puts configurations in force, and keeps the table of upstreams in step with them."""

from azureturn.core._configuration import Configuration, ConfigurationTable
from azureturn.core._controllers import controller
from azureturn.core._events import ConfigurationInForce, ConfigurationReceived, Started
from azureturn.core._upstreams import Upstream, UpstreamTable
from azureturn.framework import Context, Controller, on
from azureturn.settings import Settings


@controller("configuration")
class ConfigurationController(Controller[Settings]):
    """Accepts only rising revisions, so that what was in force never comes back."""

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
        self._follow_upstreams(configuration)
        context.post(ConfigurationInForce(configuration))

    def _follow_upstreams(self, configuration: Configuration) -> None:
        upstreams = self.board.write(UpstreamTable)
        configured = {one.name: one for one in configuration.shared.upstreams}
        for name, settings in configured.items():
            known = upstreams.get(name) or Upstream(settings)
            upstreams.put(name, known.with_settings(settings))
        for gone in [name for name, _ in upstreams.items() if name not in configured]:
            upstreams.remove(gone)
