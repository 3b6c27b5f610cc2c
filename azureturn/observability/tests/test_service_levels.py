"""Service-level counts: exact sums across VMs, correct windows, bounded memory."""

import random
from dataclasses import replace

import pytest

from azureturn.errors import ErrorKind
from azureturn.observability import (
    HOUR_MS,
    LONGEST_WINDOW_MS,
    MINUTE_MS,
    OTHER_NAMES,
    LatencySketch,
    SliCounts,
    SliKey,
    SliRecorder,
    SliWindow,
    merge_sketches,
)

NOW_MS = 1_000 * HOUR_MS + 30_000
GOOD_KEY = SliKey("urgent", "desk", "diagnosis", "engine-1", "v1")
BAD_KEY = SliKey("urgent", "desk", "diagnosis", "engine-1", "v1", "upstream_failed")


def make_recorder() -> SliRecorder:
    recorder = SliRecorder(started_at_unix_ms=0)
    recorder.set_separate_organisations(frozenset({"desk"}))
    return recorder


def test_window_counts_only_requests_within_it() -> None:
    recorder = make_recorder()
    ages_ms = {"now": 0, "4 min": 4 * MINUTE_MS, "50 min": 50 * MINUTE_MS, "5 h": 5 * HOUR_MS}
    for age_ms in sorted(ages_ms.values(), reverse=True):
        recorder.record(BAD_KEY, latency_ms=1, now_unix_ms=NOW_MS - age_ms)
    counts = {
        window_ms: recorder.window(window_ms, now_unix_ms=NOW_MS).cells[BAD_KEY].bad_count
        for window_ms in (5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, LONGEST_WINDOW_MS)
    }
    assert list(counts.values()) == [2, 3, 4, 4]


def test_requests_older_than_longest_window_are_dropped() -> None:
    recorder = make_recorder()
    recorder.record(BAD_KEY, latency_ms=1, now_unix_ms=NOW_MS - LONGEST_WINDOW_MS)
    recorder.record(GOOD_KEY, latency_ms=1, now_unix_ms=NOW_MS)
    assert recorder.window(LONGEST_WINDOW_MS, now_unix_ms=NOW_MS).cells == {
        GOOD_KEY: SliCounts(1, 0)
    }


@pytest.mark.parametrize("kind", [ErrorKind.MALFORMED_JSON, ErrorKind.CALLER_GONE])
def test_errors_caused_by_the_caller_are_not_counted(kind: ErrorKind) -> None:
    recorder = make_recorder()
    key = SliKey("urgent", "desk", "diagnosis", error_kind=kind.value)
    recorder.record(key, latency_ms=1, now_unix_ms=NOW_MS)
    assert recorder.window(HOUR_MS, now_unix_ms=NOW_MS).cells == {}


def test_merged_windows_equal_the_window_of_a_single_vm() -> None:
    rng = random.Random(7)
    recorders = [make_recorder() for _ in range(3)]
    single_recorder = make_recorder()
    for _ in range(3_000):
        key = rng.choice([GOOD_KEY, BAD_KEY])
        latency_ms = rng.expovariate(1 / 200)
        for recorder in (rng.choice(recorders), single_recorder):
            recorder.record(key, latency_ms=latency_ms, now_unix_ms=NOW_MS)
    total = SliWindow()
    for recorder in recorders:
        total.merge(recorder.window(HOUR_MS, now_unix_ms=NOW_MS))
    expected = single_recorder.window(HOUR_MS, now_unix_ms=NOW_MS)
    assert total.cells == expected.cells
    assert total.latencies["urgent"].bins() == expected.latencies["urgent"].bins()


def test_sketch_is_restored_from_its_bins() -> None:
    sketch = LatencySketch()
    for latency_ms in range(1, 1_001):
        sketch.add(latency_ms)
    restored = merge_sketches([LatencySketch(sketch.bins())])
    assert restored.count == 1_000
    assert restored.quantile_ms(0.99) == sketch.quantile_ms(0.99)
    assert 970 <= restored.quantile_ms(0.99) <= 1_010


def test_large_window_is_compacted_and_keeps_the_worst_cells() -> None:
    recorder = make_recorder()
    worst_key = replace(BAD_KEY, upstream="engine-worst")
    for minute in range(60):
        now_ms = NOW_MS + minute * MINUTE_MS
        for number in range(100):
            engine = f"engine-{minute}-{number}"
            recorder.record(replace(GOOD_KEY, upstream=engine), latency_ms=5, now_unix_ms=now_ms)
        recorder.record(worst_key, latency_ms=5, now_unix_ms=now_ms)
    window = recorder.window(HOUR_MS, now_unix_ms=now_ms)
    assert len(window.cells) <= 1_010
    assert window.cells[worst_key].bad_count == 60
    assert window.total(lambda key: key.tier == "urgent") == SliCounts(6_000, 60)


def test_many_organisations_use_bounded_memory_without_losing_counts() -> None:
    recorder = make_recorder()
    recorder.set_separate_organisations(frozenset({"organisation-9999"}))
    for number in range(10_000):
        key = SliKey("urgent", f"organisation-{number}", "diagnosis", "engine-1", "v1")
        recorder.record(key, latency_ms=5, now_unix_ms=NOW_MS)
    window = recorder.window(HOUR_MS, now_unix_ms=NOW_MS)
    assert len(window.cells) < 500
    assert window.total(lambda key: key.tier == "urgent").good_count == 10_000
    assert window.total(lambda key: key.organisation == "organisation-9999").good_count == 1
    assert window.total(lambda key: key.organisation == OTHER_NAMES).good_count > 9_000
