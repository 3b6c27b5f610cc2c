"""Individual decisions of admission, placement, straggler exclusion and offers to peers.

A request is offered to a peer before this VM refuses it. Rank 0 is the most urgent tier.
"""

import pytest

from azureturn.core import (
    AnswerOffer,
    AnswerProgressed,
    Core,
    Dispatch,
    ForwardToPeer,
    LoadReport,
    LoadReported,
    OfferToPeers,
    PeerOfferDecided,
    PeerPrefixSent,
    PeerQueueReported,
    PeerStarted,
    PeerWorkReported,
    PrefixTable,
    RequestAnswered,
    RequestArrived,
    RequestOffered,
    UpstreamLeaving,
    UpstreamTable,
)
from azureturn.core.membership import PeerIdentity
from azureturn.core.placement import PLACEMENT_POLICIES
from azureturn.core.tests.decision_helpers import (
    MODEL,
    handle_all,
    make_request,
    make_settings,
    started_core,
)
from azureturn.errors import ErrorKind
from azureturn.framework import Refuse, Tick

#: Enough requests of any tier to use all slots of both engines and to have others queued.
_SATURATING_REQUESTS = 10


@pytest.mark.parametrize("policy", PLACEMENT_POLICIES)
def test_every_placement_policy_dispatches_a_request(policy: str) -> None:
    core = started_core(make_settings(placement=policy))
    arrival = RequestArrived(make_request("one", prefix_digests=("a", "b")))
    assert [type(action) for action in core.handle(arrival, 0)] == [Dispatch]


@pytest.mark.parametrize("late_rank", [0, 1])
def test_the_least_urgent_request_is_shed_first_if_more_urgent_ones_arrive_last(
    late_rank: int,
) -> None:
    core = started_core(make_settings(engines=1, slots=1, queue_limit=1))
    rank_2_arrivals = [RequestArrived(make_request(f"low-{n}", rank=2)) for n in range(3)]
    handle_all(core, rank_2_arrivals, 0)
    late_arrivals = [RequestArrived(make_request(f"late-{n}", rank=late_rank)) for n in range(2)]
    refusals = [
        action for action in handle_all(core, late_arrivals, 1) if isinstance(action, Refuse)
    ]
    assert refusals[0].request_id.startswith("low-")
    assert refusals[0].kind is ErrorKind.SHED


def test_a_request_of_rank_0_is_dispatched_while_requests_of_rank_1_are_queued() -> None:
    core = started_core(make_settings(engines=1, slots=8, queue_limit=50))
    rank_1_arrivals = [RequestArrived(make_request(f"low-{n}", rank=1)) for n in range(20)]
    assert any(isinstance(action, Dispatch) for action in handle_all(core, rank_1_arrivals, 0))
    rank_0_actions = core.handle(RequestArrived(make_request("urgent")), 0)
    assert [type(action) for action in rank_0_actions] == [Dispatch]


def test_a_leaving_upstream_gets_no_new_work() -> None:
    core = started_core(make_settings())
    core.handle(PeerStarted(PeerIdentity("vm-1", "zone-a", "127.0.0.1", 1)), 0)
    core.handle(UpstreamLeaving("engine-0", True), 0)
    arrivals = [RequestArrived(make_request(f"r{n}")) for n in range(_SATURATING_REQUESTS)]
    dispatches = [
        action for action in handle_all(core, arrivals, 0) if isinstance(action, Dispatch)
    ]
    assert {dispatch.upstream for dispatch in dispatches} == {"engine-1"}


def test_a_request_without_an_upstream_in_service_is_refused_immediately() -> None:
    core = started_core(make_settings(engines=1))
    core.handle(PeerStarted(PeerIdentity("vm-1", "zone-a", "127.0.0.1", 1)), 0)
    core.handle(UpstreamLeaving("engine-0", True), 0)
    (action,) = core.handle(RequestArrived(make_request("one")), 0)
    assert isinstance(action, Refuse) and action.kind is ErrorKind.NO_UPSTREAM


def test_a_request_is_placed_on_the_upstream_that_received_its_prefix_before() -> None:
    core = started_core(make_settings(engines=4, slots=16))
    digests = tuple(f"d{n}" for n in range(8))
    actions = []
    for number in range(4):
        arrival = RequestArrived(make_request(f"r{number}", prefix_digests=digests))
        actions += core.handle(arrival, number)
    assert len({action.upstream for action in actions if isinstance(action, Dispatch)}) == 1


def test_a_request_is_placed_on_the_upstream_to_which_a_peer_sent_its_prefix() -> None:
    digests = tuple(f"d{n}" for n in range(8))
    for number in range(4):
        core = started_core(make_settings(engines=4, slots=16))
        core.handle(PeerPrefixSent("vm-2", f"engine-{number}", digests), 0)
        arrival = RequestArrived(make_request("one", prefix_digests=digests))
        (action,) = core.handle(arrival, 1)
        assert isinstance(action, Dispatch) and action.upstream == f"engine-{number}"


def test_with_a_late_deadline_a_request_waits_a_limited_time_for_its_cached_prefix() -> None:
    core = started_core(make_settings(engines=2, slots=4))
    digests = tuple(f"d{n}" for n in range(8))
    core.handle(PeerPrefixSent("vm-2", "engine-0", digests), 0)
    core.handle(PeerWorkReported("vm-2", "engine-0", 0, 20, 1_000), 0)
    request = make_request("one", rank=2, timeout_ms=8 * 3_600_000, prefix_digests=digests)
    assert core.handle(RequestArrived(request), 1) == ()
    core.handle(PeerWorkReported("vm-2", "engine-0", 9_000, 20, 1_000), 9_000)
    (action,) = core.handle(Tick(), 10_100)
    assert isinstance(action, Dispatch) and action.upstream == "engine-1"


def test_each_sent_prefix_is_published_once() -> None:
    core = started_core(make_settings(engines=1, slots=16))
    for number in range(3):
        core.handle(RequestArrived(make_request(f"r{number}", prefix_digests=("a", "b"))), number)
    published_prefixes = core.board.table(PrefixTable).take_unpublished(10)
    assert [(prefix.upstream, prefix.digests) for prefix in published_prefixes] == [
        ("engine-0", ("a", "b"))
    ]


def test_own_requests_sent_after_a_load_report_are_added_to_the_estimate() -> None:
    core = started_core(make_settings(engines=1, slots=16))
    for number in range(3):
        core.handle(RequestArrived(make_request(f"r{number}")), 100 + number)
    core.handle(LoadReported("engine-0", LoadReport(taken_at_ms=101, running=4)), 200)
    upstream = core.board.table(UpstreamTable).get("engine-0")
    assert upstream is not None
    assert upstream.reported_requests_of_other_vms == 2
    assert 3 < upstream.estimated_requests(200) <= 5


def test_work_of_silent_peers_is_removed() -> None:
    core = started_core(make_settings(engines=1))
    core.handle(PeerWorkReported("vm-2", "engine-0", 0, 5, 100), 0)
    table = core.board.table(UpstreamTable)
    assert [row.peer_requests for row in table.rows()] == [5]
    core.handle(Tick(), 60_000)
    assert [row.peer_requests for row in table.rows()] == [0]


@pytest.mark.parametrize(
    ("accepting_vm", "expected_action"), [("vm-2", ForwardToPeer), ("", Refuse)]
)
def test_a_request_is_offered_to_a_peer_with_less_urgent_work_before_it_is_refused(
    accepting_vm: str, expected_action: type
) -> None:
    core = started_core(make_settings(engines=1, slots=1, queue_limit=1))
    core.handle(PeerQueueReported("vm-2", MODEL, 0, (0, 0, 7)), 0)
    arrivals = [RequestArrived(make_request(f"r{n}")) for n in range(5)]
    offers = [
        action for action in handle_all(core, arrivals, 1) if isinstance(action, OfferToPeers)
    ]
    assert offers and offers[0].vms == ("vm-2",)
    (action,) = core.handle(PeerOfferDecided(offers[0].request_id, accepting_vm), 2)
    assert isinstance(action, expected_action)


@pytest.mark.parametrize(("queued_rank", "accepted"), [(2, True), (0, False)])
def test_an_offer_is_accepted_while_less_urgent_work_is_queued(
    queued_rank: int, accepted: bool
) -> None:
    core = started_core(make_settings(engines=1, slots=1, queue_limit=50))
    arrivals = [RequestArrived(make_request(f"r{n}", rank=queued_rank)) for n in range(5)]
    handle_all(core, arrivals, 0)
    (action,) = core.handle(RequestOffered(make_request("offered", rank=1), "vm-2"), 1)
    assert action == AnswerOffer("offered", "vm-2", accepted)


def test_a_straggler_is_excluded_probed_and_readmitted() -> None:
    core = started_core(make_settings(engines=4, slots=16))
    ms_per_token = {f"engine-{n}": 20 for n in range(4)} | {"engine-0": 200}
    excluded = _excluded_after_answers(core, ms_per_token, starts_at_ms=0)
    assert excluded == {"engine-0"}
    ms_per_token["engine-0"] = 20
    assert _excluded_after_answers(core, ms_per_token, starts_at_ms=600_000) == set()


def _excluded_after_answers(
    core: Core, ms_per_token: dict[str, int], *, starts_at_ms: int
) -> set[str]:
    """Return the excluded upstreams after answers with these times per token."""
    now_ms = starts_at_ms
    for number in range(120):
        request_id = f"{starts_at_ms}-{number}"
        now_ms += 300
        request = make_request(request_id, rank=1, now_ms=now_ms, timeout_ms=60_000)
        actions = core.handle(RequestArrived(request), now_ms)
        (upstream,) = [action.upstream for action in actions if isinstance(action, Dispatch)]
        now_ms += 10
        core.handle(AnswerProgressed(request_id, 1), now_ms)
        for tokens in range(2, 12):
            now_ms += ms_per_token[upstream]
            core.handle(AnswerProgressed(request_id, tokens), now_ms)
        core.handle(RequestAnswered(request_id, 100, 0, 12), now_ms)
        core.handle(Tick(), now_ms)
    return {row.settings.name for row in core.board.table(UpstreamTable).rows() if row.excluded}
