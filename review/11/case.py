"""A slow client gets events of two runs of its stream, joined in the middle of a chunk."""

import fcntl
import re
import socket
import sys
import termios
import threading
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import kit  # noqa: E402

SERVICE = "lm"
TIMEOUT_MS = 100_000
#: The largest stream on the sheet has 550 events, and the largest event 390 bytes.
EVENTS, EVENT_BYTES = 300, 390
EVENT_INTERVAL_S = 0.01
#: How fast the client reads while its link is slow, and for how long it is.
SLOW_BYTES_PER_S, SLOW_S = 1_000, 36.0
SLOW_STEP_S = 0.25
RECEIVE_BUFFER_BYTES = 8_192
#: A replica cuts off an answer of which something stays unread for so long.
UNREAD_LIMIT_S = 5.0
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]+)\r\n")


class BrokenAnswerError(Exception):
    """The bytes are no answer in the protocol."""


def event(number: int, run: str) -> bytes:
    """Return an event, which names the run that made it."""
    head = b"id: %d\ndata: run %s " % (number, run.encode())
    return head.ljust(EVENT_BYTES - 2, b".") + b"\n\n"


def unread_bytes(connection: socket.socket) -> int:
    """Return how much the other end's kernel has not taken of what was sent."""
    data = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    return int.from_bytes(data, sys.byteorder)


class Runs:
    """The runs of the request, as the replicas see them."""

    def __init__(self, record: kit.Record) -> None:
        self._record = record
        self._lock = threading.Lock()
        self.count = 0
        #: Answers that a replica has cut off, since they were not read.
        self.cut_off = 0

    def run(self, handler: Any, replica: kit.Replica) -> None:
        """Run the request: stream the events after the one that it names."""
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        with self._lock:
            self.count += 1
            run = str(self.count)
        request_id = handler.headers["X-Request-Id"]
        self._record.write(f"{replica.name} runs {request_id} as run {run}, from event {first}")
        handler.send_response(200)
        handler.send_header("X-Request-Id", request_id)
        handler.send_header("X-Server-Seal", f"seal.{replica.name}")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        handler.connection.settimeout(UNREAD_LIMIT_S)
        try:
            for number in range(first, EVENTS + 1):
                data = event(number, run)
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                time.sleep(EVENT_INTERVAL_S)
            handler.wfile.write(b"0\r\n\r\n")
            self._await_reading(handler.connection)
            self._record.write(f"run {run} has ended: all events were sent and acknowledged")
        except OSError as error:
            self.cut_off += isinstance(error, TimeoutError)
            self._record.write(f"run {run} was broken off: {type(error).__name__}")
            handler.close_connection = True

    @staticmethod
    def _await_reading(connection: socket.socket) -> None:
        """Wait until the answer was taken; raise ``TimeoutError`` if part of it stays unread."""
        ends_at_s = time.monotonic() + UNREAD_LIMIT_S
        while unread_bytes(connection):
            if time.monotonic() > ends_at_s:
                raise TimeoutError("the answer is not read")
            time.sleep(0.05)


def receive(gateway: kit.Gateway, record: kit.Record) -> bytes:
    """Send the request and read its answer, slowly at first if there is trouble."""
    head = "POST /lm/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: 00000000000000a1\r\n"
    head += f"X-Model: m\r\nX-Token-Count: 900,{EVENTS * 7}\r\nX-Prompt-Prefix: 5c1e07a2:900\r\n"
    head += f"X-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: 4\r\n\r\n"
    received = bytearray()
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.settimeout(20)
        connection.connect((gateway.host, gateway.port))
        connection.sendall(head.encode() + b"body")
        began_s = time.monotonic()
        size = int(SLOW_BYTES_PER_S * SLOW_STEP_S) if kit.has_trouble() else 65_536
        while not received.endswith(b"\r\n0\r\n\r\n"):
            if size < 65_536 and time.monotonic() - began_s > SLOW_S:
                record.write(f"the client has read {len(received)} bytes; its link is fast again")
                size = 65_536
            try:
                part = connection.recv(size)
            except OSError as error:
                record.write(f"the channel broke: {type(error).__name__}")
                break
            if not part:
                record.write("the channel was closed")
                break
            received += part
            if size < 65_536:
                time.sleep(SLOW_STEP_S)
    return bytes(received)


def decode_chunks(body: bytes) -> tuple[bytes, bool]:
    """Return the decoded body, and whether it has its end."""
    decoded = bytearray()
    position = 0
    while position < len(body):
        line = _CHUNK_LINE.match(body, position)
        if line is None:
            if b"\n" in body[position : position + 16] or len(body) - position > 16:
                text = body[position : position + 24]
                raise BrokenAnswerError(f"{text!r} stands where a chunk begins")
            break
        size = int(line[1], 16)
        if not size:
            return bytes(decoded), True
        decoded += body[line.end() : line.end() + size]
        end = body[line.end() + size : line.end() + size + 2]
        if len(end) == 2 and end != b"\r\n":
            raise BrokenAnswerError(f"{end!r} stands at the end of a chunk of {size} bytes")
        position = line.end() + size + 2
    return bytes(decoded), False


def judge(received: bytes, runs: Runs, record: kit.Record) -> int:
    """Check what the client has received: whole events, in order, and no bytes of another kind."""
    head, _, body = received.partition(b"\r\n\r\n")
    record.write(f"answer: {head.splitlines()[:1]}, {len(body)} bytes of a body, {runs.count} runs")
    if not head.startswith(b"HTTP/1.1 200"):
        raise kit.CouldNotRunError("the request was not served")
    if runs.cut_off:
        raise kit.CouldNotRunError("a replica has cut its answer off")
    mistake = ""
    try:
        decoded, is_complete = decode_chunks(body)
    except BrokenAnswerError as error:
        mistake = f"the client gets bytes that are no answer in the protocol: {error}"
        decoded, is_complete = b"", False
    expected = 1
    for part in decoded.split(b"\n\n")[:-1]:
        number = re.match(rb"id: (\d+)\ndata: run \d+ \.*\Z", part)
        if number is None or int(number[1]) != expected:
            mistake = mistake or f"in place of event {expected}: {part[:60]!r} .. {part[-60:]!r}"
            break
        expected += 1
    record.write(f"{expected - 1} events are in order; the stream ends as complete: {is_complete}")
    if is_complete and expected <= EVENTS and not mistake:
        mistake = "the stream ends as complete before its last event"
    if mistake:
        record.write(mistake)
        return kit.BROKEN
    if not is_complete and not kit.has_trouble():
        raise kit.CouldNotRunError("the stream was broken off without any trouble")
    return kit.HELD


def play(record: kit.Record) -> int:
    """Play the case; return the exit code."""
    runs = Runs(record)
    with kit.site(1) as (store, gateways):
        runtime = {"slots": 11, "kv_capacity": 724_795, "stride": 7, "models": [{"name": "m"}]}
        service = {
            "name": SERVICE,
            "health_path": "/healthz",
            "max_conns": 240,
            "runtime": runtime,
        }
        route = {
            "name": "r-lm",
            "host": "site.example",
            "prefix": "/lm/",
            "type": "stream",
            "timeout_ms": TIMEOUT_MS,
            "goal_ms": 600,
            "gap_target_ms": 300,
            "priority": 0,
            "service": SERVICE,
            "attempts": 2,
            "public": True,
            "sticky": True,
            "resumable": True,
        }
        store.put("op/config", kit.configuration([route], [service]))
        for number in (1, 2):
            replica = kit.Replica(f"i-{number}", SERVICE, runs.run, slots=11)
            store.put(f"servers/{replica.name}", replica.registration())
        gateways[0].start()
        kit.wait_for(gateways[0].is_ready, 20, "the start of the gateway")
        return judge(receive(gateways[0], record), runs, record)


def main() -> int:
    """Play the case and record it."""
    record = kit.Record(HERE / "record.txt")
    try:
        result = play(record)
    except kit.CouldNotRunError as error:
        record.write(f"could not run: {error}")
        return kit.COULD_NOT_RUN
    record.write("rule broken" if result == kit.BROKEN else "rule held")
    return result


if __name__ == "__main__":
    sys.exit(main())
