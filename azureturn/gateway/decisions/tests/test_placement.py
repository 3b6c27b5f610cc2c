"""Placement of requests on upstreams, and their order in the queue."""

import pytest

from azureturn.errors import ErrorKind
from azureturn.framework import Refuse
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    LogRetainedUpstreams,
    OutstandingWork,
    PeerReportReceived,
    ProbeConnection,
    QueueReport,
    RequestClosed,
    SendAttempt,
    SendReport,
    StoreLost,
    StoreReached,
    UpstreamReconnected,
    ViewChanged,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    BOOKING_ROUTE,
    GatewayCoreHarness,
    full_work,
    of_type,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.site import Prompt, PromptPart


def _sent_to(actions: tuple[object, ...]) -> list[str]:
    """Return the names of the upstreams that requests were sent to."""
    return [action.upstream.name for action in actions if isinstance(action, SendAttempt)]


@pytest.mark.parametrize(
    ("upstreams", "expected"),
    [
        ((upstream("u1"), upstream("u2", is_leaving=True)), "u1"),
        ((upstream("u1", service="desk"), upstream("u2")), "u2"),
    ],
    ids=["leaving", "other service"],
)
def test_only_upstreams_of_the_service_that_are_not_leaving_are_chosen(
    upstreams: tuple[object, ...], expected: str
) -> None:
    harness = GatewayCoreHarness(view(*upstreams))  # type: ignore[arg-type]
    for number in range(4):
        assert _sent_to(harness.submit_request(f"r{number}")) == [expected]


def test_work_of_peers_is_counted() -> None:
    harness = GatewayCoreHarness(view(upstream("u1"), upstream("u2")))
    harness.handle_event(PeerReportReceived(peer_report("vm-2", work=full_work("u1"))))
    assert _sent_to(harness.submit_request("r1")) == ["u2"]


def test_requests_queue_at_capacity_and_a_finished_attempt_frees_a_slot() -> None:
    harness = GatewayCoreHarness(view(upstream("u1", slots=1)))
    upstream_names = [
        name for number in range(4) for name in _sent_to(harness.submit_request(f"r{number}"))
    ]
    assert 0 < len(upstream_names) < 4
    actions = harness.handle_event(AttemptEnded("r0", AttemptResult.ANSWERED), at_ms=1_050)
    assert _sent_to(actions) == ["u1"]


def test_a_leaving_upstream_gets_nothing_from_the_queue() -> None:
    harness = GatewayCoreHarness(view(upstream("u1", slots=1)))
    for number in range(4):
        harness.submit_request(f"r{number}")
    harness.handle_event(ViewChanged(view(upstream("u1", slots=1, is_leaving=True), revision=11)))
    assert not _sent_to(harness.handle_event(AttemptEnded("r0", AttemptResult.ANSWERED)))


def test_late_request_ranks_behind_one_that_can_meet_its_objective() -> None:
    harness = GatewayCoreHarness(view(upstream("u1", slots=1)))
    harness.handle_event(PeerReportReceived(peer_report("vm-2", work=full_work("u1"))))
    harness.submit_request("old")
    harness.tick(1_590)
    harness.submit_request("new")
    actions = harness.handle_event(PeerReportReceived(peer_report("vm-2", sequence=2)), at_ms=1_600)
    actions += harness.tick(1_610)
    assert [action.request_id for action in of_type(actions, SendAttempt)][:1] == ["new"]  # type: ignore[attr-defined]


def test_expired_queued_request_is_refused_with_a_retry_time() -> None:
    harness = GatewayCoreHarness(view(upstream("u1", slots=1)))
    harness.handle_event(PeerReportReceived(peer_report("vm-2", work=full_work("u1"))))
    harness.submit_request("r1")
    for at_ms in range(1_100, 2_300, 100):
        harness.handle_event(
            PeerReportReceived(peer_report("vm-2", sequence=at_ms, work=full_work("u1"))),
            at_ms=at_ms,
        )
        refusals = of_type(harness.tick(at_ms), Refuse)
        if refusals:
            break
    (refusal,) = refusals
    assert isinstance(refusal, Refuse)
    assert refusal.kind is ErrorKind.DEADLINE_UNREACHABLE
    assert refusal.retry_after_ms > 0
    assert at_ms >= 2_200


def test_without_an_upstream_the_refusal_is_immediate() -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    (refusal,) = harness.submit_request("r1", route=BOOKING_ROUTE)
    assert isinstance(refusal, Refuse)
    assert refusal.kind is ErrorKind.NO_UPSTREAM


def test_unreachable_upstream_is_probed_and_then_used_again() -> None:
    harness = GatewayCoreHarness(view(upstream("u1"), upstream("u2", availability_zone="b")))
    assert _sent_to(harness.submit_request("r1")) == ["u1"]
    harness.handle_event(AttemptEnded("r1", AttemptResult.UNREACHABLE))
    assert _sent_to(harness.submit_request("r2")) == ["u2"]
    (probe,) = of_type(harness.tick(1_300), ProbeConnection)
    assert isinstance(probe, ProbeConnection)
    assert probe.upstream.name == "u1"
    harness.handle_event(UpstreamReconnected("u1"))
    assert _sent_to(harness.submit_request("r3")) == ["u1"]


def test_restarted_upstream_begins_with_empty_state() -> None:
    harness = GatewayCoreHarness(view(upstream("u1", started_unix_ms=1)))
    harness.submit_request("r1")
    harness.handle_event(AttemptEnded("r1", AttemptResult.UNREACHABLE))
    restarted = view(upstream("u1", started_unix_ms=2), revision=11)
    harness.handle_event(ViewChanged(restarted))
    assert _sent_to(harness.submit_request("r2")) == ["u1"]


@pytest.mark.parametrize(
    ("after_ms", "serves"), [(100, True), (1_750, True), (1_900, False)], ids=str
)
def test_upstreams_whose_registrations_lapsed_in_an_outage_are_retained_temporarily(
    after_ms: int, serves: bool
) -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    harness.handle_event(StoreReached(outage_ms=4_000))
    harness.handle_event(ViewChanged(view(revision=11)))
    harness.now_ms += after_ms
    assert bool(_sent_to(harness.submit_request("r1"))) is serves


def test_upstreams_that_are_retained_after_an_outage_are_logged() -> None:
    harness = GatewayCoreHarness(view(upstream("u1"), upstream("u2")))
    harness.handle_event(StoreReached(outage_ms=4_000))
    actions = harness.handle_event(ViewChanged(view(upstream("u2"), revision=11)))
    assert LogRetainedUpstreams(("u1",), 4_000, "retained") in actions


@pytest.mark.parametrize(
    ("contact_ms", "serves"),
    [(None, True), (1_900, True), (2_000, False), (60_000, False)],
    ids=["peer does not say", "shorter than a renewal", "as long as a renewal", "longer"],
)
def test_lapsed_upstreams_are_dropped_once_the_store_has_answered_a_peer_for_long(
    contact_ms: int | None, serves: bool
) -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    harness.handle_event(StoreReached(outage_ms=4_000))
    harness.handle_event(ViewChanged(view(revision=11)))
    harness.handle_event(PeerReportReceived(peer_report("vm-2", store_contact_ms=contact_ms)))
    assert bool(_sent_to(harness.submit_request("r1"))) is serves


def test_a_report_says_for_how_long_the_store_has_answered() -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    reported = []
    for event in (None, StoreReached(), StoreLost(), StoreReached(outage_ms=500)):
        if event is not None:
            harness.handle_event(event)
        (report,) = of_type(harness.tick(harness.now_ms + 200), SendReport)
        reported.append(report.report.store_contact_ms)  # type: ignore[attr-defined]
    assert reported == [None, 200, None, 200]


def test_upstream_whose_registration_lapses_without_an_outage_is_dropped() -> None:
    harness = GatewayCoreHarness(view(upstream("u1")))
    harness.handle_event(ViewChanged(view(revision=11)))
    assert not _sent_to(harness.submit_request("r1"))


def test_view_of_a_lower_revision_is_ignored() -> None:
    harness = GatewayCoreHarness(view(upstream("u1"), revision=10))
    harness.handle_event(ViewChanged(view(upstream("u2"), revision=9)))
    assert _sent_to(harness.submit_request("r1")) == ["u1"]


def _long_prompt(tokens: int) -> Prompt:
    return Prompt("m", tokens, 100, 50, (PromptPart(f"own-{tokens}", tokens),))


def _site_with_a_slow_upstream() -> GatewayCoreHarness:
    """Return a harness whose upstream ``slow`` takes four times the usual time and has work."""
    harness = GatewayCoreHarness(view(upstream("slow")))
    harness.submit_request("r1")
    slow_answer = AttemptEnded("r1", AttemptResult.ANSWERED, event_count=10, streamed_ms=684)
    harness.handle_event(slow_answer, at_ms=1_500)
    harness.handle_event(ViewChanged(view(upstream("slow"), upstream("fast"), revision=11)))
    harness.handle_event(
        PeerReportReceived(
            peer_report("vm-2", work={"slow": OutstandingWork(1, 0), **full_work("fast")})
        )
    )
    return harness


@pytest.mark.parametrize(
    ("tokens", "expected"), [(500, ["slow"]), (20_000, [])], ids=["short", "long"]
)
def test_prompt_that_would_pause_slow_answers_waits_for_another_upstream(
    tokens: int, expected: list[str]
) -> None:
    """Without this wait, half of the streams on upstreams slowed down by 2.8 exceeded the limit."""
    harness = _site_with_a_slow_upstream()
    assert _sent_to(harness.submit_request("r2", prompt=_long_prompt(tokens))) == expected


def test_prompt_that_waits_for_a_faster_upstream_does_not_block_others() -> None:
    harness = _site_with_a_slow_upstream()
    harness.submit_request("long", prompt=_long_prompt(20_000))
    assert _sent_to(harness.submit_request("short", prompt=_long_prompt(500))) == ["slow"]


def test_long_prompt_goes_to_a_slow_upstream_if_it_is_the_only_one() -> None:
    harness = _site_with_a_slow_upstream()
    harness.handle_event(ViewChanged(view(upstream("slow"), revision=12)))
    assert _sent_to(harness.submit_request("r2", prompt=_long_prompt(20_000))) == ["slow"]


@pytest.mark.parametrize(
    ("waiting", "expected"),
    [
        (QueueReport(tier_rank=0, requests=1, deadline_in_ms=500), []),
        (QueueReport(tier_rank=2, requests=1, deadline_in_ms=200), []),
        (QueueReport(tier_rank=2, requests=1, deadline_in_ms=900), ["u1"]),
        (QueueReport(tier_rank=4, requests=9, deadline_in_ms=-500), ["u1"]),
    ],
    ids=["more urgent", "earlier", "later", "less urgent"],
)
def test_last_capacity_is_yielded_to_a_more_urgent_request_at_a_peer(
    waiting: QueueReport, expected: list[str]
) -> None:
    harness = GatewayCoreHarness(view(upstream("u1", slots=1), upstream("u2", slots=1)))
    fields = {"work": full_work("u2"), "waiting": {"models": waiting}}
    harness.handle_event(PeerReportReceived(peer_report("vm-2", **fields)))
    harness.tick(1_000)
    harness.now_ms = 1_010
    assert _sent_to(harness.submit_request("r1", urgency_rank=1)) == expected
    # The free capacity is reported to peers immediately, before the next report is due.
    assert bool(of_type(harness.tick(1_030), SendReport)) is not bool(expected)


def test_capacity_is_not_yielded_to_a_peer_with_a_stale_report_or_without_work() -> None:
    waiting = {"models": QueueReport(tier_rank=0, requests=1, deadline_in_ms=500)}
    with_stale_report = GatewayCoreHarness(view(upstream("u1", slots=1), upstream("u2", slots=1)))
    with_stale_report.handle_event(
        PeerReportReceived(peer_report("vm-2", work=full_work("u2"), waiting=waiting))
    )
    with_stale_report.now_ms += 300
    without_work = GatewayCoreHarness(view(upstream("u1", slots=1)))
    without_work.handle_event(PeerReportReceived(peer_report("vm-2", waiting=waiting)))
    for harness in (with_stale_report, without_work):
        assert _sent_to(harness.submit_request("r1", urgency_rank=1)) == ["u1"]


@pytest.mark.parametrize(("partitioned", "expected_count"), [(True, 4), (False, 1)], ids=str)
def test_vms_of_a_partitioned_zone_are_assumed_to_have_no_work(
    partitioned: bool, expected_count: int
) -> None:
    """Otherwise the smaller part of a partitioned site left three quarters of its engines idle."""
    remote_upstreams = [upstream("far", availability_zone="b")] if partitioned else []
    harness = GatewayCoreHarness(view(upstream("near", slots=4), *remote_upstreams))
    for vm in ("vm-2", "vm-3", "vm-4"):
        harness.handle_event(PeerReportReceived(peer_report(vm, availability_zone="b")))
    if partitioned:
        busy = peer_report("vm-2", sequence=2, availability_zone="b", work=full_work("near"))
        harness.handle_event(PeerReportReceived(busy))
        harness.submit_request("r0")
        harness.handle_event(AttemptEnded("r0", AttemptResult.UNREACHABLE))
        harness.handle_event(RequestClosed("r0"))
    harness.tick(3_000)
    upstream_names = []
    for number in range(1, 5):
        upstream_names += _sent_to(harness.submit_request(f"r{number}", urgency_rank=1))
    assert len(upstream_names) == expected_count


def test_late_retry_ranks_behind_requests_that_can_meet_their_objective() -> None:
    """The objective of a retried request counts from the caller's first attempt.

    More than half of the requests in an overload were retries after a refusal, and displaced
    requests that were not late yet.
    """
    harness = GatewayCoreHarness(view(upstream("u1", slots=1)))
    harness.handle_event(PeerReportReceived(peer_report("vm-2", work=full_work("u1"))))
    for number in range(3):
        harness.submit_request(f"usual-{number}", caller_timeout_ms=12_000)
        harness.handle_event(RequestClosed(f"usual-{number}"))
    harness.submit_request("retry", caller_timeout_ms=10_800)
    harness.submit_request("new", caller_timeout_ms=12_000)
    actions = harness.handle_event(PeerReportReceived(peer_report("vm-2", sequence=2)))
    actions += harness.tick(1_100)
    assert [action.request_id for action in of_type(actions, SendAttempt)][:1] == ["new"]  # type: ignore[attr-defined]


def test_late_requests_go_before_less_urgent_ones() -> None:
    """A late answer of an urgent tier is worth more than a timely one of a lower tier."""
    harness = GatewayCoreHarness(view(upstream("u1", slots=1)))
    harness.handle_event(PeerReportReceived(peer_report("vm-2", work=full_work("u1"))))
    harness.submit_request("usual", caller_timeout_ms=12_000)
    harness.handle_event(RequestClosed("usual"))
    harness.submit_request("less urgent", caller_timeout_ms=12_000, urgency_rank=1)
    harness.submit_request("late", caller_timeout_ms=9_000)
    actions = harness.handle_event(PeerReportReceived(peer_report("vm-2", sequence=2)))
    actions += harness.tick(1_100)
    assert [action.request_id for action in of_type(actions, SendAttempt)][:1] == ["late"]  # type: ignore[attr-defined]
