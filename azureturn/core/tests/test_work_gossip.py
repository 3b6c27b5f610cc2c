"""Gossip of outstanding work and prompt prefixes to the tables that placement reads."""

from azureturn.core import PREFIX_BLOCK_TOKENS, PeerWorkTable, PrefixTable, RequestArrived
from azureturn.core.tests.decision_helpers import make_request
from benchmarks.gossip_simulation import GossipSimulation, GossipVm

PREFIX = ("00000000000000a1", "ffffffffffffff0b")
SPREAD_MS = 3_000


def two_vms() -> GossipSimulation:
    """Return a simulation of two VMs in one zone that share two upstreams."""
    simulation = GossipSimulation(2, 1, upstreams=2)
    simulation.announce_peers()
    simulation.run(1_000)
    return simulation


def arrive(simulation: GossipSimulation, vm: GossipVm, request_id: str) -> None:
    request = make_request(
        request_id, rank=0, organisation="small", now_ms=simulation.now_ms, prefix_digests=PREFIX
    )
    vm.handle(RequestArrived(request), simulation.now_ms)


def test_work_and_prefixes_reach_the_peer() -> None:
    simulation = two_vms()
    sender, receiver = simulation.members["vm-0"], simulation.members["vm-1"]
    arrive(simulation, sender, "r1")
    simulation.run(SPREAD_MS)
    rows = list(receiver.core.board.table(PeerWorkTable).rows())
    assert [(row.vm, row.requests) for row in rows] == [("vm-0", 1)]
    prefixes = receiver.core.board.table(PrefixTable).of(rows[0].upstream)
    assert prefixes.cached_tokens(PREFIX) == len(PREFIX) * PREFIX_BLOCK_TOKENS


def test_unchanged_work_of_a_peer_is_retained() -> None:
    simulation = two_vms()
    arrive(simulation, simulation.members["vm-0"], "r1")
    simulation.run(30_000)
    rows = list(simulation.members["vm-1"].core.board.table(PeerWorkTable).rows())
    assert [(row.vm, row.requests) for row in rows] == [("vm-0", 1)]
