"""Tests of reading azureturn's own JSON settings."""

import json
from pathlib import Path

import pytest

from azureturn.errors import SettingsError
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
