"""The active configuration never reverts, in whatever order revisions arrive."""

from hypothesis import given
from hypothesis import strategies as st

from azureturn.core import Configuration, ConfigurationReceived, ConfigurationTable
from benchmarks.gossip_simulation import GossipSimulation


@given(st.lists(st.integers(min_value=0, max_value=20), min_size=1))
def test_the_active_revision_only_increases(revisions: list[int]) -> None:
    core = GossipSimulation(1, 1).members["vm-0"].core
    table = core.board.table(ConfigurationTable)
    shared = table.get_active().shared
    highest = 0
    for revision in revisions:
        core.handle(ConfigurationReceived(Configuration(revision, shared)), 0)
        highest = max(highest, revision)
        assert table.get_active().revision == highest
