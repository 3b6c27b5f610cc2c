"""The operator's configuration: routes, services, organisations and limits."""

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property


class RequestKind(StrEnum):
    """What may be done with a request besides sending it once."""

    #: May run more than once.
    IDEMPOTENT = "idempotent"
    #: May run at most once.
    NON_IDEMPOTENT = "non_idempotent"
    #: Answered by numbered events; runs once unless its route lets it be resumed.
    STREAM = "stream"


@dataclass(frozen=True)
class RouteTarget:
    """One service that a route sends requests to, and its share of them."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """One kind of request: where it goes and what it is owed."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    kind: RequestKind
    targets: tuple[RouteTarget, ...]
    #: Longest time that a caller is kept waiting for its final answer.
    timeout_ms: int
    #: Time within which an answer, or a stream's first event, is worth most.
    objective_ms: int
    #: Upstreams that may run one request, one after another.
    attempts: int
    #: 0 is the most urgent.
    rank: int
    #: Callers need no key.
    is_public: bool = False
    #: A stream may go on at another upstream from the last event received.
    is_resumable: bool = False
    #: Longest pause between two events that is still in time; 0 for none.
    pause_limit_ms: int = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True)
class EngineShape:
    """What the upstreams of a model service are able to hold."""

    #: Requests that run at once.
    slots: int
    #: Tokens of prompts and answers that fit.
    memory_tokens: int
    #: Tokens in one event of a stream.
    tokens_per_event: int


@dataclass(frozen=True)
class Service:
    """One service and what its upstreams have in common."""

    name: str
    health_path: str = ""
    #: Connections that one upstream takes from all callers.
    connection_limit: int = 0
    #: None for a plain service.
    engine: EngineShape | None = None


@dataclass(frozen=True)
class Allotment:
    """How much an organisation may use over all VMs; a rate of 0 sets no limit."""

    rate_per_s: float = 0.0
    burst: float = 0.0
    #: Whether requests count by their tokens, or one each.
    counts_tokens: bool = False
    #: What a request counts that states no tokens.
    uncounted_tokens: int = 0


@dataclass(frozen=True)
class Organisation:
    """One organisation that calls."""

    name: str
    keys: frozenset[str]
    #: Replaces the route's rank; None leaves it.
    rank: int | None = None
    allotment: Allotment = Allotment()


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    header_bytes: int = 32_768
    body_bytes: int = 4 << 20
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True)
class SiteConfiguration:
    """One version of everything that operators declare."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route of that host with the longest prefix of the path."""
        routes = self._routes_by_host.get(host.lower(), ())
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def organisation_of(self, key: str) -> Organisation | None:
        """Return the organisation that holds a key."""
        return self._organisations_by_key.get(key)

    def organisation(self, name: str) -> Organisation | None:
        """Return the organisation of this name."""
        return self._organisations.get(name)

    def service(self, name: str) -> Service | None:
        """Return the service of this name."""
        return self._services.get(name)

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        found: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda one: -len(one.path_prefix)):
            found.setdefault(route.host.lower(), []).append(route)
        return found

    @cached_property
    def _organisations_by_key(self) -> dict[str, Organisation]:
        return {key: one for one in self.organisations for key in one.keys}

    @cached_property
    def _organisations(self) -> dict[str, Organisation]:
        return {one.name: one for one in self.organisations}

    @cached_property
    def _services(self) -> dict[str, Service]:
        return {one.name: one for one in self.services}
