"""``azureturn requests explain``: one request's story from the logs of any number of VMs."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from azureturn.command._exit_codes import ExitCode
from azureturn.command._output import Output

#: Fields that every line has, or that the text shows in columns of its own.
_COLUMNS = frozenset({"time", "level", "event", "vm", "request_id"})
_STDIN = "-"


@cappa.command(name="explain", help="Tell one request's story from log files or standard input.")
@dataclass(frozen=True)
class RequestsExplain:
    """``azureturn requests explain``."""

    request_id: Annotated[str, cappa.Arg(help="The request's id, as the caller sent it.")]
    logs: Annotated[
        list[Path], cappa.Arg(help="Log files of any VMs; standard input where none is given.")
    ] = field(default_factory=list)
    json: Annotated[bool, cappa.Arg(long=True, help="Write JSON.")] = False

    def __call__(self) -> ExitCode:
        """Show the request's lines in order of time."""
        lines = story_of(self.request_id, self._log_lines())
        Output.to_stdout(as_json=self.json).write({"lines": lines}, story_text(lines))
        if not lines:
            sys.stderr.write(f"no line names request {self.request_id}\n")
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


def story_of(request_id: str, log_lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return a request's lines in order of time; what precedes a line's JSON is left out."""
    found: list[dict[str, Any]] = []
    for text in log_lines:
        if request_id not in text:
            continue
        try:
            line = json.loads(text[text.index("{") :])
        except ValueError:
            # Other programs' lines may be among ours.
            continue
        if line.get("request_id") == request_id:
            found.append(line)
    return sorted(found, key=lambda line: str(line.get("time", "")))


def story_text(lines: Iterable[dict[str, Any]]) -> str:
    """Return a request's lines as text, one a line."""
    rows = []
    for line in lines:
        inputs = " ".join(f"{name}={line[name]}" for name in line if name not in _COLUMNS)
        rows.append(f"{line.get('time', '')} {line.get('vm', '')} {line.get('event', '')} {inputs}")
    return "\n".join(rows)
