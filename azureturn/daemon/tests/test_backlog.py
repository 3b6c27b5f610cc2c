"""Connections still in the listen backlog when the port closes are answered, not reset."""

import socket
from dataclasses import replace

from azureturn.daemon._caller_server import CallerServer
from benchmarks.gossip_simulation import simulated_vm_settings
from standins.site import LOOPBACK, free_port


def test_an_unaccepted_request_is_refused_and_not_reset() -> None:
    settings = simulated_vm_settings("vm-1", "zone-a", 1)
    vm = replace(settings.vm, host=LOOPBACK, port=free_port())
    server_settings = replace(settings, vm=vm)
    server = CallerServer(
        server_settings,
        None,
        new_request_id=lambda: "vm-1-0",
        report_error=lambda _text: None,
        report_refusal=lambda _request_id, _error: None,
    )
    # The port is open but the server does not accept, so the connection stays in the backlog.
    server.prepare()
    with socket.create_connection((LOOPBACK, vm.port), timeout=10) as caller:
        caller.sendall(b"POST /routes/deposit HTTP/1.1\r\nHost: x\r\n\r\n")
        server.refuse_backlog()
        server.stop()
        answer = caller.makefile("rb").read()
    assert b"Azureturn-Error-Kind: stopping" in answer
    assert b"Azureturn-Run-State: unknown" in answer
