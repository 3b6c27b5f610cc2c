"""Calls to the store by many VMs, and the time until each VM knows of a change.

Guards against calls that grow with the number of VMs, and against a VM that relies on watchers
which crashed, are frozen, slow, behind or cut off.
"""

from collections.abc import Callable
from dataclasses import replace

import pytest

from azureturn.gateway.daemon._report_codec import report_from_wire, report_to_wire
from azureturn.gateway.daemon.tests.simulated_store_site import SimulatedSite, SimulatedVm
from azureturn.gateway.decisions import SendReport, StoreCallTable, StoreState, ViewTable
from azureturn.gateway.decisions.tests.gateway_core_harness import BOUNDS, peer_report
from azureturn.peers import GatewayReport, decode_struct, encode_struct

_APPLY_MS = BOUNDS.shortest_apply_ms
_SETTLED_MS = 4_000
_CHANGED = "servers/u-0"


def _watchers(site: SimulatedSite) -> list[SimulatedVm]:
    return [vm for vm in site.vms if vm.watcher._follower_call() is None]


def _change(site: SimulatedSite, *, removes: bool = False) -> int:
    for vm in site.vms:
        vm.knew_at_ms = None
    if removes:
        site.store.remove(_CHANGED)
    else:
        site.store.put(_CHANGED, leaving=True, sequence=1)
    return site.now_ms


def _longest_ms(site: SimulatedSite, changed_at_ms: int, vms: list[SimulatedVm]) -> float:
    """Return the time until all of these VMs knew of the change."""
    site.run_until(changed_at_ms + 2 * _APPLY_MS)
    return max(vm.knew_at_ms or float("inf") for vm in vms) - changed_at_ms


@pytest.mark.parametrize(("vm_count", "observed_ms"), [(24, 8_000), (73, 4_000), (195, 2_000)])
def test_calls_fall_to_a_third_and_changes_arrive_in_time(
    vm_count: int, observed_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = SimulatedSite(vm_count, monkeypatch)
    site.run_for(_SETTLED_MS)
    calls = site.store.calls
    changed_at_ms = _change(site)
    site.run_for(observed_ms)
    # Before, each VM made a call per delay and answer.
    calls_before = vm_count * observed_ms / (min(400, 5 * vm_count) + site.store.latency_ms)
    assert site.store.calls - calls <= calls_before / 3
    assert max(vm.knew_at_ms or float("inf") for vm in site.vms) - changed_at_ms <= 0.5 * _APPLY_MS
    assert site.whole_views == 0


def _crash(site: SimulatedSite) -> None:
    for vm in _watchers(site):
        vm.is_up = False


def _freeze(site: SimulatedSite) -> None:
    for vm in _watchers(site):
        vm.frozen_until_ms = site.now_ms + 5_000


def _lose_store(site: SimulatedSite) -> None:
    site.store.lost_by |= {vm.name for vm in _watchers(site)}


def _reject_some(site: SimulatedSite) -> None:
    site.store.rejects |= {vm.name for vm in site.vms[::2]}


def _cut_off_followers(site: SimulatedSite) -> None:
    """Every zone hears only itself, and its watchers crash."""
    site.cut_zones |= {frozenset(pair) for pair in ("ab", "ac", "ad", "bc", "bd", "cd")}
    _crash(site)


def _slow_store(site: SimulatedSite) -> None:
    site.store.latency_ms = 500


_FAILURES: dict[str, Callable[[SimulatedSite], object]] = {
    "none": lambda site: None,
    "watchers crash": _crash,
    "watchers freeze": _freeze,
    "watchers lose the store": _lose_store,
    "store rejects some": _reject_some,
    "followers are cut off": _cut_off_followers,
    "store is slow": _slow_store,
    "history is lost": lambda site: site.store.lose_history(),
}


@pytest.mark.parametrize("removes", [False, True], ids=["written", "removed"])
@pytest.mark.parametrize("failure", _FAILURES)
@pytest.mark.parametrize("lead_ms", [0, 700])
def test_every_vm_in_contact_knows_of_a_change_in_time(
    failure: str, removes: bool, lead_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The failure comes together with the change, or before it."""
    site = SimulatedSite(24, monkeypatch)
    site.run_for(_SETTLED_MS)
    _FAILURES[failure](site)
    site.run_for(lead_ms)
    changed_at_ms = _change(site, removes=removes)
    cut_off = site.store.lost_by | site.store.rejects
    vms = [vm for vm in site.vms if vm.is_up and vm.frozen_until_ms <= site.now_ms]
    vms = [vm for vm in vms if vm.name not in cut_off]
    assert _longest_ms(site, changed_at_ms, vms) <= _APPLY_MS - 200


def test_a_vm_that_was_frozen_does_not_trust_reports_that_waited_for_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    site = SimulatedSite(24, monkeypatch)
    site.run_for(_SETTLED_MS)
    watchers = _watchers(site)
    frozen = [vm for vm in site.vms if vm not in watchers]
    for vm in frozen:
        vm.frozen_until_ms = site.now_ms + 3_000
    site.run_for(2_000)
    # All that the frozen VMs find when they go on is from before the change.
    for vm in watchers:
        vm.is_up = False
    changed_at_ms = _change(site)
    site.run_for(1_000)
    for vm in frozen:
        assert (vm.core.board.table(StoreCallTable).known_at_ms or 0) < changed_at_ms
    assert _longest_ms(site, changed_at_ms, frozen) <= 1_000 + _APPLY_MS / 2


def test_a_vm_that_lost_the_store_and_all_watchers_notices(monkeypatch: pytest.MonkeyPatch) -> None:
    site = SimulatedSite(24, monkeypatch)
    site.run_for(_SETTLED_MS)
    _cut_off_followers(site)
    site.store.lost_by |= {vm.name for vm in site.vms}
    site.run_for(BOUNDS.contact_ms)
    assert all(vm.watcher._failures for vm in site.vms if vm.is_up)


def test_upstreams_whose_entries_expired_in_an_outage_stay_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A VM that rarely calls must notice an outage in which entries expire."""
    site = SimulatedSite(24, monkeypatch)
    site.run_for(_SETTLED_MS)
    site.store.lost_by |= {vm.name for vm in site.vms}
    site.run_for(3_000)
    for key in [key for key in site.store.items if key.startswith("servers/")]:
        site.store.remove(key)
    site.store.lost_by.clear()
    for _ in range(30):
        site.run_for(100)
        for vm in site.vms:
            assert vm.core.board.table(ViewTable).serving_upstreams("models", site.now_ms)
        if site.now_ms % 1_200 < 100:
            for number in range(30):
                site.store.put(f"servers/u-{number}", leaving=False, sequence=1)


def test_a_restored_store_is_read_by_every_vm(monkeypatch: pytest.MonkeyPatch) -> None:
    site = SimulatedSite(24, monkeypatch)
    site.run_for(_SETTLED_MS)
    copy, revision = dict(site.store.items), site.store.revision
    site.run_for(1_000)
    _change(site)
    site.run_for(1_000)
    site.store.restore(copy, revision)
    site.run_for(_APPLY_MS)
    assert {vm.holder.view.era for vm in site.vms} == {2}
    assert not any(vm.holder.view.upstreams["u-0"].is_leaving for vm in site.vms)
    assert site.whole_views == 0


def test_old_builds_run_beside_new_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    site = SimulatedSite(24, monkeypatch)
    old_vms = site.vms[:12]
    send = site.send

    def send_as_old(vm: SimulatedVm, action: SendReport) -> None:
        if vm in old_vms:
            action = replace(action, report=replace(action.report, store=None))
        send(vm, action)

    monkeypatch.setattr(site, "send", send_as_old)
    for vm in old_vms:
        vm.watcher._follower_call = lambda: None
    site.run_for(_SETTLED_MS)
    whole_views = site.whole_views
    changed_at_ms = _change(site)
    assert _longest_ms(site, changed_at_ms, site.vms) <= _APPLY_MS - 200
    assert site.whole_views == whole_views


def test_the_allotment_record_is_not_passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is written every second, and has some 30 kB on a large site."""
    site = SimulatedSite(24, monkeypatch)
    site.run_for(_SETTLED_MS)
    watcher = _watchers(site)[0]
    base_revision = watcher.holder.view.revision
    site.run_for(1_500)
    view = watcher.holder.view
    assert view.allotment_record_revision > base_revision
    difference = view.changes_since(base_revision)
    assert difference is not None and not difference.written


@pytest.mark.parametrize("state", [StoreState(7, -9), StoreState(7, 2**62, 40, 9_000)])
def test_what_a_vm_knows_of_the_store_round_trips_through_the_codec(state: StoreState) -> None:
    report = peer_report("vm-2", store=state)
    data = encode_struct(report_to_wire(report))
    assert report_from_wire(decode_struct(GatewayReport, data)) == report
