"""Output: colours on a terminal only, columns that line up, JSON on demand."""

import io
import json

import pytest

from azureturn.command._output import Colour, Output, table


class Terminal(io.StringIO):
    def isatty(self) -> bool:
        return True


def test_colours_are_for_terminals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("NO_COLOR", raising=False)
    assert Output(io.StringIO(), as_json=False).coloured("ok", Colour.GOOD) == "ok"
    assert Output(Terminal(), as_json=False).coloured("ok", Colour.GOOD) != "ok"
    monkeypatch.setenv("NO_COLOR", "1")
    assert Output(Terminal(), as_json=False).coloured("ok", Colour.GOOD) == "ok"


def test_json_takes_the_place_of_text() -> None:
    stream = io.StringIO()
    Output(stream, as_json=True).write({"vms": []}, "no VMs")
    assert json.loads(stream.getvalue()) == {"vms": []}


def test_a_table_lines_up() -> None:
    assert table(["vm", "zone"], [["vm-10", ""], ["vm-1", "zone-a"]]).splitlines() == [
        "VM     ZONE",
        "vm-10  -",
        "vm-1   zone-a",
    ]
