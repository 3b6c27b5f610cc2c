"""A header that a client sends in two lines reaches the replica with one of them."""

import socket
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import kit  # noqa: E402

SERVICE = "lm"
PARTS = ("5c1e07a2:800", "91bd3f06:410", "e4402b7d:250")
REQUESTS = 20


class Replicas:
    """What the replicas were sent."""

    def __init__(self, record: kit.Record) -> None:
        self._record = record
        #: Parts of the prompt by request id.
        self.parts: dict[str, list[str]] = {}

    def run(self, handler: Any, replica: kit.Replica) -> None:
        """Run a request: answer with a short stream."""
        request_id = handler.headers["X-Request-Id"]
        lines = handler.headers.get_all("X-Prompt-Prefix") or []
        parts = [part.strip() for line in lines for part in line.split(",")]
        self.parts[request_id] = parts
        self._record.write(f"{replica.name} runs {request_id} with the prompt {parts}")
        handler.send_response(200)
        handler.send_header("X-Request-Id", request_id)
        handler.send_header("X-Server-Seal", f"seal.{replica.name}")
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in (1, 2, 3):
            event = b"id: %d\ndata: x\n\n" % number
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")


def call(gateway: kit.Gateway, request_id: str) -> bytes:
    """Send one request; return the first line of its answer."""
    split = 1 if kit.has_trouble() else len(PARTS)
    lines = [",".join(PARTS[:split]), ",".join(PARTS[split:])]
    head = f"POST /lm/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {request_id}\r\n"
    head += "X-Model: m\r\nX-Token-Count: 1460,80\r\nX-Deadline-Ms: 12000\r\n"
    head += "".join(f"X-Prompt-Prefix: {line}\r\n" for line in lines if line)
    head += "Content-Length: 4\r\nConnection: close\r\n\r\n"
    answer = b""
    with socket.create_connection((gateway.host, gateway.port), timeout=15) as connection:
        connection.sendall(head.encode() + b"body")
        while part := connection.recv(65_536):
            answer += part
    return answer.partition(b"\r\n")[0]


def play(record: kit.Record) -> int:
    """Play the case; return the exit code."""
    replicas = Replicas(record)
    with kit.site(1) as (store, gateways):
        runtime = {"slots": 11, "kv_capacity": 724_795, "stride": 7, "models": [{"name": "m"}]}
        service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 240, "runtime": runtime}
        route = {
            "name": "r-lm",
            "host": "site.example",
            "prefix": "/lm/",
            "type": "stream",
            "timeout_ms": 12_000,
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
            replica = kit.Replica(f"i-{number}", SERVICE, replicas.run)
            store.put(f"servers/{replica.name}", replica.registration(slots=11))
        gateways[0].start()
        kit.wait_for(gateways[0].is_ready, 20, "the start of the gateway")
        for number in range(REQUESTS):
            request_id = f"{number + 1:016x}"
            record.write(f"{request_id} is answered: {call(gateways[0], request_id)!r}")
            time.sleep(0.05)
    record.write(f"each client sent the prompt {list(PARTS)}")
    if not replicas.parts:
        raise kit.CouldNotRunError("no request was run")
    wrong = [parts for parts in replicas.parts.values() if parts != list(PARTS)]
    record.write(f"{len(wrong)} of {len(replicas.parts)} runs had another prompt than the client's")
    return kit.BROKEN if wrong else kit.HELD


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
