"""Snapshots of the help text of every command."""

import pytest
from syrupy.assertion import SnapshotAssertion

from azureturn.command import run

COMMANDS = [
    "",
    "config",
    "config check",
    "config diff",
    "config apply",
    "config show",
    "config status",
    "config schema",
    "move",
    "move start",
    "move show",
    "move list",
    "move abort",
    "upstream",
    "upstream list",
    "upstream drain",
    "upstream return",
    "vm",
    "vm list",
    "zone",
    "zone list",
    "requests",
    "requests refused",
    "slo",
    "slo report",
]


@pytest.mark.parametrize("command", COMMANDS)
def test_help(
    command: str,
    snapshot: SnapshotAssertion,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("COLUMNS", "100")
    with pytest.raises(SystemExit) as caught:
        run([*command.split(), "--help"])
    assert caught.value.code == 0
    help_text = "\n".join(line.rstrip() for line in capsys.readouterr().out.splitlines())
    assert "\x1b" not in help_text
    assert help_text == snapshot
