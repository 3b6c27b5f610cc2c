"""Upstreams that name a limit of the requests that they take from all VMs together."""

from collections import Counter
from itertools import pairwise
from random import Random

import pytest

from azureturn.gateway.decisions import (
    FirstEventReceived,
    LimitReport,
    PeerReportReceived,
    RequestLimitTable,
    SendAttempt,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    of_type,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.decisions.tests.simulated_site import SimulatedSite
from azureturn.gateway.decisions.tests.simulated_upstreams import Arrival
from azureturn.gateway.site import StatedLimits

_RUN = ("e-1", 7)

_CALM_MS = 3_000
_LIMITED_MS = 16_000
#: Bounds of the platform: from this time after an upstream first named its limit, it may get in any
#: such window so many times what the limit allows, and so many requests more, from the VMs that
#: were told at least so long before.
_CONTACT_MS = 3_000
_WINDOW_MS = 4_000
_MAX_RATIO = 1.5
_SLACK = 5
_TOLD_MS = 500
#: Least share of its limit that an upstream should still be sent.
_MIN_USED_SHARE = 0.5


def _play(site: SimulatedSite, duration_ms: int, interval_ms: int) -> None:
    """Send a request every ``interval_ms``, to the VMs in turn."""
    ends_at_ms = site.now_ms + duration_ms
    while site.now_ms < ends_at_ms:
        number = len(site.sent_at_ms)
        site.send(number % len(site.vms), f"r-{number}", "shared", f"own-{number}")
        site.run_until(site.now_ms + interval_ms)


def _arrivals(site: SimulatedSite, upstream: str) -> list[Arrival]:
    return [arrival for arrival in site.arrivals if arrival.upstream == upstream]


def _largest_window(site: SimulatedSite, upstream: str, named_at_ms: int) -> int:
    """Return the largest number of counted requests in a window that ends in the counted time."""
    counted_ms = [
        arrival.at_ms
        for arrival in _arrivals(site, upstream)
        if arrival.at_ms >= site.told_at_ms.get((upstream, arrival.vm), arrival.at_ms) + _TOLD_MS
    ]
    return max(
        sum(end_ms - _WINDOW_MS < at_ms <= end_ms for at_ms in counted_ms)
        for end_ms in counted_ms
        if end_ms >= named_at_ms + _CONTACT_MS
    )


def _limited_site(vm_count: int, limit_per_s: float, *, seed: int = 1) -> SimulatedSite:
    """Return a busy site whose engines e-0 and e-1 have just begun to name a limit."""
    site = SimulatedSite(vm_count=vm_count, engine_count=5, answer_ms=(20, 150), seed=seed)
    _play(site, _CALM_MS, interval_ms=20)
    for name in ("e-0", "e-1"):
        site.limit_engine(name, limit_per_s)
    return site


@pytest.mark.parametrize("vm_count", [1, 6, 20])
@pytest.mark.parametrize("limit_per_s", [1.0, 3.5])
def test_an_upstream_gets_no_more_requests_than_the_limit_that_it_named(
    vm_count: int, limit_per_s: float
) -> None:
    site = _limited_site(vm_count, limit_per_s)
    named_at_ms = site.now_ms
    _play(site, _LIMITED_MS, interval_ms=20)
    allowed = _MAX_RATIO * limit_per_s * _WINDOW_MS / 1_000 + _SLACK
    for name in ("e-0", "e-1"):
        assert _largest_window(site, name, named_at_ms) <= allowed


@pytest.mark.parametrize("vm_count", [1, 6])
def test_a_limited_upstream_is_still_sent_most_of_what_it_takes(vm_count: int) -> None:
    site = _limited_site(vm_count, 3.5)
    _play(site, _LIMITED_MS, interval_ms=20)
    last_seconds = 8
    used = [row for row in _arrivals(site, "e-0") if row.at_ms > site.now_ms - last_seconds * 1_000]
    assert len(used) >= _MIN_USED_SHARE * 3.5 * last_seconds


def test_an_upstream_that_names_no_limit_any_more_is_sent_requests_as_before() -> None:
    site = _limited_site(6, 1.0)
    _play(site, _CALM_MS, interval_ms=20)
    site.limit_engine("e-0", None)
    _play(site, 2 * _CALM_MS, interval_ms=20)
    recent = Counter(row.upstream for row in site.arrivals if row.at_ms > site.now_ms - _CALM_MS)
    assert recent["e-0"] >= 0.5 * recent["e-2"]
    assert recent["e-1"] < 0.5 * recent["e-2"]


def _observe(
    table: RequestLimitTable, limit_per_s: float | None, *, now_ms: int, age_ms: int = 0
) -> None:
    report = LimitReport(_RUN, StatedLimits(limit_per_s), age_ms)
    table.observe(report, vm_count=2, now_ms=now_ms, random=Random(1))


def _sent_ms(table: RequestLimitTable, from_ms: int, until_ms: int) -> list[int]:
    """Return when requests are sent if a VM of two always has one to send."""
    sent = []
    for now_ms in range(from_ms, until_ms, 10):
        if table.may_send(_RUN, 2, now_ms):
            table.record_sent(_RUN, 2, now_ms)
            sent.append(now_ms)
    return sent


def test_a_vm_sends_its_share_of_a_limit_evenly() -> None:
    table = RequestLimitTable()
    assert table.may_send(_RUN, 2, 0)
    _observe(table, 4.0, now_ms=0)
    sent = _sent_ms(table, 0, 10_000)
    assert len(sent) in (19, 20)
    assert {after - before for before, after in pairwise(sent)} == {500}


def test_slots_that_were_not_used_lapse() -> None:
    table = RequestLimitTable()
    _observe(table, 4.0, now_ms=0)
    assert len(_sent_ms(table, 5_000, 5_500)) <= 2


@pytest.mark.parametrize(
    ("limit_per_s", "age_ms", "may_send"),
    [(None, 0, True), (None, 900, False), (4.0, 0, False)],
    ids=["no limit any more", "an older answer", "the same limit"],
)
def test_the_latest_answer_decides(limit_per_s: float | None, age_ms: int, may_send: bool) -> None:
    table = RequestLimitTable()
    _observe(table, 4.0, now_ms=1_000, age_ms=100)
    _sent_ms(table, 1_000, 1_600)
    _observe(table, limit_per_s, now_ms=1_600, age_ms=age_ms)
    assert table.may_send(_RUN, 2, 1_610) is may_send


def test_another_run_of_the_upstream_has_no_limit() -> None:
    table = RequestLimitTable()
    _observe(table, 0.0, now_ms=0)
    assert not table.may_send(_RUN, 2, 1)
    assert table.may_send((_RUN[0], 8), 2, 1)
    assert table.reports(0) == (LimitReport(_RUN, StatedLimits(0.0), 0),)


def test_a_vm_learns_of_a_limit_from_its_peers() -> None:
    harness = GatewayCoreHarness(view(upstream("e-1"), upstream("e-2")))
    report = peer_report("vm-2", limits=(LimitReport(("e-1", 0), StatedLimits(0.5), 10),))
    harness.handle_event(PeerReportReceived(report))
    sent = of_type(
        tuple(action for n in range(4) for action in harness.submit_request(f"r{n}")), SendAttempt
    )
    assert {action.upstream.name for action in sent} == {"e-2"}  # type: ignore[attr-defined]


def test_a_request_waits_if_all_upstreams_are_limited() -> None:
    harness = GatewayCoreHarness(view(upstream("e-1")))
    harness.submit_request("r1")
    harness.handle_event(FirstEventReceived("r1", StatedLimits(1.0)))
    harness.submit_request("r2")
    harness.submit_request("r3")
    actions = [action for at in range(1_050, 2_000, 50) for action in harness.tick(at)]
    assert len(of_type(tuple(actions), SendAttempt)) == 1
