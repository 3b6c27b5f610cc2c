"""How many requests this VM works on at the same time.

Each request that is sent to an upstream takes processor time until its response ends. Beyond what
the VM can do in time, every further one delays all others, so that none is answered in time. The
number is found like a congestion window: it shrinks by a share while tasks are delayed, and grows
by one at a time while they are not.
"""

from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed

#: Delay of all tasks above which the VM has more to do than it can. It is short beside the time
#: that upstreams take, and long beside one step of a task.
_TARGET_DELAY_MS = 30.0
#: How often the limit is changed; the effect of a change shows only after some time.
_ADJUSTMENT_INTERVAL_MS = 100
_DECREASE_FACTOR = 0.85
_INCREASE_REQUESTS = 1.0
#: With fewer requests the VM would learn too seldom whether it can work on more.
_MIN_REQUESTS = 2.0


@dataclass(frozen=True)
class ProcessingLimit:
    """The limit, and when it was last changed."""

    requests: float
    adjusted_at_ms: int = 0

    def with_delay(
        self, delay_ms: int, *, in_progress: int, max_requests: int, now_ms: int
    ) -> "ProcessingLimit":
        """Return the limit after tasks were delayed by ``delay_ms`` at least.

        >>> limit = ProcessingLimit(400.0)
        >>> limit.with_delay(200, in_progress=20, max_requests=400, now_ms=1_000).requests
        17.0
        """
        if now_ms - self.adjusted_at_ms < _ADJUSTMENT_INTERVAL_MS:
            return self
        if delay_ms > _TARGET_DELAY_MS:
            requests = min(self.requests, float(in_progress)) * _DECREASE_FACTOR
            return changed(self, requests=max(_MIN_REQUESTS, requests), adjusted_at_ms=now_ms)
        if self.requests < max_requests and in_progress + 1 >= self.requests:
            requests = min(float(max_requests), self.requests + _INCREASE_REQUESTS)
            return changed(self, requests=requests, adjusted_at_ms=now_ms)
        return self


class ProcessingLimitTable(Table[str, ProcessingLimit]):
    """Contains the limit in its only row; there is none before the first delay."""

    _CURRENT = "current"

    def current(self) -> ProcessingLimit | None:
        """Return the limit, or None if tasks have not been delayed yet."""
        return self.get(self._CURRENT)

    def replace(self, limit: ProcessingLimit) -> None:
        """Replace the limit."""
        self.put(self._CURRENT, limit)

    def allows_another(self, in_progress: int) -> bool:
        """Return whether this VM may work on one more request than ``in_progress``."""
        limit = self.current()
        return limit is None or in_progress < limit.requests
