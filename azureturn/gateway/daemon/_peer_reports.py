"""Sends reports to peers and receives theirs, over UDP."""

import socket
import time
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from functools import partial

from azureturn.errors import AzureturnError
from azureturn.gateway.daemon._report_codec import report_to_wire
from azureturn.gateway.daemon._report_decoder import ReportDecoder
from azureturn.gateway.daemon._send_budget import SendBudget
from azureturn.gateway.daemon._threads import run_forever
from azureturn.gateway.decisions import PeerReport, PeerReportReceived, SendReport
from azureturn.observability import EventLog, LogEvent, describe_error
from azureturn.peers import encode_struct
from azureturn.serving import CoreRuntime
from azureturn.tasks import READABLE, Priority, TaskLoop, sleep, wait_until_ready

_DATAGRAM_LIMIT_BYTES = 60_000
_MS_PER_S = 1_000
#: Time without the receipt of reports for each unit of time spent on some. It bounds the share of a
#: VM's time that its peers can take, however many there are and however slow the VM is.
_REST_PER_WORK = 7.0
#: Part of the peers' report interval for which a report may wait to be received with others. On
#: average it is older than that when it is received, and waking up for each one takes most of the
#: time of a VM that does nothing else.
_BATCH_SHARE = 0.1
#: Shortest wait for the budget, so that a wake-up sends several reports.
_MIN_WAIT_S = 0.02


class _OutgoingReports:
    """Encoded reports that have not been sent, in the order in which their hosts' turns come."""

    def __init__(self) -> None:
        self._reports: OrderedDict[str, bytes] = OrderedDict()

    def __len__(self) -> int:
        return len(self._reports)

    def put(self, host: str, data: bytes) -> None:
        """Add a report for a host; one that waits for it is replaced, and keeps its turn."""
        self._reports[host] = data

    def pop_next(self) -> tuple[str, bytes]:
        """Remove and return the host whose turn it is, and its report."""
        return self._reports.popitem(last=False)


class ReportSocket:
    """One UDP socket for all peers; a lost report is superseded by the next one.

    Reports wait while ``budget`` is used up. Each host then gets the latest report in its turn, and
    not those before it. Reports that arrive within a part of ``interval_ms``, the current report
    interval, are received together.
    """

    def __init__(
        self,
        host: str,
        port: int,
        runtime: CoreRuntime,
        log: EventLog,
        loop: TaskLoop,
        *,
        budget: SendBudget,
        interval_ms: Callable[[], int] = lambda: 0,
    ) -> None:
        self._interval_ms = interval_ms
        self._decoder = ReportDecoder()
        self._budget = budget
        self._outgoing = _OutgoingReports()
        #: Whether a task waits until more may be sent.
        self._is_waiting = False
        self._port = port
        self._loop = loop
        self._runtime = runtime
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.setblocking(False)

    def start(self) -> None:
        """Start the task that receives reports."""
        run_forever(self._receive_forever, "peer-reports", self._log, loop=self._loop)

    def send(self, action: SendReport) -> None:
        """Send a report to every host, to some of them later if the budget is used up."""
        without_peers = self._encode(action.report.without_peers())
        with_peers = self._encode(action.report) if action.informed_hosts else b""
        for host in action.hosts:
            self._outgoing.put(host, with_peers if host in action.informed_hosts else without_peers)
        if not self._is_waiting:
            self._send_outgoing()

    def _send_outgoing(self) -> None:
        while self._outgoing:
            wait_s = self._budget.wait_s(now_s=time.monotonic())
            if wait_s:
                self._is_waiting = True
                self._loop.spawn(partial(self._send_later, wait_s), priority=Priority.CONTROL)
                return
            host, data = self._outgoing.pop_next()
            self._budget.spend(len(data), now_s=time.monotonic())
            try:
                self._socket.sendto(data, socket.MSG_DONTWAIT, (host, self._port))
            except OSError as error:
                self._log.error(LogEvent.PEER_UNREACHABLE, vm_host=host, error=str(error))

    def _send_later(self, wait_s: float) -> None:
        sleep(max(wait_s, _MIN_WAIT_S))
        self._is_waiting = False
        self._send_outgoing()

    def _encode(self, report: PeerReport) -> bytes:
        """Return an encoded report, without the prompts if it is too large for one datagram.

        Callers determine how large prompts are; they must not keep a VM from being heard.
        """
        data = encode_struct(report_to_wire(report))
        if len(data) <= _DATAGRAM_LIMIT_BYTES:
            return data
        self._log.error(LogEvent.INTERNAL_ERROR, error="report is too large for one datagram")
        return encode_struct(report_to_wire(report.without_prompts()))

    def _receive_forever(self) -> None:
        while True:
            try:
                datagrams = self._receive_latest()
                if not datagrams:
                    wait_until_ready({self._socket.fileno(): READABLE}, None)
                    continue
            except OSError as error:
                self._log.error(LogEvent.PEER_UNREACHABLE, error=describe_error(error))
                continue
            began_s = time.monotonic()
            for sender, data in datagrams.items():
                self._apply(data, sender)
            batch_s = _BATCH_SHARE * self._interval_ms() / _MS_PER_S
            sleep(max(batch_s, (time.monotonic() - began_s) * _REST_PER_WORK))

    def _receive_latest(self) -> dict[object, bytes]:
        """Return the latest datagram of each sender; those before it are superseded."""
        datagrams: dict[object, bytes] = {}
        with suppress(BlockingIOError):
            while True:
                data, sender = self._socket.recvfrom(_DATAGRAM_LIMIT_BYTES)
                datagrams.pop(sender, None)
                datagrams[sender] = data
        return datagrams

    def _apply(self, data: bytes, sender: object) -> None:
        try:
            report = self._decoder.decode(data, sender)
        except AzureturnError as error:
            self._log.error(LogEvent.PEER_REPORT_REFUSED, error=describe_error(error))
            return
        self._runtime.submit(PeerReportReceived(report))
