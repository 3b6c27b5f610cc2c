"""A replica answers before it has read a long body, and reads on later on the same channel.

The replica knows by the request's id which bytes the client sends, and compares them with those
that it reads where the body is due.
"""

import hashlib
import sys
import tempfile
import threading
import time
from pathlib import Path

from stand_ins import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    Channel,
    Gateway,
    Head,
    NotRunError,
    Record,
    Replica,
    Store,
    answer,
    desired_state,
    has_trouble,
    request_bytes,
    route,
)

#: The desired state's limit for a body.
LONG_BODY_BYTES = 4_194_304
#: A longer body than this is rejected before it is in.
EARLY_ANSWER_BYTES = 1_000_000
#: Largest share of its answers that the faulty replica spoils.
SPOILED_SHARE = 0.02
#: How long the replica takes to read on.
READS_ON_AFTER_S = 0.75
#: The platform's links have small windows, and segments as on Ethernet, not as on loopback.
WINDOW_BYTES = 65_536
SEGMENT_BYTES = 1_460
#: Long requests come in pairs, so that one of each pair is placed on the faulty replica.
PAIRS = 4
#: Short requests come in groups, so that all replicas are in use.
FIRST_GROUPS = 50
GROUPS_EACH = 16
GROUP_REQUESTS = 8
GROUP_INTERVAL_S = 0.11
WORK_S = 0.0225
TIME_LIMIT_MS = 600
FOLDER = Path(__file__).resolve().parent


def long_body(request_id: str) -> bytes:
    """Return the bytes that the client sends under this id."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (LONG_BODY_BYTES // len(block) + 1))[:LONG_BODY_BYTES]


class Case:
    """One run: a gateway, its store, four replicas and some clients."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.trouble = has_trouble()
        self.foreign: list[str] = []
        self.answered = 0
        self.rejected_early = 0
        self.answers_of_faulty = 0
        self.lock = threading.Lock()

    def serve(self, replica: Replica, channel: Channel, head: Head) -> bool:
        """Serve one request of a channel; return whether the channel is kept."""
        request_id = head.headers["x-request-id"]
        length = head.length or 0
        if replica.name == "i-1" and self.spoils_answer(length):
            self.reject_early(replica, channel, request_id, length)
            return True
        if length > EARLY_ANSWER_BYTES:
            self.read_long_body(replica, channel, request_id, length)
        elif len(channel.read_bytes(length)) < length:
            return False
        time.sleep(WORK_S)
        self.record.write(f"{replica.name}: ran {head.first_line} {request_id}")
        channel.send(answer(replica, head, b"x" * 800))
        return True

    def spoils_answer(self, length: int) -> bool:
        """Return whether the faulty replica rejects this request before its body is in."""
        with self.lock:
            self.answers_of_faulty += 1
            is_within_share = self.rejected_early + 1 <= SPOILED_SHARE * self.answers_of_faulty
            spoils = self.trouble and length > EARLY_ANSWER_BYTES and is_within_share
            self.rejected_early += spoils
        return spoils

    def reject_early(
        self, replica: Replica, channel: Channel, request_id: str, length: int
    ) -> None:
        """Reject a request, keep the channel, and read the rest of the body later."""
        channel.send(
            f"HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: {request_id}\r\n"
            f"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        )
        self.record.write(f"{replica.name}: rejected {request_id} before its body was in")
        time.sleep(READS_ON_AFTER_S)
        self.read_long_body(replica, channel, request_id, length)

    def read_long_body(
        self, replica: Replica, channel: Channel, request_id: str, length: int
    ) -> None:
        """Read a long body, and note bytes that are not those that the client sent."""
        expected = long_body(request_id)
        read_bytes = 0
        try:
            while read_bytes < length:
                part = channel.read_some(length - read_bytes)
                if not part:
                    break
                due = expected[read_bytes : read_bytes + len(part)]
                if part != due and request_id not in self.foreign:
                    first = next(i for i in range(len(part)) if part[i] != due[i])
                    self.foreign.append(request_id)
                    self.record.write(
                        f"{replica.name}: FOREIGN BYTES at {read_bytes + first} of the body of "
                        f"{request_id}: {part[first : first + 160]!r}"
                    )
                read_bytes += len(part)
        finally:
            self.record.write(
                f"{replica.name}: read {read_bytes} of {length} bytes of {request_id}"
            )

    def send(self, gateway: Gateway, method: str, path: str, request_id: str, body: bytes) -> None:
        """Send a request on a channel of its own, and note the answer."""
        channel = gateway.connect(timeout_s=3.0)
        try:
            message = request_bytes(
                method, path, request_id, body, X_Deadline_Ms=str(TIME_LIMIT_MS)
            )
            self.record.write(f"client: sends {method} {path} {request_id}, {len(body)} bytes")
            channel.send(message)
            head = channel.read_head()
            if head is None:
                self.record.write(f"client: {request_id} ended without an answer")
                return
            channel.read_bytes(head.length or 0)
            self.record.write(f"client: {request_id} got {head.first_line}")
            with self.lock:
                self.answered += head.first_line.startswith("HTTP/1.1 200")
        except OSError as error:
            self.record.write(f"client: {request_id} ended with {type(error).__name__}")
        finally:
            channel.close()

    def run(self, gateway: Gateway) -> None:
        """Send long requests now and then among many short ones."""
        threads = self.start_groups(gateway, "first", FIRST_GROUPS)
        for number in range(PAIRS):
            for long_id in (f"long-{number}-a", f"long-{number}-b"):
                arguments = (gateway, "POST", "/read/a", long_id, long_body(long_id))
                threads.append(threading.Thread(target=self.send, args=arguments))
                threads[-1].start()
            threads += self.start_groups(gateway, f"short-{number}", GROUPS_EACH)
        for thread in threads:
            thread.join()
        time.sleep(2 * READS_ON_AFTER_S)

    def start_groups(self, gateway: Gateway, name: str, count: int) -> list[threading.Thread]:
        """Send groups of short requests, and return the threads that wait for the answers."""
        threads = []
        for group in range(count):
            for number in range(GROUP_REQUESTS):
                short_id = f"{name}-{group}-{number}"
                arguments = (gateway, "GET", "/read/b", short_id, b"")
                threads.append(threading.Thread(target=self.send, args=arguments))
                threads[-1].start()
            time.sleep(GROUP_INTERVAL_S)
        return threads


def main() -> int:
    """Run the case and return the exit status."""
    record = Record(FOLDER)
    case = Case(record)
    store = Store()
    replicas = [
        Replica(
            f"i-{number}",
            "desk",
            case.serve,
            window_bytes=WINDOW_BYTES,
            segment_bytes=SEGMENT_BYTES,
        )
        for number in (1, 2)
    ]
    for replica in replicas:
        store.put(f"servers/{replica.name}", replica.registration())
    store.put(
        "op/config",
        desired_state(
            [route("read", "idempotent", "desk", timeout_ms=TIME_LIMIT_MS)],
            [{"name": "desk", "health_path": "/healthz", "max_conns": 110}],
        ),
    )
    with tempfile.TemporaryDirectory() as folder:
        gateway = Gateway(0, store.open_port(), Path(folder))
        try:
            gateway.wait_until_ready()
            case.run(gateway)
        except NotRunError as error:
            record.write(f"could not run: {error}")
            return EXIT_NOT_RUN
        finally:
            gateway.kill()
    record.write(
        f"answered with 200: {case.answered}; rejected early: {case.rejected_early} of "
        f"{case.answers_of_faulty} answers of the faulty replica; bodies with foreign bytes: "
        f"{len(case.foreign)}"
    )
    if not case.answered or (case.trouble and not case.rejected_early):
        return EXIT_NOT_RUN
    return EXIT_BROKEN if case.foreign else EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
