"""Estimate of how long callers waited before a request, from the time-outs that they state."""

from collections import deque

from azureturn.framework import Table

#: Number of recent requests of a route that the typical time-out is computed from.
_HISTORY_SIZE = 256
#: Number of requests after which the typical time-out is recomputed.
_RECOMPUTE_INTERVAL = 16
#: Quantile of the recent time-outs that is taken as typical; below 1 because a few callers may
#: wait for longer.
_TYPICAL_QUANTILE = 0.95
#: A time-out that is shorter than the typical one by less than this is attributed to network
#: transit, not to an earlier attempt.
_MIN_PRIOR_WAIT_MS = 60


class CallerTimeoutHistory:
    """Recent time-outs stated by the callers of one route.

    A caller that retries after a refusal states what is left of its original time-out.
    """

    def __init__(self) -> None:
        self._recent: deque[int] = deque(maxlen=_HISTORY_SIZE)
        self._typical_ms = 0
        self._count = 0

    def prior_wait_ms(self, timeout_ms: int) -> int:
        """Record a stated time-out, and return how long its caller has probably waited already."""
        self._recent.append(timeout_ms)
        self._count += 1
        if self._count % _RECOMPUTE_INTERVAL == 0 or self._count < _RECOMPUTE_INTERVAL:
            ascending = sorted(self._recent)
            self._typical_ms = ascending[int(_TYPICAL_QUANTILE * len(ascending))]
        prior_wait_ms = self._typical_ms - timeout_ms
        return prior_wait_ms if prior_wait_ms >= _MIN_PRIOR_WAIT_MS else 0


class CallerTimeoutTable(Table[str, CallerTimeoutHistory]):
    """Time-out histories, keyed by route name."""

    def of(self, route: str) -> CallerTimeoutHistory:
        """Return the history of a route, creating it on first use."""
        history = self.get(route)
        if history is None:
            history = CallerTimeoutHistory()
            self.put(route, history)
        return history
