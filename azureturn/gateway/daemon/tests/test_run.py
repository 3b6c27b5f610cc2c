"""When settings are read again."""

from dataclasses import replace

import pytest

from azureturn.errors import ErrorKind, SettingsError
from azureturn.gateway.daemon._run import _SettingsWatch
from azureturn.gateway.decisions.tests.gateway_site import GatewaySite, upstream, view
from azureturn.gateway.settings import GatewaySettings

_FIRST = GatewaySite(view(upstream("u1"))).settings
_OTHER = replace(_FIRST, limits=replace(_FIRST.limits, caller_threads=7))
_WRONG = SettingsError(ErrorKind.MALFORMED_REQUEST, "zone: is missing")


class _Daemon:
    def __init__(self) -> None:
        self.settings = _FIRST
        self.told: list[object] = []

    def change_settings(self, settings: GatewaySettings) -> None:
        self.told.append(settings)

    def note_wrong_settings(self, error: str) -> None:
        self.told.append(error)


@pytest.mark.parametrize(
    ("found", "asked", "expected"),
    [
        ([_FIRST], False, []),
        ([_FIRST], True, [_FIRST]),
        ([_OTHER, _OTHER], False, [_OTHER]),
        ([_WRONG, _WRONG, _FIRST], False, ["zone: is missing", _FIRST]),
    ],
    ids=["nothing changed", "asked by a signal", "changed without a signal", "wrong, then right"],
)
def test_settings_are_put_in_force_once_when_they_change_or_are_asked_for(
    found: list[GatewaySettings | SettingsError], asked: bool, expected: list[object]
) -> None:
    waiting: list[GatewaySettings | SettingsError] = list(found)

    def read() -> GatewaySettings:
        one = waiting.pop(0)
        if isinstance(one, SettingsError):
            raise one
        return one

    daemon = _Daemon()
    watch = _SettingsWatch(daemon, read)  # type: ignore[arg-type]
    for _ in found:
        watch.look(asked=asked)
    assert daemon.told == expected
