"""The pace of a stream shows how fast its engine is, whatever else the engine prefills."""

import pytest

from azureturn.gateway.exchange._response_progress import ResponseProgress


@pytest.mark.parametrize(
    ("batches", "pace_ms"),
    [
        ([], 0),
        ([(0, 1)], 0),
        ([(0, 1), (40, 1), (80, 1), (120, 1), (160, 1)], 40),
        # Long prompts of others delay two events of five.
        ([(0, 1), (40, 1), (740, 1), (780, 1), (1_480, 1), (1_520, 1)], 40),
        # Events that arrive together after a delay in the network.
        ([(0, 1), (40, 1), (160, 3), (200, 1), (240, 1)], 40),
    ],
    ids=["no event", "one event", "steady", "delayed by prompts", "received together"],
)
def test_the_pace_is_that_of_the_undelayed_intervals(
    batches: list[tuple[int, int]], pace_ms: int
) -> None:
    """With the mean interval, engines that prefilled much were taken for slow ones."""
    progress = ResponseProgress()
    for at_ms, count in batches:
        progress.record(count, at_ms)
    assert progress.pace_ms == pace_ms
