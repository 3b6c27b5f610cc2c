"""Until when this VM can answer requests, once its planned stop has begun."""

from azureturn.framework import Table


class PlannedStopTable(Table[str, int]):
    """Contains the time at which the stop ends in its only row; there is none before a stop.

    >>> table = PlannedStopTable()
    >>> table.time_left_ms(1_000), table.allows_until(1_000_000)
    (None, True)
    >>> table.begin(8_000)
    >>> table.time_left_ms(1_000), table.allows_until(9_000)
    (7000, False)
    """

    _CURRENT = "current"

    def begin(self, ends_at_ms: int) -> None:
        """Record that a stop has begun."""
        self.put(self._CURRENT, ends_at_ms)

    def time_left_ms(self, now_ms: int) -> int | None:
        """Return the time until the stop ends; None if none has begun."""
        ends_at_ms = self.get(self._CURRENT)
        return None if ends_at_ms is None else ends_at_ms - now_ms

    def allows_until(self, at_ms: float) -> bool:
        """Return whether an answer that ends at this time ends before the stop does."""
        ends_at_ms = self.get(self._CURRENT)
        return ends_at_ms is None or at_ms <= ends_at_ms
