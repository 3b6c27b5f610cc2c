"""What an exchange needs of the gateway."""

from collections.abc import Callable
from dataclasses import dataclass, field

from azureturn.gateway.exchange._connections import ConnectionPool
from azureturn.gateway.settings import GatewaySettings
from azureturn.gateway.site import Dialect, SiteView
from azureturn.observability import EventLog, Metrics
from azureturn.serving import CallerWatch, CoreRuntime


@dataclass(frozen=True)
class ExchangeServices:
    """The adapters that exchanges share."""

    #: Those in force; they may change while the process runs.
    settings: Callable[[], GatewaySettings]
    runtime: CoreRuntime
    dialect: Dialect
    log: EventLog
    metrics: Metrics
    #: The view that this VM decides by.
    view: Callable[[], SiteView]
    #: Whether a planned stop has begun: connections are not kept any more.
    is_leaving: Callable[[], bool]
    #: Time that is left for new requests: None while no stop is planned.
    time_left_ms: Callable[[], int | None]
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    caller_watch: CallerWatch = field(default_factory=CallerWatch)
