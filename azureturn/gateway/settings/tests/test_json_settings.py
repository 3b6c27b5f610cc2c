"""Tests of reading azureturn's own JSON settings."""

import json
from dataclasses import replace
from pathlib import Path

import pytest

from azureturn.errors import SettingsError
from azureturn.gateway.decisions.tests.gateway_core_harness import GatewayCoreHarness, view
from azureturn.gateway.settings import GatewayLimits, load_json_settings


def _load(folder: Path, limits: dict[str, object]) -> GatewayLimits:
    path = folder / "settings.json"
    path.write_text(json.dumps({"limits": limits}), encoding="utf-8")
    return load_json_settings(path).limits


def test_limits_are_read(tmp_path: Path) -> None:
    limits = _load(tmp_path, {"requests_in_progress": 30, "requests_waiting": 20})
    assert (limits.requests_in_progress, limits.requests_waiting) == (30, 20)


@pytest.mark.parametrize(
    ("name", "successor"),
    [("caller_threads", "limits.requests_in_progress"), ("accept_backlog", "caller_connections")],
)
def test_a_removed_limit_is_refused_and_its_successor_named(
    tmp_path: Path, name: str, successor: str
) -> None:
    with pytest.raises(SettingsError) as raised:
        _load(tmp_path, {name: 60, "tick_interval_ms": "often"})
    removed, invalid = raised.value.message.splitlines()
    assert removed.startswith(f"limits.{name}: was removed")
    assert successor in removed
    assert invalid.startswith("limits.tick_interval_ms")


@pytest.mark.parametrize(
    ("contact_ms", "wait_ms"),
    [(3_000, 2_000), (5_000, 3_500), (0, 2_000)],
    ids=["as the limit says", "as long as contact_ms allows", "no contact_ms"],
)
def test_a_watch_ends_before_a_silent_connection_must_have_been_noticed(
    contact_ms: int, wait_ms: int
) -> None:
    settings = GatewayCoreHarness(view()).settings
    bounds = replace(settings.bounds, contact_ms=contact_ms)
    assert replace(settings, bounds=bounds).watch_wait_ms == wait_ms
