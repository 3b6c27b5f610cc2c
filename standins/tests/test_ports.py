"""Ports that are handed out to processes of a site."""

import itertools
import socket

import pytest

from standins import site
from standins.site import LOOPBACK, free_port

#: More than a test process uses at the same time, and than are kept for it.
_PORTS = 500


def test_a_port_is_not_handed_out_twice_before_a_process_listens_on_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two test processes may look for ports in the same range."""
    port = free_port()
    monkeypatch.setattr(site, "_CANDIDATE_PORTS", iter([port, port + 1, port + 2, port + 3]))
    assert free_port() != port


def test_a_process_can_listen_on_a_port_that_was_handed_out() -> None:
    port = free_port()
    for _ in range(2):
        with socket.create_server((LOOPBACK, port)) as server:
            socket.create_connection((LOOPBACK, port)).close()
            server.accept()[0].close()


def test_ports_do_not_run_out_while_many_are_in_use() -> None:
    candidates = list(itertools.islice(site._candidate_ports(), _PORTS))
    assert len(set(candidates)) == _PORTS
