"""Individual decisions of admission, placement, offers and straggler exclusion."""

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
from azureturn.core.tests.decision_site import (
    MODEL,
    handled,
    request_of,
    site_settings,
    started_core,
)
from azureturn.errors import ErrorKind
from azureturn.framework import Refuse, Tick

#: Number of requests that fills both engines of the test site beyond their slots, for any tier.
_SATURATING_REQUESTS = 10


@pytest.mark.parametrize("policy", PLACEMENT_POLICIES)
def test_every_policy_places(policy: str) -> None:
    core = started_core(site_settings(placement=policy))
    arrival = RequestArrived(request_of("one", prefix_digests=("a", "b")))
    assert [type(one) for one in core.handle(arrival, 0)] == [Dispatch]


@pytest.mark.parametrize("late_rank", [0, 1])
def test_the_lowest_tier_is_shed_first_when_a_higher_one_arrives_last(late_rank: int) -> None:
    core = started_core(site_settings(engines=1, slots=1, queue_limit=1))
    low = [RequestArrived(request_of(f"low-{n}", rank=2)) for n in range(3)]
    handled(core, low, 0)
    late = [RequestArrived(request_of(f"late-{n}", rank=late_rank)) for n in range(2)]
    refused = [one for one in handled(core, late, 1) if isinstance(one, Refuse)]
    assert refused[0].request_id.startswith("low-")
    assert refused[0].kind is ErrorKind.SHED


def test_urgent_requests_are_dispatched_where_others_are_queued() -> None:
    core = started_core(site_settings(engines=1, slots=8, queue_limit=50))
    low = [RequestArrived(request_of(f"low-{n}", rank=1)) for n in range(20)]
    assert any(isinstance(one, Dispatch) for one in handled(core, low, 0))
    urgent = core.handle(RequestArrived(request_of("urgent")), 0)
    assert [type(one) for one in urgent] == [Dispatch]


def test_a_leaving_upstream_gets_no_new_work() -> None:
    core = started_core(site_settings())
    core.handle(PeerStarted(PeerIdentity("vm-1", "zone-a", "127.0.0.1", 1)), 0)
    core.handle(UpstreamLeaving("engine-0", True), 0)
    arrivals = [RequestArrived(request_of(f"r{n}")) for n in range(_SATURATING_REQUESTS)]
    dispatched = [one for one in handled(core, arrivals, 0) if isinstance(one, Dispatch)]
    assert {one.upstream for one in dispatched} == {"engine-1"}


def test_a_request_without_an_upstream_in_service_is_refused_immediately() -> None:
    core = started_core(site_settings(engines=1))
    core.handle(PeerStarted(PeerIdentity("vm-1", "zone-a", "127.0.0.1", 1)), 0)
    core.handle(UpstreamLeaving("engine-0", True), 0)
    (action,) = core.handle(RequestArrived(request_of("one")), 0)
    assert isinstance(action, Refuse) and action.kind is ErrorKind.NO_UPSTREAM


def test_a_prefix_is_placed_where_it_was_sent_before() -> None:
    core = started_core(site_settings(engines=4, slots=16))
    digests = tuple(f"d{n}" for n in range(8))
    actions = []
    for number in range(4):
        arrival = RequestArrived(request_of(f"r{number}", prefix_digests=digests))
        actions += core.handle(arrival, number)
    assert len({one.upstream for one in actions if isinstance(one, Dispatch)}) == 1


def test_a_prefix_is_placed_where_a_peer_sent_it() -> None:
    digests = tuple(f"d{n}" for n in range(8))
    for number in range(4):
        core = started_core(site_settings(engines=4, slots=16))
        core.handle(PeerPrefixSent("vm-2", f"engine-{number}", digests), 0)
        arrival = RequestArrived(request_of("one", prefix_digests=digests))
        (action,) = core.handle(arrival, 1)
        assert isinstance(action, Dispatch) and action.upstream == f"engine-{number}"


def test_a_request_with_a_distant_deadline_waits_a_limited_time_for_its_prefix() -> None:
    core = started_core(site_settings(engines=2, slots=4))
    digests = tuple(f"d{n}" for n in range(8))
    core.handle(PeerPrefixSent("vm-2", "engine-0", digests), 0)
    core.handle(PeerWorkReported("vm-2", "engine-0", 0, 20, 1_000), 0)
    distant = request_of("one", rank=2, timeout_ms=8 * 3_600_000, prefix_digests=digests)
    assert core.handle(RequestArrived(distant), 1) == ()
    core.handle(PeerWorkReported("vm-2", "engine-0", 9_000, 20, 1_000), 9_000)
    (action,) = core.handle(Tick(), 10_100)
    assert isinstance(action, Dispatch) and action.upstream == "engine-1"


def test_each_sent_prefix_is_published_once() -> None:
    core = started_core(site_settings(engines=1, slots=16))
    for number in range(3):
        core.handle(RequestArrived(request_of(f"r{number}", prefix_digests=("a", "b"))), number)
    published = core.board.table(PrefixTable).take_unshared(10)
    assert [(one.upstream, one.digests) for one in published] == [("engine-0", ("a", "b"))]


def test_a_delayed_report_is_corrected_by_later_requests_of_this_vm() -> None:
    core = started_core(site_settings(engines=1, slots=16))
    for number in range(3):
        core.handle(RequestArrived(request_of(f"r{number}")), 100 + number)
    core.handle(LoadReported("engine-0", LoadReport(taken_at_ms=101, running=4)), 200)
    upstream = core.board.table(UpstreamTable).get("engine-0")
    assert upstream is not None
    assert upstream.reported_requests_of_other_vms == 2
    assert 3 < upstream.estimated_requests(200) <= 5


def test_work_of_silent_peers_is_removed() -> None:
    core = started_core(site_settings(engines=1))
    core.handle(PeerWorkReported("vm-2", "engine-0", 0, 5, 100), 0)
    table = core.board.table(UpstreamTable)
    assert [row.peer_requests for row in table.rows()] == [5]
    core.handle(Tick(), 60_000)
    assert [row.peer_requests for row in table.rows()] == [0]


@pytest.mark.parametrize(("taken_by", "end"), [("vm-2", ForwardToPeer), ("", Refuse)])
def test_peers_with_less_urgent_work_are_offered_a_request_once_before_shedding(
    taken_by: str, end: type
) -> None:
    core = started_core(site_settings(engines=1, slots=1, queue_limit=1))
    core.handle(PeerQueueReported("vm-2", MODEL, 0, (0, 0, 7)), 0)
    arrivals = [RequestArrived(request_of(f"r{n}")) for n in range(5)]
    asked = [one for one in handled(core, arrivals, 1) if isinstance(one, OfferToPeers)]
    assert asked and asked[0].vms == ("vm-2",)
    (action,) = core.handle(PeerOfferDecided(asked[0].request_id, taken_by), 2)
    assert isinstance(action, end)


@pytest.mark.parametrize(("queued_rank", "accepted"), [(2, True), (0, False)])
def test_an_offer_is_accepted_while_less_urgent_work_is_queued(
    queued_rank: int, accepted: bool
) -> None:
    core = started_core(site_settings(engines=1, slots=1, queue_limit=50))
    arrivals = [RequestArrived(request_of(f"r{n}", rank=queued_rank)) for n in range(5)]
    handled(core, arrivals, 0)
    (answer,) = core.handle(RequestOffered(request_of("offered", rank=1), "vm-2"), 1)
    assert answer == AnswerOffer("offered", "vm-2", accepted)


def test_a_straggler_is_excluded_probed_and_readmitted() -> None:
    core = started_core(site_settings(engines=4, slots=16))
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
        request = request_of(request_id, rank=1, now_ms=now_ms, timeout_ms=60_000)
        actions = core.handle(RequestArrived(request), now_ms)
        (upstream,) = [one.upstream for one in actions if isinstance(one, Dispatch)]
        now_ms += 10
        core.handle(AnswerProgressed(request_id, 1), now_ms)
        for tokens in range(2, 12):
            now_ms += ms_per_token[upstream]
            core.handle(AnswerProgressed(request_id, tokens), now_ms)
        core.handle(RequestAnswered(request_id, 100, 0, 12), now_ms)
        core.handle(Tick(), now_ms)
    return {row.settings.name for row in core.board.table(UpstreamTable).rows() if row.excluded}
