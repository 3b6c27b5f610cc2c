"""Stand-ins for the scripts of this review: the platform's store, replicas, and gateway processes.

Everything runs on loopback addresses. Only the standard library is used.
"""

import base64
import json
import os
import shlex
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, TextIO
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: Pause before a process that has ended is started again.
RESTART_DELAY_S = 0.3


class CouldNotRunError(Exception):
    """The case says nothing about the rule."""


def has_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free on all loopback addresses."""
    with socket.socket() as listener:
        listener.bind(("0.0.0.0", 0))
        port: int = listener.getsockname()[1]
        return port


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write a line with the time since the start of the script."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_s:9.3f} s  {text}\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that the other end has reset."""


class Store:
    """The platform's store: linearizable, loses nothing, keeps all history."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = threading.Condition()
        self._server = _Server(("127.0.0.1", 0), _store_handler(self))
        self.port: int = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key: str, document: Any) -> int:
        """Write a document, as operators and replicas do; return its revision."""
        with self._changed:
            return self._put(key, base64.b64encode(json.dumps(document).encode()).decode())

    def remove(self, key: str) -> None:
        """Remove a key."""
        with self._changed:
            self._remove(key)

    def document(self, key: str) -> Any:
        """Return a document; None if there is none."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def call(self, method: str, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        """Handle one call."""
        with self._changed:
            if path == "/api/kv-key":
                item = self.items.get(query["key"])
                found = None if item is None else {**item, "current_rev": self.revision}
                return (404, None) if found is None else (200, found)
            if path == "/api/kv-range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                page = [self.items[key] for key in keys[:500]]
                more = len(keys) > len(page)
                return 200, {"items": page, "has_more": more, "current_rev": self.revision}
            if path == "/api/kv-watch":
                return self._watch(query)
            if method == "POST" and path == "/api/kv-txn":
                return self._transact(body)
        return 404, None

    def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends_at_s = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            self._changed.wait(left_s)

    def _transact(self, body: Any) -> tuple[int, Any]:
        rows = body.get("precondition") or []
        current = [self.items.get(row["key"], {"revision": 0}) for row in rows]
        if any(now["revision"] != row["revision"] for now, row in zip(current, rows, strict=True)):
            return 412, {"items": [item for item in current if "key" in item]}
        keys = [write["key"] for write in body.get("writes") or []] + list(body.get("remove") or [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, None
        for write in body.get("writes") or []:
            self._put(write["key"], write["value"])
        for key in body.get("remove") or []:
            self._remove(key)
        return 200, {"revision": self.revision}

    def _put(self, key: str, value: str) -> int:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": value, "revision": self.revision, "created": created}
        self.items[key] = {**item, "lease": 0}
        self._history.append(self.items[key])
        self._changed.notify_all()
        return self.revision

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._history.append({"key": key, "revision": self.revision, "tombstone": True})
            self._changed.notify_all()


def _store_handler(store: Store) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_GET(self) -> None:  # noqa: N802
            self._respond("GET", None)

        def do_POST(self) -> None:  # noqa: N802
            length = int(self.headers.get("Content-Length", 0))
            self._respond("POST", json.loads(self.rfile.read(length) or b"null"))

        def _respond(self, method: str, body: Any) -> None:
            parts = urlsplit(self.path)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            status, document = store.call(method, parts.path, query, body)
            data = json.dumps(document).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *args: object) -> None:
            """Suppress the log."""

    return Handler


class Replica:
    """A sound replica, whose ``run`` answers each request that it executes.

    It runs ``slots`` requests at once, lets ``queue`` more wait, and rejects those beyond.
    """

    def __init__(
        self,
        name: str,
        service: str,
        run: Callable[[Any, "Replica"], None],
        *,
        version: str = "1",
        slots: int,
        queue: int = 24,
    ) -> None:
        self.name, self.service, self.version, self.run = name, service, version, run
        self.slots = slots
        self._free_slots = threading.Semaphore(slots)
        self._places = threading.Semaphore(slots + queue)
        self.born = int(time.time() * 1_000)
        self._server = _Server(("127.0.0.1", 0), _replica_handler(self))
        self.port: int = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def registration(self, **fields: Any) -> dict[str, Any]:
        """Return the entry by which the replica registers itself."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
            **fields,
        }

    def execute(self, handler: Any) -> bool:
        """Run a request once there is a slot for it; return False if there is no place to wait."""
        if not self._places.acquire(blocking=False):
            return False
        try:
            with self._free_slots:
                if has_left(handler.connection):
                    handler.close_connection = True
                else:
                    self.run(handler, self)
        finally:
            self._places.release()
        return True

    def stop(self) -> None:
        """Take no more connections."""
        self._server.shutdown()
        self._server.server_close()


def has_left(connection: socket.socket) -> bool:
    """Return whether the other end has closed a connection."""
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def _replica_handler(replica: Replica) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        body = b""

        def do_GET(self) -> None:  # noqa: N802
            if self.path in ("/healthz", "/api/report"):
                report = {"phase": "both", "models": [], "busy": False, "sequence": 1}
                report |= {"queued": 0, "active": 0, "kv_in_use": 0, "kv_size": 700_000}
                self.send_plain(200, json.dumps(report).encode(), {"X-Instance-Id": replica.name})
                return
            self._respond()

        def do_POST(self) -> None:  # noqa: N802
            self.body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            self._respond()

        def _respond(self) -> None:
            expected = self.headers.get("X-Expect-Instance")
            if expected not in (None, replica.name):
                self.send_plain(421, b"", {"X-Not-Executed": "1"})
                return
            if not replica.execute(self):
                self.send_plain(503, b"", {"X-Not-Executed": "1"})

        def send_plain(self, status: int, body: bytes, headers: dict[str, str]) -> None:
            """Send a whole answer."""
            self.send_response(status)
            for name, value in headers.items():
                self.send_header(name, value)
            self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args: object) -> None:
            """Suppress the log."""

    return Handler


def run_command() -> list[str]:
    """Return the program and its arguments, as the deploy file names them."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        roles = tomllib.load(file)["roles"]
    return shlex.split(next(iter(roles.values()))["run"])


class Gateway:
    """One gateway process with the command of the deploy file, and its settings file."""

    def __init__(self, number: int, store: Store, folder: Path, ports: dict[str, int]) -> None:
        self.name = f"edge-zone-a-{number}"
        process_id = os.getpid()
        self.host = f"127.{64 + process_id // 16_384 % 64}.{process_id // 64 % 256}."
        self.host += str(process_id % 64 * 4 + number)
        self.port, self.ready_port = ports["frontend"], ports["readiness"]
        self._settings_path = folder / f"{self.name}.conf"
        self._log_path = folder / f"{self.name}.log"
        self.values = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": "edge,control",
            "ip": self.host,
            "zone": "zone-a",
            "region": "region",
            "zones.zone-a": "region",
            "listen.frontend": f"{self.host}:{self.port}",
            "listen.readiness": f"{self.host}:{self.ready_port}",
            "listen.control_plane": f"{self.host}:{ports['control']}",
            "internal_ports": f"{ports['peers']},{ports['relay']}",
            "seeds": f"{self.host}:{ports['control']}",
            "bootstrap": "true",
            "loss_counts": "false",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,"
            "rollout,platform",
            "fault_tolerance.machines": "1",
            "fault_tolerance.zones": "0",
            "fault_tolerance.regions": "0",
            "bounds.seed_lag_s": "3",
            "bounds.reuse_after_s": "2",
            "bounds.contact_ms": "3000",
            "bounds.ack_ms": "4000",
            "bounds.catch_up_s": "4",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.loss_slack_ms": "200",
            "bounds.config_apply_ms": "2000",
            "bounds.downgrade_slack_ms": "250",
            "bounds.partition_max_ms": "5000",
            "bounds.strict_revocation": "false",
            "bounds.revoke_ms": "5000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "56",
            "bounds.quota_window_s": "8",
            "bounds.quota_overshoot": "0.1",
            "bounds.quota_tolerance": "140000",
            "bounds.exposure_share": "0.1",
            "bounds.exposure_tolerance": "50",
            "bounds.rollback_ms": "5000",
            "bounds.recover_s": "12",
            "bounds.event_delay_ms": "120",
            "bounds.reuse_window_s": "10",
            "platform.address": f"127.0.0.1:{store.port}",
            "platform.form": "kv",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
        }
        self._process: subprocess.Popen[bytes] | None = None

    def write_settings(self, **changed: str) -> None:
        """Write the settings file anew, at once as a whole."""
        self.values |= changed
        lines = [f"{name}={value}\n" for name, value in self.values.items()]
        new_path = self._settings_path.with_suffix(".new")
        new_path.write_text("".join(lines), encoding="utf-8")
        new_path.replace(self._settings_path)

    def start(self) -> None:
        """Start the process."""
        self.write_settings()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["AZURETURN_CONFIG"] = str(self._settings_path)
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        """Send the process a signal."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def exit_code(self) -> int | None:
        """Return the exit code; the negative number of a signal that ended it; None if it runs."""
        return None if self._process is None else self._process.poll()

    def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            with socket.create_connection((self.host, self.ready_port), timeout=2) as connection:
                connection.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            with suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    def count_log_lines(self, text: str) -> int:
        """Return how many lines of the log contain a text."""
        return self._log_path.read_text(encoding="utf-8", errors="replace").count(text)


@contextmanager
def site(vm_count: int) -> Iterator[tuple[Store, list[Gateway]]]:
    """Provide a store and gateways that have not been started; end all of them after the block."""
    if not (ROOT / "target" / "deps").is_dir():
        raise CouldNotRunError("the libraries have not been built")
    names = ("frontend", "readiness", "control", "peers", "relay")
    ports = {name: free_port() for name in names}
    store = Store()
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        gateways = [Gateway(n + 1, store, Path(folder), ports) for n in range(vm_count)]
        seeds = ",".join(f"{gateway.host}:{ports['control']}" for gateway in gateways[:3])
        for gateway in gateways:
            gateway.values["seeds"] = seeds
        try:
            yield store, gateways
        finally:
            for gateway in gateways:
                gateway.kill()


def wait_for(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Wait until a condition holds; raises :class:`CouldNotRunError` if it does not in time."""
    ends_at_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at_s:
            raise CouldNotRunError(f"{what} did not happen within {timeout_s:.0f} s")
        time.sleep(0.02)


def configuration(routes: list[dict[str, Any]], services: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a desired state without tenants."""
    return {
        "version": 3,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 32_768,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 10_000,
            "idle_timeout_ms": 15_000,
        },
    }
