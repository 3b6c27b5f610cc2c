"""Any answer of the platform is either decoded or rejected with a :class:`PlatformError`."""

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
def test_any_bytes_are_decoded_or_rejected(name: str, data: bytes) -> None:
    try:
        DECODERS[name](data)
    except PlatformError:
        return


TRANSACTIONS: dict[str, tuple[Any, int | None]] = {
    "compare succeeded": ({"header": {"revision": "7"}, "succeeded": True}, 7),
    "compare failed": ({"header": {"revision": "7"}}, None),
}


@pytest.mark.parametrize("case", TRANSACTIONS)
def test_transaction_revision(case: str) -> None:
    document, revision = TRANSACTIONS[case]
    assert decode_transaction(json.dumps(document).encode()) == revision


def test_transaction_answer_without_revision_is_invalid() -> None:
    with pytest.raises(KeyValueUnavailableError):
        decode_transaction(b"{}")


def test_key_prefix_is_removed_from_entries() -> None:
    pair = {"key": "cC9h", "value": "eA==", "mod_revision": "3"}
    data = json.dumps({"header": {"revision": "3"}, "kvs": [pair]}).encode()
    assert decode_entries(data, key_prefix="p/") == [KeyValueEntry("a", b"x", 3)]
