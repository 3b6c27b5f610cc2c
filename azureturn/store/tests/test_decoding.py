"""Answers of the platform that are none raise only errors of the closed list."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.errors import KeyValueUnavailableError, PlatformError
from azureturn.store import KeyValueEntry
from azureturn.store._key_value_answers import (
    decode_entries,
    decode_transaction,
    decode_watch_line,
)
from azureturn.store._vm_list import decode_vm_list

_NAMES = st.sampled_from(
    ["header", "revision", "kvs", "key", "value", "mod_revision", "result", "events", "type", "kv"]
    + ["succeeded", "vms", "name", "host", "port", "peer_port", "availability_zone", "state"]
)
_LEAVES = st.none() | st.booleans() | st.integers() | st.sampled_from(["PUT", "YQ==", "7", "x\xff"])
ANY_JSON = st.recursive(
    _LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(_NAMES, inner, max_size=5),
    max_leaves=15,
).map(lambda document: json.dumps(document).encode())
DECODERS = {
    "entries": lambda data: decode_entries(data, key_prefix=""),
    "transaction": decode_transaction,
    "watch line": lambda data: decode_watch_line(data, key_prefix=""),
    "list of VMs": decode_vm_list,
}


@pytest.mark.parametrize("name", DECODERS)
@given(data=ANY_JSON | st.binary(max_size=100) | st.just(b"[" * 2_000))
def test_any_bytes(name: str, data: bytes) -> None:
    try:
        DECODERS[name](data)
    except PlatformError:
        return


TRANSACTIONS: dict[str, tuple[Any, int | None]] = {
    "took effect": ({"header": {"revision": "7"}, "succeeded": True}, 7),
    "failed its compare": ({"header": {"revision": "7"}}, None),
}


@pytest.mark.parametrize("case", TRANSACTIONS)
def test_transaction(case: str) -> None:
    document, revision = TRANSACTIONS[case]
    assert decode_transaction(json.dumps(document).encode()) == revision


def test_an_answer_without_revision_does_not_say_that_nothing_was_written() -> None:
    with pytest.raises(KeyValueUnavailableError):
        decode_transaction(b"{}")


def test_entries_are_named_without_the_prefix() -> None:
    pair = {"key": "cC9h", "value": "eA==", "mod_revision": "3"}
    data = json.dumps({"header": {"revision": "3"}, "kvs": [pair]}).encode()
    assert decode_entries(data, key_prefix="p/") == [KeyValueEntry("a", b"x", 3)]
