"""When a silent connection is given up: TCP_USER_TIMEOUT also ends keep-alive probes."""

import socket

import pytest

from azureturn.serving._bounded_server import _CALLER_SOCKET_OPTIONS
from azureturn.store import SOCKET_OPTIONS

_MS_PER_S = 1_000


@pytest.mark.parametrize(
    "options",
    [
        pytest.param(SOCKET_OPTIONS, id="store and upstreams"),
        pytest.param(_CALLER_SOCKET_OPTIONS, id="callers"),
    ],
)
def test_unacknowledged_data_and_keep_alive_probes_are_given_up_at_the_same_time(
    options: tuple[tuple[int, int, int], ...],
) -> None:
    values = {name: value for level, name, value in options if level == socket.IPPROTO_TCP}
    probing_s = values[socket.TCP_KEEPINTVL] * values[socket.TCP_KEEPCNT]
    keep_alive_ms = _MS_PER_S * (values[socket.TCP_KEEPIDLE] + probing_s)
    assert values[socket.TCP_USER_TIMEOUT] == keep_alive_ms
