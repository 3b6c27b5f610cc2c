"""The report on error-budget burn, computed from the windows of VMs."""

import io
import json
from dataclasses import asdict

import pytest
from syrupy.assertion import SnapshotAssertion

from azureturn.command._burn import burn_rate, report_objective, required_windows
from azureturn.command._output import Output
from azureturn.command._site import SilentVm, VmAnswer, VmAnswers
from azureturn.command._slo import SloReport, format_report
from azureturn.observability import (
    HOUR_MS,
    MINUTE_MS,
    LatencySketch,
    SliCounts,
    SliKey,
    SliWindow,
)
from azureturn.peers import (
    LatencyHistogram,
    ServiceLevelCell,
    ServiceLevelPoint,
    ServiceLevels,
    ServiceLevelWindow,
)
from azureturn.settings import ObjectiveSettings
from azureturn.store import ListedVm

OBJECTIVE = ObjectiveSettings(tier="urgent", target=0.99)
NOW_MS = 1_000 * HOUR_MS
GOOD_KEY = SliKey("urgent", "desk", "diagnosis", "engine-1", "v1")
BAD_KEY = SliKey("urgent", "desk", "diagnosis", "engine-2", "v2", "upstream_failed")
OTHER_TIER_KEY = SliKey("deferrable", "desk", "summary", "", "", "shed")


def make_window(good: int, bad: int) -> SliWindow:
    window = SliWindow()
    window.add(GOOD_KEY, SliCounts(good_count=good))
    window.add(BAD_KEY, SliCounts(bad_count=bad))
    window.add(OTHER_TIER_KEY, SliCounts(bad_count=1_000))
    return window


def make_windows(**bad_by_window: int) -> dict[int, SliWindow]:
    lengths = {"m5": 5 * MINUTE_MS, "m30": 30 * MINUTE_MS, "h1": HOUR_MS}
    lengths |= {"h6": 6 * HOUR_MS, "h72": 72 * HOUR_MS}
    return {
        lengths[name]: make_window(1_000 - bad_by_window.get(name, 0), bad_by_window.get(name, 0))
        for name in lengths
    }


VERDICTS = {
    "no bad requests": ({}, "ok"),
    "fast burn over both windows": ({"m5": 200, "h1": 150}, "page"),
    "short spike: the long window is below its threshold": ({"m5": 500, "h1": 20}, "ok"),
    "recovered: the short window is below its threshold": ({"m5": 0, "h1": 300}, "ok"),
    "slow burn": ({"m30": 70, "h6": 61, "h1": 60, "m5": 60}, "page"),
    "slowest burn": ({"h6": 12, "h72": 11}, "ticket"),
}


@pytest.mark.parametrize("case", VERDICTS)
def test_verdict_requires_long_and_short_window_to_exceed_threshold(case: str) -> None:
    bad, verdict = VERDICTS[case]
    assert report_objective(OBJECTIVE, make_windows(**bad)).verdict == verdict


def test_remaining_budget_is_reduced_by_failures() -> None:
    report = report_objective(OBJECTIVE, make_windows(h1=5))
    assert report.budget_left == pytest.approx(0.5)
    assert (report.good_count, report.bad_count) == (995, 5)


def test_burn_rate_of_one_consumes_the_budget_exactly() -> None:
    assert burn_rate(SliCounts(good_count=99, bad_count=1), 0.99) == pytest.approx(1.0)
    assert burn_rate(SliCounts(), 0.99) == 0.0


def test_objective_of_one_organisation_ignores_others() -> None:
    objective = ObjectiveSettings(tier="urgent", target=0.99, organisation="customers")
    assert report_objective(objective, make_windows(h1=5)).bad_count == 0


def test_required_windows_include_those_of_the_objectives() -> None:
    objective = ObjectiveSettings(tier="urgent", target=0.99, window_ms=24 * HOUR_MS)
    assert required_windows((objective,))[-2:] == [24 * HOUR_MS, 72 * HOUR_MS]


def make_answer(good: int, bad: int, latency_ms: float) -> ServiceLevels:
    sketch = LatencySketch()
    for _ in range(good):
        sketch.add(latency_ms)
    bins = sketch.bins()
    cells = [
        ServiceLevelCell(**asdict(GOOD_KEY), good_count=good, bad_count=0),
        ServiceLevelCell(**asdict(BAD_KEY), good_count=0, bad_count=bad),
    ]
    latencies = [
        LatencyHistogram(tier="urgent", bin_keys=list(bins), bin_counts=list(bins.values()))
    ]
    return ServiceLevels(
        observed_since_unix_ms=NOW_MS - 10 * MINUTE_MS,
        windows=[
            ServiceLevelWindow(window_ms=length, cells=cells, latencies=latencies)
            for length in required_windows((OBJECTIVE,))
        ],
        series=[
            ServiceLevelPoint(
                began_at_unix_ms=NOW_MS - 5 * MINUTE_MS,
                tier="urgent",
                good_count=good,
                bad_count=bad,
            )
        ],
    )


def report_of_two_vms() -> SloReport:
    answers = VmAnswers(
        tuple(
            VmAnswer(ListedVm(name, "zone-a", "127.0.0.1", 1, 2, False), answer)
            for name, answer in {
                "vm-1": make_answer(90, 10, 100.0),
                "vm-2": make_answer(60, 40, 900.0),
            }.items()
        ),
        (SilentVm("vm-3", "timed out"),),
    )
    return SloReport.from_answers((OBJECTIVE,), answers, now_unix_ms=NOW_MS)


def test_counts_of_all_vms_are_summed() -> None:
    objective = report_of_two_vms().objectives[0]
    assert (objective.good_count, objective.bad_count) == (150, 50)
    assert objective.contributors[0].bad_count == 50
    assert objective.latency.p50_ms == pytest.approx(100.0, rel=0.03)
    assert objective.latency.p95_ms == pytest.approx(900.0, rel=0.03)


def test_the_report_as_text(snapshot: SnapshotAssertion) -> None:
    output = Output(io.StringIO(), as_json=False)
    assert format_report(report_of_two_vms(), output) == snapshot


def test_the_report_as_json(snapshot: SnapshotAssertion) -> None:
    assert json.dumps(asdict(report_of_two_vms()), indent=1) == snapshot
