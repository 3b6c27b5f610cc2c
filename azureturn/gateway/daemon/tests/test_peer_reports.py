"""Reports on their way to peers."""

import io
import socket

import pytest

from azureturn.framework import Core
from azureturn.gateway.daemon._peer_reports import ReportSocket
from azureturn.gateway.daemon._report_codec import report_from_wire
from azureturn.gateway.decisions import PeerReport, SendReport, SentPrompt
from azureturn.gateway.decisions.tests.gateway_core_harness import peer_report
from azureturn.gateway.site import PromptPart
from azureturn.observability import EventLog
from azureturn.peers import GatewayReport, decode_struct
from azureturn.serving import CoreRuntime
from azureturn.tasks import TaskLoop

_HOST = "127.0.0.1"
_PEER = "127.0.0.2"


class _Datagrams:
    """Takes the place of a socket, and keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, _flags: int, _address: tuple[str, int]) -> None:
        self.sent.append(data)


def _sent_report(report: PeerReport) -> PeerReport:
    runtime = CoreRuntime(
        Core.from_controllers({}, None, seed=1), tick_interval_ms=50, report_error=_fail
    )
    log = EventLog.to_stream(io.StringIO(), vm="vm-1")
    report_socket = ReportSocket(_HOST, 0, runtime, log, TaskLoop("test-loop", lambda _error: None))
    report_socket._socket.close()
    datagrams = report_socket._socket = _Datagrams()  # type: ignore[assignment]
    report_socket.send(SendReport(report, (_PEER,)))
    (data,) = datagrams.sent
    return report_from_wire(decode_struct(GatewayReport, data))


def _fail(error: Exception) -> None:
    raise error


@pytest.mark.parametrize(("part_count", "has_prompts"), [(10, True), (10_000, False)])
def test_a_report_whose_prompts_fit_into_no_datagram_is_sent_without_them(
    part_count: int, has_prompts: bool
) -> None:
    parts = tuple(PromptPart(f"part-{number}", 10) for number in range(part_count))
    report = peer_report("vm-1", prompts=(SentPrompt("u1", "m", parts),), view_revision=12)
    received = _sent_report(report)
    assert received.view_revision == 12
    assert bool(received.prompts) is has_prompts


def test_only_the_latest_datagram_of_each_peer_is_read() -> None:
    """A VM that is late does not work through what its peers said before."""
    runtime = CoreRuntime(
        Core.from_controllers({}, None, seed=1), tick_interval_ms=50, report_error=_fail
    )
    log = EventLog.to_stream(io.StringIO(), vm="vm-1")
    receiver = ReportSocket(_HOST, 0, runtime, log, TaskLoop("test-loop", lambda _error: None))
    address = receiver._socket.getsockname()
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as first,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as second,
    ):
        for data, sender in ((b"1", first), (b"2", second), (b"3", first)):
            sender.sendto(data, address)
        assert receiver._receive_latest() == [b"2", b"3"]
