"""Tests of evidence: merging, encoding as gossip rows and the statistical test."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.core.membership import GossipRow, RowKey, Topic
from azureturn.core.moves import (
    Counts,
    Defect,
    EvidenceKey,
    EvidenceRow,
    EvidenceSource,
    Judge,
    MoveEvidence,
    MoveReason,
    MoveRecord,
    SlowThresholds,
    defects_of,
    evidence_from_row,
    evidence_to_rows,
)

RECORD = MoveRecord(
    "0123456789ab",
    "model",
    "v1",
    "v2",
    0,
    600_000,
    thresholds=(SlowThresholds("route", 100.0, 20.0),),
)
SOURCE = EvidenceSource("vm-1", "1")
ROUTES = ("route", "other")

counts = st.builds(
    Counts,
    st.integers(0, 50),
    st.integers(0, 50),
    st.tuples(*[st.integers(0, 50)] * len(Defect)),
)
keys = st.builds(
    EvidenceKey, st.integers(0, 3), st.integers(-1, 4), st.sampled_from(ROUTES), st.booleans()
)
rows = st.lists(
    st.builds(
        EvidenceRow,
        st.sampled_from([SOURCE, EvidenceSource("vm-2", "1"), EvidenceSource("vm-2", "2")]),
        st.just(RECORD.move_id),
        keys,
        counts,
    ),
    max_size=20,
)


@given(rows, st.randoms(use_true_random=False))
def test_pooling_is_order_independent_and_idempotent(
    received: list[EvidenceRow], rng: random.Random
) -> None:
    in_order, shuffled = MoveEvidence(RECORD.move_id), MoveEvidence(RECORD.move_id)
    for row in received:
        in_order.merge(row)
    repeated = [*received, *received]
    rng.shuffle(repeated)
    for row in repeated:
        shuffled.merge(row)
    assert {k: v for k, v in in_order.pooled.items() if v != Counts()} == {
        k: v for k, v in shuffled.pooled.items() if v != Counts()
    }


@given(st.dictionaries(keys, counts, max_size=12))
def test_evidence_round_trips_through_gossip_rows(evidence: dict[EvidenceKey, Counts]) -> None:
    decoded = {}
    for name, numbers in evidence_to_rows(RECORD, evidence.items()):
        row = GossipRow(RowKey("vm-1", Topic.EVIDENCE, name), 1, 1, numbers)
        for evidence_row in evidence_from_row(row, [RECORD], ROUTES):
            assert evidence_row.source == SOURCE
            decoded[evidence_row.key] = evidence_row.counts
    # The busy count of the old version is not transmitted.
    expected = {
        key: value if key.is_new else replace(value, busy=0) for key, value in evidence.items()
    }
    assert decoded == {key: value for key, value in expected.items() if value != Counts()}


@given(st.text(max_size=12), st.lists(st.integers(-(1 << 63), 1 << 63), max_size=40))
def test_unrelated_gossip_rows_yield_no_evidence(name: str, numbers: list[int]) -> None:
    row = GossipRow(RowKey("vm-1", Topic.EVIDENCE, name), 1, 1, tuple(numbers))
    assert not list(evidence_from_row(row, [RECORD], ROUTES))


def test_slowness_uses_the_thresholds_of_the_route() -> None:
    assert defects_of(RECORD, "route", 101.0, 60.0) == (0, 1, 0, 1, 1)
    assert defects_of(RECORD, "other", 101.0, 60.0) == (0, 0, 0, 0, 0)


def run_judge(
    *,
    new_failures: float,
    old_failures: float,
    stages: tuple[int, ...],
    seed: int,
    close_epochs: bool,
) -> tuple[bool, MoveReason, int]:
    """Simulate 40 answers per second for 60 s per stage.

    Returns whether the version was condemned, the reason, and the new version's sample count.
    """
    rng = random.Random(seed)
    move_evidence, judge = MoveEvidence(RECORD.move_id), Judge(RECORD)
    samples = 0
    for second in range(60 * len(stages)):
        stage, epoch = stages[second // 60], second // 10
        if close_epochs:
            judge.close_before(epoch - 2, move_evidence)
            move_evidence.close_before(epoch - 2)
        for _ in range(40):
            is_new = rng.random() < RECORD.stages[stage]
            fails = rng.random() < (new_failures if is_new else old_failures)
            samples += is_new
            key = EvidenceKey(epoch, stage, "route", is_new)
            move_evidence.add(SOURCE, key, Counts(1, 0, (int(fails), 0, 0, 0, 0)))
        verdict = judge.verdict(move_evidence)
        if verdict.condemned:
            return True, verdict.reason, samples
    return False, MoveReason.NONE, samples


CASES = {
    "good": (0.01, 0.01, (0, 1, 2, 3, 4), False),
    "good with a high failure rate on both": (0.3, 0.3, (0, 1, 2, 3, 4), False),
    "bad at once": (0.4, 0.01, (0,), True),
    "bad with all requests": (0.2, 0.01, (3, 4), True),
}


@pytest.mark.parametrize("close_epochs", [False, True])
@pytest.mark.parametrize("case", CASES)
def test_verdict_matches_the_simulated_failure_rates(case: str, close_epochs: bool) -> None:
    new, old, stages, bad = CASES[case]
    for seed in range(5):
        condemned, reason, _ = run_judge(
            new_failures=new, old_failures=old, stages=stages, seed=seed, close_epochs=close_epochs
        )
        assert condemned is bad
        assert reason is (MoveReason.FAILURES if bad else MoveReason.NONE)


def test_version_failing_half_its_requests_is_condemned_within_30_samples() -> None:
    samples = [
        run_judge(new_failures=0.5, old_failures=0.005, stages=(0,), seed=seed, close_epochs=True)[
            2
        ]
        for seed in range(10)
    ]
    assert max(samples) <= 30
