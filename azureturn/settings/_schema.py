"""The JSON Schema of the settings, for editors and for the documentation."""

from typing import Any

from pydantic import TypeAdapter

from azureturn.settings._types import Settings

SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"


def settings_schema() -> dict[str, Any]:
    """Return the JSON Schema of a base file merged with its overlays."""
    schema = TypeAdapter(Settings).json_schema()
    return {"$schema": SCHEMA_DIALECT, **schema}
