"""Processor time and counts of what a gateway does: idle, peers' reports, requests, refusals.

The load is paced, so that each request finds the process asleep, as on a VM with little load.
"""

import asyncio
import re
import shutil
import signal
import socket
import subprocess
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from azureturn.gateway.daemon._report_codec import report_to_wire
from azureturn.gateway.decisions import OutstandingWork, PeerReport
from azureturn.gateway.site import AllotmentUsage
from azureturn.peers import encode_struct

#: Peers of a VM on the largest of the sites that were measured, and their report interval there.
_PEERS = 72
_REPORT_INTERVAL_S = 0.46
_PEER_HOST = "127.200.0.{number}"
#: One report in this many differs from its sender's last one in more than its number.
_CHANGING_REPORTS = 4
_UPSTREAMS_OF_REPORT = 10
_ORGANISATIONS_OF_REPORT = 6
_IDLE_S = 4.0
_REQUESTS = 100
_REQUEST_INTERVAL_S = 0.02
#: Requests of a pass in which the operating system's calls are counted, which slows them down.
_TRACED_REQUESTS = 50
_EVENTS = 5
_EVENT_INTERVAL_S = 0.01
_NS_PER_MS = 1e6
_STRACE_TOTAL = re.compile(r"^100\.00\s+\S+\s+\S+\s+(\d+)", re.MULTILINE)

Send = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(frozen=True)
class Cost:
    """What one second, or one request, costs the process."""

    code: str
    of: str
    #: Processor time of all threads, and that of the threads other than the busiest.
    processor_ms: float
    other_threads_ms: float
    #: How often a thread gave the processor up to wait.
    waits: float
    log_lines: float
    #: Calls of the operating system; None if ``strace`` is missing.
    system_calls: float | None


class GatewayProbe:
    """Reads the counters of a gateway process."""

    def __init__(self, process_id: int, log_path: Path) -> None:
        self._tasks = Path(f"/proc/{process_id}/task")
        self._process_id = process_id
        self._log_path = log_path

    def thread_ms(self) -> dict[str, float]:
        """Return the processor time of each thread."""
        return {
            task.name: int((task / "schedstat").read_text().split()[0]) / _NS_PER_MS
            for task in self._tasks.iterdir()
        }

    def waits(self) -> int:
        """Return how often threads gave the processor up."""
        count = 0
        for task in self._tasks.iterdir():
            text = (task / "status").read_text()
            count += int(text.partition("\nvoluntary_ctxt_switches:")[2].split()[0])
        return count

    def log_lines(self) -> int:
        """Return the number of lines in the log."""
        return self._log_path.read_bytes().count(b"\n")

    async def system_calls(self, load: Callable[[], Awaitable[None]]) -> int | None:
        """Return the number of system calls of the process during a load."""
        if shutil.which("strace") is None:
            return None
        command = ["strace", "-f", "-c", "-p", str(self._process_id)]
        tracer = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        await asyncio.sleep(0.5)
        await load()
        tracer.send_signal(signal.SIGINT)
        total = _STRACE_TOTAL.search(await asyncio.to_thread(lambda: tracer.communicate()[1]))
        return int(total[1]) if total else None


class FakePeers:
    """The other VMs of a site: send reports as they would, and read none."""

    def __init__(self, gateway_address: tuple[str, int], *, busy: bool) -> None:
        self._gateway_address = gateway_address
        self._busy = busy
        self._sockets: list[socket.socket] = []

    async def send_forever(self) -> None:
        """Send reports, evenly over each interval, until cancelled."""
        sequence = 0
        for number in range(1, _PEERS + 1):
            connection = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            connection.bind((_PEER_HOST.format(number=number), 0))
            self._sockets.append(connection)
        try:
            while True:
                sequence += 1
                for number, connection in enumerate(self._sockets, 1):
                    data = encode_struct(report_to_wire(self._report(number, sequence)))
                    connection.sendto(data, self._gateway_address)
                    await asyncio.sleep(_REPORT_INTERVAL_S / _PEERS)
        finally:
            for connection in self._sockets:
                connection.close()

    def _report(self, number: int, sequence: int) -> PeerReport:
        change = (sequence + number) // _CHANGING_REPORTS
        work, spent = {}, {}
        if self._busy:
            work = {
                f"i-{row:010}": OutstandingWork(1 + (change + row) % 3, 1_000 * (change % 5))
                for row in range(_UPSTREAMS_OF_REPORT)
            }
            spent = {
                f"organisation-{row}": AllotmentUsage(10_000 * change, 1_000)
                for row in range(_ORGANISATIONS_OF_REPORT)
            }
        return PeerReport(
            vm=f"edge-p-{number}",
            host=_PEER_HOST.format(number=number),
            boot=number,
            sequence=sequence,
            leaving=False,
            view_revision=1,
            work=work,
            spent=spent,
            prompts=(),
            versions={},
            moves={},
            peers={},
            availability_zone="bcd"[number % 3],
            store_contact_ms=4_000,
            configuration_version=7,
        )


async def send_events(writer: asyncio.StreamWriter) -> None:
    """Send a response of a few events, as an upstream does."""
    for number in range(1, _EVENTS + 1):
        event = f"id: {number}\ndata: {'text':60}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await asyncio.sleep(_EVENT_INTERVAL_S)
    writer.write(b"0\r\n\r\n")


def requests_to(request: Callable[[], bytes], end: bytes) -> Send:
    """Return a function that sends one request on a connection and reads its whole response."""

    async def send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(request())
        head = await reader.readuntil(b"\r\n\r\n")
        if end and b"content-length: 0" not in head.lower():
            await reader.readuntil(end)

    return send


async def measure_costs(
    code: str,
    probe: GatewayProbe,
    caller_port: int,
    peer_address: tuple[str, int],
    requests: dict[str, Send],
) -> list[Cost]:
    """Measure an idle second, one with each kind of peers, and one request of each kind."""

    async def wait() -> None:
        await asyncio.sleep(_IDLE_S)

    async def send(request: Send, count: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", caller_port)
        for _ in range(count):
            try:
                await request(reader, writer)
            except asyncio.IncompleteReadError:
                # A VM that is short of processor time closes its callers' connections.
                writer.close()
                reader, writer = await asyncio.open_connection("127.0.0.1", caller_port)
                await request(reader, writer)
            await asyncio.sleep(_REQUEST_INTERVAL_S)
        writer.close()

    alone = await _cost(code, "idle second, no peers", probe, wait, _IDLE_S)
    costs = [alone]
    for name, request in requests.items():
        await send(request, 10)
        lasted_s = -asyncio.get_running_loop().time()
        cost = await _cost(code, name, probe, lambda r=request: send(r, _REQUESTS), _REQUESTS)  # type: ignore[misc]
        lasted_s += asyncio.get_running_loop().time()
        calls = await probe.system_calls(lambda r=request: send(r, _TRACED_REQUESTS))  # type: ignore[misc]
        costs.append(_without_idle(cost, alone, lasted_s / _REQUESTS, calls))
    for busy in (False, True):
        peers = asyncio.create_task(FakePeers(peer_address, busy=busy).send_forever())
        await asyncio.sleep(3 * _REPORT_INTERVAL_S)
        kind = "busy" if busy else "idle"
        costs.append(await _cost(code, f"idle second, {_PEERS} {kind} peers", probe, wait, _IDLE_S))
        peers.cancel()
        with suppress(asyncio.CancelledError):
            await peers
    return costs


async def _cost(
    code: str, of: str, probe: GatewayProbe, load: Callable[[], Awaitable[None]], units: float
) -> Cost:
    before_ms, waits, lines = probe.thread_ms(), probe.waits(), probe.log_lines()
    await load()
    await asyncio.sleep(0.1)
    used_ms = sorted(value - before_ms.get(name, 0) for name, value in probe.thread_ms().items())
    return Cost(
        code,
        of,
        round(sum(used_ms) / units, 3),
        round(sum(used_ms[:-1]) / units, 3),
        round((probe.waits() - waits) / units, 1),
        round((probe.log_lines() - lines) / units, 1),
        None,
    )


def _without_idle(cost: Cost, idle: Cost, lasted_s: float, traced_calls: int | None) -> Cost:
    """Return the cost of a request without what the process does anyway meanwhile."""
    return Cost(
        cost.code,
        cost.of,
        round(cost.processor_ms - idle.processor_ms * lasted_s, 3),
        round(cost.other_threads_ms - idle.other_threads_ms * lasted_s, 3),
        round(cost.waits - idle.waits * lasted_s, 1),
        cost.log_lines,
        None if traced_calls is None else round(traced_calls / _TRACED_REQUESTS, 1),
    )
