"""Stand-ins for the second review: the platform's store, replicas, clients and the platform.

They follow the users' pages and need nothing but Python's own library. Replicas are processes of
their own (``replica_2.py``), so that a test can kill them. Everything is on loopback addresses.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
REPLICA = Path(__file__).resolve().parent / "replica_2.py"
HELD, BROKEN, NOT_RUN = 0, 1, 2
STORE_ANSWER_S = 0.004
MAX_PAGE_ITEMS = 500


def now_ms() -> int:
    """Return a steady time in ms that all processes of this machine share."""
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1_000_000


@dataclass
class Answer:
    """What a client got for one request; ``status`` is 0 if the channel ended without an answer."""

    request_id: str
    sent_ms: int
    status: int = 0
    done_ms: int = 0
    is_complete: bool = False
    seal: str = ""
    body: bytes = b""
    tag: str = ""
    tokens: int = 0
    gateway: str = ""
    error: str = ""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers by lower-case name; None at the channel's end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's store, with linearizable answers and a history that is kept."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.port = 0
        #: Called with the key and the decoded value of each change that a gateway makes.
        self.on_write: Callable[[str, Any], None] = lambda _key, _value: None
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def put(self, key: str, value: Any) -> int:
        """Write a document and return its revision, which is the ack."""
        async with self._changed:
            revision = self._put(key, json.dumps(value).encode())
            self._changed.notify_all()
            return revision

    async def remove(self, key: str) -> None:
        """Remove a key."""
        async with self._changed:
            if key in self.items:
                self._remove(key)
                self._changed.notify_all()

    def value(self, key: str) -> Any:
        """Return the document at a key; None if there is none."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def _put(self, key: str, data: bytes) -> int:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self.history.append(item)
        return self.revision

    def _remove(self, key: str) -> None:
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                parts = urlsplit(target)
                query = {name: rows[0] for name, rows in parse_qs(parts.query).items()}
                await asyncio.sleep(STORE_ANSWER_S)
                status, answer = await self._call(method, parts.path, query, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        writer.close()

    async def _call(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (404, None) if item is None else (200, {**item, "current_rev": self.revision})
        if path == "/api/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:MAX_PAGE_ITEMS]]
            has_more = len(keys) > MAX_PAGE_ITEMS
            return 200, {"items": page, "has_more": has_more, "current_rev": self.revision}
        if path == "/api/kv-watch":
            return await self._watch(query)
        if method == "POST" and path == "/api/kv-txn":
            return await self._transact(json.loads(body))
        return 404, None

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        ends_at_s = time.monotonic() + min(30_000, int(query["wait_ms"])) / 1_000
        async with self._changed:
            while True:
                events = []
                for event in reversed(self.history):
                    if event["revision"] <= after:
                        break
                    if event["key"].startswith(prefix):
                        events.append(event)
                left_s = ends_at_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events[::-1], "current_rev": self.revision}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)

    async def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        async with self._changed:
            for row in body["precondition"]:
                current = self.items.get(row["key"], {"key": row["key"], "revision": 0})
                if current["revision"] != row["revision"]:
                    return 412, {"items": [current]}
            for row in body["writes"]:
                if row["key"].startswith(("op/", "servers/")):
                    return 403, None
            for key in body.get("remove", ()):
                if key in self.items:
                    self._remove(key)
            for row in body["writes"]:
                data = base64.b64decode(row["value"])
                self._put(row["key"], data)
                self.on_write(row["key"], json.loads(data))
            self._changed.notify_all()
            return 200, {"revision": self.revision}


@dataclass
class Replica:
    """One replica: a process, and its entry in the store."""

    name: str
    service: str
    version: str
    slots: int
    options: dict[str, Any] = field(default_factory=dict)
    port: int = 0
    born: int = 0
    state: str = "ready"
    sequence: int = 0
    process: asyncio.subprocess.Process | None = None


@dataclass
class Gateway:
    """One gateway as the deploy file starts it."""

    name: str
    host: str
    front_port: int
    ready_port: int
    settings: Path
    process: asyncio.subprocess.Process | None = None
    #: Readiness checks in a row without a 200.
    misses: int = 0

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def change_setting(self, name: str, value: str) -> None:
        """Change a line of the settings file."""
        lines = self.settings.read_text(encoding="utf-8").splitlines()
        changed = [f"{name}={value}" if line.startswith(f"{name}=") else line for line in lines]
        self.settings.write_text("\n".join(changed) + "\n", encoding="utf-8")


class Site:
    """All processes of one run, and the record of what was sent, answered and run."""

    def __init__(self, case: Path, *, heartbeat_ms: int = 1_200) -> None:
        self.case = case
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        self.answers: list[Answer] = []
        self.notes: list[str] = []
        #: Times and results of the platform's readiness checks.
        self.checks: list[tuple[int, bool]] = []
        self.started_ms = now_ms()
        self._heartbeat_s = heartbeat_ms / 1_000
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task[Any]] = []
        self._random = random.Random(os.getpid())
        self._all_replicas: list[Replica] = []

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f"{(now_ms() - self.started_ms) / 1_000:8.3f} {text}"
        self.notes.append(line)
        print(line, flush=True)

    def background(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run something until the end of the run."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def start_replica(
        self, name: str, service: str, version: str = "v1", *, slots: int, **options: Any
    ) -> Replica:
        """Start a replica and register it."""
        replica = Replica(name, service, version, slots, options)
        port_file = self.folder / f"{name}.port"
        replica.born = time.time_ns() // 1_000_000
        replica.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(REPLICA),
            json.dumps({"name": name, "slots": slots, **options}),
            str(port_file),
            str(self.folder / f"{name}.runs"),
        )
        while not port_file.exists() or not (text := port_file.read_text()):
            await asyncio.sleep(0.01)
        replica.port = int(text)
        self.replicas.append(replica)
        self._all_replicas.append(replica)
        self.background(self._beat(replica))
        return replica

    async def _beat(self, replica: Replica) -> None:
        """Keep the replica's entry in the store, and remove it after three silent intervals."""
        while replica in self.replicas:
            await self._register(replica)
            await asyncio.sleep(self._heartbeat_s)
        await asyncio.sleep(2 * self._heartbeat_s)
        await self.store.remove(f"servers/{replica.name}")

    async def _register(self, replica: Replica) -> None:
        replica.sequence += 1
        await self.store.put(
            f"servers/{replica.name}",
            {
                "service": replica.service,
                "address": f"127.0.0.1:{replica.port}",
                "zone": "a",
                "version": replica.version,
                "slots": replica.slots,
                "state": replica.state,
                "cold_left_ms": 0,
                "sequence": replica.sequence,
                "born": replica.born,
            },
        )

    async def kill_replica(self, replica: Replica) -> None:
        """Kill a replica; its entry goes after three heartbeat intervals."""
        assert replica.process is not None
        replica.process.kill()
        await replica.process.wait()
        self.replicas.remove(replica)
        self.note(f"replica {replica.name} killed")

    async def stop_replica(self, replica: Replica) -> None:
        """Stop a replica and remove its entry at once."""
        await self.kill_replica(replica)
        await self.store.remove(f"servers/{replica.name}")

    async def drain_replica(self, replica: Replica, drain_s: float = 2.0) -> None:
        """Let a replica say that it leaves, go on for the drain time, and end."""
        replica.state = "draining"
        await self._register(replica)
        await asyncio.sleep(drain_s + 0.5)
        await self.stop_replica(replica)

    async def start_gateways(self, count: int, extra_settings: Iterable[str] = ()) -> None:
        """Start gateways with the command of the deploy file, and wait until all are ready."""
        first = 1 + os.getpid() % 60_000
        hosts = [f"127.{77 + n}.{first >> 8 & 0xFF}.{first & 0xFF}" for n in range(count)]
        peer_port, relay_port = _common_ports(hosts, 2)
        for index, host in enumerate(hosts):
            front_port, ready_port = _common_ports([host], 2)
            name = f"edge-a-{index + 1}"
            path = self.folder / f"{name}.conf"
            lines = [
                f"node_name={name}",
                "role=gateway",
                "machine_class=edge",
                "serves=edge,control",
                f"ip={host}",
                "zone=a",
                "region=r",
                "zones.a=r",
                f"listen.frontend={host}:{front_port}",
                f"listen.readiness={host}:{ready_port}",
                f"internal_ports={peer_port},{relay_port}",
                "seeds=" + ",".join(f"{seed}:1" for seed in hosts[:3]),
                "bootstrap=true",
                "limits.cores=1",
                "limits.memory_mb=300",
                "limits.max_fds=4100",
                "limits.link_mbps=1000.0",
                "heartbeat_ms=1200",
                *BOUNDS,
                f"platform.address=127.0.0.1:{self.store.port}",
                "platform.form=kv",
                "platform.writes_per_s=400",
                "platform.reads_per_s=2000",
                "platform.history_s=20",
                "platform.value_bytes=1048576",
                "platform.ttl_min_ms=1000",
                *extra_settings,
            ]
            path.write_text("\n".join(lines) + "\n", encoding="utf-8")
            gateway = Gateway(name, host, front_port, ready_port, path)
            self.gateways.append(gateway)
            await self.start_gateway_process(gateway)
        for _ in range(300):
            ready = [await self.is_ready(gateway) for gateway in self.gateways]
            if all(ready):
                for gateway in self.gateways:
                    self.background(self._check_readiness(gateway))
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("a gateway did not become ready")

    async def start_gateway_process(self, gateway: Gateway) -> None:
        """Start the process of a gateway, as the platform does at its start and after its end."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["AZURETURN_CONFIG"] = str(gateway.settings)
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{gateway.name}.log").open("ab") as log:
            gateway.process = await asyncio.create_subprocess_exec(
                *shlex.split(deploy["roles"]["gateway"]["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def _check_readiness(self, gateway: Gateway) -> None:
        """Ask a gateway once per second whether it is ready."""
        while True:
            started_s = time.monotonic()
            ready = await self.is_ready(gateway)
            gateway.misses = 0 if ready else gateway.misses + 1
            self.checks.append((now_ms(), ready))
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - started_s)))

    def entry(self, generator: random.Random) -> Gateway:
        """Return the gateway that the platform forwards a new channel to.

        After two misses a gateway gets no new channels until it responds with 200 again. If fewer
        than half of them are in rotation, the platform uses all of them.
        """
        rotation = [gateway for gateway in self.gateways if gateway.misses < 2]
        if 2 * len(rotation) < len(self.gateways):
            rotation = self.gateways
        return generator.choice(rotation)

    async def is_ready(self, gateway: Gateway, timeout_s: float = 1.0) -> bool:
        """Ask a gateway whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(gateway.host, gateway.ready_port)
                try:
                    writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")
                    head = await read_head(reader)
                    return head is not None and head[0].split(" ")[1] == "200"
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def request(
        self,
        gateway: Gateway,
        method: str,
        path: str,
        *,
        deadline_ms: int,
        key: str = "",
        headers: Iterable[str] = (),
        body: bytes = b"",
        tag: str = "",
        tokens: int = 0,
        leaves_after_s: float | None = None,
    ) -> Answer:
        """Send one request on a new channel, and wait for its answer until the time limit.

        With ``leaves_after_s``, the client closes its channel after that time.
        """
        request_id = f"{next(self._numbers):06x}{self._random.getrandbits(40):010x}"
        answer = Answer(request_id, now_ms(), tag=tag, tokens=tokens, gateway=gateway.name)
        self.answers.append(answer)
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: site.example",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            *([f"X-Credential: {key}"] if key else []),
            *headers,
            *([f"Content-Length: {len(body)}"] if method != "GET" else []),
        ]
        data = "\r\n".join([*lines, "", ""]).encode() + body
        writer = None
        try:
            async with asyncio.timeout(leaves_after_s or deadline_ms / 1_000):
                reader, writer = await asyncio.open_connection(gateway.host, gateway.front_port)
                writer.write(data)
                await self._read_answer(reader, answer)
        except TimeoutError:
            answer.error = "left" if leaves_after_s else "time limit"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = type(error).__name__
        finally:
            answer.done_ms = now_ms()
            if writer is not None:
                writer.close()
        return answer

    async def _read_answer(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        head = await read_head(reader)
        if head is None:
            answer.error = "closed without an answer"
            return
        answer.status = int(head[0].split(" ")[1])
        answer.seal = head[1].get("x-server-seal", "")
        if head[1].get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            answer.body = await reader.readexactly(int(head[1].get("content-length", "0")))
        answer.is_complete = True

    def runs(self) -> list[dict[str, Any]]:
        """Return what the replicas have recorded, in the order of time."""
        rows: list[dict[str, Any]] = []
        for replica in self._all_replicas:
            path = self.folder / f"{replica.name}.runs"
            if path.exists():
                for line in path.read_text(encoding="utf-8").splitlines():
                    with contextlib.suppress(ValueError):
                        rows.append({**json.loads(line), "replica": replica.name})
        return sorted(rows, key=lambda row: row["at_ms"])

    def write_record(self, verdict: str) -> None:
        """Write what was sent, answered and run to the record of the case."""
        begin = self.started_ms
        rows = [*self.notes, "", "sent: time, request, what, gateway; answered: time, status"]
        for row in sorted(self.answers, key=lambda answer: answer.sent_ms):
            done = "open" if not row.done_ms else f"{(row.done_ms - begin) / 1_000:8.3f}"
            state = f"{row.status} {'complete' if row.is_complete else row.error or 'open'}"
            sent = f"{(row.sent_ms - begin) / 1_000:8.3f} {row.request_id}"
            rows.append(f"{sent} {row.tag} {row.gateway} -> {done} {state}")
        rows += ["", "run: time, replica, request, event"]
        for run in self.runs():
            at_s = (run["at_ms"] - begin) / 1_000
            rows.append(f"{at_s:8.3f} {run['replica']} {run['id']} {run['event']}")
        rows += ["", verdict]
        (self.case / "record.txt").write_text("\n".join(rows) + "\n", encoding="utf-8")

    async def close(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        processes = [row.process for row in (*self.gateways, *self._all_replicas)]
        for process in processes:
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in processes:
            if process is not None:
                await process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


BOUNDS = [
    "bounds.seed_lag_s=3",
    "bounds.reuse_after_s=2",
    "bounds.contact_ms=3000",
    "bounds.ack_ms=4000",
    "bounds.catch_up_s=4",
    "bounds.drain_ms=2000",
    "bounds.grace_s=8",
    "bounds.loss_slack_ms=200",
    "bounds.config_apply_ms=2000",
    "bounds.downgrade_slack_ms=250",
    "bounds.partition_max_ms=5000",
    "bounds.strict_revocation=false",
    "bounds.revoke_ms=5000",
    "bounds.retry_budget_ratio=0.2",
    "bounds.budget_window_s=10",
    "bounds.budget_slack=52",
    "bounds.quota_window_s=8",
    "bounds.quota_overshoot=0.1",
    "bounds.quota_tolerance=140000",
    "bounds.exposure_share=0.1",
    "bounds.exposure_tolerance=50",
    "bounds.rollback_ms=5000",
    "bounds.recover_s=12",
    "bounds.event_delay_ms=120",
    "bounds.reuse_window_s=8.7",
]

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def engine_service(name: str, slots: int, kv_capacity: int = 724795) -> dict[str, Any]:
    """Return the desired state of a service of model replicas."""
    runtime = {"slots": slots, "kv_capacity": kv_capacity, "stride": 7, "models": [{"name": "m"}]}
    return {"name": name, "health_path": "/healthz", "max_conns": 360, "runtime": runtime}


def plain_service(name: str) -> dict[str, Any]:
    """Return the desired state of a plain service."""
    return {"name": name, "health_path": "/healthz", "max_conns": 96}


def route(prefix: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the desired state."""
    row = {
        "name": f"r-{prefix.strip('/')}",
        "host": "site.example",
        "prefix": prefix,
        "type": kind,
        "service": service,
        "attempts": 1,
        "priority": 0,
        "public": False,
    }
    return {**row, **fields}


def most_in_window(
    site: Site, tenant: str, window_s: float, between_ms: tuple[float, float]
) -> tuple[int, int]:
    """Return the most tokens of a tenant that were sent and run in any window, and its end."""
    sent_ms = {answer.request_id: answer.sent_ms for answer in site.answers}
    rows = [
        (row["at_ms"], sum(int(part) for part in row["tokens"].split(",")), sent_ms[row["id"]])
        for row in site.runs()
        if row["event"] == "runs"
        and row["tenant"] == tenant
        and between_ms[0] <= row["at_ms"] < between_ms[1]
    ]
    most, most_at_ms = 0, 0
    for at_ms, _, _ in rows:
        began_ms = at_ms - 1_000 * window_s
        used = sum(
            tokens
            for run_ms, tokens, begun_ms in rows
            if began_ms < run_ms <= at_ms and begun_ms > began_ms
        )
        if used > most:
            most, most_at_ms = used, at_ms
    return most, most_at_ms


def _common_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all these addresses."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


def main(case: Path, run: Callable[[Site, bool], Awaitable[tuple[bool, str]]]) -> None:
    """Run a case; ``run`` returns whether the rule was broken, and a summary."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run_site() -> int:
        site = Site(case)
        code = NOT_RUN
        verdict = "could not run"
        try:
            await site.store.start()
            is_broken, summary = await run(site, trouble)
            code = BROKEN if is_broken else HELD
            verdict = f"{'rule broken' if is_broken else 'rule held'}: {summary}"
        except Exception as error:  # noqa: BLE001
            verdict = f"could not run: {error!r}"
        finally:
            site.note(verdict)
            await site.close()
            site.write_record(verdict)
        return code

    sys.exit(asyncio.run(run_site()))
