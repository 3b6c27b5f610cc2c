"""Health endpoints, and refusals by the HTTP server before a request is parsed."""

import socket
import time

from azureturn.command import ExitCode, run
from standins.site import LOOPBACK, Site


def test_health_endpoints_and_refusals_by_the_http_server(capsys) -> None:  # type: ignore[no-untyped-def]
    with Site(vms=1, zones=1, engines=1, services=1) as site:
        ends_at_s = time.monotonic() + 20.0
        while site.call("vm-1", "GET", "/readyz").status != 200:
            assert time.monotonic() < ends_at_s
            time.sleep(0.02)
        for path, document in {"/healthz": {"status": "alive"}, "/readyz": {"ready": True}}.items():
            answer = site.call("vm-1", "GET", path)
            assert (answer.status, answer.json()) == (200, document)
        address = (LOOPBACK, site.processes["vm-1"].port)
        with socket.create_connection(address, timeout=10) as raw:
            raw.sendall(b"\x16\x03\x01\r\n\r\n")
            assert b"malformed_request" in raw.makefile("rb").read()
        assert run(["requests", "refused", *site.tool_options]) == ExitCode.OK
        assert "malformed_request" in capsys.readouterr().out
