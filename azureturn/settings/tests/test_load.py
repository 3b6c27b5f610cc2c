"""Settings: merging, and every mistake at once."""

import json
from pathlib import Path
from typing import Any

import pytest

from azureturn.errors import SettingsError
from azureturn.settings import check_settings, load_settings, merge, read_merged

EXAMPLES = Path(__file__).parents[3] / "examples"

MERGES: dict[str, tuple[Any, Any, Any]] = {
    "objects": ({"a": 1, "b": {"c": 2}}, {"b": {"d": 3}}, {"a": 1, "b": {"c": 2, "d": 3}}),
    "plain lists are replaced": ({"a": [1, 2]}, {"a": [3]}, {"a": [3]}),
    "named lists by name": (
        {"a": [{"name": "x", "v": 1}]},
        {"a": [{"name": "x", "w": 2}, {"name": "y"}]},
        {"a": [{"name": "x", "v": 1, "w": 2}, {"name": "y"}]},
    ),
    "removal": ({"a": [{"name": "x"}]}, {"a": [{"name": "x", "$remove": True}]}, {"a": []}),
}


@pytest.mark.parametrize("case", MERGES)
def test_merge(case: str) -> None:
    base, overlay, merged = MERGES[case]
    assert merge(base, overlay) == merged


@pytest.mark.parametrize("site", ["kuiseb", "burdekin"])
def test_the_examples_can_be_used(site: str) -> None:
    settings = load_settings(EXAMPLES / "base.json", [EXAMPLES / f"{site}.json"])
    assert settings.shared.site == site


def test_every_mistake_is_told_at_once() -> None:
    document = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
    document = json.loads(json.dumps(document))
    document["vm"]["port"] = 0
    document["shared"]["routes"][1]["timeout_ms"] = "soon"
    with pytest.raises(SettingsError) as caught:
        check_settings(document)
    assert "$.vm.port" in caught.value.message
    assert "$.shared.routes[1].timeout_ms" in caught.value.message


def test_an_unknown_tier_is_told_with_the_allowed_ones() -> None:
    document = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
    document["shared"]["routes"][0]["tier"] = "none"
    with pytest.raises(SettingsError, match=r"routes\[0\].tier: .*deferrable, interactive, urgent"):
        check_settings(document)
