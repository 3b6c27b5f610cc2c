"""Objects shared by the parts of the daemon."""

import secrets
import threading
from dataclasses import dataclass, field

from azureturn.core import ConfigurationTable
from azureturn.daemon._accounting import Accounting
from azureturn.daemon._outcomes import CallOutcomes
from azureturn.errors import ErrorKind, RefusedError
from azureturn.observability import EventLog, Metrics
from azureturn.peers import EnvelopeSigner, PeerClient
from azureturn.serving import CallerWatch, CoreRuntime, ThreadCallerWatch
from azureturn.settings import Settings, UpstreamKind, UpstreamSettings
from azureturn.store import KeyValueClient, VmListClient
from azureturn.upstreams import UpstreamClient

_REQUEST_ID_BYTES = 10


class UpstreamClients:
    """Caches one client per upstream and URL; a client is created on first use."""

    def __init__(self) -> None:
        self._clients: dict[tuple[str, str], UpstreamClient] = {}

    def client_for(self, name: str, url: str) -> UpstreamClient:
        """Return the client of the upstream ``name`` at ``url``."""
        client = self._clients.get((name, url))
        if client is None:
            client = self._clients[(name, url)] = UpstreamClient(url)
        return client


@dataclass(frozen=True)
class DaemonContext:
    """The settings and adapters of one daemon, passed to each part that needs them."""

    settings: Settings
    #: Random id of this process; a restarted daemon gets another one.
    boot_id: str
    runtime: CoreRuntime
    key_value: KeyValueClient
    vm_list: VmListClient
    peers: PeerClient
    signer: EnvelopeSigner
    outcomes: CallOutcomes
    log: EventLog
    metrics: Metrics
    accounting: Accounting
    upstreams: UpstreamClients = field(default_factory=UpstreamClients)
    caller_watch: CallerWatch = field(default_factory=ThreadCallerWatch)

    def new_request_id(self) -> str:
        """Return a request id that is unique over all VMs."""
        return f"{self.settings.vm.name}-{secrets.token_hex(_REQUEST_ID_BYTES)}"

    def upstream_client(self, name: str) -> UpstreamClient:
        """Return the client of a configured upstream, or raise with kind ``no_upstream``."""
        return self.upstreams.client_for(name, self._upstream_settings(name).url)

    def cancel_at_engine(self, name: str, request_id: str) -> None:
        """Cancel a request at a model engine, without waiting for the result.

        Does nothing for other kinds of upstreams.
        """
        if self._upstream_settings(name).kind is not UpstreamKind.MODEL_ENGINE:
            return
        client = self.upstream_client(name)
        threading.Thread(
            target=client.cancel, args=(request_id,), name="cancel", daemon=True
        ).start()

    def _upstream_settings(self, name: str) -> UpstreamSettings:
        configuration = self.runtime.inspect(
            lambda core: core.board.table(ConfigurationTable).get_active()
        )
        upstream = configuration.upstream(name)
        if upstream is None:
            raise RefusedError(ErrorKind.NO_UPSTREAM)
        return upstream
