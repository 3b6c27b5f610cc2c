"""End-to-end tests of version moves: completed, taken back, started twice, mover killed.

A move shifts a model's requests from one version to another in stages; it is taken back if the new
version fails, so that all requests return to the old one. The mover is the VM that drives the move.
"""

import json
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from typing import Any

import pytest
from urllib3.exceptions import HTTPError

from standins.site import EXAMPLES, MODEL, Site

CHAT = "/v1/chat/completions"
WAIT_LIMIT_S = 60.0
SHORT_MOVE_TIMES = {"unload_after_ms": 1_000, "order_limit_ms": 2_000, "lease_ms": 1_500}
SHORT_MOVE_OPTIONS = [
    *("--stages", "20,100", "--samples", "15", "--route-samples", "2"),
    *("--stage-s", "0.5", "--deadline-s", "60", "--from-version", "v1"),
]


@pytest.fixture()
def site() -> Iterator[Site]:
    shared = {"policy": {"moves": SHORT_MOVE_TIMES}}
    with Site(vms=3, zones=2, engines=2, services=1, shared_settings=shared) as running_site:
        for name in ("engine-1", "engine-2"):
            running_site.control(name, weight_store_url=running_site.processes["weight-store"].url)
        yield running_site


def run_command(site: Site, *arguments: str) -> subprocess.CompletedProcess[str]:
    files = ["--config", str(EXAMPLES / "base.json"), "--overlay", str(EXAMPLES / "kuiseb.json")]
    files += ["--overlay", str(site.folder / "vm-1.json")]
    return subprocess.run(
        [sys.executable, "-m", "azureturn.command", *arguments, *files],
        capture_output=True,
        text=True,
        timeout=WAIT_LIMIT_S * 2,
        check=False,
    )


def move_record(site: Site) -> dict[str, Any]:
    return dict(json.loads(run_command(site, "move", "show", MODEL, "--json").stdout))


def wait_for(condition: Callable[[], bool]) -> None:
    ends_at_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < ends_at_s, "condition not met within WAIT_LIMIT_S"
        time.sleep(0.2)


def chat(site: Site, vm: str) -> str:
    """Send a request and return the version that answered, or an empty string."""
    body = {"model": MODEL, "messages": [{"role": "user", "content": "wool"}], "max_tokens": 2}
    return site.call(vm, "POST", CHAT, body=body).headers.get("X-Model-Version", "")


@contextmanager
def traffic(site: Site, vms: list[str]) -> Iterator[None]:
    """Send requests to the VMs from two threads each until the end of the block."""
    stop_requested = threading.Event()

    def send(vm: str) -> None:
        while not stop_requested.wait(0.02):
            # A VM that was killed refuses the connection.
            with suppress(HTTPError):
                chat(site, vm)

    with ThreadPoolExecutor(len(vms) * 2) as pool:
        futures = [pool.submit(send, vm) for vm in vms * 2]
        try:
            yield
        finally:
            stop_requested.set()
            for future in futures:
                future.result()


def test_a_healthy_version_completes_its_move_and_the_old_one_is_unloaded(site: Site) -> None:
    with traffic(site, site.vm_names):
        start_result = run_command(
            site, "move", "start", MODEL, "v2", *SHORT_MOVE_OPTIONS, "--baking-s", "2",
            *("--wait", "--wait-s", "60"),
        )  # fmt: skip
        assert start_result.returncode == 0, start_result.stderr + start_result.stdout
        wait_for(lambda: move_record(site)["state"] == "completed")
    assert {chat(site, vm) for vm in site.vm_names} == {"v2"}
    wait_for(lambda: site.read("engine-1", "/versions")["versions"] == ["v2"])
    wait_for(lambda: bool(move_record(site)["settled"]))


def test_a_failing_version_is_taken_back_and_gets_no_more_requests(site: Site) -> None:
    for name in ("engine-1", "engine-2"):
        site.control(name, bad_versions={"v2": 0.8})
    with traffic(site, site.vm_names):
        start_result = run_command(
            site, "move", "start", MODEL, "v2", *SHORT_MOVE_OPTIONS, "--wait", "--wait-s", "60"
        )
    assert start_result.returncode == 1, start_result.stdout
    record = move_record(site)
    assert (record["state"], record["reason"]) == ("taken_back", "failures")
    assert {chat(site, vm) for vm in site.vm_names for _ in range(10)} == {"v1"}
    list_result = run_command(site, "move", "list")
    assert "taken_back" in list_result.stdout


def test_of_two_operators_that_start_the_same_move_one_gets_a_conflict(site: Site) -> None:
    with ThreadPoolExecutor(2) as pool:
        results = list(
            pool.map(
                lambda _: run_command(site, "move", "start", MODEL, "v2", *SHORT_MOVE_OPTIONS),
                range(2),
            )
        )
    assert sorted(result.returncode for result in results) == [0, 3]
    conflict_result = next(result for result in results if result.returncode == 3)
    assert conflict_result.stderr.count("\n") == 1
    assert "nothing was changed" in conflict_result.stderr


def test_after_the_mover_is_killed_another_takes_over_with_a_higher_fence(site: Site) -> None:
    site.control("engine-2", checks_fence=False)
    with traffic(site, site.vm_names):
        run_command(site, "move", "start", MODEL, "v2", *SHORT_MOVE_OPTIONS, "--stage-s", "8")
        wait_for(lambda: move_record(site)["holder_vm"] != "")
        first_record = move_record(site)
        site.processes[first_record["holder_vm"]].kill()
        survivors = [name for name in site.vm_names if name != first_record["holder_vm"]]
        wait_for(lambda: move_record(site)["holder_vm"] in survivors)
        assert move_record(site)["fence"] > first_record["fence"]
        wait_for(lambda: move_record(site)["state"] in ("baking", "completed"))
    abort_result = run_command(site, "move", "abort", MODEL)
    assert abort_result.returncode == 0, abort_result.stderr
    wait_for(lambda: {chat(site, vm) for vm in survivors} == {"v1"})


def test_no_traffic_share_grows_in_an_outage_at_the_deadline(site: Site) -> None:
    """Without the key-value service the share stays; the move is taken back once it recovers."""
    options = [*SHORT_MOVE_OPTIONS, "--deadline-s", "8", "--samples", "1000000"]
    run_command(site, "move", "start", MODEL, "v2", *options)
    wait_for(lambda: move_record(site)["holder_vm"] != "")
    site.control("key-value", outage=True)
    time.sleep(8)
    assert {chat(site, vm) for vm in site.vm_names for _ in range(10)} <= {"v1", "v2"}
    site.control("key-value", outage=False)
    wait_for(lambda: move_record(site)["state"] == "taken_back")
