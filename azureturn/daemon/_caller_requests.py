"""Parses and validates callers' HTTP requests into the core's requests."""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import xxhash

from azureturn.core import Configuration, Request, Ticket
from azureturn.errors import CallerError, ErrorKind
from azureturn.settings import (
    OrganisationSettings,
    RouteSettings,
    UpstreamKind,
)

ROUTE_HEADER = "Azureturn-Route"
TIER_HEADER = "Azureturn-Tier"
TIMEOUT_HEADER = "Azureturn-Timeout-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
#: When the caller created its idempotency key, in ms since 1970; every retry repeats this time.
KEY_ISSUED_HEADER = "Azureturn-Key-Issued-Ms"

IDEMPOTENCY_KEY_LIMIT = 255
TIMEOUT_LIMIT_MS = 24 * 3_600_000
#: Maximum time by which a caller's clock may be ahead.
CLOCK_SKEW_LIMIT_MS = 60_000
OUTPUT_TOKENS_LIMIT = 1_000_000
#: Assumed characters per token, for estimates before the engine has reported its count.
CHARACTERS_PER_TOKEN = 5
#: Characters per prompt block; the block digests serve to place requests that share a prefix on
#: the same upstream.
PREFIX_BLOCK_CHARACTERS = 1_024
PREFIX_BLOCK_LIMIT = 64

_BEARER = "Bearer "


@dataclass(frozen=True)
class ChatBody:
    """The fields of a chat-completions body that placement needs; only these are validated."""

    model: str
    text: str
    stream: bool
    max_tokens: int | None
    #: The complete JSON body, from which the streaming form of the request is built.
    document: dict[str, Any]


def authenticated_organisation(
    headers: Mapping[str, str], configuration: Configuration
) -> OrganisationSettings:
    """Return the organisation of the bearer token, or raise with ``unknown_organisation``."""
    value = headers.get("Authorization", "")
    if value.startswith(_BEARER):
        token = value.removeprefix(_BEARER)
        organisation = configuration.organisation_of_token(token)
        if organisation is not None:
            return organisation
    raise CallerError(ErrorKind.UNKNOWN_ORGANISATION)


def parse_chat_body(body: bytes) -> ChatBody:
    """Parse a chat-completions body; raise with kind ``malformed_json`` if it is invalid."""
    document = _json_object(body)
    model = document.get("model")
    messages = document.get("messages")
    if not isinstance(model, str) or not isinstance(messages, list) or not messages:
        raise CallerError(ErrorKind.MALFORMED_JSON, "the body must have 'model' and 'messages'")
    if not all(isinstance(message, dict) for message in messages):
        raise CallerError(ErrorKind.MALFORMED_JSON, "each of 'messages' must be an object")
    text = " ".join(str(message.get("content", "")) for message in messages)
    streamed = document.get("stream") is True
    return ChatBody(model, text, streamed, _max_tokens(document), document)


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise CallerError(ErrorKind.MALFORMED_JSON) from error
    if not isinstance(document, dict):
        raise CallerError(ErrorKind.MALFORMED_JSON, "the body must be a JSON object")
    return document


def _max_tokens(document: dict[str, Any]) -> int | None:
    value = document.get("max_completion_tokens", document.get("max_tokens"))
    if value is None:
        return None
    if not isinstance(value, int) or not 1 <= value <= OUTPUT_TOKENS_LIMIT:
        raise CallerError(ErrorKind.MALFORMED_JSON, "'max_tokens' must be a positive integer")
    return value


def chat_route(
    headers: Mapping[str, str], model: str, configuration: Configuration
) -> RouteSettings:
    """Return the route named in the route header, or else the first route of the model."""
    if model not in configuration.models:
        raise CallerError(ErrorKind.UNKNOWN_MODEL)
    routes = [route for route in configuration.shared.routes if route.target == model]
    name = headers.get(ROUTE_HEADER)
    for route in routes:
        if name is None or route.name == name:
            return route
    raise CallerError(ErrorKind.UNKNOWN_MODEL if name is None else ErrorKind.UNKNOWN_ROUTE)


def requested_ticket_route(body: bytes) -> str:
    """Return the route named in the body of a request for a ticket."""
    name = _json_object(body).get("route")
    if not isinstance(name, str):
        raise CallerError(ErrorKind.MALFORMED_JSON, "the body must have 'route'")
    return name


def new_request(
    headers: Mapping[str, str],
    *,
    request_id: str,
    organisation: OrganisationSettings,
    route: RouteSettings,
    configuration: Configuration,
    kind: UpstreamKind,
    body: bytes,
    arrived_at_ms: int,
    path: str = "",
    chat: ChatBody | None = None,
    ticket: Ticket | None = None,
) -> Request:
    """Return the core's request for a validated HTTP request."""
    key = _idempotency_key(headers, route, ticket)
    timeout_ms = request_timeout_ms(headers, route)
    arrived_unix_ms = time.time_ns() // 1_000_000
    text = "" if chat is None else chat.text
    output_tokens = route.expected_output_tokens
    if chat is not None and chat.max_tokens is not None:
        output_tokens = min(output_tokens, chat.max_tokens)
    return Request(
        request_id=request_id,
        organisation=organisation.name,
        route=route.name,
        tier_rank=_tier_rank(headers, route, configuration),
        target=route.target,
        kind=kind,
        arrived_at_ms=arrived_at_ms,
        deadline_ms=arrived_at_ms + timeout_ms,
        idempotent=route.idempotent,
        idempotency_key=key,
        body_digest=_body_digest(route, path, body),
        prompt_tokens=1 + len(text) // CHARACTERS_PER_TOKEN,
        expected_output_tokens=output_tokens,
        prefix_digests=prefix_digests(text),
        upstream_deduplicates=route.upstream_deduplicates,
        arrived_unix_ms=arrived_unix_ms,
        key_issued_at_ms=_key_issued_at_ms(headers, arrived_unix_ms),
        ticket_nonce="" if ticket is None else ticket.nonce,
        ticket_expires_at_ms=0 if ticket is None else ticket.expires_at_ms,
    )


def _body_digest(route: RouteSettings, path: str, body: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(b"\0".join((route.name.encode(), path.encode(), body)))


def prefix_digests(text: str) -> tuple[str, ...]:
    """Return a digest for each full block of a prompt, over the prompt up to the block's end."""
    hasher = xxhash.xxh3_64()
    digests: list[str] = []
    blocks = min(len(text) // PREFIX_BLOCK_CHARACTERS, PREFIX_BLOCK_LIMIT)
    for number in range(blocks):
        start = number * PREFIX_BLOCK_CHARACTERS
        block = text[start : start + PREFIX_BLOCK_CHARACTERS]
        # JSON strings may contain unpaired surrogates, which UTF-8 cannot encode.
        hasher.update(block.encode(errors="surrogatepass"))
        digests.append(hasher.hexdigest())
    return tuple(digests)


def check_header(name: str, value: str, *, limit: int) -> None:
    """Raise with kind ``bad_header`` if a value is not safe to pass on to an upstream."""
    if len(value) > limit or not value.isascii() or not value.isprintable():
        message = f"{name} must be printable ASCII of at most {limit} characters"
        raise CallerError(ErrorKind.BAD_HEADER, message)


def _idempotency_key(
    headers: Mapping[str, str], route: RouteSettings, ticket: Ticket | None
) -> str:
    key = headers.get(IDEMPOTENCY_HEADER, "")
    check_header(IDEMPOTENCY_HEADER, key, limit=IDEMPOTENCY_KEY_LIMIT)
    if ticket is not None and (key or route.idempotent):
        raise CallerError(
            ErrorKind.BAD_HEADER,
            "a ticket is only valid on a non-idempotent route without an idempotency key",
        )
    if not route.idempotent and not key and ticket is None:
        raise CallerError(ErrorKind.IDEMPOTENCY_KEY_REQUIRED)
    return key


def _key_issued_at_ms(headers: Mapping[str, str], arrived_unix_ms: int) -> int:
    value = headers.get(KEY_ISSUED_HEADER)
    if value is None:
        return 0
    if not value.isascii() or not value.isdecimal() or not 1 <= len(value) <= 15:
        raise CallerError(ErrorKind.BAD_HEADER, f"{KEY_ISSUED_HEADER} must be in ms since 1970")
    issued_at_ms = int(value)
    if not 1 <= issued_at_ms <= arrived_unix_ms + CLOCK_SKEW_LIMIT_MS:
        raise CallerError(ErrorKind.BAD_HEADER, f"{KEY_ISSUED_HEADER} is in the future")
    return issued_at_ms


def request_timeout_ms(headers: Mapping[str, str], route: RouteSettings) -> int:
    """Return the timeout of a request, counted from its arrival."""
    value = headers.get(TIMEOUT_HEADER)
    if value is None:
        return route.timeout_ms
    if not value.isascii() or not value.isdecimal() or not 1 <= len(value) <= 9:
        raise CallerError(ErrorKind.BAD_HEADER, f"{TIMEOUT_HEADER} must be a decimal integer")
    timeout_ms = int(value)
    if not 1 <= timeout_ms <= TIMEOUT_LIMIT_MS:
        raise CallerError(ErrorKind.BAD_HEADER, f"{TIMEOUT_HEADER}: 1 to {TIMEOUT_LIMIT_MS}")
    return timeout_ms


def _tier_rank(
    headers: Mapping[str, str], route: RouteSettings, configuration: Configuration
) -> int:
    """Return the rank of the request's tier; 0 is the most urgent.

    A caller can only select a tier that is less urgent than the one of the route.
    """
    route_rank = configuration.tier_rank(route.tier)
    name = headers.get(TIER_HEADER)
    if name is None:
        return route_rank
    if name not in {tier.name for tier in configuration.shared.tiers}:
        raise CallerError(ErrorKind.BAD_HEADER, f"{TIER_HEADER}: unknown tier")
    return max(route_rank, configuration.tier_rank(name))
