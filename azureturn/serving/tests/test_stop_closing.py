"""A planned stop refuses new requests before its last check for unfinished work.

A request accepted between that check and the end would be aborted without being counted.
"""

from azureturn.serving import IDLE_POLLS, PlannedStop, StopLimits, StopStage


def test_new_requests_are_refused_before_the_last_check_for_unfinished_work() -> None:
    stages: list[StopStage] = []

    def unfinished() -> int:
        stages.append(stop.stage)
        return 0

    stop = PlannedStop(lambda: StopLimits(0, 5_000), unfinished=unfinished)
    assert stop.run(announce=lambda: None) == 0
    assert stages.count(StopStage.FINISHING) == IDLE_POLLS
    assert stages.count(StopStage.CLOSING) >= IDLE_POLLS


def test_stop_waits_for_a_request_that_arrived_just_before_refusals_began() -> None:
    remaining = [1] * 5

    def unfinished() -> int:
        return remaining.pop() if stop.stage is StopStage.CLOSING and remaining else 0

    stop = PlannedStop(lambda: StopLimits(0, 5_000), unfinished=unfinished)
    assert stop.run(announce=lambda: None) == 0
    assert not remaining


def test_a_stop_goes_by_the_limits_in_force() -> None:
    # Guards against LOST: a stop went by the grace period from before the settings changed.
    remaining = [1] * 5
    stop_limit_ms = 0

    def unfinished() -> int:
        return remaining.pop() if remaining else 0

    stop = PlannedStop(lambda: StopLimits(0, stop_limit_ms), unfinished=unfinished)
    stop_limit_ms = 5_000
    assert stop.run(announce=lambda: None) == 0
    assert not remaining
