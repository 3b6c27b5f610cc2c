"""The shared settings in the key-value service, modified only by compare-and-swap."""

import getpass
import json
import secrets
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from azureturn._time_of_day import unix_now_ms
from azureturn.command._errors import CommandError
from azureturn.errors import CompareFailedError, ErrorKind, KeyValueUnavailableError
from azureturn.settings import check_shared_settings
from azureturn.store import KeyValueClient, KeyValueEntry

CONFIGURATION_KEY = "configuration"
#: Maximum value size of the key-value service.
VALUE_LIMIT_BYTES = 1 << 20
#: Time limit for finding out whether a write without a response took effect. After it, the
#: outcome is reported as unknown.
RESOLVE_LIMIT_S = 10.0
_RESOLVE_INTERVAL_S = 0.2
_NONCE_BYTES = 12

Document = dict[str, Any]


@dataclass(frozen=True)
class StoredConfiguration:
    """The stored configuration; revision 0 and an empty document if there is none."""

    revision: int
    document: Document

    @classmethod
    def from_entry(cls, entry: KeyValueEntry | None) -> "StoredConfiguration":
        """Decode an entry of the key-value service."""
        if entry is None:
            return cls(0, {})
        return cls(entry.revision, json.loads(entry.value))

    @property
    def author(self) -> str:
        """Return the author of this revision."""
        return str(self._change("author", "")) or "an unknown writer"

    @property
    def nonce(self) -> str:
        """Return the nonce of the write that created this revision."""
        return str(self._change("nonce", ""))

    @property
    def replaces_revision(self) -> int:
        """Return the revision that this one replaced, or -1 if the writer did not record it."""
        return int(self._change("replaces_revision", -1))

    @property
    def settings(self) -> Document:
        """Return the settings without the metadata of the change."""
        return {name: value for name, value in self.document.items() if name != "change"}

    def _change(self, name: str, default: Any) -> Any:
        return self.document.get("change", {}).get(name, default)


def operator_name() -> str:
    """Return the author name that is recorded with a change."""
    return f"{getpass.getuser()}@{socket.gethostname()}"[:128]


class ConfigurationStore:
    """Reads the configuration, and replaces exactly the revision that was read.

    If the response to a write is lost, the configuration is read back: the nonce of the write
    shows whether it took effect.
    """

    def __init__(
        self, key_value: KeyValueClient, *, sleep: Callable[[float], None] = time.sleep
    ) -> None:
        self._key_value = key_value
        self._sleep = sleep

    def read(self) -> StoredConfiguration:
        """Return the latest stored configuration."""
        return StoredConfiguration.from_entry(self._key_value.read(CONFIGURATION_KEY))

    def replace(self, settings: Document, *, expected_revision: int) -> StoredConfiguration:
        """Replace the expected revision by the settings and return the stored configuration.

        Raise :class:`CommandError` with kind ``conflict`` if another change was written first, and
        with kind ``outcome_unknown`` if the response was lost and the outcome cannot be determined.
        """
        check_shared_settings(settings)
        nonce = secrets.token_hex(_NONCE_BYTES)
        change = {
            "author": operator_name(),
            "nonce": nonce,
            "applied_at_unix_ms": unix_now_ms(),
            "replaces_revision": expected_revision,
        }
        document = {**settings, "change": change}
        value = json.dumps(document, separators=(",", ":")).encode()
        if len(value) > VALUE_LIMIT_BYTES:
            raise CommandError(
                ErrorKind.MALFORMED_JSON,
                f"the settings take {len(value)} bytes, more than the limit of {VALUE_LIMIT_BYTES}",
                advice="remove unused settings",
            )
        try:
            revision = self._compare_and_swap(value, expected_revision)
        except CompareFailedError as error:
            raise _conflict_error(self._read_competing(), expected_revision) from error
        except KeyValueUnavailableError:
            return self._resolve(value, nonce, expected_revision)
        return StoredConfiguration(revision, document)

    def _compare_and_swap(self, value: bytes, expected_revision: int) -> int:
        return self._key_value.compare_and_swap(
            CONFIGURATION_KEY, value, expected_revision=expected_revision
        )

    def _resolve(self, value: bytes, nonce: str, expected_revision: int) -> StoredConfiguration:
        """Determine whether a write whose response was lost took effect, and retry it if not."""
        deadline_s = time.monotonic() + RESOLVE_LIMIT_S
        while time.monotonic() < deadline_s:
            self._sleep(_RESOLVE_INTERVAL_S)
            try:
                stored = self.read()
                if stored.nonce == nonce:
                    return stored
                if stored.revision != expected_revision:
                    raise _replaced_error(stored, expected_revision)
                self._compare_and_swap(value, expected_revision)
            except (KeyValueUnavailableError, CompareFailedError):
                continue
        raise CommandError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the response to the write was lost and the key-value service does not respond",
            advice="run 'azureturn config show' later: the change took effect if its nonce is "
            + nonce,
        )

    def _read_competing(self) -> StoredConfiguration | None:
        try:
            return self.read()
        except KeyValueUnavailableError:
            return None


def _conflict_error(competing: StoredConfiguration | None, expected_revision: int) -> CommandError:
    replaced_by = (
        "another change"
        if competing is None
        else f"revision {competing.revision} by {competing.author}"
    )
    return CommandError(
        ErrorKind.CONFLICT,
        f"{replaced_by} has already replaced revision {expected_revision}; nothing was changed",
        advice="view it with 'azureturn config diff', then apply again",
    )


def _replaced_error(stored: StoredConfiguration, expected_revision: int) -> CommandError:
    if stored.replaces_revision == expected_revision:
        return _conflict_error(stored, expected_revision)
    return CommandError(
        ErrorKind.OUTCOME_UNKNOWN,
        f"the response to the write was lost and revision {stored.revision} by {stored.author} "
        "is in force now; the change may have been in force before it",
        advice="view the missing changes with 'azureturn config diff'",
    )
