"""Loads settings and validates them as a whole."""

from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from azureturn.errors import ErrorKind, SettingsError
from azureturn.json_files import Json, read_merged
from azureturn.settings._mistakes import Mistake, mistake_from_error
from azureturn.settings._references import reference_mistakes
from azureturn.settings._types import Settings, SharedSettings

_Validated = TypeVar("_Validated")


def load_settings(base: Path, overlays: Sequence[Path]) -> Settings:
    """Read and validate a daemon's settings; raise :class:`SettingsError` with every mistake."""
    return check_settings(read_merged(base, overlays))


def check_settings(document: Json) -> Settings:
    """Return the typed settings of a merged document."""
    settings, mistakes = _validate(document, TypeAdapter(Settings))
    if settings is None:
        # References can still be checked if the shared part is valid on its own.
        shared_document = document.get("shared") if isinstance(document, dict) else None
        shared, _ = _validate(shared_document, TypeAdapter(SharedSettings))
    else:
        shared = settings.shared
    mistakes += _reference_mistakes(shared, prefix="$.shared")
    if settings is None or mistakes:
        raise _settings_error(mistakes)
    return settings


def check_shared_settings(document: Json) -> SharedSettings:
    """Return the typed shared settings of a document from the key-value service."""
    shared, mistakes = _validate(document, TypeAdapter(SharedSettings))
    mistakes += _reference_mistakes(shared, prefix="$")
    if shared is None or mistakes:
        raise _settings_error(mistakes)
    return shared


def _validate(
    document: Json, adapter: TypeAdapter[_Validated]
) -> tuple[_Validated | None, list[Mistake]]:
    try:
        return adapter.validate_python(document), []
    except ValidationError as error:
        schema = adapter.json_schema()
        return None, [
            mistake_from_error(details, schema) for details in error.errors(include_url=False)
        ]


def _reference_mistakes(shared: SharedSettings | None, *, prefix: str) -> list[Mistake]:
    if shared is None:
        return []
    return [Mistake(prefix + path, text) for path, text in reference_mistakes(shared)]


def _settings_error(mistakes: list[Mistake]) -> SettingsError:
    return SettingsError(ErrorKind.MALFORMED_JSON, "\n".join(str(mistake) for mistake in mistakes))
