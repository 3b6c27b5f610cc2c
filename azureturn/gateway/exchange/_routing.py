"""Determines the route, service, organisation and urgency of a caller's request."""

import hashlib

import xxhash

from azureturn.errors import CallerError, ErrorKind, RefusedError
from azureturn.gateway.decisions import GatewayRequest
from azureturn.gateway.exchange._caller import CallerChannel
from azureturn.gateway.site import Organisation, RequestFacts, Route, SiteConfiguration
from azureturn.serving import CoreRuntime

#: Number of ranks of routes that are distinguished within one rank of organisations.
_ROUTE_RANKS_PER_ORGANISATION_RANK = 16
_DIGEST_BYTES = 12
#: Rank of a request whose urgency is unknown.
LEAST_URGENT_RANK = 1 << 30


def route_request(
    facts: RequestFacts,
    caller: CallerChannel,
    configuration: SiteConfiguration,
    runtime: CoreRuntime,
    *,
    body: bytes,
    arrived_at_ms: int,
) -> GatewayRequest:
    """Return the request in the form in which the controllers handle it.

    Raises :class:`CallerError` if no route or organisation matches, and :class:`RefusedError` if a
    request with the same id is in progress.
    """
    host = caller.header_values.get("host", "").partition(":")[0]
    route = configuration.find_route(host, caller.path)
    if route is None:
        raise CallerError(ErrorKind.UNKNOWN_ROUTE)
    organisation = _find_organisation(facts, route, configuration)
    if runtime.has_mailbox(facts.request_id):
        raise RefusedError(ErrorKind.OVERLOADED, "a request with the same id is in progress")
    timeout_ms = route.timeout_ms
    if facts.caller_timeout_ms is not None:
        timeout_ms = min(timeout_ms, facts.caller_timeout_ms)
    return GatewayRequest(
        request_id=facts.request_id,
        organisation=organisation.name if organisation else "",
        route=route,
        service=_choose_service(route, facts.request_id),
        urgency_rank=_urgency_rank(route, organisation),
        arrived_at_ms=arrived_at_ms,
        deadline_ms=arrived_at_ms + route.objective_ms,
        ends_at_ms=arrived_at_ms + timeout_ms,
        prompt=facts.prompt,
        caller_timeout_ms=facts.caller_timeout_ms,
        digest=_digest(caller, host, organisation.name if organisation else "", body),
        allotment_units=_allotment_units(facts, organisation),
    )


def urgency_of_head(
    facts: RequestFacts, caller: CallerChannel, configuration: SiteConfiguration
) -> int:
    """Return the urgency rank by the head alone; the least urgent one if no route matches."""
    host = caller.header_values.get("host", "").partition(":")[0]
    route = configuration.find_route(host, caller.path)
    if route is None:
        return LEAST_URGENT_RANK
    return _urgency_rank(route, configuration.find_organisation(facts.api_key))


def _digest(caller: CallerChannel, host: str, organisation: str, body: bytes) -> str:
    """Return the digest of what a caller asks for: the organisation, method, target and body.

    The request id is left out, since it is new each time a caller sends a request again.
    """
    head = "\0".join((organisation, caller.method, host, caller.target, ""))
    digest = hashlib.blake2b(head.encode(), digest_size=_DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()


def _find_organisation(
    facts: RequestFacts, route: Route, configuration: SiteConfiguration
) -> Organisation | None:
    organisation = configuration.find_organisation(facts.api_key)
    if organisation is None and configuration.organisations and not route.is_public:
        raise CallerError(ErrorKind.UNKNOWN_ORGANISATION)
    return organisation


def _urgency_rank(route: Route, organisation: Organisation | None) -> int:
    """Return the urgency rank: by the organisation's rank if it has one, then by the route's."""
    if organisation is None or organisation.rank is None:
        return route.rank
    return organisation.rank * _ROUTE_RANKS_PER_ORGANISATION_RANK + min(
        route.rank, _ROUTE_RANKS_PER_ORGANISATION_RANK - 1
    )


def _allotment_units(facts: RequestFacts, organisation: Organisation | None) -> int:
    if organisation is None:
        return 0
    if not organisation.allotment.counts_tokens:
        return 1
    if facts.prompt is None:
        return organisation.allotment.default_tokens
    return facts.prompt.prompt_tokens + facts.prompt.answer_limit_tokens


def _choose_service(route: Route, request_id: str) -> str:
    """Choose one of the route's services by weight; a request id always gives the same service."""
    if len(route.targets) == 1:
        return route.targets[0].service
    total_weight = sum(target.weight for target in route.targets)
    point = (xxhash.xxh3_64_intdigest(request_id.encode()) / (1 << 64)) * total_weight
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return route.targets[-1].service
