"""The operators' configuration: routes, services, organisations and limits."""

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property


class RequestKind(StrEnum):
    """Kind of a route's requests; determines whether a request may run more than once."""

    #: May run more than once.
    IDEMPOTENT = "idempotent"
    #: May run at most once.
    NON_IDEMPOTENT = "non_idempotent"
    #: The response is a stream of numbered events. May run at most once, unless the route is
    #: resumable.
    STREAM = "stream"


@dataclass(frozen=True)
class RouteTarget:
    """A service that a route sends requests to; ``weight`` determines its share of them."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """One route: which requests it matches, the services they go to, and their limits."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    kind: RequestKind
    targets: tuple[RouteTarget, ...]
    #: Time limit for the whole response.
    timeout_ms: int
    #: Time in which the response, or the first event of a stream, is to be sent.
    objective_ms: int
    #: Maximum number of times that a request may run, each time at another upstream.
    attempts: int
    #: Urgency rank; 0 is the most urgent.
    rank: int
    #: Whether callers need no API key.
    is_public: bool = False
    #: Whether a broken stream may continue at another upstream, after the last event received.
    is_resumable: bool = False
    #: Maximum pause to aim for between two events of a stream; 0 for none.
    pause_limit_ms: int = 0
    #: Time without a first event after which callers of a stream disconnect; 0 if they wait until
    #: their time limit.
    first_event_timeout_ms: int = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True)
class EngineCapacity:
    """Capacity of each upstream of a model service.

    Such an upstream is an engine: it first processes a prompt as a whole (prefill) and then
    generates the tokens of the response one by one.
    """

    #: Requests that run concurrently.
    slots: int
    #: Tokens of prompts and responses that an upstream holds in memory.
    memory_tokens: int
    #: Tokens in one event of a stream.
    tokens_per_event: int


@dataclass(frozen=True)
class Service:
    """One service: a set of interchangeable upstreams, and their common properties."""

    name: str
    #: Path at which its upstreams report their status; empty if they do not.
    status_path: str = ""
    #: Connections that one upstream accepts from all its clients together.
    connection_limit: int = 0
    #: None for a service that is not a model service.
    engine: EngineCapacity | None = None
    #: How long an upstream is cold after its start.
    cold_start_ms: int = 0
    #: Requests per second that a cold upstream takes from all VMs together; 0 for no limit.
    cold_per_s: float = 0.0


@dataclass(frozen=True)
class Allotment:
    """Rate limit of an organisation over all VMs, in units; a rate of 0 sets no limit."""

    rate_per_s: float = 0.0
    burst: float = 0.0
    #: Whether a unit is one token; otherwise it is one request.
    counts_tokens: bool = False
    #: Units charged for a request without a stated number of tokens.
    default_tokens: int = 0


@dataclass(frozen=True)
class Organisation:
    """One customer organisation."""

    name: str
    #: Its API keys.
    keys: frozenset[str]
    #: Urgency rank of its requests; the route's rank only orders requests of equal rank. With None,
    #: the route's rank applies alone.
    rank: int | None = None
    allotment: Allotment = Allotment()


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time to send them."""

    header_bytes: int = 32_768
    body_bytes: int = 4 << 20
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class SiteConfiguration:
    """The configuration that operators write, as of one version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of this host with the longest matching path prefix."""
        routes = self._routes_by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation with this API key."""
        return self._organisations_by_key.get(key)

    def organisation(self, name: str) -> Organisation | None:
        """Return the organisation of this name."""
        return self._organisations_by_name.get(name)

    def service(self, name: str) -> Service | None:
        """Return the service of this name."""
        return self._services_by_name.get(name)

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        return routes_by_host

    @cached_property
    def _organisations_by_key(self) -> dict[str, Organisation]:
        return {
            key: organisation for organisation in self.organisations for key in organisation.keys
        }

    @cached_property
    def _organisations_by_name(self) -> dict[str, Organisation]:
        return {organisation.name: organisation for organisation in self.organisations}

    @cached_property
    def _services_by_name(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}
