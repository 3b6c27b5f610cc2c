"""Mistakes: one line with what to do, and an exit code of the table."""

from pathlib import Path

import pytest

from azureturn.command import EXIT_CODE_MEANINGS, ExitCode, run

EXAMPLES = Path(__file__).parents[3] / "examples"
BASE = ["--config", str(EXAMPLES / "base.json")]
#: Nothing listens at the discard port, so that this site is all silent.
SILENT_SITE = '{"vm": {"peer_port": 9}, "platform": {"key_value_url": "http://127.0.0.1:9"}}'


def test_every_exit_code_has_a_meaning() -> None:
    assert set(EXIT_CODE_MEANINGS) == set(ExitCode)


@pytest.mark.parametrize("arguments", [["config", "check"], ["config"], ["config", "none"]])
def test_a_mistake_on_the_command_line_is_one_line(
    arguments: list[str], capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("COLUMNS", "200")
    with pytest.raises(SystemExit) as caught:
        run(arguments)
    assert caught.value.code == ExitCode.MISTAKE
    told = capsys.readouterr().err.strip()
    assert "\n" not in told
    assert "--help" in told


UNAVAILABLE = {
    "vm list": "no VM gave an answer",
    "config diff": "the key-value service gave no answer",
    "config apply": "the platform gave no answer",
    "config show": "the platform gave no answer",
    "upstream drain engine-1": "the platform gave no answer",
    "slo report": "no VM gave an answer",
}


@pytest.mark.parametrize("command", UNAVAILABLE)
def test_a_site_that_does_not_answer_is_told_in_one_line(
    command: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    overlay = tmp_path / "silent.json"
    overlay.write_text(SILENT_SITE)
    code = run([*command.split(), *BASE, "--overlay", str(overlay)])
    told = capsys.readouterr()
    assert code == ExitCode.UNAVAILABLE
    assert told.out == ""
    assert told.err.startswith(f"azureturn: {UNAVAILABLE[command]}")
    assert told.err.count("\n") == 1


def test_settings_mistakes_are_a_line_each(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    overlay = tmp_path / "wrong.json"
    overlay.write_text('{"vm": {"port": 0, "prot": 1}}')
    assert run(["config", "check", *BASE, "--overlay", str(overlay)]) == ExitCode.MISTAKE
    assert len(capsys.readouterr().err.splitlines()) == 2
