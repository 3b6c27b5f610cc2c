"""Output: colours only on a terminal, aligned columns, JSON on request."""

import io
import json

import pytest

from azureturn.command._output import Colour, Output, format_table


class Terminal(io.StringIO):
    def isatty(self) -> bool:
        return True


def test_colours_are_used_only_on_terminals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("NO_COLOR", raising=False)
    assert Output(io.StringIO(), as_json=False).coloured("ok", Colour.GOOD) == "ok"
    assert Output(Terminal(), as_json=False).coloured("ok", Colour.GOOD) != "ok"
    monkeypatch.setenv("NO_COLOR", "1")
    assert Output(Terminal(), as_json=False).coloured("ok", Colour.GOOD) == "ok"


def test_json_replaces_text() -> None:
    stream = io.StringIO()
    Output(stream, as_json=True).write({"vms": []}, "no VMs")
    assert json.loads(stream.getvalue()) == {"vms": []}


def test_table_columns_are_aligned() -> None:
    assert format_table(["vm", "zone"], [["vm-10", ""], ["vm-1", "zone-a"]]).splitlines() == [
        "VM     ZONE",
        "vm-10  -",
        "vm-1   zone-a",
    ]
