"""Applying settings: concurrent changes conflict, lost responses are resolved or reported."""

import json
from pathlib import Path
from typing import Any

import pytest

from azureturn.command import _configuration_store
from azureturn.command._configuration_store import CONFIGURATION_KEY, ConfigurationStore
from azureturn.command._errors import CommandError
from azureturn.command._exit_codes import ExitCode
from azureturn.errors import CompareFailedError, ErrorKind, KeyValueUnavailableError
from azureturn.json_files import read_merged
from azureturn.store import KeyValueEntry

EXAMPLES = Path(__file__).parents[3] / "examples"
SETTINGS: dict[str, Any] = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])["shared"]


class FakeKeyValue:
    """One key of the service; ``faults`` are injected into the next writes, one each."""

    def __init__(self, *faults: str) -> None:
        self.faults = list(faults)
        self.entry: KeyValueEntry | None = None
        self.swaps = 0
        self.down = False

    def read(self, key: str) -> KeyValueEntry | None:
        if self.down:
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE)
        return self.entry

    def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
        self.swaps += 1
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "lost before":
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE)
        current = 0 if self.entry is None else self.entry.revision
        if current != expected_revision:
            raise CompareFailedError(ErrorKind.CONFLICT)
        self.entry = KeyValueEntry(key, value, current + 1)
        if fault == "lost after":
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE)
        if fault == "lost after, then overwritten":
            self.put_competing_change(replaces_revision=current + 1)
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE)
        return current + 1

    def put_competing_change(self, *, replaces_revision: int) -> None:
        change = {"author": "other@host", "nonce": "n", "replaces_revision": replaces_revision}
        value = json.dumps({**SETTINGS, "change": change}).encode()
        self.entry = KeyValueEntry(CONFIGURATION_KEY, value, replaces_revision + 1)


def make_store(key_value: FakeKeyValue) -> ConfigurationStore:
    return ConfigurationStore(key_value, sleep=lambda _: None)  # type: ignore[arg-type]


RESOLVED = {
    "no fault": ([], 1),
    "lost after": (["lost after"], 1),
    "lost before": (["lost before"], 2),
}


@pytest.mark.parametrize("case", RESOLVED)
def test_write_is_resolved(case: str) -> None:
    faults, swaps = RESOLVED[case]
    key_value = FakeKeyValue(*faults)
    stored = make_store(key_value).replace(SETTINGS, expected_revision=0)
    assert stored.revision == 1
    assert stored.settings == SETTINGS
    assert key_value.swaps == swaps


def test_conflict_names_the_author_of_the_other_change() -> None:
    key_value = FakeKeyValue()
    key_value.put_competing_change(replaces_revision=0)
    with pytest.raises(
        CommandError, match="revision 1 by other@host has already replaced revision 0"
    ) as caught:
        make_store(key_value).replace(SETTINGS, expected_revision=0)
    assert caught.value.exit_code is ExitCode.CONFLICT
    assert "config diff" in caught.value.advice


def test_lost_response_and_competing_write_of_same_revision_is_a_conflict() -> None:
    class CompetingWrite(FakeKeyValue):
        def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
            self.put_competing_change(replaces_revision=expected_revision)
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE)

    with pytest.raises(CommandError) as caught:
        make_store(CompetingWrite()).replace(SETTINGS, expected_revision=0)
    assert caught.value.exit_code is ExitCode.CONFLICT


def test_lost_response_and_write_over_later_revision_is_unknown() -> None:
    key_value = FakeKeyValue("lost after, then overwritten")
    with pytest.raises(CommandError, match="may have been in force before") as caught:
        make_store(key_value).replace(SETTINGS, expected_revision=0)
    assert caught.value.exit_code is ExitCode.UNKNOWN


def test_outage_after_the_write_is_unknown(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_configuration_store, "RESOLVE_LIMIT_S", 0.01)
    key_value = FakeKeyValue("lost after")
    key_value.down = True
    with pytest.raises(CommandError) as caught:
        make_store(key_value).replace(SETTINGS, expected_revision=0)
    assert caught.value.exit_code is ExitCode.UNKNOWN


def test_oversized_settings_are_rejected_before_the_write() -> None:
    rows = [{"name": f"o-{number}", "token": f"{number:060d}"} for number in range(12_000)]
    key_value = FakeKeyValue()
    with pytest.raises(CommandError, match="bytes") as caught:
        make_store(key_value).replace(
            {**SETTINGS, "objectives": [], "organisations": rows}, expected_revision=0
        )
    assert caught.value.exit_code is ExitCode.MISTAKE
    assert key_value.swaps == 0
