"""Services of the gateway that every exchange uses."""

from collections.abc import Callable
from dataclasses import dataclass, field

from azureturn.gateway.exchange._connections import ConnectionPool
from azureturn.gateway.settings import GatewaySettings
from azureturn.gateway.site import Dialect, SiteView
from azureturn.observability import EventLog, Metrics
from azureturn.serving import CallerWatch, CoreRuntime


@dataclass(frozen=True)
class ExchangeServices:
    """Services and adapters shared by all exchanges."""

    #: Returns the settings in force; they may be reloaded while the process runs.
    settings: Callable[[], GatewaySettings]
    runtime: CoreRuntime
    dialect: Dialect
    log: EventLog
    metrics: Metrics
    #: Returns the view of the store on which this VM bases its decisions.
    view: Callable[[], SiteView]
    #: Whether caller connections are closed after the response: a planned stop has begun, or this
    #: VM is overloaded.
    closes_connections: Callable[[], bool]
    #: Time left to answer new requests, in milliseconds; None while it is not limited.
    time_left_ms: Callable[[], int | None]
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    caller_watch: CallerWatch = field(default_factory=CallerWatch)
