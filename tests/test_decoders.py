"""Decoders of data from other processes raise only subclasses of ``AzureturnError``."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.core import ClaimSegment
from azureturn.core.moves import decode_record
from azureturn.daemon._heartbeats import heartbeat_from_wire
from azureturn.daemon._tickets import TicketIssuer
from azureturn.errors import AzureturnError
from azureturn.peers import (
    ConfigurationAnswer,
    EnvelopeSigner,
    Heartbeat,
    OperatorQuery,
    Outcome,
    OutcomeQuery,
    decode_struct,
    encode_struct,
)
from azureturn.peers.gen.ttypes import Envelope
from azureturn.settings import check_shared_settings, load_settings
from standins.site import EXAMPLES

SETTINGS = load_settings(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
SIGNER = EnvelopeSigner(SETTINGS.daemon.peer_secret, "vm-1", clock_s=lambda: 0.0)
TICKETS = TicketIssuer(SETTINGS, boot_id="boot")

DECODERS: dict[str, Callable[[bytes], Any]] = {
    "claim segment": ClaimSegment.from_bytes,
    "move record": decode_record,
    "ticket": lambda data: TICKETS.read(data.decode("latin-1")),
    "envelope": lambda data: SIGNER.open("find_outcome", Envelope(data), OutcomeQuery),
    "heartbeat": lambda data: heartbeat_from_wire(decode_struct(Heartbeat, data)),
    "outcome": lambda data: decode_struct(Outcome, data),
    "outcome query": lambda data: decode_struct(OutcomeQuery, data),
    "operator query": lambda data: decode_struct(OperatorQuery, data),
    "configuration": lambda data: decode_struct(ConfigurationAnswer, data),
}
_KEYS = st.sampled_from(
    ["claims", "cells", "nonce", "digest", "body_digest", "vm", "boot_id", "host", "peer_port"]
    + ["state", "stages", "model", "site", "tiers", "routes", "name", "rank", "upstreams", "policy"]
)
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(_KEYS, inner, max_size=5),
    max_leaves=15,
)
ANY_BYTES = (
    st.binary(max_size=200)
    | ANY_JSON.map(lambda document: json.dumps(document).encode())
    | st.sampled_from(
        [b"[" * 2_000, b"\x1c" * 10_000, b"\x19\xfc\xff\xff\xff\xff\x07", b"9" * 5_000]
    )
)


@pytest.mark.parametrize("name", DECODERS)
@given(data=ANY_BYTES)
def test_arbitrary_bytes_raise_only_azureturn_errors(name: str, data: bytes) -> None:
    try:
        DECODERS[name](data)
    except AzureturnError:
        return


VALID_BYTES = {
    "claim segment": ClaimSegment().to_bytes(),
    "ticket": TICKETS.issue("call-centre", "deposit").encode(),
    "envelope": SIGNER.seal("find_outcome", OutcomeQuery()).signed_message or b"",
    "heartbeat": encode_struct(Heartbeat(vm="vm-1", rows=[], incarnation=1)),
    "outcome": encode_struct(Outcome(status=200, headers=[], body=b"x" * 50)),
}


@pytest.mark.parametrize("name", VALID_BYTES)
@given(offset=st.integers(0, 400), replacement=st.binary(min_size=1, max_size=3))
def test_corrupted_valid_bytes_raise_only_azureturn_errors(
    name: str, offset: int, replacement: bytes
) -> None:
    start = offset % len(VALID_BYTES[name])
    try:
        DECODERS[name](VALID_BYTES[name][:start] + replacement + VALID_BYTES[name][start + 1 :])
    except AzureturnError:
        return


@given(document=ANY_JSON)
def test_arbitrary_json_as_settings_raises_only_azureturn_errors(document: Any) -> None:
    try:
        check_shared_settings(document)
    except AzureturnError:
        return
