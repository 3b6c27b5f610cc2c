"""Decodes the key-value service's answers; an invalid answer counts as no answer."""

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from azureturn.errors import ErrorKind, KeyValueUnavailableError

_Decoded = TypeVar("_Decoded")


@dataclass(frozen=True)
class KeyValueEntry:
    """The value of one key, and the revision at which it was written."""

    key: str
    value: bytes
    revision: int


def decode_entries(data: bytes, *, key_prefix: str) -> list[KeyValueEntry]:
    """Return the entries in the answer to a range read."""

    def decode() -> list[KeyValueEntry]:
        answer = json.loads(data)
        _revision(answer)
        return [_entry(pair, key_prefix) for pair in answer.get("kvs", [])]

    return _decode_or_raise(decode)


def decode_transaction(data: bytes) -> int | None:
    """Return the revision of a transaction, or None if its compare failed.

    An answer without a revision is invalid, because it does not tell whether the write took
    effect.
    """

    def decode() -> int | None:
        answer = json.loads(data)
        revision = _revision(answer)
        return revision if answer.get("succeeded") is True else None

    return _decode_or_raise(decode)


def decode_watch_line(line: bytes, *, key_prefix: str) -> list[KeyValueEntry]:
    """Return the entries of the PUT events in one line of a watch."""

    def decode() -> list[KeyValueEntry]:
        events = json.loads(line)["result"].get("events", [])
        return [_entry(event["kv"], key_prefix) for event in events if event["type"] == "PUT"]

    return _decode_or_raise(decode)


def _decode_or_raise(decode: Callable[[], _Decoded]) -> _Decoded:
    try:
        return decode()
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        message = f"invalid answer of the key-value service: {type(error).__name__}"
        raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE, message) from error


def _revision(answer: dict[str, Any]) -> int:
    return int(answer["header"]["revision"])


def _entry(pair: dict[str, str], key_prefix: str) -> KeyValueEntry:
    key = base64.b64decode(pair["key"]).decode().removeprefix(key_prefix)
    value = base64.b64decode(pair.get("value", ""))
    return KeyValueEntry(key, value, int(pair["mod_revision"]))
