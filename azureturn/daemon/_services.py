"""What the parts of one daemon share."""

import secrets
from dataclasses import dataclass, field

from azureturn.core import ConfigurationTable
from azureturn.daemon._outcomes import CallOutcomes
from azureturn.daemon._runtime import CoreRuntime
from azureturn.errors import ErrorKind, RefusedError
from azureturn.observability import EventLog, Metrics
from azureturn.peers import PeerClient
from azureturn.platform import KeyValueClient, VmListClient
from azureturn.settings import Settings
from azureturn.upstreams import UpstreamClient

_REQUEST_ID_BYTES = 10


class UpstreamClients:
    """One client for each upstream, made when first needed and anew when its URL changes."""

    def __init__(self) -> None:
        self._clients: dict[tuple[str, str], UpstreamClient] = {}

    def of(self, name: str, url: str) -> UpstreamClient:
        """Return the client of an upstream."""
        client = self._clients.get((name, url))
        if client is None:
            client = self._clients[(name, url)] = UpstreamClient(url)
        return client


@dataclass(frozen=True)
class Services:
    """The adapters of one daemon, handed to each part that needs them."""

    settings: Settings
    boot_id: str
    runtime: CoreRuntime
    key_value: KeyValueClient
    vm_list: VmListClient
    peers: PeerClient
    outcomes: CallOutcomes
    log: EventLog
    metrics: Metrics
    upstreams: UpstreamClients = field(default_factory=UpstreamClients)

    def new_request_id(self) -> str:
        """Return an id that no other request of any VM has."""
        return f"{self.settings.vm.name}-{secrets.token_hex(_REQUEST_ID_BYTES)}"

    def upstream_client(self, name: str) -> UpstreamClient:
        """Return the client of a configured upstream."""
        configuration = self.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).in_force()
        )
        for upstream in configuration.shared.upstreams:
            if upstream.name == name:
                return self.upstreams.of(name, upstream.url)
        raise RefusedError(ErrorKind.NO_UPSTREAM)
