"""Output of commands, as text or as JSON."""

import json
import os
import sys
from collections.abc import Sequence
from enum import StrEnum
from typing import Any, TextIO

_COLUMN_SEPARATOR = "  "
_RESET = "\x1b[0m"


class Colour(StrEnum):
    """Colours by meaning."""

    GOOD = "\x1b[32m"
    BAD = "\x1b[31m"
    WARNING = "\x1b[33m"


class Output:
    """Output of one command; coloured only on a terminal and if ``NO_COLOR`` is not set."""

    def __init__(self, stream: TextIO, *, as_json: bool) -> None:
        self._stream = stream
        self._as_json = as_json
        self._coloured = stream.isatty() and "NO_COLOR" not in os.environ

    @classmethod
    def to_stdout(cls, *, as_json: bool) -> "Output":
        """Return an output that writes to standard output."""
        return cls(sys.stdout, as_json=as_json)

    def write(self, document: Any, text: str) -> None:
        """Write the document as JSON if JSON output was requested, otherwise the text."""
        output = json.dumps(document, indent=2) if self._as_json else text.rstrip("\n")
        if output:
            self._stream.write(output + "\n")
        self._stream.flush()

    def progress(self, text: str) -> None:
        """Write one line of progress; with JSON output it goes to standard error."""
        stream = sys.stderr if self._as_json else self._stream
        stream.write(text + "\n")
        stream.flush()

    def coloured(self, text: str, colour: Colour) -> str:
        """Return the text in a colour, or unchanged if colours are disabled."""
        return f"{colour.value}{text}{_RESET}" if self._coloured else text


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Format rows under headings, in columns as wide as their longest cell.

    >>> print(format_table(["vm", "state"], [["vm-1", "live"]]))
    VM    STATE
    vm-1  live
    """
    cells = [[heading.upper() for heading in headings]]
    cells += [["-" if value == "" else str(value) for value in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    return "\n".join(
        _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
