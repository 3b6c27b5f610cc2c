"""Reports on their way to peers."""

import io
import socket
import time

import pytest

from azureturn.framework import Core
from azureturn.gateway.daemon._peer_reports import ReportSocket
from azureturn.gateway.daemon._report_codec import report_from_wire
from azureturn.gateway.daemon._send_budget import SendBudget
from azureturn.gateway.decisions import PeerReport, SendReport, SentPrompt
from azureturn.gateway.decisions.tests.gateway_core_harness import peer_report
from azureturn.gateway.site import PromptPart
from azureturn.observability import EventLog
from azureturn.peers import GatewayReport, decode_struct
from azureturn.serving import CoreRuntime
from azureturn.tasks import TaskLoop

_HOST = "127.0.0.1"
_PEER = "127.0.0.2"


def _budget(link_mbps: float = 1_000.0) -> SendBudget:
    return SendBudget(link_mbps=link_mbps, now_s=time.monotonic())


class _Datagrams:
    """Takes the place of a socket, and keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.hosts: list[str] = []

    def sendto(self, data: bytes, _flags: int, address: tuple[str, int]) -> None:
        self.sent.append(data)
        self.hosts.append(address[0])


def _report_socket(budget: SendBudget, loop: TaskLoop) -> tuple[ReportSocket, _Datagrams]:
    runtime = CoreRuntime(
        Core.from_controllers({}, None, seed=1), tick_interval_ms=50, report_error=_fail
    )
    log = EventLog.to_stream(io.StringIO(), vm="vm-1")
    report_socket = ReportSocket(_HOST, 0, runtime, log, loop, budget=budget)
    report_socket._socket.close()
    datagrams = report_socket._socket = _Datagrams()  # type: ignore[assignment]
    return report_socket, datagrams  # type: ignore[return-value]


def _sent_report(report: PeerReport) -> PeerReport:
    loop = TaskLoop("test-loop", lambda _error: None)
    report_socket, datagrams = _report_socket(_budget(), loop)
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
    receiver = ReportSocket(
        _HOST, 0, runtime, log, TaskLoop("test-loop", lambda _error: None), budget=_budget()
    )
    address = receiver._socket.getsockname()
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as first,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as second,
    ):
        for data, sender in ((b"1", first), (b"2", second), (b"3", first)):
            sender.sendto(data, address)
        assert list(receiver._receive_latest().values()) == [b"2", b"3"]


_LINK_MBPS = 10.0
_LINK_BYTES_PER_S = _LINK_MBPS * 1_000_000 / 8


def test_reports_take_up_a_small_part_of_the_link_whatever_is_to_be_told() -> None:
    # Guards against GONE and SHORT: reports of failed connections filled the links, so that more
    # connections failed.
    loop = TaskLoop("test-loop", lambda _error: None)
    loop.start()
    report_socket, datagrams = _report_socket(_budget(_LINK_MBPS), loop)
    hosts = tuple(f"10.0.0.{number}" for number in range(67))
    unreachable = frozenset(f"i-{number:010}" for number in range(150))
    began_s = time.monotonic()
    for sequence in range(100):
        report = peer_report("vm-1", sequence=sequence, unreachable=unreachable)
        report_socket.send(SendReport(report, hosts))
        time.sleep(0.01)
    sent_bytes = sum(len(data) for data in list(datagrams.sent))
    took_s = time.monotonic() - began_s
    loop.stop()
    # A quarter of what the link carries in the time, and the first burst.
    assert sent_bytes <= _LINK_BYTES_PER_S * (took_s + 0.1) / 4
    # Each host gets a report in its turn.
    assert datagrams.hosts[: len(hosts)] == list(hosts)


def test_a_host_whose_turn_comes_gets_the_latest_report() -> None:
    loop = TaskLoop("test-loop", lambda _error: None)
    report_socket, datagrams = _report_socket(_budget(0.01), loop)
    for sequence in (1, 2):
        report_socket.send(SendReport(peer_report("vm-1", sequence=sequence), (_PEER, "127.0.0.3")))
    assert datagrams.hosts == [_PEER]
    report_socket._budget = _budget()
    report_socket._send_outgoing()
    sequences = [decode_struct(GatewayReport, data).sequence for data in datagrams.sent]
    assert list(zip(datagrams.hosts, sequences, strict=True)) == [
        (_PEER, 1),
        ("127.0.0.3", 2),
        (_PEER, 2),
    ]
