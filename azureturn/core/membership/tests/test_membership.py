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

#: Requirement: a leaving upstream receives no new requests after a few seconds.
LEAVING_BOUND_MS = 3_000
#: Requirement: a VM uses at most 8 KB per second for control traffic.
CONTROL_BYTES_PER_S = 8_000


def vms_marking_leaving(simulation: GossipSimulation, upstream: str) -> set[str]:
    """Return the VMs that mark an upstream as leaving and so send it no new requests."""
    return {
        vm.name
        for vm in simulation.members.values()
        if (row := vm.core.board.table(UpstreamTable).get(upstream)) is not None and row.leaving
    }


def report_leaving(simulation: GossipSimulation, vm: str, *, leaving: bool) -> None:
    """Report to one VM that an upstream is leaving or has returned."""
    member = simulation.members[vm]
    simulation.perform(
        member, member.handle(UpstreamLeaving("engine-1", leaving), simulation.now_ms)
    )


#: Number of VMs, number of zones and share of lost heartbeats, by deployment.
DEPLOYMENTS = {
    "burdekin": (6, 3, 0.0),
    "kuiseb": (8, 4, 0.0),
    "kuiseb with loss": (8, 4, 0.3),
    "one large zone": (32, 1, 0.1),
}


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("seed", range(3))
def test_leaving_upstream_reaches_all_vms_within_the_bound(deployment: str, seed: int) -> None:
    vm_count, zone_count, loss = DEPLOYMENTS[deployment]
    simulation = GossipSimulation(vm_count, zone_count, seed=seed, loss_share=loss)
    simulation.announce_peers()
    simulation.run(5_000)
    report_leaving(simulation, "vm-0", leaving=True)
    simulation.run(LEAVING_BOUND_MS)
    assert vms_marking_leaving(simulation, "engine-1") == set(simulation.members)


def test_returned_upstream_is_unmarked_on_all_vms() -> None:
    simulation = GossipSimulation(8, 4)
    simulation.announce_peers()
    simulation.run(3_000)
    report_leaving(simulation, "vm-0", leaving=True)
    simulation.run(LEAVING_BOUND_MS)
    report_leaving(simulation, "vm-0", leaving=False)
    simulation.run(LEAVING_BOUND_MS)
    assert vms_marking_leaving(simulation, "engine-1") == set()


def test_partitioned_zone_catches_up_after_the_partition() -> None:
    simulation = GossipSimulation(8, 4)
    simulation.announce_peers()
    simulation.run(3_000)
    simulation.partitioned_zones = {"zone-1"}
    simulation.run(2_000)
    report_leaving(simulation, "vm-0", leaving=True)
    simulation.run(LEAVING_BOUND_MS)
    assert vms_marking_leaving(simulation, "engine-1") == {
        "vm-0",
        "vm-2",
        "vm-3",
        "vm-4",
        "vm-6",
        "vm-7",
    }
    simulation.partitioned_zones = set()
    # Failed calls to a peer are retried after at most 8 s.
    simulation.run(8_000 + LEAVING_BOUND_MS)
    assert vms_marking_leaving(simulation, "engine-1") == set(simulation.members)


def test_restarted_vm_receives_all_rows_again() -> None:
    simulation = GossipSimulation(8, 4)
    simulation.announce_peers()
    simulation.run(3_000)
    report_leaving(simulation, "vm-0", leaving=True)
    simulation.run(LEAVING_BOUND_MS)
    simulation.start("vm-3", "zone-3", incarnation=2)
    simulation.announce_peers()
    simulation.run(LEAVING_BOUND_MS)
    assert "vm-3" in vms_marking_leaving(simulation, "engine-1")


def test_rows_of_a_dead_vm_expire() -> None:
    simulation = GossipSimulation(4, 1)
    simulation.announce_peers()
    simulation.run(3_000)
    report_leaving(simulation, "vm-0", leaving=True)
    simulation.run(LEAVING_BOUND_MS)
    failed_vm = simulation.members["vm-0"]
    failed_vm.core.handle = lambda event, now_ms: ()  # type: ignore[method-assign]
    simulation.run(15_000)
    assert vms_marking_leaving(simulation, "engine-1") == {"vm-0"}


@pytest.mark.parametrize("vm_count", [8, 32])
def test_heartbeats_stay_within_the_byte_budget(vm_count: int) -> None:
    simulation = GossipSimulation(vm_count, 1, upstreams=200, seed=2)
    simulation.announce_peers()
    for name, vm in simulation.members.items():
        local_identity = vm.core.board.table(PeerTable).local_identity
        assert local_identity is not None
        gossip = vm.core.board.table(GossipTable)
        for number in range(200):
            gossip.change_own(
                local_identity, Topic.UPSTREAM_WORK, f"engine-{number}", (number, 1), 0
            )
        assert RowKey(name, Topic.UPSTREAM_WORK, "engine-0") in gossip
    duration_s = 30
    simulation.run(duration_s * 1_000)
    for vm in simulation.members.values():
        # Unused budget and overdraft together add at most the budget of one second.
        assert vm.sent_bytes + vm.received_bytes <= CONTROL_BYTES_PER_S * (duration_s + 1)


@pytest.mark.parametrize("vm_count", [8, 64])
def test_peer_calls_per_vm_do_not_grow_with_the_fleet(vm_count: int) -> None:
    simulation = GossipSimulation(vm_count, 4)
    simulation.announce_peers()
    simulation.run(10_000)
    rounds = 10_000 // 500
    assert all(vm.exchanges_started <= 3 * (rounds + 1) for vm in simulation.members.values())


def test_newer_configuration_revision_of_a_peer_is_requested() -> None:
    simulation = GossipSimulation(8, 4)
    simulation.announce_peers()
    core = simulation.members["vm-0"].core
    shared = core.board.table(ConfigurationTable).get_active().shared
    core.handle(ConfigurationReceived(Configuration(7, shared)), simulation.now_ms)
    simulation.run(5_000)
    other_members = [vm for name, vm in simulation.members.items() if name != "vm-0"]
    assert any(vm.requested_revision == 7 for vm in other_members)
