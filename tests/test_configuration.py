"""An accepted configuration is in force everywhere, and a start in an outage finds it."""

import json
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from azureturn.daemon._gossip import CONFIGURATION_KEY
from azureturn.json_files import read_merged
from azureturn.store import KeyValueClient
from standins.site import EXAMPLES, Site

WAIT_LIMIT_S = 30.0
POLL_S = 0.02


@pytest.fixture
def site() -> Iterator[Site]:
    with Site(vms=3, zones=3, engines=1, services=1) as running:
        yield running


def wait_for(condition: Callable[[], bool]) -> None:
    """Return once a condition holds; fail after a generous limit."""
    ends_at_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < ends_at_s, "the condition never held"
        time.sleep(POLL_S)


def log_lines(site: Site, vm: str, event: str) -> list[dict[str, Any]]:
    """Return a daemon's log lines of one event."""
    text = (site.folder / f"{vm}.log").read_text()
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == event]


def in_force(site: Site, vm: str) -> int:
    """Return the highest revision that a daemon has logged."""
    lines = log_lines(site, vm, "configuration_in_force")
    return max((int(line["revision"]) for line in lines), default=0)


def apply(site: Site, expected_revision: int) -> int:
    """Write the site's shared settings to the key-value service and return the revision."""
    overlays = [EXAMPLES / "kuiseb.json", site.folder / "vm-1.json"]
    shared = read_merged(EXAMPLES / "base.json", overlays)["shared"]
    client = KeyValueClient(
        site.processes["key-value"].url, timeout_ms=2_000, key_prefix="azureturn/"
    )
    value = json.dumps(shared).encode()
    return client.compare_and_swap(CONFIGURATION_KEY, value, expected_revision=expected_revision)


def test_an_applied_revision_is_in_force_on_every_vm(site: Site) -> None:
    first = apply(site, 0)
    wait_for(lambda: all(in_force(site, vm) == first for vm in site.vm_names))
    second = apply(site, first)
    wait_for(lambda: all(in_force(site, vm) == second for vm in site.vm_names))
    assert site.call("vm-2", "GET", "/routes/job-status/job-1").status == 200


def test_a_start_in_an_outage_takes_the_revision_of_a_peer(site: Site) -> None:
    revision = apply(site, 0)
    wait_for(lambda: all(in_force(site, vm) == revision for vm in site.vm_names))
    site.processes["vm-3"].kill()
    (site.folder / "vm-3.log").write_text("")
    site.control("key-value", outage=True)
    site.processes["vm-3"].start()
    site.processes["vm-3"].wait_until_listening()
    lines = log_lines(site, "vm-3", "configuration_in_force")
    assert [(line["revision"], line["source"]) for line in lines] == [(revision, "peer")]
    assert site.call("vm-3", "GET", "/routes/job-status/job-1").status == 200


def test_a_start_without_service_and_peers_is_told_and_serves() -> None:
    settings = {"start_wait_ms": 200}
    switches = {"key-value": {"outage": True}, "vm-list": {"outage": True}}
    with Site(vms=1, engines=1, services=1, daemon_settings=settings, switches=switches) as site:
        assert log_lines(site, "vm-1", "configuration_unknown_at_start")
        assert site.call("vm-1", "GET", "/routes/job-status/job-1").status == 200


def test_a_revision_spreads_by_peers_where_the_service_is_down(site: Site) -> None:
    """One VM learns the revision at its start; the service then goes, the others hear of it."""
    wait_for(lambda: all(log_lines(site, vm, "daemon_started") for vm in site.vm_names))
    for vm in ("vm-2", "vm-3"):
        site.processes[vm].kill()
    revision = apply(site, 0)
    wait_for(lambda: in_force(site, "vm-1") == revision)
    site.control("key-value", outage=True)
    for vm in ("vm-2", "vm-3"):
        site.processes[vm].start()
        site.processes[vm].wait_until_listening()
    wait_for(lambda: in_force(site, "vm-2") == revision and in_force(site, "vm-3") == revision)
