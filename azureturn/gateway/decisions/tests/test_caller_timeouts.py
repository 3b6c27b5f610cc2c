"""Estimate of callers' prior waiting time."""

import pytest

from azureturn.gateway.decisions._caller_timeouts import CallerTimeoutHistory


@pytest.mark.parametrize(
    ("previous_timeouts_ms", "caller_timeout_ms", "expected"),
    [
        ([], 12_000, 0),
        ([12_000], 11_990, 0),
        ([12_000] * 5, 10_800, 1_200),
        # During an overload most callers are retrying; the other callers set the typical time-out.
        ([12_000] * 4 + [10_900] * 26, 10_700, 1_300),
        # One caller with a time-out of an hour does not change the typical time-out.
        ([12_000] * 40 + [3_600_000], 12_000, 0),
    ],
    ids=["first", "network transit", "retry", "mostly retries", "one outlier"],
)
def test_difference_from_the_typical_timeout_is_the_prior_wait(
    previous_timeouts_ms: list[int], caller_timeout_ms: int, expected: int
) -> None:
    history = CallerTimeoutHistory()
    for timeout_ms in previous_timeouts_ms:
        history.prior_wait_ms(timeout_ms)
    assert history.prior_wait_ms(caller_timeout_ms) == expected
