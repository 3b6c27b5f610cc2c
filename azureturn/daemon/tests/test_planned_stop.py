"""A planned stop ends only after all requests have finished or its time limit has passed."""

from itertools import chain, repeat

from azureturn.serving import PlannedStop, StopLimits


def test_stop_waits_for_a_request_that_is_still_being_read() -> None:
    """A request that is still being read is not counted; it appears after two idle polls."""
    counts = chain([0, 0, 3, 2, 1], repeat(0))
    polled_counts: list[int] = []

    def unfinished() -> int:
        polled_counts.append(next(counts))
        return polled_counts[-1]

    stop = PlannedStop(lambda: StopLimits(1, 10_000), unfinished=unfinished)
    assert stop.run(announce=lambda: None) == 0
    assert polled_counts[:5] == [0, 0, 3, 2, 1]


def test_stop_limit_returns_the_number_of_unfinished_requests() -> None:
    stop = PlannedStop(lambda: StopLimits(1, 1), unfinished=lambda: 2)
    assert stop.run(announce=lambda: None) == 2
