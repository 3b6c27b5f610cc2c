"""Tests of the reloading of settings."""

from dataclasses import replace

import pytest

from azureturn.errors import ErrorKind, SettingsError
from azureturn.gateway.daemon._run import _SettingsReloader
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    upstream,
    view,
)
from azureturn.gateway.settings import GatewaySettings

_INITIAL = GatewayCoreHarness(view(upstream("u1"))).settings
_CHANGED = replace(_INITIAL, limits=replace(_INITIAL.limits, requests_waiting=7))
_INVALID = SettingsError(ErrorKind.MALFORMED_REQUEST, "zone: is missing")


class _Daemon:
    def __init__(self) -> None:
        self.settings = _INITIAL
        self.calls: list[object] = []

    def change_settings(self, settings: GatewaySettings) -> None:
        self.calls.append(settings)

    def log_invalid_settings(self, error: str) -> None:
        self.calls.append(error)


@pytest.mark.parametrize(
    ("reads", "force", "expected"),
    [
        ([_INITIAL], False, []),
        ([_INITIAL], True, [_INITIAL]),
        ([_CHANGED, _CHANGED], False, [_CHANGED]),
        ([_INVALID, _INVALID, _INITIAL], False, ["zone: is missing", _INITIAL]),
    ],
    ids=["unchanged", "requested by a signal", "changed without a signal", "invalid, then valid"],
)
def test_settings_are_put_in_force_once_when_changed_or_requested(
    reads: list[GatewaySettings | SettingsError], force: bool, expected: list[object]
) -> None:
    remaining: list[GatewaySettings | SettingsError] = list(reads)

    def read() -> GatewaySettings:
        settings = remaining.pop(0)
        if isinstance(settings, SettingsError):
            raise settings
        return settings

    daemon = _Daemon()
    reloader = _SettingsReloader(daemon, read)  # type: ignore[arg-type]
    for _ in reads:
        reloader.reload_if_changed(force=force)
    assert daemon.calls == expected
