"""``azureturn requests explain`` extracts one request's log lines."""

from pathlib import Path

import pytest

from azureturn.command._exit_codes import ExitCode
from azureturn.command._explain import RequestsExplain, find_log_lines, format_log_lines

_LINES = [
    '{"time":"2026-01-12T10:00:02Z","event":"exchange_ended","vm":"vm-1","request_id":"r1"}',
    '  3.1 vm-1 {"time":"2026-01-12T10:00:01Z","event":"attempt_placed","vm":"vm-1",'
    '"request_id":"r1","upstream":"u1","queued_ms":4}',
    '{"time":"2026-01-12T10:00:00Z","event":"attempt_placed","vm":"vm-1","request_id":"r10"}',
    "Traceback: r1 is in a line of another program",
    '{"request_id":"r1", broken',
]


def test_lines_are_sorted_by_time_and_prefixes_are_ignored() -> None:
    log_lines = find_log_lines("r1", _LINES)
    assert [line["event"] for line in log_lines] == ["attempt_placed", "exchange_ended"]
    first = format_log_lines(log_lines).splitlines()[0]
    assert first == "2026-01-12T10:00:01Z vm-1 attempt_placed upstream=u1 queued_ms=4"


@pytest.mark.parametrize(
    ("request_id", "expected"), [("r1", ExitCode.OK), ("none", ExitCode.NOT_FOUND)]
)
def test_exit_code_shows_whether_the_request_was_found(
    tmp_path: Path, request_id: str, expected: ExitCode, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "vm-1.log"
    log.write_text("\n".join(_LINES), encoding="utf-8")
    assert RequestsExplain(request_id, [log])() is expected
    assert ("attempt_placed" in capsys.readouterr().out) is (expected is ExitCode.OK)
