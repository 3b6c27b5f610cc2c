"""Mistakes in settings: the path of the value, and what is allowed there."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Any

Schema = Mapping[str, Any]

#: Error types of pydantic.
_UNKNOWN_FIELD = "unexpected_keyword_argument"
_MISSING_FIELD = "missing"


@dataclass(frozen=True)
class Mistake:
    """One mistake in the settings."""

    #: JSON path such as ``$.shared.routes[2].tier``.
    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


def mistake_from_error(error_details: Any, schema: Schema) -> Mistake:
    """Return the mistake for one of pydantic's errors.

    The JSON Schema supplies what the error does not contain: the complete range, the allowed
    values, or the existing fields.
    """
    location: Sequence[str | int] = error_details["loc"]
    path = _json_path(location)
    if error_details["type"] == _UNKNOWN_FIELD:
        fields = sorted(_schema_at(schema, location[:-1]).get("properties", {}))
        return Mistake(path, _unknown_field_message(str(location[-1]), fields))
    if error_details["type"] == _MISSING_FIELD:
        return Mistake(path, "this field is required")
    allowed = _allowed_text(_schema_at(schema, location))
    message = str(error_details["msg"])
    return Mistake(path, f"{message}; allowed: {allowed}" if allowed else message)


def _json_path(location: Sequence[str | int]) -> str:
    segments = [f"[{step}]" if isinstance(step, int) else f".{step}" for step in location]
    return "$" + "".join(segments)


def _unknown_field_message(name: str, fields: list[str]) -> str:
    close_names = get_close_matches(name, fields, n=1)
    hint = f"did you mean '{close_names[0]}'? " if close_names else ""
    return f"no such field; {hint}allowed: {', '.join(fields)}"


def _schema_at(schema: Schema, location: Sequence[str | int]) -> Schema:
    """Return the subschema that describes the value at a location of field names and indexes."""
    subschema: Schema = _resolve_reference(schema, schema)
    for step in location:
        if isinstance(step, int):
            subschema = subschema.get("items", {})
        else:
            subschema = subschema.get("properties", {}).get(step, {})
        subschema = _resolve_reference(subschema, schema)
    return subschema


def _resolve_reference(subschema: Schema, root: Schema) -> Schema:
    reference = subschema.get("$ref")
    if reference is None:
        return subschema
    name = str(reference).rpartition("/")[2]
    definition: Schema = root["$defs"][name]
    return definition


def _allowed_text(subschema: Schema) -> str:
    if "enum" in subschema:
        return ", ".join(str(value) for value in subschema["enum"])
    if "pattern" in subschema:
        return f"text that matches {subschema['pattern']}"
    if subschema.get("type") == "string" and "minLength" in subschema:
        return f"{subschema['minLength']} to {subschema['maxLength']} characters"
    if subschema.get("type") in ("integer", "number"):
        return _range_text(subschema)
    return {"boolean": "true, false", "array": "a list", "object": "an object"}.get(
        str(subschema.get("type")), ""
    )


def _range_text(subschema: Schema) -> str:
    kind = "whole numbers" if subschema["type"] == "integer" else "numbers"
    bounds = {
        "minimum": "from {}",
        "exclusiveMinimum": "above {}",
        "maximum": "to {}",
        "exclusiveMaximum": "below {}",
    }
    constraints = [
        text.format(subschema[name]) for name, text in bounds.items() if name in subschema
    ]
    return " ".join([kind, *constraints])
