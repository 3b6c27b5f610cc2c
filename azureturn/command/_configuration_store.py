"""The shared settings in the key-value service, changed by compare-and-swap alone."""

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
#: The key-value service takes no larger value.
VALUE_LIMIT_BYTES = 1 << 20
#: How long a lost answer is read back before the operator is told that it is not known.
RESOLVE_LIMIT_S = 10.0
_RESOLVE_PAUSE_S = 0.2
_NONCE_BYTES = 12

Document = dict[str, Any]


@dataclass(frozen=True)
class StoredConfiguration:
    """What the service holds; revision 0 and an empty document where it holds nothing."""

    revision: int
    document: Document

    @classmethod
    def from_entry(cls, entry: KeyValueEntry | None) -> "StoredConfiguration":
        """Return what an entry holds."""
        if entry is None:
            return cls(0, {})
        return cls(entry.revision, json.loads(entry.value))

    @property
    def author(self) -> str:
        """Return who wrote this revision."""
        return str(self._change("author", "")) or "an unknown writer"

    @property
    def nonce(self) -> str:
        """Return the nonce of the write."""
        return str(self._change("nonce", ""))

    @property
    def replaces_revision(self) -> int:
        """Return the revision that this one replaced, -1 where the writer did not say."""
        return int(self._change("replaces_revision", -1))

    @property
    def settings(self) -> Document:
        """Return the settings without the record of who wrote them."""
        return {name: value for name, value in self.document.items() if name != "change"}

    def _change(self, name: str, default: Any) -> Any:
        return self.document.get("change", {}).get(name, default)


def operator_name() -> str:
    """Return the name under which a change is written."""
    return f"{getpass.getuser()}@{socket.gethostname()}"[:128]


class ConfigurationStore:
    """Reads the configuration, and replaces the revision that was read and no other.

    A lost answer is resolved by reading back: the nonce of a write tells whether it landed.
    """

    def __init__(
        self, key_value: KeyValueClient, *, sleep: Callable[[float], None] = time.sleep
    ) -> None:
        self._key_value = key_value
        self._sleep = sleep

    def read(self) -> StoredConfiguration:
        """Return what the service holds."""
        return StoredConfiguration.from_entry(self._key_value.read(CONFIGURATION_KEY))

    def replace(self, settings: Document, *, expected_revision: int) -> StoredConfiguration:
        """Write settings over the expected revision and return what is stored now.

        :class:`CommandError` says with kind ``conflict`` that another change came first, and
        with kind ``outcome_unknown`` that the answer was lost and could not be resolved.
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
                f"the settings take {len(value)} bytes and the service holds {VALUE_LIMIT_BYTES}",
                advice="remove what is not used",
            )
        try:
            revision = self._swap(value, expected_revision)
        except CompareFailedError as error:
            raise _conflict(self._known_rival(), expected_revision) from error
        except KeyValueUnavailableError:
            return self._resolve(value, nonce, expected_revision)
        return StoredConfiguration(revision, document)

    def _swap(self, value: bytes, expected_revision: int) -> int:
        return self._key_value.compare_and_swap(
            CONFIGURATION_KEY, value, expected_revision=expected_revision
        )

    def _resolve(self, value: bytes, nonce: str, expected_revision: int) -> StoredConfiguration:
        """Find out whether a write whose answer was lost took effect, and send it again if not."""
        ends_at_s = time.monotonic() + RESOLVE_LIMIT_S
        while time.monotonic() < ends_at_s:
            self._sleep(_RESOLVE_PAUSE_S)
            try:
                stored = self.read()
                if stored.nonce == nonce:
                    return stored
                if stored.revision != expected_revision:
                    raise _overtaken(stored, expected_revision)
                self._swap(value, expected_revision)
            except (KeyValueUnavailableError, CompareFailedError):
                continue
        raise CommandError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the write's answer was lost and the key-value service does not answer",
            advice="run 'azureturn config show' later: the change landed if its nonce is " + nonce,
        )

    def _known_rival(self) -> StoredConfiguration | None:
        try:
            return self.read()
        except KeyValueUnavailableError:
            return None


def _conflict(rival: StoredConfiguration | None, expected_revision: int) -> CommandError:
    who = "another change" if rival is None else f"revision {rival.revision} by {rival.author}"
    return CommandError(
        ErrorKind.CONFLICT,
        f"{who} came first, over revision {expected_revision}; nothing was changed",
        advice="see it with 'azureturn config diff', then apply again",
    )


def _overtaken(stored: StoredConfiguration, expected_revision: int) -> CommandError:
    if stored.replaces_revision == expected_revision:
        return _conflict(stored, expected_revision)
    return CommandError(
        ErrorKind.OUTCOME_UNKNOWN,
        f"the write's answer was lost and revision {stored.revision} by {stored.author} stands "
        "now; the change may have been in force before it",
        advice="see what is missing with 'azureturn config diff'",
    )
