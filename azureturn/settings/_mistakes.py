"""What is wrong with settings: where it stands, and what would be allowed there."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Any

Schema = Mapping[str, Any]

#: pydantic's own names of its errors.
_UNKNOWN_FIELD = "unexpected_keyword_argument"
_MISSING_FIELD = "missing"


@dataclass(frozen=True)
class Mistake:
    """One thing wrong with the settings."""

    #: JSON path such as ``$.shared.routes[2].tier``.
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def mistake_of(item: Any, schema: Schema) -> Mistake:
    """Return the mistake that one of pydantic's errors tells of.

    The JSON Schema adds what the error leaves out: the whole range, the allowed values, or the
    fields that exist.
    """
    location: Sequence[str | int] = item["loc"]
    path = _path_of(location)
    if item["type"] == _UNKNOWN_FIELD:
        fields = sorted(_schema_at(schema, location[:-1]).get("properties", {}))
        return Mistake(path, _unknown_field(str(location[-1]), fields))
    if item["type"] == _MISSING_FIELD:
        return Mistake(path, "this field is required")
    allowed = _allowed_text(_schema_at(schema, location))
    message = str(item["msg"])
    return Mistake(path, f"{message}; allowed: {allowed}" if allowed else message)


def _path_of(location: Sequence[str | int]) -> str:
    parts = [f"[{part}]" if isinstance(part, int) else f".{part}" for part in location]
    return "$" + "".join(parts)


def _unknown_field(name: str, fields: list[str]) -> str:
    close = get_close_matches(name, fields, n=1)
    hint = f"did you mean '{close[0]}'? " if close else ""
    return f"no such field; {hint}allowed: {', '.join(fields)}"


def _schema_at(schema: Schema, location: Sequence[str | int]) -> Schema:
    """Return the part of a JSON Schema that describes the value at a location."""
    found: Schema = _resolved(schema, schema)
    for part in location:
        if isinstance(part, int):
            found = found.get("items", {})
        else:
            found = found.get("properties", {}).get(part, {})
        found = _resolved(found, schema)
    return found


def _resolved(part: Schema, root: Schema) -> Schema:
    reference = part.get("$ref")
    if reference is None:
        return part
    name = str(reference).rpartition("/")[2]
    definition: Schema = root["$defs"][name]
    return definition


def _allowed_text(part: Schema) -> str:
    if "enum" in part:
        return ", ".join(str(value) for value in part["enum"])
    if "pattern" in part:
        return f"text that matches {part['pattern']}"
    if part.get("type") == "string" and "minLength" in part:
        return f"{part['minLength']} to {part['maxLength']} characters"
    if part.get("type") in ("integer", "number"):
        return _range_text(part)
    return {"boolean": "true, false", "array": "a list", "object": "an object"}.get(
        str(part.get("type")), ""
    )


def _range_text(part: Schema) -> str:
    kind = "whole numbers" if part["type"] == "integer" else "numbers"
    bounds = {
        "minimum": "from {}",
        "exclusiveMinimum": "above {}",
        "maximum": "to {}",
        "exclusiveMaximum": "below {}",
    }
    told = [text.format(part[name]) for name, text in bounds.items() if name in part]
    return " ".join([kind, *told])
