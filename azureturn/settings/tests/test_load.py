"""Loading settings: merging overlays, and reporting all mistakes together."""

import json
import re
from pathlib import Path
from typing import Any

import pytest

from azureturn.errors import SettingsError
from azureturn.json_files import merge, read_merged
from azureturn.settings import check_settings, load_settings, mask_secrets

EXAMPLES = Path(__file__).parents[3] / "examples"

MERGES: dict[str, tuple[Any, Any, Any]] = {
    "objects": ({"a": 1, "b": {"c": 2}}, {"b": {"d": 3}}, {"a": 1, "b": {"c": 2, "d": 3}}),
    "unnamed lists are replaced": ({"a": [1, 2]}, {"a": [3]}, {"a": [3]}),
    "named lists are merged by name": (
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
def test_example_settings_are_valid(site: str) -> None:
    settings = load_settings(EXAMPLES / "base.json", [EXAMPLES / f"{site}.json"])
    assert settings.shared.site == site


def test_all_mistakes_are_reported_together() -> None:
    document = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
    document = json.loads(json.dumps(document))
    document["vm"]["port"] = 0
    document["shared"]["routes"][1]["timeout_ms"] = "soon"
    with pytest.raises(SettingsError) as caught:
        check_settings(document)
    assert "$.vm.port" in caught.value.message
    assert "$.shared.routes[1].timeout_ms" in caught.value.message


def test_unknown_tier_is_reported_with_allowed_tiers() -> None:
    document = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
    document["shared"]["routes"][0]["tier"] = "none"
    with pytest.raises(SettingsError, match=r"routes\[0\].tier: .*deferrable, interactive, urgent"):
        check_settings(document)


MISTAKES: dict[str, tuple[list[str | int], Any, str]] = {
    "range": (["vm", "port"], 0, "$.vm.port: .*whole numbers from 1 to 65535"),
    "enumeration": (
        ["shared", "upstreams", 0, "kind"],
        "engine",
        "$.shared.upstreams[0].kind: .*allowed: model_engine, plain_service",
    ),
    "open range": (
        ["shared", "objectives", 0, "target"],
        1.5,
        "$.shared.objectives[0].target: .*numbers above 0 below 1",
    ),
    "unknown field": (
        ["shared", "routes", 0, "time_out_ms"],
        1,
        "$.shared.routes[0].time_out_ms: no such field; did you mean 'timeout_ms'?",
    ),
    "unknown section": (["observability"], {}, "$.observability: no such field"),
    "organisation of an objective": (
        ["shared", "objectives", 0, "organisation"],
        "nobody",
        "$.shared.objectives[0].organisation: .*allowed: \\*, call-centre",
    ),
    "two objectives": (
        ["shared", "objectives", 2, "tier"],
        "urgent",
        "$.shared.objectives[2]: tier 'urgent' has two objectives",
    ),
}


@pytest.mark.parametrize("case", MISTAKES)
def test_mistake_is_reported_with_path_and_allowed_values(case: str) -> None:
    path, value, message = MISTAKES[case]
    document = json.loads(
        json.dumps(read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"]))
    )
    container = document
    for step in path[:-1]:
        container = container[step]
    container[path[-1]] = value
    with pytest.raises(SettingsError) as caught:
        check_settings(document)
    pattern = re.sub(r"([$\[\]?])", r"\\\1", message)
    assert re.search(pattern, caught.value.message), caught.value.message


def test_list_of_allowed_names_is_truncated() -> None:
    document = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
    document = json.loads(json.dumps(document))
    names = [f"organisation-{number}" for number in range(5_000)]
    document["shared"]["organisations"] = [{"name": name, "token": f"{name:>32}"} for name in names]
    with pytest.raises(SettingsError, match="and 4989 more") as caught:
        check_settings(document)
    assert len(caught.value.message) < 2_000


def test_references_are_checked_despite_other_mistakes() -> None:
    document = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
    document = json.loads(json.dumps(document))
    document["vm"]["port"] = 0
    document["shared"]["routes"][0]["tier"] = "none"
    with pytest.raises(SettingsError) as caught:
        check_settings(document)
    assert "$.vm.port" in caught.value.message
    assert "$.shared.routes[0].tier" in caught.value.message


def test_secrets_are_masked() -> None:
    document = read_merged(EXAMPLES / "base.json", [EXAMPLES / "kuiseb.json"])
    masked_json = json.dumps(mask_secrets(document))
    assert "kuiseb-example-secret" not in masked_json
    assert "-token" not in masked_json
