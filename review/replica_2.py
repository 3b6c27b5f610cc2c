"""A replica as a process: runs requests as the users' pages say, and records what it runs.

Arguments: its options as JSON, the file for its port, and the file for its record.
"""

import asyncio
import json
import os
import sys
import time
from typing import Any

from stand_ins_2 import read_head

#: How often a replica looks whether the channel of a request has closed.
CLOSE_CHECK_S = 0.02
#: How often a preempted run looks for room, and how fast its prompt is read again (blsa-outage).
MEMORY_CHECK_S = 0.01
PREFILL_TOKENS_PER_S = 92_100
TOKENS_PER_EVENT = 6


class ReplicaProcess:
    """Serves one request at a time on a channel, ``slots`` of them at once."""

    def __init__(self, options: dict[str, Any], record: int) -> None:
        self._name: str = options["name"]
        self._options = options
        self._record_file = record
        self._slots = asyncio.Semaphore(options["slots"])
        self._waiting = 0
        self._active = 0
        self._runs = 0
        #: Tokens of each run, the newest last; a preempted one has none.
        self._memory: dict[str, int] = {}
        self._started_s = time.monotonic()
        self.port = 0

    async def start(self) -> None:
        """Open the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    def _record(self, request_id: str, event: str, **fields: Any) -> None:
        at_ms = time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1_000_000
        row = {"at_ms": at_ms, "id": request_id, "event": event, **fields}
        os.write(self._record_file, json.dumps(row).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                headers = head[1]
                await reader.readexactly(int(headers.get("content-length", "0")))
                await self._respond(method, target, headers, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if method == "GET" and target == "/api/report":
            report = {"phase": "both", "queued": self._waiting, "active": self._active}
            await self._send(writer, 200, {}, json.dumps(report).encode())
            return
        if method == "GET" and target == "/healthz":
            await self._send(writer, 200, {"X-Instance-Id": self._name}, b"")
            return
        request_id = headers.get("x-request-id", "")
        common = {"X-Request-Id": request_id}
        if headers.get("x-expect-instance", self._name) != self._name:
            await self._send(writer, 421, {**common, "X-Instance-Id": self._name}, b"")
            return
        if not request_id:
            await self._send(writer, 400, {"X-Not-Executed": "1"}, b"")
            return
        if self._waiting >= 3 * self._options["slots"]:
            self._record(request_id, "rejected")
            await self._send(writer, 503, {**common, "X-Not-Executed": "1"}, b"")
            return
        self._waiting += 1
        # Most replicas drop a request when its channel closes.
        run = asyncio.ensure_future(self._run(target, headers, common, writer))
        while not run.done():
            await asyncio.wait({run}, timeout=CLOSE_CHECK_S)
            if not run.done() and (reader.at_eof() or writer.transport.is_closing()):
                run.cancel()
                self._record(request_id, "dropped")
                raise ConnectionResetError
        try:
            await run
        except ConnectionError:
            self._record(request_id, "dropped")
            raise

    async def _run(
        self,
        target: str,
        headers: dict[str, str],
        common: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._active += 1
        try:
            await self._run_in_slot(target, headers, common, writer)
        finally:
            self._active -= 1
            self._slots.release()

    async def _run_in_slot(
        self,
        target: str,
        headers: dict[str, str],
        common: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        options = self._options
        request_id = common["X-Request-Id"]
        self._runs += 1
        self._record(
            request_id,
            "runs",
            target=target,
            tokens=headers.get("x-token-count", ""),
            tenant=headers.get("x-tenant", ""),
        )
        sealed = {**common, "X-Server-Seal": f"seal.{self._name}.{request_id}"}
        if self._fails(target):
            await asyncio.sleep(options.get("work_ms", 20) / 1_000)
            self._record(request_id, "500")
            await self._send(writer, 500, sealed, b"error")
            return
        if events := options.get("events"):
            await self._stream(headers, sealed, writer, events)
            return
        work_ms = options.get("work_ms", 20)
        if self._runs % options.get("slow_each", 1 << 30) == 0:
            work_ms = options["slow_ms"]
        # A replica stops work at the time limit that it receives.
        limit_ms = int(headers.get("x-deadline-ms", "60000"))
        await asyncio.sleep(min(work_ms, limit_ms) / 1_000)
        if work_ms > limit_ms:
            self._record(request_id, "504")
            await self._send(writer, 504, sealed, b"")
            return
        self._record(request_id, "200")
        await self._send(writer, 200, sealed, b"done by " + self._name.encode())

    def _fails(self, target: str) -> bool:
        is_bad = time.monotonic() - self._started_s >= self._options.get("fails_after_s", 0)
        return is_bad and target.startswith(tuple(self._options.get("fails_on", ())))

    async def _stream(
        self,
        headers: dict[str, str],
        sealed: dict[str, str],
        writer: asyncio.StreamWriter,
        events: int,
    ) -> None:
        first = int(headers.get("last-event-id") or 0) + 1
        request_id = sealed["X-Request-Id"]
        prompt_tokens = int(headers.get("x-token-count", "0").split(",")[0])
        self._memory[request_id] = prompt_tokens
        try:
            await self._stream_events(first, request_id, prompt_tokens, sealed, writer, events)
        finally:
            self._memory.pop(request_id, None)

    async def _use_memory(self, request_id: str, tokens: int) -> None:
        """Count what a run holds; when memory runs out, the newest run is preempted.

        It goes on when there is room for all that it had, and its prompt has been read again.
        """
        capacity = self._options.get("kv_capacity", 1 << 60)
        if request_id in self._memory:
            self._memory[request_id] = tokens
            if sum(self._memory.values()) > capacity:
                newest = next(reversed(self._memory))
                del self._memory[newest]
        if request_id in self._memory:
            return
        self._record(request_id, "preempted")
        while sum(self._memory.values()) + tokens > capacity:
            await asyncio.sleep(MEMORY_CHECK_S)
        self._memory[request_id] = tokens
        await asyncio.sleep(tokens / PREFILL_TOKENS_PER_S)
        self._record(request_id, "goes on")

    async def _stream_events(
        self,
        first: int,
        request_id: str,
        prompt_tokens: int,
        sealed: dict[str, str],
        writer: asyncio.StreamWriter,
        events: int,
    ) -> None:
        await asyncio.sleep(self._options.get("first_ms", 30) / 1_000)
        lines = [f"{name}: {value}" for name, value in sealed.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for number in range(first, events + 1):
            data = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await self._use_memory(request_id, prompt_tokens + number * TOKENS_PER_EVENT)
            await asyncio.sleep(self._options.get("pause_ms", 50) / 1_000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._record(request_id, "200")

    async def _send(
        self, writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([f"HTTP/1.1 {status} Status", *lines, "", ""])
        writer.write(head.encode() + body)
        await writer.drain()


async def main() -> None:
    """Serve until the process is killed."""
    record = os.open(sys.argv[3], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    replica = ReplicaProcess(json.loads(sys.argv[1]), record)
    await replica.start()
    with open(sys.argv[2] + ".new", "w", encoding="utf-8") as file:  # noqa: PTH123
        file.write(str(replica.port))
    os.replace(sys.argv[2] + ".new", sys.argv[2])  # noqa: PTH105
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
