"""The end of a planned stop: nothing is let in between the last look and the end."""

from azureturn.serving import QUIET_POLLS, PlannedStop, StopLimits, StopStage


def test_after_a_quiet_time_everything_is_refused_before_the_stop_ends() -> None:
    stages: list[StopStage] = []

    def unfinished() -> int:
        stages.append(stop.stage)
        return 0

    stop = PlannedStop(StopLimits(0, 5_000), unfinished=unfinished)
    assert stop.run(announce=lambda: None) == 0
    assert stages.count(StopStage.FINISHING) == QUIET_POLLS
    assert stages.count(StopStage.CLOSING) >= QUIET_POLLS


def test_a_request_that_came_last_is_waited_for_while_others_are_refused() -> None:
    left = [1] * 5

    def unfinished() -> int:
        return left.pop() if stop.stage is StopStage.CLOSING and left else 0

    stop = PlannedStop(StopLimits(0, 5_000), unfinished=unfinished)
    assert stop.run(announce=lambda: None) == 0
    assert not left
