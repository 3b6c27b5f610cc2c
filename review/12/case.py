"""A planned stop ends channels whose requests still wait in the gateway, without an answer."""

import re
import signal
import socket
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import kit  # noqa: E402

SERVICE = "digest"
REPLICAS, SLOTS, WORK_S = 2, 2, 1.5
GOAL_MS, TIMEOUT_MS = 8_000, 20_000
#: Callers of the gateway that is stopped; each has one request at a time on a kept channel.
CALLERS = 40
GRACE_S, LOSS_SLACK_S = 8.0, 0.2
#: A request counts if it was sent no later than this after SIGTERM: until then the platform, which
#: takes a machine out after two missed checks a second apart, may still open channels to it.
SENT_WITHIN_S = 1.0


@dataclass
class Request:
    """One request, as its client has seen it."""

    request_id: str
    sent_at_s: float
    ended_at_s: float = 0.0
    #: The first line of the answer; empty if the channel ended without any byte.
    answer: str = ""
    #: How long the answer asks the client to wait.
    retry_after_s: float = 0.3


class Site:
    """What the replicas and clients have seen."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.requests: list[Request] = []
        self.arrived: set[str] = set()
        self.stopped = threading.Event()

    def run(self, handler: Any, replica: kit.Replica) -> None:
        """Run a request at a replica."""
        with self.lock:
            self.arrived.add(handler.headers["X-Request-Id"])
        time.sleep(WORK_S)
        handler.send_plain(200, b"whole body", {"X-Server-Seal": f"seal.{replica.name}"})


def read_answer(channel: socket.socket) -> bytes:
    """Return a whole answer with a length, or what came of it before the channel's end."""
    answer = b""
    while part := channel.recv(65_536):
        answer += part
        head, end, body = answer.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: *(\d+)", head.lower())
        if end and len(body) >= (int(length[1]) if length else 0):
            break
    return answer


def play_caller(site: Site, gateway: kit.Gateway, number: int) -> None:
    """Send one request after the other on a kept channel, until the channel is closed."""
    count = 0
    channel: socket.socket | None = None
    while not site.stopped.is_set():
        count += 1
        request = Request(f"{number * 1_000 + count:016x}", time.monotonic())
        head = f"POST /digest/{count} HTTP/1.1\r\nHost: site.example\r\n"
        head += f"X-Request-Id: {request.request_id}\r\nX-Deadline-Ms: {TIMEOUT_MS}\r\n"
        head += "Content-Length: 4\r\n\r\n"
        try:
            if channel is None:
                channel = socket.create_connection((gateway.host, gateway.port), timeout=25)
            channel.sendall(head.encode() + b"body")
            request.sent_at_s = time.monotonic()
            with site.lock:
                site.requests.append(request)
            answer = read_answer(channel)
            request.answer = answer.partition(b"\r\n")[0].decode("latin-1")
            if retry_after := re.search(rb"retry-after: *([0-9.]+)", answer.lower()):
                request.retry_after_s = float(retry_after[1])
            if not answer or b"connection: close" in answer.lower():
                channel.close()
                channel = None
        except OSError as error:
            request.answer = "" if channel is not None else f"no channel: {type(error).__name__}"
            channel = None
        request.ended_at_s = time.monotonic()
        if "200" not in request.answer:
            # The platform sends no new channel to a machine that stops.
            if gateway.exit_code() is not None or not gateway.is_ready():
                return
            time.sleep(request.retry_after_s)


def judge(site: Site, record: kit.Record, stopped_at_s: float) -> int:
    """Count the requests that were read, reached no replica and got no answer."""
    lost = 0
    for request in sorted(site.requests, key=lambda row: row.sent_at_s):
        after_s = request.sent_at_s - stopped_at_s
        took_s = request.ended_at_s - request.sent_at_s
        if request.ended_at_s < stopped_at_s:
            continue
        arrived = request.request_id in site.arrived
        record.write(
            f"{request.request_id}: sent {after_s:+.3f} s from SIGTERM, ended after {took_s:.3f} s,"
            f" reached a replica: {arrived}, answer: {request.answer or 'none'}"
        )
        is_late = LOSS_SLACK_S < took_s < TIMEOUT_MS / 1_000 * 0.7
        if not arrived and not request.answer and is_late and after_s <= SENT_WITHIN_S:
            lost += 1
    record.write(f"{lost} requests were read and never answered, and reached no replica")
    return kit.BROKEN if lost else kit.HELD


def play(record: kit.Record) -> int:
    """Play the case; return the exit code."""
    site = Site()
    with kit.site(2) as (store, gateways):
        service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 110}
        route = {
            "name": "r-digest",
            "host": "site.example",
            "prefix": "/digest/",
            "type": "non_idempotent",
            "timeout_ms": TIMEOUT_MS,
            "goal_ms": GOAL_MS,
            "priority": 2,
            "service": SERVICE,
            "attempts": 1,
            "public": True,
        }
        store.put("op/config", kit.configuration([route], [service]))
        replicas = [
            kit.Replica(f"i-{number}", SERVICE, site.run, slots=SLOTS) for number in range(REPLICAS)
        ]
        for replica in replicas:
            store.put(f"servers/{replica.name}", replica.registration())
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            kit.wait_for(gateway.is_ready, 20, f"the start of {gateway.name}")
        threads = [
            threading.Thread(target=play_caller, args=(site, gateways[0], number), daemon=True)
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.1)
        time.sleep(8.0)
        stopped_at_s = time.monotonic()
        if kit.has_trouble():
            gateways[0].send_signal(signal.SIGTERM)
            record.write("SIGTERM")
        while gateways[0].exit_code() is None and time.monotonic() < stopped_at_s + GRACE_S:
            time.sleep(0.01)
        record.write(f"the process has ended with {gateways[0].exit_code()}")
        site.stopped.set()
        for thread in threads:
            thread.join(25)
        return judge(site, record, stopped_at_s)


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
