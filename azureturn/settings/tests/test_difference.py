"""Differences between settings: one line each, list items matched by name, secrets masked."""

from typing import Any

import pytest

from azureturn.settings import differences

CASES: dict[str, tuple[Any, Any, list[str]]] = {
    "same": ({"a": [1]}, {"a": [1]}, []),
    "value": ({"a": {"b": 1}}, {"a": {"b": 2}}, ["~ $.a.b: 1 -> 2"]),
    "added": ({}, {"a": None}, ["+ $.a: null"]),
    "removed": ({"a": 1}, {}, ["- $.a: 1"]),
    "matched by name, regardless of order": (
        {"a": [{"name": "x", "v": 1}, {"name": "y"}]},
        {"a": [{"name": "y"}, {"name": "x", "v": 2}]},
        ["~ $.a[x].v: 1 -> 2"],
    ),
    "named item added to an empty list": (
        {"a": []},
        {"a": [{"name": "x"}]},
        ['+ $.a[x]: {"name": "x"}'],
    ),
    "unnamed lists are one value": ({"a": [1]}, {"a": [1, 2]}, ["~ $.a: [1] -> [1, 2]"]),
    "a changed secret is reported but masked": (
        {"o": [{"name": "x", "token": "old"}]},
        {"o": [{"name": "x", "token": "new"}]},
        ['~ $.o[x].token: "********" -> "********"'],
    ),
    "secrets within an added item are masked": (
        {"o": []},
        {"o": [{"name": "x", "token": "new"}]},
        ['+ $.o[x]: {"name": "x", "token": "********"}'],
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_differences(case: str) -> None:
    before, after, expected_lines = CASES[case]
    assert [str(change) for change in differences(before, after)] == expected_lines
