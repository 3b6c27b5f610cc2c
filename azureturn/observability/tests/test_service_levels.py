"""Service levels: exact sums over VMs, honest windows, bounded memory."""

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
    LevelCounts,
    LevelKey,
    LevelWindow,
    ServiceLevels,
    merged_sketch,
)

NOW_MS = 1_000 * HOUR_MS + 30_000
GOOD = LevelKey("urgent", "desk", "diagnosis", "engine-1", "v1")
BAD = LevelKey("urgent", "desk", "diagnosis", "engine-1", "v1", "upstream_failed")


def levels() -> ServiceLevels:
    made = ServiceLevels(started_at_unix_ms=0)
    made.keep_apart(frozenset({"desk"}))
    return made


def test_windows_count_what_falls_in_them() -> None:
    one = levels()
    ages_ms = {"now": 0, "4 min": 4 * MINUTE_MS, "50 min": 50 * MINUTE_MS, "5 h": 5 * HOUR_MS}
    for age_ms in sorted(ages_ms.values(), reverse=True):
        one.record(BAD, latency_ms=1, now_unix_ms=NOW_MS - age_ms)
    counts = {
        window_ms: one.window(window_ms, now_unix_ms=NOW_MS).cells[BAD].bad_count
        for window_ms in (5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, LONGEST_WINDOW_MS)
    }
    assert list(counts.values()) == [2, 3, 4, 4]


def test_what_is_older_than_the_longest_window_is_gone() -> None:
    one = levels()
    one.record(BAD, latency_ms=1, now_unix_ms=NOW_MS - LONGEST_WINDOW_MS)
    one.record(GOOD, latency_ms=1, now_unix_ms=NOW_MS)
    assert one.window(LONGEST_WINDOW_MS, now_unix_ms=NOW_MS).cells == {GOOD: LevelCounts(1, 0)}


@pytest.mark.parametrize("kind", [ErrorKind.MALFORMED_JSON, ErrorKind.CALLER_GONE])
def test_the_callers_own_doing_does_not_count(kind: ErrorKind) -> None:
    one = levels()
    key = LevelKey("urgent", "desk", "diagnosis", error_kind=kind.value)
    one.record(key, latency_ms=1, now_unix_ms=NOW_MS)
    assert one.window(HOUR_MS, now_unix_ms=NOW_MS).cells == {}


def test_windows_of_vms_add_up_to_that_of_one_vm_which_saw_all() -> None:
    chance = random.Random(7)
    vms = [levels() for _ in range(3)]
    whole = levels()
    for _ in range(3_000):
        key = chance.choice([GOOD, BAD])
        latency_ms = chance.expovariate(1 / 200)
        for one in (chance.choice(vms), whole):
            one.record(key, latency_ms=latency_ms, now_unix_ms=NOW_MS)
    total = LevelWindow()
    for one in vms:
        total.merge(one.window(HOUR_MS, now_unix_ms=NOW_MS))
    expected = whole.window(HOUR_MS, now_unix_ms=NOW_MS)
    assert total.cells == expected.cells
    assert total.latencies["urgent"].bins() == expected.latencies["urgent"].bins()


def test_a_histogram_survives_its_bins() -> None:
    sketch = LatencySketch()
    for latency_ms in range(1, 1_001):
        sketch.add(latency_ms)
    again = merged_sketch([LatencySketch(sketch.bins())])
    assert again.count == 1_000
    assert again.quantile_ms(0.99) == sketch.quantile_ms(0.99)
    assert 970 <= again.quantile_ms(0.99) <= 1_010


def test_a_window_of_many_buckets_stays_small_and_shows_the_worst() -> None:
    one = levels()
    worst = replace(BAD, upstream="engine-worst")
    for minute in range(60):
        now_ms = NOW_MS + minute * MINUTE_MS
        for number in range(100):
            engine = f"engine-{minute}-{number}"
            one.record(replace(GOOD, upstream=engine), latency_ms=5, now_unix_ms=now_ms)
        one.record(worst, latency_ms=5, now_unix_ms=now_ms)
    window = one.window(HOUR_MS, now_unix_ms=now_ms)
    assert len(window.cells) <= 1_010
    assert window.cells[worst].bad_count == 60
    assert window.total(lambda key: key.tier == "urgent") == LevelCounts(6_000, 60)


def test_many_organisations_take_bounded_memory_and_lose_no_count() -> None:
    one = levels()
    one.keep_apart(frozenset({"organisation-9999"}))
    for number in range(10_000):
        key = LevelKey("urgent", f"organisation-{number}", "diagnosis", "engine-1", "v1")
        one.record(key, latency_ms=5, now_unix_ms=NOW_MS)
    window = one.window(HOUR_MS, now_unix_ms=NOW_MS)
    assert len(window.cells) < 500
    assert window.total(lambda key: key.tier == "urgent").good_count == 10_000
    assert window.total(lambda key: key.organisation == "organisation-9999").good_count == 1
    assert window.total(lambda key: key.organisation == OTHER_NAMES).good_count > 9_000
