"""What differs between two settings documents, one line for each value."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from azureturn.json_files import MERGE_KEY
from azureturn.settings._masking import SECRET_FIELDS, masked


class Absent(Enum):
    """Stands for a value that is not there at all, which null is not."""

    ABSENT = "absent"


@dataclass(frozen=True)
class Change:
    """One value that differs; secrets are told to differ and not shown."""

    #: JSON path, with the name in place of the number for lists of named objects.
    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is Absent.ABSENT:
            return f"+ {self.path}: {_shown(self.after)}"
        if self.after is Absent.ABSENT:
            return f"- {self.path}: {_shown(self.before)}"
        return f"~ {self.path}: {_shown(self.before)} -> {_shown(self.after)}"

    def to_document(self) -> dict[str, Any]:
        """Return the change as JSON; a value that is not there is left out."""
        document = {"path": self.path}
        if self.before is not Absent.ABSENT:
            document["before"] = self.before
        if self.after is not Absent.ABSENT:
            document["after"] = self.after
        return document


def differences(before: Any, after: Any) -> list[Change]:
    """Return what changes from one document to another, in order of the documents.

    >>> [str(change) for change in differences({"a": 1}, {"a": 2, "b": 3})]
    ['~ $.a: 1 -> 2', '+ $.b: 3']
    """
    return list(_walk("$", before, after))


def _walk(path: str, before: Any, after: Any) -> Iterator[Change]:
    if _is_named(before) or _is_named(after):
        before, after = _by_name(before), _by_name(after)
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _walk_objects(path, before, after)
    elif before != after:
        yield Change(path, _masked_at(path, before), _masked_at(path, after))


def _walk_objects(path: str, before: dict[str, Any], after: dict[str, Any]) -> Iterator[Change]:
    for name in [*before, *(name for name in after if name not in before)]:
        here = path + name if name.startswith("[") else f"{path}.{name}"
        yield from _walk(here, before.get(name, Absent.ABSENT), after.get(name, Absent.ABSENT))


def _by_name(value: Any) -> Any:
    """Return a list of named objects as an object, so that order does not matter."""
    if _is_named(value) or value in ([], Absent.ABSENT):
        named = [] if value is Absent.ABSENT else value
        return {f"[{item[MERGE_KEY]}]": item for item in named}
    return value


def _is_named(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(_has_name(item) for item in value)


def _has_name(item: Any) -> bool:
    return isinstance(item, dict) and MERGE_KEY in item


def _masked_at(path: str, value: Any) -> Any:
    if value is Absent.ABSENT:
        return value
    if path.rpartition(".")[2] in SECRET_FIELDS:
        return masked({"token": value})["token"]
    return masked(value)


def _shown(value: Any) -> str:
    return json.dumps(value)
