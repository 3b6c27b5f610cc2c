"""Applying settings: one winner, and every lost answer resolved or told as unknown."""

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
    """One key of the service, with faults for the next writes."""

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
        present = 0 if self.entry is None else self.entry.revision
        if present != expected_revision:
            raise CompareFailedError(ErrorKind.CONFLICT)
        self.entry = KeyValueEntry(key, value, present + 1)
        if fault == "lost after":
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE)
        if fault == "lost after, then overwritten":
            self.put_rival(replaces_revision=present + 1)
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE)
        return present + 1

    def put_rival(self, *, replaces_revision: int) -> None:
        change = {"author": "rival@host", "nonce": "n", "replaces_revision": replaces_revision}
        value = json.dumps({**SETTINGS, "change": change}).encode()
        self.entry = KeyValueEntry(CONFIGURATION_KEY, value, replaces_revision + 1)


def store_on(key_value: FakeKeyValue) -> ConfigurationStore:
    return ConfigurationStore(key_value, sleep=lambda _: None)  # type: ignore[arg-type]


SETTLED = {
    "no fault": ([], 1),
    "lost after": (["lost after"], 1),
    "lost before": (["lost before"], 2),
}


@pytest.mark.parametrize("case", SETTLED)
def test_a_write_is_settled(case: str) -> None:
    faults, swaps = SETTLED[case]
    key_value = FakeKeyValue(*faults)
    stored = store_on(key_value).replace(SETTINGS, expected_revision=0)
    assert stored.revision == 1
    assert stored.settings == SETTINGS
    assert key_value.swaps == swaps


def test_the_second_of_two_operators_gets_a_conflict_that_names_the_first() -> None:
    key_value = FakeKeyValue()
    key_value.put_rival(replaces_revision=0)
    with pytest.raises(CommandError, match="revision 1 by rival@host came first") as caught:
        store_on(key_value).replace(SETTINGS, expected_revision=0)
    assert caught.value.exit_code is ExitCode.CONFLICT
    assert "config diff" in caught.value.advice


def test_a_lost_answer_and_a_rival_over_the_same_revision_is_a_conflict() -> None:
    class Raced(FakeKeyValue):
        def compare_and_swap(self, key: str, value: bytes, *, expected_revision: int) -> int:
            self.put_rival(replaces_revision=expected_revision)
            raise KeyValueUnavailableError(ErrorKind.KEY_VALUE_UNAVAILABLE)

    with pytest.raises(CommandError) as caught:
        store_on(Raced()).replace(SETTINGS, expected_revision=0)
    assert caught.value.exit_code is ExitCode.CONFLICT


def test_a_lost_answer_and_a_rival_over_a_later_revision_is_told_as_unknown() -> None:
    key_value = FakeKeyValue("lost after, then overwritten")
    with pytest.raises(CommandError, match="may have been in force before") as caught:
        store_on(key_value).replace(SETTINGS, expected_revision=0)
    assert caught.value.exit_code is ExitCode.UNKNOWN


def test_an_outage_after_the_write_is_told_as_unknown(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_configuration_store, "RESOLVE_LIMIT_S", 0.01)
    key_value = FakeKeyValue("lost after")
    key_value.down = True
    with pytest.raises(CommandError) as caught:
        store_on(key_value).replace(SETTINGS, expected_revision=0)
    assert caught.value.exit_code is ExitCode.UNKNOWN


def test_settings_that_the_service_cannot_hold_are_refused_before_the_write() -> None:
    rows = [{"name": f"o-{number}", "token": f"{number:060d}"} for number in range(12_000)]
    key_value = FakeKeyValue()
    with pytest.raises(CommandError, match="bytes") as caught:
        store_on(key_value).replace(
            {**SETTINGS, "objectives": [], "organisations": rows}, expected_revision=0
        )
    assert caught.value.exit_code is ExitCode.MISTAKE
    assert key_value.swaps == 0
