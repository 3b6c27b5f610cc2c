"""Differences between two settings documents, one line for each changed value."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from azureturn.json_files import MERGE_KEY
from azureturn.settings._masking import SECRET_FIELDS, mask_secrets


class Absent(Enum):
    """Sentinel for a missing value, as distinct from null."""

    ABSENT = "absent"


@dataclass(frozen=True)
class Change:
    """One changed value; a changed secret is reported, but masked."""

    #: JSON path; items of lists of named objects are addressed by name instead of index.
    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is Absent.ABSENT:
            return f"+ {self.path}: {_to_json(self.after)}"
        if self.after is Absent.ABSENT:
            return f"- {self.path}: {_to_json(self.before)}"
        return f"~ {self.path}: {_to_json(self.before)} -> {_to_json(self.after)}"

    def to_document(self) -> dict[str, Any]:
        """Return the change as a JSON object; a missing value is omitted."""
        document = {"path": self.path}
        if self.before is not Absent.ABSENT:
            document["before"] = self.before
        if self.after is not Absent.ABSENT:
            document["after"] = self.after
        return document


def differences(before: Any, after: Any) -> list[Change]:
    """Return the changes from one document to another, in document order.

    >>> [str(change) for change in differences({"a": 1}, {"a": 2, "b": 3})]
    ['~ $.a: 1 -> 2', '+ $.b: 3']
    """
    return list(_compare("$", before, after))


def _compare(path: str, before: Any, after: Any) -> Iterator[Change]:
    if _is_named_list(before) or _is_named_list(after):
        before, after = _index_by_name(before), _index_by_name(after)
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _compare_objects(path, before, after)
    elif before != after:
        yield Change(path, _mask_value(path, before), _mask_value(path, after))


def _compare_objects(path: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[Change]:
    for name in [*before, *(name for name in after if name not in before)]:
        child_path = path + name if name.startswith("[") else f"{path}.{name}"
        yield from _compare(
            child_path, before.get(name, Absent.ABSENT), after.get(name, Absent.ABSENT)
        )


def _index_by_name(value: Any) -> Any:
    """Return a list of named objects as an object keyed by name, so that order is ignored."""
    if _is_named_list(value) or value in ([], Absent.ABSENT):
        items = [] if value is Absent.ABSENT else value
        return {f"[{item[MERGE_KEY]}]": item for item in items}
    return value


def _is_named_list(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(_has_name(item) for item in value)


def _has_name(item: Any) -> bool:
    return isinstance(item, dict) and MERGE_KEY in item


def _mask_value(path: str, value: Any) -> Any:
    if value is Absent.ABSENT:
        return value
    if path.rpartition(".")[2] in SECRET_FIELDS:
        return mask_secrets({"token": value})["token"]
    return mask_secrets(value)


def _to_json(value: Any) -> str:
    return json.dumps(value)
