"""When a planned stop takes itself to be done."""

from itertools import chain, repeat

from azureturn.serving import PlannedStop, StopLimits


def test_a_request_that_is_just_being_read_is_waited_for() -> None:
    """Nothing is unfinished for a moment, then a request that was being read counts."""
    counts = chain([0, 0, 3, 2, 1], repeat(0))
    seen: list[int] = []

    def unfinished() -> int:
        seen.append(next(counts))
        return seen[-1]

    stop = PlannedStop(StopLimits(1, 10_000), unfinished=unfinished)
    assert stop.run(announce=lambda: None) == 0
    assert seen[:5] == [0, 0, 3, 2, 1]


def test_the_limit_reports_what_was_cut() -> None:
    stop = PlannedStop(StopLimits(1, 1), unfinished=lambda: 2)
    assert stop.run(announce=lambda: None) == 2
