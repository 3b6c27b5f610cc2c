"""A daemon that gets random bytes at both ports keeps serving, with bounded memory."""

import json
import random
import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

import pytest

from standins.site import LOOPBACK, TOKEN, Site

#: Larger than the daemon's bounded buffers together, smaller than the total sent to it.
GROWTH_LIMIT_KB = 96 * 1_024
CONNECTIONS = 400
MAX_RANDOM_BYTES = 200_000


@pytest.fixture(scope="module")
def site() -> Iterator[Site]:
    limits = {"header_timeout_ms": 500, "body_timeout_ms": 500}
    with Site(vms=1, zones=1, engines=1, services=1, daemon_settings=limits) as running_site:
        yield running_site


def memory_kb(site: Site) -> int:
    handle = site.processes["vm-1"].handle
    assert handle is not None
    status = Path(f"/proc/{handle.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


def send_and_discard(port: int, data: bytes) -> None:
    """Send ``data`` until the connection fails, then read and discard the answer."""
    with suppress(OSError), socket.create_connection((LOOPBACK, port), timeout=3) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65_536):
            continue


def random_input(generator: random.Random) -> bytes:
    """Return random bytes after one of several valid or malformed prefixes."""
    prefixes = [
        b"",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n",
        f"POST /routes/deposit HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n".encode()
        + b"Transfer-Encoding: chunked\r\n\r\nffffffff\r\n",
        b"GET /healthz HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"GET /healthz HTTP/1.1\r\nContent-Length: 1_0\r\n\r\n",
        b"\x82\x21\x01\x0cfind_outcome",
        b"\x80\x01\x00\x01\x00\x00\x00\x0cfind_outcome\x7f\xff\xff\xff",
        b"\x82\x21\x01\x12exchange_heartbeat\x1c" + b"\x1c" * 5_000,
        b"\x82\x21\x01\x12exchange_heartbeat\x19\xfc\xff\xff\xff\xff\x07",
    ]
    return generator.choice(prefixes) + generator.randbytes(generator.randrange(MAX_RANDOM_BYTES))


def test_random_bytes_at_both_ports(site: Site) -> None:
    generator = random.Random(1)
    peer_port = json.loads((site.folder / "vm-1.json").read_text())["vm"]["peer_port"]
    ports = [site.processes["vm-1"].port, peer_port]
    before_kb = memory_kb(site)
    with ThreadPoolExecutor(8) as pool:
        for number in range(CONNECTIONS):
            pool.submit(send_and_discard, ports[number % 2], random_input(generator))
    assert memory_kb(site) - before_kb < GROWTH_LIMIT_KB
    assert site.call("vm-1", "GET", "/healthz").status == 200
    headers = {"Idempotency-Key": "after"}
    assert site.call("vm-1", "POST", "/routes/deposit", body={}, headers=headers).status == 200
