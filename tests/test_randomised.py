"""A short randomised run; ``scripts/check --long`` runs a longer one.

``python -m tests.randomised`` runs any number of requests and faults.
"""

import os

import pytest

from tests.randomised import run

RUNS = [(1, 2_000, 100)] if os.environ.get("AZURETURN_LONG") else [(1, 150, 14)]


@pytest.mark.parametrize(("seed", "requests", "faults"), RUNS)
def test_random_requests_and_faults_cause_no_violations(
    seed: int, requests: int, faults: int
) -> None:
    report = run(requests=requests, faults=faults, seed=seed)
    assert report["faults"] == faults
    assert report["first_violations"] == []
