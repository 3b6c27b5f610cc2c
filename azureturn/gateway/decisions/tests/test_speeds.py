"""Speeds of upstreams that all VMs learn together, and what placement makes of them."""

import itertools
import random

import pytest

from azureturn.gateway.decisions import (
    LogUpstreamLimit,
    OutstandingWork,
    PeerReportReceived,
    SendAttempt,
    SpeedReport,
    SpeedTable,
    ViewChanged,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    GatewayCoreHarness,
    of_type,
    peer_report,
    upstream,
    view,
)
from azureturn.gateway.decisions.tests.simulated_speeds import SimulatedUpstream, SpeedSite
from azureturn.gateway.settings import GatewayPolicy
from azureturn.gateway.site import Prompt

_SPEEDS = {"fast": 0.55, "usual": 1.0, "slow": 2.8}
_UPSTREAMS = [upstream(name, slots=6) for name in _SPEEDS]
#: Time between two answers of an upstream, and time of each at the configured speed.
_INTERVAL_MS = 200
_ANSWER_MS = 380


def _report(name: str, slowdown: float, *, level: int = 0, extra_ms: int = 0) -> SpeedReport:
    return SpeedReport((name, 0), level, _ANSWER_MS, int(_ANSWER_MS * slowdown) + extra_ms)


def _learned(until_ms: int = 10_000) -> SpeedTable:
    table = SpeedTable()
    for at_ms in range(0, until_ms, _INTERVAL_MS):
        for name, slowdown in _SPEEDS.items():
            table.merge(_report(name, slowdown), at_ms)
    return table


def _slowdown(table: SpeedTable, name: str, now_ms: int, requests: int = 0) -> float:
    return table.estimates("models", _UPSTREAMS, now_ms)[name].slowdown(requests, 6)


def test_speeds_are_kept_longer_than_the_few_answers_of_one_vm() -> None:
    """The slowdown that a VM had measured decayed to 1 within seconds, at slow engines too."""
    table = _learned()
    for name in ("fast", "slow"):
        assert _slowdown(table, name, 10_000) == pytest.approx(_SPEEDS[name], rel=0.25)
    # What is near the mean counts as equal to it.
    assert _SPEEDS["usual"] <= _slowdown(table, "usual", 10_000) < 1.5
    assert _slowdown(table, "slow", 16_000) > 2.0


def test_an_upstream_without_requests_is_taken_for_an_average_one_after_a_while() -> None:
    """Otherwise an upstream that was slow once would never be tried again."""
    table = _learned()
    for at_ms in range(10_000, 60_000, _INTERVAL_MS):
        for name in ("fast", "usual"):
            table.merge(_report(name, _SPEEDS[name]), at_ms)
    assert _slowdown(table, "slow", 60_000) < 1.3


def test_a_change_by_a_factor_of_five_is_noticed_within_seconds_and_back() -> None:
    table = _learned()
    for at_ms in range(10_000, 16_000, 5 * _INTERVAL_MS):
        table.merge(_report("usual", 5.0), at_ms)
    assert _slowdown(table, "usual", 16_000) > 2.0
    for at_ms in range(16_000, 26_000, _INTERVAL_MS):
        table.merge(_report("usual", 1.0), at_ms)
    assert _slowdown(table, "usual", 26_000) < 1.5


def test_answers_that_are_delayed_by_half_a_second_once_are_no_change() -> None:
    table = _learned()
    before = _slowdown(table, "usual", 10_000)
    table.merge(_report("usual", 1.0, extra_ms=500), 10_000)
    assert _slowdown(table, "usual", 10_250) == pytest.approx(before, rel=0.1)


def test_equal_upstreams_stay_equal_in_spite_of_noise() -> None:
    """Otherwise all VMs would prefer the one that happened to answer fastest."""
    table, generator = SpeedTable(), random.Random(1)
    for at_ms in range(0, 10_000, _INTERVAL_MS):
        for row in _UPSTREAMS:
            table.merge(_report(row.name, generator.uniform(0.8, 1.2)), at_ms)
    assert len({_slowdown(table, name, 10_000) for name in _SPEEDS}) == 1


def test_fewer_requests_go_where_more_would_only_slow_down_the_others() -> None:
    table = _learned()
    for at_ms in range(5_000, 10_000, _INTERVAL_MS):
        for level, slowdown in enumerate((1.0, 2.5, 4.5)):
            table.merge(_report("usual", slowdown, level=level), at_ms)
            table.merge(_report("fast", 0.55, level=level), at_ms)
    estimates = table.estimates("models", _UPSTREAMS, 10_000)
    assert estimates["usual"].limit == 2
    assert estimates["fast"].limit == 6


def test_a_new_run_starts_from_scratch() -> None:
    table = _learned()
    restarted = upstream("slow", slots=6, started_unix_ms=7)
    rows = [*_UPSTREAMS[:2], restarted]
    assert table.estimates("models", rows, 10_000)["slow"].slowdown(0, 6) < 1.3


def test_reports_can_be_merged_in_any_order_and_lost() -> None:
    reports = [(_report("slow", 2.0 + 0.2 * n), 100 * n) for n in range(5)]
    results = set()
    for order in itertools.permutations(reports):
        table = SpeedTable()
        for row, at_ms in order:
            table.merge(row, at_ms)
        results.add(round(_slowdown(table, "slow", 500), 3))
    assert max(results) - min(results) <= 0.001
    table = SpeedTable()
    table.merge(*reports[2])
    assert 1.0 <= _slowdown(table, "slow", 500) < max(results)


@pytest.mark.parametrize(
    ("assumed_ms", "took_ms"), [(2**31, 2**31), (-5, 9), (0, 9), (9, -(2**31))]
)
def test_absurd_values_are_bounded(assumed_ms: int, took_ms: int) -> None:
    table = SpeedTable()
    table.merge(SpeedReport(("slow", 0), 99, assumed_ms, took_ms), 0)
    assert 0.04 < _slowdown(table, "slow", 0, requests=6) < 60


def _harness(*busy: str) -> GatewayCoreHarness:
    """Return a VM that has learned the speeds from a peer, with work at some upstreams."""
    policy = GatewayPolicy(shares_speeds=True)
    harness = GatewayCoreHarness(view(*_UPSTREAMS), policy=policy)
    for sequence in range(1, 30):
        speeds = tuple(
            _report(name, slowdown, level=level)
            for name, slowdown in _SPEEDS.items()
            for level in range(3)
        )
        work = {name: OutstandingWork(20, 0) for name in busy}
        report = peer_report("vm-2", sequence=sequence, speeds=speeds, work=work)
        harness.handle_event(PeerReportReceived(report), at_ms=1_000 + 100 * sequence)
    return harness


def _sent_to(harness: GatewayCoreHarness, answer_tokens: int) -> list[str]:
    prompt = Prompt("m", 500, 2 * answer_tokens, answer_tokens)
    actions = of_type(harness.submit_request("r", prompt=prompt), SendAttempt)
    return [action.upstream.name for action in actions if isinstance(action, SendAttempt)]


def test_a_vm_without_own_answers_uses_the_fast_upstream_that_peers_have_measured() -> None:
    assert _sent_to(_harness(), 100) == ["fast"]


@pytest.mark.parametrize(("answer_tokens", "expected"), [(100, ["slow"]), (1_500, [])])
def test_a_long_answer_waits_for_an_upstream_that_can_end_it_in_time(
    answer_tokens: int, expected: list[str]
) -> None:
    """Most requests that timed out were long answers on slow engines."""
    assert _sent_to(_harness("fast", "usual"), answer_tokens) == expected


def test_a_long_answer_goes_to_a_slow_upstream_if_there_is_no_other() -> None:
    harness = _harness()
    harness.handle_event(ViewChanged(view(_UPSTREAMS[2], revision=11)))
    assert _sent_to(harness, 1_500) == ["slow"]


def test_a_limit_of_an_engine_and_its_end_are_logged_once() -> None:
    """An engine that gets fewer requests than its slots would look idle for no reason."""
    harness, sequence, logged = _harness(), 100, []
    for slowdowns in ((1.0, 2.5, 4.5), (1.0, 1.0, 1.0)):
        for _ in range(100):
            sequence += 1
            rows = [_report("usual", row, level=level) for level, row in enumerate(slowdowns)]
            report = peer_report("vm-2", sequence=sequence, speeds=tuple(rows))
            harness.handle_event(PeerReportReceived(report), at_ms=harness.now_ms + 200)
            actions = of_type(harness.tick(harness.now_ms), LogUpstreamLimit)
            logged += [(row.upstream, row.limit) for row in actions]  # type: ignore[attr-defined]
    assert ("usual", 2) in logged
    assert logged[-1] == ("usual", 6)
    assert all(before != after for before, after in itertools.pairwise(logged))


def _tokens(generator: random.Random) -> tuple[int, int]:
    return 500, min(1_500, max(10, int(generator.lognormvariate(4.6, 0.8))))


@pytest.mark.parametrize(
    ("vm_count", "engine_count", "load"), [(1, 6, 0.4), (8, 9, 0.4), (31, 24, 0.8), (31, 24, 1.3)]
)
def test_engines_of_three_speeds_serve_what_they_can(
    vm_count: int, engine_count: int, load: float
) -> None:
    """Slow engines got as many requests as fast ones, and each VM's report was old."""
    speeds = list(_SPEEDS.values())
    rows = [SimulatedUpstream(f"u-{n}", 6, 2, speeds[n % 3]) for n in range(engine_count)]
    site = SpeedSite(vm_count=vm_count, upstreams=rows, shares_speeds=True)
    site.lost_share = 0.1
    # An answer takes 0.6 s at the usual speed.
    capacity_per_s = sum(row.slots / row.slowdown for row in rows) / 0.6
    site.play(3_000, load * capacity_per_s, _tokens)
    site.reset_counts()
    site.play(2_000, load * capacity_per_s, _tokens)
    assert site.rejected_share < 0.03
    ended = sum(site.results.values())
    assert site.results["answered"] > 0.85 * min(ended, capacity_per_s * 2)
    fast = sum(row.answer_tokens for row in rows[::3])
    assert fast > 2 * sum(row.answer_tokens for row in rows[2::3])
