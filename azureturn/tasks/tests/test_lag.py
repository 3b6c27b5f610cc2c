"""When events may have happened, and how long ready tasks wait, as the loop measures it."""

import pytest

from azureturn.tasks import LagMeter


@pytest.mark.parametrize(
    ("poll_began_s", "timeout_s", "poll_ended_s", "expected_s"),
    [
        # The loop was idle, and an event ended the poll.
        (10.0, None, 13.0, 13.0),
        (10.0, 0.05, 10.02, 10.02),
        # The process did not run after the poll was to end.
        (10.0, 0.05, 12.0, 10.05),
        # The loop was busy since the poll before, which ended at 9.
        (10.0, 0.0, 10.0, 9.0),
    ],
    ids=["idle", "in time", "late", "busy"],
)
def test_an_event_may_have_happened_since_the_process_would_have_noticed_it(
    poll_began_s: float, timeout_s: float | None, poll_ended_s: float, expected_s: float
) -> None:
    lag = LagMeter(8.0)
    lag.begin_poll(8.0, None)
    lag.end_poll(9.0, found_events=False)
    lag.begin_poll(poll_began_s, timeout_s)
    lag.end_poll(poll_ended_s, found_events=True)
    assert lag.arrived_since_s == pytest.approx(expected_s)


def test_a_late_poll_without_events_does_not_show_that_nothing_has_happened() -> None:
    """A signal interrupts it, for instance when a stopped process is continued."""
    lag = LagMeter(8.0)
    lag.begin_poll(10.0, 0.05)
    lag.end_poll(12.0, found_events=False)
    lag.begin_poll(12.0, 0.0)
    lag.end_poll(12.0, found_events=True)
    assert lag.arrived_since_s == pytest.approx(10.05)


@pytest.mark.parametrize(
    ("delays_s", "was_idle", "expected_s"),
    [([], False, None), ([0.3, 0.2, 0.4], False, 0.2), ([0.3], True, 0.0)],
    ids=["nothing resumed", "all late", "idle in between"],
)
def test_the_shortest_delay_shows_whether_all_tasks_are_late(
    delays_s: list[float], was_idle: bool, expected_s: float | None
) -> None:
    lag = LagMeter(0.0)
    for delay_s in delays_s:
        lag.record_delay(delay_s)
    if was_idle:
        lag.begin_poll(1.0, 0.05)
    assert lag.take_shortest_delay_s() == expected_s
    assert lag.take_shortest_delay_s() is None
