"""How late a loop is: when events may have happened, and how long ready tasks wait."""


class LagMeter:
    """Measures the lag of one loop; all times are in seconds of the monotonic clock.

    An event that a poll finds has happened after the poll before, as that one did not find it. If a
    poll was to end at a certain time and ends later, the process did not run in between, and the
    event may have happened since then.
    """

    def __init__(self, now_s: float) -> None:
        #: What happened until this time was found by the latest poll, or by one before it.
        self.polled_s = now_s
        #: When the latest poll ended, and its events became known.
        self.found_s = now_s
        #: When the events that the latest poll found may have happened, at the earliest.
        self.arrived_since_s = now_s
        self._poll_began_s = now_s
        self._poll_timeout_s: float | None = None
        self._shortest_delay_s: float | None = None

    def begin_poll(self, now_s: float, timeout_s: float | None) -> None:
        """Record that a poll begins, and how long it may wait for an event."""
        self._poll_began_s = now_s
        self._poll_timeout_s = timeout_s
        if timeout_s is None or timeout_s > 0:
            # No task is ready.
            self._shortest_delay_s = 0.0

    def end_poll(self, now_s: float, *, found_events: bool) -> None:
        """Record that a poll has ended."""
        self.found_s = now_s
        due_s = now_s
        if self._poll_timeout_s is not None:
            due_s = min(now_s, self._poll_began_s + self._poll_timeout_s)
        self.arrived_since_s = self.polled_s if self._poll_timeout_s == 0.0 else due_s
        # A poll that ends late and without events may have been interrupted by a signal, and then
        # has not looked for them.
        self.polled_s = self._poll_began_s if found_events else due_s

    def record_delay(self, delay_s: float) -> None:
        """Record how long a task of a request was known to be ready before it was resumed.

        Time in which the process did not run before it knew is no sign of too many requests.
        """
        if self._shortest_delay_s is None or delay_s < self._shortest_delay_s:
            self._shortest_delay_s = delay_s

    def take_shortest_delay_s(self) -> float | None:
        """Return the shortest delay since the last call; None if no task was resumed since.

        A burst delays some tasks; only if all are delayed is there more to do than can be done.
        """
        delay_s, self._shortest_delay_s = self._shortest_delay_s, None
        return delay_s
