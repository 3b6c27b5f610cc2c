"""Any caller input is either parsed within limits or refused with a :class:`CallerError`."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.core import Configuration
from azureturn.daemon._caller_requests import (
    authenticated_organisation,
    chat_route,
    check_header,
    new_request,
    parse_chat_body,
    prefix_digests,
)
from azureturn.errors import CallerError, ErrorKind
from azureturn.settings import (
    OrganisationSettings,
    RouteSettings,
    SharedSettings,
    TierSettings,
    UpstreamKind,
)
from azureturn.upstreams import streaming_request_body

_NAMES = st.sampled_from(["model", "messages", "content", "stream", "max_tokens", "role", "x"])
_LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=20)
    | st.sampled_from(["m", "\ud800"])
)
ANY_JSON = st.recursive(
    _LEAVES,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(_NAMES, inner, max_size=5),
    max_leaves=20,
)
MESSAGES = st.lists(st.dictionaries(_NAMES, ANY_JSON, max_size=3), min_size=1, max_size=3)
CHAT = st.dictionaries(_NAMES, ANY_JSON, max_size=4).flatmap(
    lambda more: MESSAGES.map(lambda messages: {**more, "model": "m", "messages": messages})
)
ROUTE = RouteSettings(name="r", tier="urgent", timeout_ms=1_000, target="m", idempotent=False)
ORGANISATION = OrganisationSettings(name="o", token="a-token-of-sixteen")
CONFIGURATION = Configuration(
    0,
    SharedSettings(
        site="s",
        tiers=(TierSettings("urgent", 0), TierSettings("later", 1)),
        organisations=(ORGANISATION,),
        routes=(ROUTE,),
        upstreams=(),
    ),
)


@given(
    body=st.binary(max_size=200) | (CHAT | ANY_JSON).map(lambda value: json.dumps(value).encode())
)
def test_any_body_is_parsed_or_rejected(body: bytes) -> None:
    try:
        chat = parse_chat_body(body)
    except CallerError as error:
        assert error.kind is ErrorKind.MALFORMED_JSON
        return
    prefix_digests(chat.text)
    assert json.loads(streaming_request_body(chat.document))["stream"] is True


@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"a":' * 50_000, b'{"a": ' + b"9" * 10_000])
def test_pathological_bodies_are_rejected(body: bytes) -> None:
    with pytest.raises(CallerError):
        parse_chat_body(body)


def test_unpaired_surrogate_in_a_long_prompt() -> None:
    body = {"model": "m", "messages": [{"content": "\ud800" * 2_000}]}
    assert len(prefix_digests(parse_chat_body(json.dumps(body).encode()).text)) == 1


@pytest.mark.parametrize("value", ["a\r\nb", "\u20ac", "x" * 256, "\x00", "é"])
def test_unsafe_header_values_are_rejected(value: str) -> None:
    with pytest.raises(CallerError) as caught:
        check_header("Idempotency-Key", value, limit=255)
    assert caught.value.kind is ErrorKind.BAD_HEADER


HEADERS = st.dictionaries(
    st.sampled_from(
        ["Azureturn-Tier", "Azureturn-Timeout-Ms", "Idempotency-Key", "Authorization"]
        + ["Azureturn-Route", "Azureturn-Ticket"]
    ),
    st.text(max_size=300) | st.sampled_from(["later", "urgent", "500", "٣", "Bearer "]),
)


@given(headers=HEADERS)
def test_any_headers_are_accepted_or_rejected(headers: dict[str, str]) -> None:
    readers: list[Any] = [
        lambda: authenticated_organisation(headers, CONFIGURATION),
        lambda: chat_route(headers, "m", CONFIGURATION),
        lambda: new_request(
            headers,
            request_id="vm-1-0",
            organisation=ORGANISATION,
            route=ROUTE,
            configuration=CONFIGURATION,
            kind=UpstreamKind.PLAIN_SERVICE,
            body=b"",
            arrived_at_ms=0,
        ),
    ]
    for reader in readers:
        try:
            reader()
        except CallerError:
            continue
