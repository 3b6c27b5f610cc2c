"""Errors: one line with a remedy, and an exit code of ``EXIT_CODE_MEANINGS``."""

from pathlib import Path

import pytest

from azureturn.command import EXIT_CODE_MEANINGS, ExitCode, run

EXAMPLES = Path(__file__).parents[3] / "examples"
BASE = ["--config", str(EXAMPLES / "base.json")]
#: Nothing listens on the discard port (9), so no part of this site responds.
UNRESPONSIVE_SITE = '{"vm": {"peer_port": 9}, "platform": {"key_value_url": "http://127.0.0.1:9"}}'


def test_every_exit_code_has_a_meaning() -> None:
    assert set(EXIT_CODE_MEANINGS) == set(ExitCode)


@pytest.mark.parametrize("arguments", [["config", "check"], ["config"], ["config", "none"]])
def test_usage_error_is_one_line(
    arguments: list[str], capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("COLUMNS", "200")
    with pytest.raises(SystemExit) as caught:
        run(arguments)
    assert caught.value.code == ExitCode.MISTAKE
    output = capsys.readouterr().err.strip()
    assert "\n" not in output
    assert "--help" in output


UNAVAILABLE = {
    "vm list": "no VM responded",
    "config diff": "the key-value service did not respond",
    "config apply": "the platform did not respond",
    "config show": "the platform did not respond",
    "upstream drain engine-1": "the platform did not respond",
    "slo report": "no VM responded",
}


@pytest.mark.parametrize("command", UNAVAILABLE)
def test_unresponsive_site_is_reported_in_one_line(
    command: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    overlay = tmp_path / "silent.json"
    overlay.write_text(UNRESPONSIVE_SITE)
    code = run([*command.split(), *BASE, "--overlay", str(overlay)])
    output = capsys.readouterr()
    assert code == ExitCode.UNAVAILABLE
    assert output.out == ""
    assert output.err.startswith(f"azureturn: {UNAVAILABLE[command]}")
    assert output.err.count("\n") == 1


def test_settings_mistakes_are_reported_one_per_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    overlay = tmp_path / "wrong.json"
    overlay.write_text('{"vm": {"port": 0, "prot": 1}}')
    assert run(["config", "check", *BASE, "--overlay", str(overlay)]) == ExitCode.MISTAKE
    assert len(capsys.readouterr().err.splitlines()) == 2
