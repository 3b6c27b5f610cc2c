"""Parts of the gateway that every exchange uses."""

from collections.abc import Callable
from dataclasses import dataclass, field

from azureturn.gateway.exchange._connections import ConnectionPool
from azureturn.gateway.exchange._connector import UpstreamConnector
from azureturn.gateway.settings import GatewaySettings
from azureturn.gateway.site import Dialect, RegisteredUpstream, SiteView
from azureturn.observability import EventLog, Metrics
from azureturn.serving import CallerWatch, CoreRuntime


@dataclass(frozen=True)
class ExchangeServices:
    """Parts of the gateway that all exchanges share."""

    #: Returns the current settings; they may be reloaded while the process runs.
    settings: Callable[[], GatewaySettings]
    runtime: CoreRuntime
    dialect: Dialect
    log: EventLog
    metrics: Metrics
    #: Returns this VM's current view: its copy of all documents in the store.
    view: Callable[[], SiteView]
    #: Returns whether a caller's connection is to be closed after the response, since a planned
    #: stop has begun or this VM is overloaded.
    closes_connections: Callable[[], bool]
    #: Returns the time left to answer new requests; None unless a planned stop limits it.
    time_left_ms: Callable[[], int | None]
    #: Returns whether the request with this id may be sent to an upstream now.
    may_send: Callable[[RegisteredUpstream, str], bool]
    #: Returns for how long the configuration in force has not been confirmed to be the latest.
    configuration_age_ms: Callable[[], int]
    connector: UpstreamConnector
    caller_watch: CallerWatch
    pool: ConnectionPool = field(default_factory=ConnectionPool)
