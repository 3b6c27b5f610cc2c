"""Outstanding work and prefixes spread by gossip to the tables that placement reads."""

from azureturn.core import PREFIX_BLOCK_TOKENS, PeerWorkTable, PrefixTable, RequestArrived
from azureturn.core.tests.decision_site import request_of
from benchmarks.gossip_simulation import GossipSimulation, GossipVm

PREFIX = ("00000000000000a1", "ffffffffffffff0b")
SPREAD_MS = 3_000


def two_vms() -> GossipSimulation:
    """Return a model of two VMs in one zone that share two upstreams."""
    model = GossipSimulation(2, 1, upstreams=2)
    model.announce_peers()
    model.run(1_000)
    return model


def arrive(model: GossipSimulation, vm: GossipVm, name: str) -> None:
    request = request_of(
        name, rank=0, organisation="small", now_ms=model.now_ms, prefix_digests=PREFIX
    )
    vm.handle(RequestArrived(request), model.now_ms)


def test_work_and_prefixes_reach_the_peer() -> None:
    model = two_vms()
    sender, receiver = model.members["vm-0"], model.members["vm-1"]
    arrive(model, sender, "r1")
    model.run(SPREAD_MS)
    rows = list(receiver.core.board.table(PeerWorkTable).rows())
    assert [(row.vm, row.requests) for row in rows] == [("vm-0", 1)]
    record = receiver.core.board.table(PrefixTable).of(rows[0].upstream)
    assert record.cached_tokens(PREFIX) == len(PREFIX) * PREFIX_BLOCK_TOKENS


def test_unchanged_work_is_retained() -> None:
    model = two_vms()
    arrive(model, model.members["vm-0"], "r1")
    model.run(30_000)
    rows = list(model.members["vm-1"].core.board.table(PeerWorkTable).rows())
    assert [(row.vm, row.requests) for row in rows] == [("vm-0", 1)]
