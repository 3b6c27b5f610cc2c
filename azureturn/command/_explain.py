"""``azureturn requests explain``: one request's log lines from any number of VMs."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from azureturn.command._exit_codes import ExitCode
from azureturn.command._output import Output

#: Fields that are on every line, or that the text shows in separate columns.
_COLUMNS = frozenset({"time", "level", "event", "vm", "request_id"})
_STDIN = "-"


@cappa.command(
    name="explain", help="Show one request's log lines from log files or standard input."
)
@dataclass(frozen=True)
class RequestsExplain:
    """``azureturn requests explain``."""

    request_id: Annotated[str, cappa.Arg(help="The id of the request.")]
    logs: Annotated[
        list[Path], cappa.Arg(help="Log files of any VMs; default is standard input.")
    ] = field(default_factory=list)
    json: Annotated[bool, cappa.Arg(long=True, help="Write JSON.")] = False

    def __call__(self) -> ExitCode:
        """Show the request's log lines in chronological order."""
        lines = find_log_lines(self.request_id, self._log_lines())
        Output.to_stdout(as_json=self.json).write({"lines": lines}, format_log_lines(lines))
        if not lines:
            sys.stderr.write(f"no log line of request {self.request_id} found\n")
            return ExitCode.NOT_FOUND
        return ExitCode.OK

    def _log_lines(self) -> Iterator[str]:
        if not self.logs:
            yield from sys.stdin
        for path in self.logs:
            if str(path) == _STDIN:
                yield from sys.stdin
            else:
                with path.open(encoding="utf-8", errors="replace") as log:
                    yield from log


def find_log_lines(request_id: str, log_lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return a request's log lines in chronological order, without any text before the JSON."""
    matching_lines: list[dict[str, Any]] = []
    for text in log_lines:
        if request_id not in text:
            continue
        try:
            line = json.loads(text[text.index("{") :])
        except ValueError:
            # The input may contain lines of other programs.
            continue
        if line.get("request_id") == request_id:
            matching_lines.append(line)
    return sorted(matching_lines, key=lambda line: str(line.get("time", "")))


def format_log_lines(lines: Iterable[dict[str, Any]]) -> str:
    """Format log lines as text, one per line."""
    rows = []
    for line in lines:
        fields = " ".join(f"{name}={line[name]}" for name in line if name not in _COLUMNS)
        rows.append(f"{line.get('time', '')} {line.get('vm', '')} {line.get('event', '')} {fields}")
    return "\n".join(rows)
