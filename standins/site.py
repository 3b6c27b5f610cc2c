"""Starts a site of processes on loopback: stand-ins, and daemons in several zones."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from standins._server import LOOPBACK

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
START_LIMIT_S = 20.0
STOP_LIMIT_S = 15.0
_POLL_INTERVAL_S = 0.02
_FIRST_PORT = 10_000
_PORT_RANGES = 180
_PORTS_IN_RANGE = 120
#: More than one test process has in use at the same time, and few beside its descriptors.
_MAX_RESERVATIONS = 100

ORGANISATION = "call-centre"
TOKEN = "kuiseb-call-centre-token"
MODEL = "fibre-large"


def _candidate_ports() -> Iterator[int]:
    """Yield ports below the kernel's ephemeral range, beginning at one chosen by the process id."""
    first = os.getpid() % _PORT_RANGES * _PORTS_IN_RANGE
    offset = time.monotonic_ns() % _PORTS_IN_RANGE
    for number in itertools.count():
        yield _FIRST_PORT + (first + offset + number) % (_PORT_RANGES * _PORTS_IN_RANGE)


_CANDIDATE_PORTS = _candidate_ports()
#: Sockets that keep ports which were handed out from other processes. A process of this site can
#: bind such a port, as both sockets allow its reuse and this one does not listen.
_RESERVATIONS: deque[socket.socket] = deque(maxlen=_MAX_RESERVATIONS)


def free_port() -> int:
    """Return an unused port of the loopback address; no other caller gets it for a while."""
    for port in _CANDIDATE_PORTS:
        reservation = socket.socket()
        try:
            # Without reuse, which another reservation would allow.
            reservation.bind((LOOPBACK, port))
        except OSError:
            reservation.close()
            continue
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _RESERVATIONS.append(reservation)
        return port
    raise AssertionError("unreachable: the iterator of ports is infinite")


def link_name(vm: str, target: str) -> str:
    """Return the name of the link between a VM and a stand-in that the VM calls."""
    return f"link-{vm}-{target}"


@dataclass
class Process:
    """One process of the site."""

    name: str
    arguments: list[str]
    port: int
    log_path: Path
    handle: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Return the base URL of the process."""
        return f"http://{LOOPBACK}:{self.port}"

    def start(self) -> None:
        """Start the process, or start it again after it has exited."""
        with self.log_path.open("ab") as log:
            self.handle = subprocess.Popen(
                [sys.executable, *self.arguments], stdout=log, stderr=log, start_new_session=True
            )

    def wait_until_listening(self) -> None:
        """Wait until the port accepts connections; raise RuntimeError if it does not."""
        ends_at_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < ends_at_s:
            assert self.handle is not None
            if self.handle.poll() is not None:
                break
            with socket.socket() as probe:
                if probe.connect_ex((LOOPBACK, self.port)) == 0:
                    return
            time.sleep(_POLL_INTERVAL_S)
        raise RuntimeError(f"{self.name} did not start: {self.log_path.read_text()[-2_000:]}")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.handle is not None and self.handle.poll() is None:
            self.handle.send_signal(number)

    def stop(self) -> int:
        """Terminate the process, kill it after ``STOP_LIMIT_S``, and return its exit code."""
        if self.handle is None:
            return 0
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self.handle.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Kill the process and return its exit code."""
        if self.handle is None:
            return 0
        self.handle.kill()
        return self.handle.wait()


@dataclass
class Answer:
    """An HTTP answer as the caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body parsed as JSON."""
        return json.loads(self.body)


@dataclass
class Site:
    """Stand-ins and daemons for the demo and the end-to-end tests."""

    vms: int = 4
    zones: int = 2
    engines: int = 3
    services: int = 2
    #: Changes merged into each daemon's settings.
    daemon_settings: dict[str, Any] = field(default_factory=dict)
    #: Changes merged into each daemon's platform settings.
    platform_settings: dict[str, Any] = field(default_factory=dict)
    #: Changes merged into the shared settings.
    shared_settings: dict[str, Any] = field(default_factory=dict)
    #: Changes merged into the settings of single upstreams, by name of the upstream.
    upstream_settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    #: Pairs of a VM and a stand-in that the VM calls through a link that can fail.
    links: tuple[tuple[str, str], ...] = ()
    #: Changes merged into the settings of every engine.
    engine_settings: dict[str, Any] = field(default_factory=dict)
    #: Initial switches by name of the stand-in.
    switches: dict[str, dict[str, Any]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="azureturn-site-")
        self.folder = Path(self._temporary_folder.name)
        self.processes: dict[str, Process] = {}
        self.http = urllib3.PoolManager(retries=False, maxsize=32)
        self._add_standin("key_value", "key-value")
        self._add_standin("vm_list", "vm-list")
        self._add_standin("weight_store", "weight-store")
        for number in range(1, self.engines + 1):
            self._add_standin("engine", f"engine-{number}")
        for number in range(1, self.services + 1):
            self._add_standin("plain_service", f"bookings-{number}")
        self._link_ports = {pair: free_port() for pair in self.links}
        for vm, target in self.links:
            self._add_link(vm, target)
        for number in range(1, self.vms + 1):
            self._add_daemon(number)

    def __enter__(self) -> "Site":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def vm_names(self) -> list[str]:
        """Return the names of the daemons."""
        return [name for name in self.processes if name.startswith("vm-") and name != "vm-list"]

    @property
    def standin_names(self) -> list[str]:
        """Return the names of the stand-ins."""
        return [name for name in self.processes if name not in self.vm_names]

    @property
    def tool_options(self) -> list[str]:
        """Return the options with which the operators' tool connects to this site."""
        files = [EXAMPLES / "kuiseb.json", self.folder / f"{self.vm_names[0]}.json"]
        overlays = [argument for file in files for argument in ("--overlay", str(file))]
        return ["--config", str(EXAMPLES / "base.json"), *overlays]

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a numbered process."""
        number = int(name.rpartition("-")[2])
        return "zone-" + "abcdefgh"[(number - 1) % self.zones]

    def start(self) -> None:
        """Start all processes and wait until each is listening."""
        try:
            for names in (self.standin_names, self.vm_names):
                for name in names:
                    self.processes[name].start()
                for name in names:
                    self.processes[name].wait_until_listening()
        except RuntimeError:
            self.stop()
            raise

    def stop(self) -> dict[str, int]:
        """Stop all daemons at once, then kill the stand-ins; return the daemons' exit codes."""
        for name in self.vm_names:
            self.processes[name].send_signal(signal.SIGCONT)
            self.processes[name].send_signal(signal.SIGTERM)
        codes = {name: self.processes[name].stop() for name in self.vm_names}
        for name in self.standin_names:
            self.processes[name].kill()
        self._temporary_folder.cleanup()
        return codes

    def call(
        self,
        vm: str,
        method: str,
        path: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
        token: str = TOKEN,
    ) -> Answer:
        """Send a request to a daemon as a caller and return the answer."""
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        request_headers = {"Authorization": f"Bearer {token}", "Content-Type": "application/json"}
        request_headers.update(headers or {})
        response = self.http.request(
            method,
            self.processes[vm].url + path,
            body=data,
            headers=request_headers,
            timeout=timeout_s,
            redirect=False,
        )
        return Answer(response.status, dict(response.headers), response.data)

    def control(self, name: str, **switches: Any) -> None:
        """Set switches of a stand-in."""
        url = self.processes[name].url + "/control"
        response = self.http.request("POST", url, json=switches, timeout=5.0)
        if response.status != 200:
            raise RuntimeError(response.data.decode())

    def read(self, name: str, path: str) -> Any:
        """Return the JSON answer of a stand-in to a GET request."""
        return self.http.request("GET", self.processes[name].url + path, timeout=5.0).json()

    def log_rows(self, vm: str, event: str) -> list[dict[str, Any]]:
        """Return a daemon's parsed log lines of one event."""
        lines = self.processes[vm].log_path.read_text().splitlines()
        rows = [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]
        return [row for row in rows if row["event"] == event]

    def runs(self) -> dict[str, int]:
        """Return the number of runs of each idempotency key over all plain services."""
        return self._sum_over_services("/runs")

    def request_runs(self) -> dict[str, int]:
        """Return the number of runs of each request id over all plain services."""
        return self._sum_over_services("/request-runs")

    def _sum_over_services(self, path: str) -> dict[str, int]:
        total: dict[str, int] = {}
        for name in self.standin_names:
            if name.startswith("bookings-"):
                for key, count in self.read(name, path).items():
                    total[key] = total.get(key, 0) + count
        return total

    def _add_standin(self, kind: str, name: str) -> None:
        port = free_port()
        switches = json.dumps(self.switches.get(name, {}))
        arguments = ["-m", "standins", kind, "--port", str(port), "--name", name]
        arguments += ["--switches", switches]
        self.processes[name] = Process(name, arguments, port, self.folder / f"{name}.log")

    def _add_link(self, vm: str, target: str) -> None:
        name = link_name(vm, target)
        ports = {
            "listen_port": self._link_ports[vm, target],
            "target_port": self.processes[target].port,
        }
        self.switches[name] = {**ports, **self.switches.get(name, {})}
        self._add_standin("link", name)

    def _url_from(self, vm: str, target: str) -> str:
        """Return the URL with which a VM reaches a stand-in, through its link if it has one."""
        port = self._link_ports.get((vm, target), self.processes[target].port)
        return f"http://{LOOPBACK}:{port}"

    def _add_daemon(self, number: int) -> None:
        name = f"vm-{number}"
        port = free_port()
        overlay = self.folder / f"{name}.json"
        overlay.write_text(json.dumps(self._overlay(name, port)))
        arguments = ["-m", "azureturn.daemon", "--config", str(EXAMPLES / "base.json")]
        arguments += ["--overlay", str(EXAMPLES / "kuiseb.json"), "--overlay", str(overlay)]
        self.processes[name] = Process(name, arguments, port, self.folder / f"{name}.log")

    def _overlay(self, name: str, port: int) -> dict[str, Any]:
        daemon = {"balancer_lag_ms": 50, "random_seed": 1, **self.daemon_settings}
        return {
            "vm": {
                "name": name,
                "availability_zone": self.zone_of(name),
                "port": port,
                "peer_port": free_port(),
            },
            "platform": {
                "key_value_url": self._url_from(name, "key-value"),
                "vm_list_url": self._url_from(name, "vm-list"),
                **self.platform_settings,
            },
            "daemon": daemon,
            "shared": {**self.shared_settings, "upstreams": self._upstreams(name)},
        }

    def _upstreams(self, vm: str) -> list[dict[str, Any]]:
        """Return this site's upstreams, and entries that remove the example settings' upstreams."""
        example = json.loads((EXAMPLES / "kuiseb.json").read_text())["shared"]["upstreams"]
        rows = [{"name": row["name"], "$remove": True} for row in example]
        for name in self.standin_names:
            if not name[-1].isdigit():
                continue
            zone = self.zone_of(name)
            url = self._url_from(vm, name)
            row = {"name": name, "availability_zone": zone, "url": url}
            row.update(self.upstream_settings.get(name, {}))
            if name.startswith("engine-"):
                engine = {"kind": "model_engine", "targets": [MODEL], **self.engine_settings}
                rows.append({**row, **engine})
            elif name.startswith("bookings-"):
                rows.append({**row, "kind": "plain_service", "targets": ["bookings"], "slots": 64})
        return rows
