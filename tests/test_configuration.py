"""Applied configurations reach every VM, even a VM that starts during a key-value outage."""

import json
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from azureturn.daemon._peer_exchange import CONFIGURATION_KEY
from azureturn.json_files import read_merged
from azureturn.store import KeyValueClient
from standins.site import EXAMPLES, Site

WAIT_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.02


@pytest.fixture
def site() -> Iterator[Site]:
    with Site(vms=3, zones=3, engines=1, services=1) as running_site:
        yield running_site


def wait_for(condition: Callable[[], bool]) -> None:
    """Return once the condition holds; fail after ``WAIT_LIMIT_S``."""
    ends_at_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < ends_at_s, "condition not met within WAIT_LIMIT_S"
        time.sleep(POLL_INTERVAL_S)


def log_lines(site: Site, vm: str, event: str) -> list[dict[str, Any]]:
    """Return a daemon's log lines of one event."""
    text = (site.folder / f"{vm}.log").read_text()
    lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == event]


def highest_logged_revision(site: Site, vm: str) -> int:
    """Return the highest configuration revision that a daemon has logged as in force, or 0."""
    lines = log_lines(site, vm, "configuration_in_force")
    return max((int(line["revision"]) for line in lines), default=0)


def apply_settings(site: Site, expected_revision: int) -> int:
    """Write the site's shared settings to the key-value service and return the revision."""
    overlays = [EXAMPLES / "kuiseb.json", site.folder / "vm-1.json"]
    shared = read_merged(EXAMPLES / "base.json", overlays)["shared"]
    client = KeyValueClient(
        site.processes["key-value"].url, timeout_ms=2_000, key_prefix="azureturn/"
    )
    value = json.dumps(shared).encode()
    return client.compare_and_swap(CONFIGURATION_KEY, value, expected_revision=expected_revision)


def test_an_applied_revision_is_in_force_on_every_vm(site: Site) -> None:
    first = apply_settings(site, 0)
    wait_for(lambda: all(highest_logged_revision(site, vm) == first for vm in site.vm_names))
    second = apply_settings(site, first)
    wait_for(lambda: all(highest_logged_revision(site, vm) == second for vm in site.vm_names))
    assert site.call("vm-2", "GET", "/routes/job-status/job-1").status == 200


def test_a_daemon_started_in_an_outage_gets_the_revision_from_a_peer(site: Site) -> None:
    revision = apply_settings(site, 0)
    wait_for(lambda: all(highest_logged_revision(site, vm) == revision for vm in site.vm_names))
    site.processes["vm-3"].kill()
    (site.folder / "vm-3.log").write_text("")
    site.control("key-value", outage=True)
    site.processes["vm-3"].start()
    site.processes["vm-3"].wait_until_listening()
    lines = log_lines(site, "vm-3", "configuration_in_force")
    assert [(line["revision"], line["source"]) for line in lines] == [(revision, "peer")]
    assert site.call("vm-3", "GET", "/routes/job-status/job-1").status == 200


def test_a_daemon_started_without_key_value_service_and_peers_logs_it_and_serves() -> None:
    settings = {"start_wait_ms": 200}
    switches = {"key-value": {"outage": True}, "vm-list": {"outage": True}}
    with Site(vms=1, engines=1, services=1, daemon_settings=settings, switches=switches) as site:
        assert log_lines(site, "vm-1", "configuration_unknown_at_start")
        assert site.call("vm-1", "GET", "/routes/job-status/job-1").status == 200


def test_a_revision_spreads_through_peers_during_an_outage(site: Site) -> None:
    """VMs restarted after the key-value service fails get the revision from a peer."""
    wait_for(lambda: all(log_lines(site, vm, "daemon_started") for vm in site.vm_names))
    for vm in ("vm-2", "vm-3"):
        site.processes[vm].kill()
    revision = apply_settings(site, 0)
    wait_for(lambda: highest_logged_revision(site, "vm-1") == revision)
    site.control("key-value", outage=True)
    for vm in ("vm-2", "vm-3"):
        site.processes[vm].start()
        site.processes[vm].wait_until_listening()
    wait_for(
        lambda: highest_logged_revision(site, "vm-2") == revision
        and highest_logged_revision(site, "vm-3") == revision
    )
