"""Writes what commands have found: text for people, JSON for programs."""

import json
import os
import sys
from collections.abc import Sequence
from enum import StrEnum
from typing import Any, TextIO

_COLUMN_GAP = "  "
_RESET = "\x1b[0m"


class Colour(StrEnum):
    """Colours by meaning."""

    GOOD = "\x1b[32m"
    BAD = "\x1b[31m"
    WARNING = "\x1b[33m"


class Output:
    """One command's output; colours are used on a terminal only, and not under ``NO_COLOR``."""

    def __init__(self, stream: TextIO, *, as_json: bool) -> None:
        self._stream = stream
        self._as_json = as_json
        self._coloured = stream.isatty() and "NO_COLOR" not in os.environ

    @classmethod
    def to_stdout(cls, *, as_json: bool) -> "Output":
        """Return the output that commands use."""
        return cls(sys.stdout, as_json=as_json)

    def write(self, document: Any, text: str) -> None:
        """Write the document as JSON, or the text, as the operator chose."""
        written = json.dumps(document, indent=2) if self._as_json else text.rstrip("\n")
        if written:
            self._stream.write(written + "\n")
        self._stream.flush()

    def progress(self, text: str) -> None:
        """Write one line about something under way; it goes to standard error under JSON."""
        stream = sys.stderr if self._as_json else self._stream
        stream.write(text + "\n")
        stream.flush()

    def coloured(self, text: str, colour: Colour) -> str:
        """Return text in a colour, where colours are used."""
        return f"{colour.value}{text}{_RESET}" if self._coloured else text


def table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows under headings, in columns as wide as need be.

    >>> print(table(["vm", "state"], [["vm-1", "live"]]))
    VM    STATE
    vm-1  live
    """
    cells = [[heading.upper() for heading in headings]]
    cells += [["-" if value == "" else str(value) for value in row] for row in rows]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    return "\n".join(
        _COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
