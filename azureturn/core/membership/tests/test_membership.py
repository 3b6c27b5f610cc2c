"""Tests of membership with cores that exchange heartbeats in memory."""

import pytest

from azureturn.core import (
    Configuration,
    ConfigurationReceived,
    ConfigurationTable,
    UpstreamLeaving,
    UpstreamTable,
)
from azureturn.core.membership import GossipTable, PeerTable, RowKey, Topic
from benchmarks.gossip_simulation import GossipSimulation

#: Requirement: a leaving upstream receives no new work after a few seconds.
LEAVING_BOUND_MS = 3_000
#: Requirement: a node uses at most 8 KB per second for control traffic.
CONTROL_BYTES_PER_S = 8_000


def vms_marking_leaving(model: GossipSimulation, upstream: str) -> set[str]:
    """Return the VMs that mark an upstream as leaving and so send it no new work."""
    return {
        vm.name
        for vm in model.members.values()
        if (row := vm.core.board.table(UpstreamTable).get(upstream)) is not None and row.leaving
    }


def report_leaving(model: GossipSimulation, vm: str, *, leaving: bool) -> None:
    """Report to one VM that an upstream is leaving or has returned."""
    member = model.members[vm]
    model.perform(member, member.handle(UpstreamLeaving("engine-1", leaving), model.now_ms))


SITES = {
    "burdekin": (6, 3, 0.0),
    "kuiseb": (8, 4, 0.0),
    "kuiseb with loss": (8, 4, 0.3),
    "one large zone": (32, 1, 0.1),
}


@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("seed", range(3))
def test_leaving_upstream_reaches_all_vms_within_the_bound(site: str, seed: int) -> None:
    vms, zones, loss = SITES[site]
    model = GossipSimulation(vms, zones, seed=seed, loss_share=loss)
    model.announce_peers()
    model.run(5_000)
    report_leaving(model, "vm-0", leaving=True)
    model.run(LEAVING_BOUND_MS)
    assert vms_marking_leaving(model, "engine-1") == set(model.members)


def test_returned_upstream_is_unmarked_on_all_vms() -> None:
    model = GossipSimulation(8, 4)
    model.announce_peers()
    model.run(3_000)
    report_leaving(model, "vm-0", leaving=True)
    model.run(LEAVING_BOUND_MS)
    report_leaving(model, "vm-0", leaving=False)
    model.run(LEAVING_BOUND_MS)
    assert vms_marking_leaving(model, "engine-1") == set()


def test_partitioned_zone_catches_up_after_the_partition() -> None:
    model = GossipSimulation(8, 4)
    model.announce_peers()
    model.run(3_000)
    model.partitioned_zones = {"zone-1"}
    model.run(2_000)
    report_leaving(model, "vm-0", leaving=True)
    model.run(LEAVING_BOUND_MS)
    assert vms_marking_leaving(model, "engine-1") == {
        "vm-0",
        "vm-2",
        "vm-3",
        "vm-4",
        "vm-6",
        "vm-7",
    }
    model.partitioned_zones = set()
    # Failed calls to a peer are retried after at most 8 s.
    model.run(8_000 + LEAVING_BOUND_MS)
    assert vms_marking_leaving(model, "engine-1") == set(model.members)


def test_restarted_vm_receives_all_rows_again() -> None:
    model = GossipSimulation(8, 4)
    model.announce_peers()
    model.run(3_000)
    report_leaving(model, "vm-0", leaving=True)
    model.run(LEAVING_BOUND_MS)
    model.start("vm-3", "zone-3", incarnation=2)
    model.announce_peers()
    model.run(LEAVING_BOUND_MS)
    assert "vm-3" in vms_marking_leaving(model, "engine-1")


def test_rows_of_a_dead_vm_expire() -> None:
    model = GossipSimulation(4, 1)
    model.announce_peers()
    model.run(3_000)
    report_leaving(model, "vm-0", leaving=True)
    model.run(LEAVING_BOUND_MS)
    dead = model.members["vm-0"]
    dead.core.handle = lambda event, now_ms: ()  # type: ignore[method-assign]
    model.run(15_000)
    assert vms_marking_leaving(model, "engine-1") == {"vm-0"}


@pytest.mark.parametrize("vms", [8, 32])
def test_heartbeats_stay_within_the_byte_budget(vms: int) -> None:
    model = GossipSimulation(vms, 1, upstreams=200, seed=2)
    model.announce_peers()
    for name, vm in model.members.items():
        own = vm.core.board.table(PeerTable).own
        assert own is not None
        gossip = vm.core.board.table(GossipTable)
        for number in range(200):
            gossip.change_own(own, Topic.UPSTREAM_WORK, f"engine-{number}", (number, 1), 0)
        assert RowKey(name, Topic.UPSTREAM_WORK, "engine-0") in gossip
    duration_s = 30
    model.run(duration_s * 1_000)
    for vm in model.members.values():
        # One second's worth of budget may be saved up or overdrawn in addition.
        assert vm.sent_bytes + vm.received_bytes <= CONTROL_BYTES_PER_S * (duration_s + 1)


@pytest.mark.parametrize("vms", [8, 64])
def test_peer_calls_per_vm_do_not_grow_with_the_fleet(vms: int) -> None:
    model = GossipSimulation(vms, 4)
    model.announce_peers()
    model.run(10_000)
    rounds = 10_000 // 500
    assert all(vm.exchanges_started <= 3 * (rounds + 1) for vm in model.members.values())


def test_newer_configuration_revision_of_a_peer_is_requested() -> None:
    model = GossipSimulation(8, 4)
    model.announce_peers()
    core = model.members["vm-0"].core
    shared = core.board.table(ConfigurationTable).in_force().shared
    core.handle(ConfigurationReceived(Configuration(7, shared)), model.now_ms)
    model.run(5_000)
    others = [vm for name, vm in model.members.items() if name != "vm-0"]
    assert any(vm.requested_revision == 7 for vm in others)
