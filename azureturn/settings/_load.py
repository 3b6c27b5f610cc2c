"""Reads settings, and checks the whole of them."""

from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

from pydantic import TypeAdapter, ValidationError

from azureturn.errors import ErrorKind, SettingsError
from azureturn.json_files import Json, read_merged
from azureturn.settings._mistakes import Mistake, mistake_of
from azureturn.settings._references import reference_mistakes
from azureturn.settings._types import Settings, SharedSettings

_Checked = TypeVar("_Checked")


def load_settings(base: Path, overlays: Sequence[Path]) -> Settings:
    """Read and check a daemon's settings; raise :class:`SettingsError` with every mistake."""
    return check_settings(read_merged(base, overlays))


def check_settings(document: Json) -> Settings:
    """Return the typed settings of a merged document."""
    settings, mistakes = _typed(document, TypeAdapter(Settings))
    if settings is None:
        # The references can still be checked where the shared part is sound by itself.
        shared_document = document.get("shared") if isinstance(document, dict) else None
        shared, _ = _typed(shared_document, TypeAdapter(SharedSettings))
    else:
        shared = settings.shared
    mistakes += _reference_mistakes(shared, prefix="$.shared")
    if settings is None or mistakes:
        raise _settings_error(mistakes)
    return settings


def check_shared_settings(document: Json) -> SharedSettings:
    """Return the typed shared settings of a document, as held in the key-value service."""
    shared, mistakes = _typed(document, TypeAdapter(SharedSettings))
    mistakes += _reference_mistakes(shared, prefix="$")
    if shared is None or mistakes:
        raise _settings_error(mistakes)
    return shared


def _typed(document: Json, adapter: TypeAdapter[_Checked]) -> tuple[_Checked | None, list[Mistake]]:
    try:
        return adapter.validate_python(document), []
    except ValidationError as error:
        schema = adapter.json_schema()
        return None, [mistake_of(item, schema) for item in error.errors(include_url=False)]


def _reference_mistakes(shared: SharedSettings | None, *, prefix: str) -> list[Mistake]:
    if shared is None:
        return []
    return [Mistake(prefix + path, text) for path, text in reference_mistakes(shared)]


def _settings_error(mistakes: list[Mistake]) -> SettingsError:
    return SettingsError(ErrorKind.MALFORMED_JSON, "\n".join(str(item) for item in mistakes))
