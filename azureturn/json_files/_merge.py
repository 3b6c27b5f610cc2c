"""Reads JSON files and merges overlays onto a base file."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from azureturn.errors import ErrorKind, SettingsError

#: Lists whose items are all objects with this field are merged by its value; others are replaced.
MERGE_KEY = "name"

Json = Any


def merge(base: Json, overlay: Json) -> Json:
    """Return ``base`` with ``overlay`` merged onto it.

    Objects are merged field by field. Lists whose items are objects with a ``name`` are merged by
    name; items with new names are appended. An item ``{"name": ..., "$remove": true}`` removes the
    item of that name. Any other value in the overlay replaces the base's value.

    >>> merge({"a": 1, "b": {"c": 2}}, {"b": {"d": 3}})
    {'a': 1, 'b': {'c': 2, 'd': 3}}
    """
    if isinstance(base, dict) and isinstance(overlay, dict):
        return _merge_objects(base, overlay)
    if _is_named_list(base) and _is_named_list(overlay):
        return _merge_named_lists(base, overlay)
    return overlay


def _merge_objects(base: dict[str, Json], overlay: dict[str, Json]) -> dict[str, Json]:
    merged = dict(base)
    for name, value in overlay.items():
        merged[name] = merge(base[name], value) if name in base else value
    return merged


def _is_named_list(value: Json) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) and MERGE_KEY in item for item in value
    )


def _merge_named_lists(base: list[Json], overlay: list[Json]) -> list[Json]:
    items = {item[MERGE_KEY]: item for item in base}
    for overlay_item in overlay:
        name = overlay_item[MERGE_KEY]
        if overlay_item.get("$remove") is True:
            items.pop(name, None)
            continue
        items[name] = merge(items.get(name, {}), overlay_item)
    return list(items.values())


def read_json(path: Path) -> Json:
    """Return the JSON in ``path``; raise :class:`SettingsError` that names the file and fault."""
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(ErrorKind.MALFORMED_JSON, f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(ErrorKind.MALFORMED_JSON, f"{path}: {error}") from error


def read_merged(base: Path, overlays: Sequence[Path]) -> Json:
    """Return the base with the overlays merged onto it in order."""
    document = read_json(base)
    for overlay in overlays:
        document = merge(document, read_json(overlay))
    return document
