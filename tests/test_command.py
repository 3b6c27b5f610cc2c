"""End-to-end tests of the operators' command line: its changes and its output under failures."""

import json
import os
import re
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from azureturn.command import ExitCode, run
from standins.site import MODEL, Site

ROOT = Path(__file__).parents[1]
CHAT = "/v1/chat/completions"
TIERS = [{"name": "urgent", "rank": 0}]


def wait_until_listed(site: Site) -> None:
    """Wait until the platform's VM list, which lags, shows all VMs."""
    ends_at_s = time.monotonic() + 20.0
    while {vm["name"] for vm in site.read("vm-list", "/vms")["vms"]} != set(site.vm_names):
        assert time.monotonic() < ends_at_s
        time.sleep(0.05)


@pytest.fixture(scope="module")
def site() -> Iterator[Site]:
    with Site(vms=3, zones=3, engines=2, services=1) as running_site:
        wait_until_listed(running_site)
        yield running_site


class Tool:
    """Runs the tool in this process and captures its output."""

    def __init__(self, site: Site, capsys: pytest.CaptureFixture[str]) -> None:
        self._site = site
        self._capsys = capsys
        self.err = ""

    def __call__(self, command: str, *, expect: ExitCode = ExitCode.OK) -> str:
        # The site's overlays precede those in the command, since later overlays take precedence.
        words = command.split()
        code = run([*words[:2], *self._site.tool_options, *words[2:]])
        captured = self._capsys.readouterr()
        self.err = captured.err
        assert code == expect, captured
        return captured.out

    def json(self, command: str, *, expect: ExitCode = ExitCode.OK) -> Any:
        return json.loads(self(f"{command} --json", expect=expect))


@pytest.fixture
def tool(site: Site, capsys: pytest.CaptureFixture[str]) -> Tool:
    return Tool(site, capsys)


def chat(site: Site, vm: str, **headers: str) -> Any:
    body = {"model": MODEL, "messages": [{"role": "user", "content": "wool"}], "max_tokens": 3}
    return site.call(vm, "POST", CHAT, body=body, headers=headers)


def write_overlay(folder: Path, shared: dict[str, Any]) -> str:
    path = folder / "change.json"
    path.write_text(json.dumps({"shared": shared}))
    return f"--overlay {path}"


def test_apply_puts_a_change_in_force_on_every_vm(site: Site, tool: Tool, tmp_path: Path) -> None:
    change = write_overlay(tmp_path, {"objectives": [{"tier": "urgent", "target": 0.97}]})
    apply_output = tool(f"config apply --wait {change}")
    assert "in force on 3 of 3 VMs" in apply_output
    status = tool.json("config status")
    assert {row["revision"] for row in status["vms"]} == {status["service_revision"]}
    shown_settings = tool("config show")
    assert '"target": 0.97' in shown_settings
    assert "-token" not in shown_settings
    assert "nothing to change" in tool(f"config apply {change}")


def test_a_change_based_on_an_old_revision_is_a_conflict(
    site: Site, tool: Tool, tmp_path: Path
) -> None:
    change = write_overlay(tmp_path, {"policy": {"queue_limit": 77}})
    tool(f"config apply {change} --expect-revision 999", expect=ExitCode.CONFLICT)
    assert "config diff" in tool.err


def test_of_concurrent_applies_one_succeeds_and_the_others_get_a_conflict(
    site: Site, tool: Tool, tmp_path: Path
) -> None:
    base = tool.json("config apply")["revision"]
    operators = []
    for limit in (201, 202, 203, 204):
        folder = tmp_path / str(limit)
        folder.mkdir()
        change = write_overlay(folder, {"policy": {"queue_limit": limit}}).split()
        arguments = ["config", "apply", *site.tool_options]
        arguments += ["--expect-revision", str(base), *change]
        operators.append(
            subprocess.Popen(
                [sys.executable, "-m", "azureturn.command", *arguments],
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                text=True,
            )
        )
    results = [(operator.communicate(timeout=60), operator.returncode) for operator in operators]
    codes = sorted(code for _, code in results)
    assert codes == [ExitCode.OK] + [ExitCode.CONFLICT] * 3, results
    assert all("config diff" in err for (_, err), code in results if code == ExitCode.CONFLICT)
    stored_settings = tool.json("config show")["settings"]
    assert stored_settings["change"]["replaces_revision"] == base


@pytest.mark.parametrize("fault", ["lose_write_answers", "delay_writes"])
def test_apply_resolves_a_lost_write_answer(
    site: Site, tool: Tool, tmp_path: Path, fault: str
) -> None:
    limit = 301 if fault == "delay_writes" else 302
    change = write_overlay(tmp_path, {"policy": {"queue_limit": limit}})
    revision_before = tool.json("config status")["service_revision"]
    site.control("key-value", **{fault: 1})
    apply_output = tool.json(f"config apply {change}")
    document = tool.json("config show")
    assert apply_output["revision"] == document["revision"]
    assert document["settings"]["change"]["replaces_revision"] == revision_before
    assert document["settings"]["policy"]["queue_limit"] == limit


def test_a_drained_upstream_gets_no_new_work_until_it_is_returned(site: Site, tool: Tool) -> None:
    assert "0 requests outstanding" in tool("upstream drain engine-1 --wait")
    upstreams = {chat(site, vm).headers["Azureturn-Upstream"] for vm in site.vm_names * 3}
    assert upstreams == {"engine-2"}
    states = {row["upstream"]: row["state"] for row in tool.json("upstream list")["upstreams"]}
    assert (states["engine-1"], states["engine-2"]) == ("draining", "serving")
    tool("config apply")
    assert "draining" in tool("upstream list"), "config apply must not end a drain"
    tool("upstream return engine-1 --wait")
    tool("upstream drain engine-2 --wait")
    upstreams = {chat(site, vm).headers["Azureturn-Upstream"] for vm in site.vm_names * 3}
    assert upstreams == {"engine-1"}
    tool("upstream return engine-2 --wait")


def test_a_command_waits_for_a_slow_key_value_service(site: Site, tool: Tool) -> None:
    """Commands wait longer: on a busy machine, a read took longer than a daemon's 1 s limit."""
    site.control("key-value", slow_ms=1_300)
    try:
        assert "revision" in tool.json("config show")
    finally:
        site.control("key-value", slow_ms=0)


def test_an_unknown_upstream_is_reported_by_name(site: Site, tool: Tool) -> None:
    tool("upstream drain none", expect=ExitCode.NOT_FOUND)
    assert "'none'" in tool.err


def test_refusals_are_listed_with_kind_and_cause(site: Site, tool: Tool) -> None:
    answer = site.call("vm-2", "POST", "/routes/none", body={})
    rows = tool.json("requests refused --kind unknown_route")["refusals"]
    row = next(row for row in rows if row["request_id"] == answer.headers["X-Request-Id"])
    assert (row["vm"], row["run_state"]) == ("vm-2", "not_run")
    assert row["cause"] == "No route has this name."


def test_the_slo_report_sums_over_all_vms(site: Site, tool: Tool) -> None:
    def good_count() -> int:
        objectives = tool.json("slo report")["objectives"]
        return sum(objective["good_count"] for objective in objectives)

    count_before = good_count()
    assert {chat(site, vm).status for vm in site.vm_names} == {200}
    assert good_count() == count_before + 3


def test_a_key_value_outage_is_reported_and_other_commands_still_work(
    site: Site, tool: Tool, tmp_path: Path
) -> None:
    site.control("key-value", outage=True)
    try:
        change = write_overlay(tmp_path, {"policy": {"queue_limit": 400}})
        tool(f"config apply {change}", expect=ExitCode.UNAVAILABLE)
        assert tool.err.count("\n") == 1
        assert tool.json("config status")["service_revision"] is None
        assert len(tool.json("vm list")["vms"]) == 3
        assert tool.json("slo report")["silent"] == []
    finally:
        site.control("key-value", outage=False)


def test_an_operator_with_a_wrong_secret_is_refused(site: Site, tool: Tool, tmp_path: Path) -> None:
    path = tmp_path / "other.json"
    path.write_text('{"daemon": {"peer_secret": "not-the-secret-of-this-site"}}')
    for command in ("vm list", "requests refused", "slo report"):
        tool(f"{command} --overlay {path}", expect=ExitCode.UNAVAILABLE)
        assert "the signature is not valid" in tool.err


def test_without_the_vm_list_the_vms_are_found_through_their_peers(site: Site, tool: Tool) -> None:
    ends_at_s = time.monotonic() + 20.0
    listed_vms: list[str] = []
    # A VM learns of its peers from the list or from their heartbeats within about 1 s.
    while listed_vms != site.vm_names and time.monotonic() < ends_at_s:
        site.control("vm-list", outage=True)
        try:
            listed_vms = [row["vm"] for row in tool.json("vm list")["vms"]]
        finally:
            site.control("vm-list", outage=False)
        # VMs read the list once a second; without a pause between outages none would read it.
        time.sleep(1.2)
    assert listed_vms == site.vm_names


def test_an_unresponsive_vm_is_reported_and_the_others_are_shown(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with Site(vms=2, zones=2, engines=1, services=1) as site:
        wait_until_listed(site)
        tool = Tool(site, capsys)
        site.processes["vm-2"].kill()
        for command in ("vm list", "config status", "slo report", "upstream list"):
            document = tool.json(command, expect=ExitCode.PARTIAL)
            assert [vm["vm"] for vm in document["silent"]] == ["vm-2"]
        tool("config apply --wait --wait-s 1", expect=ExitCode.TIMEOUT)


def test_the_readme_commands_succeed(site: Site, tmp_path: Path) -> None:
    readme = (ROOT / "README.md").read_text(encoding="utf-8")
    blocks = re.findall(r"<!-- run by tests/test_command.py -->\n+```sh\n(.*?)```", readme, re.S)
    assert blocks
    environment = {**os.environ, "SITE": " ".join(site.tool_options)}
    environment["PATH"] = f"{ROOT / 'scripts'}:{environment['PATH']}"
    for block in blocks:
        result = subprocess.run(
            ["bash", "-euo", "pipefail", "-c", block],
            cwd=tmp_path,
            env=environment,
            capture_output=True,
            text=True,
            timeout=120,
        )
        assert result.returncode == 0, result.stdout + result.stderr
