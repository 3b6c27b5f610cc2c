"""Reads settings in JSON: a base, and overlays merged onto it."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from azureturn.errors import ErrorKind, SettingsError

#: Lists of objects with this field are merged item by item; all other lists are replaced.
MERGE_KEY = "name"

Json = Any


def merge(base: Json, overlay: Json) -> Json:
    """Return ``base`` changed by ``overlay``.

    Objects are merged field by field. Lists whose items are objects with a ``name`` are merged
    by that name, new names going to the end. An object ``{"name": ..., "$remove": true}`` takes
    the item out. Everything else in the overlay replaces what the base has.

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
    for change in overlay:
        name = change[MERGE_KEY]
        if change.get("$remove") is True:
            items.pop(name, None)
            continue
        items[name] = merge(items.get(name, {}), change)
    return list(items.values())


def read_json(path: Path) -> Json:
    """Return the JSON in ``path``, or raise :class:`SettingsError` that says where it breaks."""
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(ErrorKind.MALFORMED_JSON, f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(ErrorKind.MALFORMED_JSON, f"{path}: {error}") from error


def read_merged(base: Path, overlays: Sequence[Path]) -> Json:
    """Return the base with each overlay merged onto it in turn."""
    document = read_json(base)
    for overlay in overlays:
        document = merge(document, read_json(overlay))
    return document
