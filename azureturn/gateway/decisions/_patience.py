"""How long a request had been under way before it came here, told from its caller's patience."""

from collections import deque

from azureturn.framework import Table

#: Requests of a route from which the callers' usual patience is told.
_KEPT_REQUESTS = 256
#: The usual patience is worked out anew after so many requests.
_RENEWAL_REQUESTS = 16
#: Position of the usual patience among those kept; a few callers may wait for longer.
_USUAL_QUANTILE = 0.95
#: Shorter spans are the way here, not an earlier attempt.
_LEAST_WAITED_MS = 60


class PatienceHistory:
    """What the callers of one route said of late of how long they still wait.

    A caller that comes back after a refusal says what is left of its time.
    """

    def __init__(self) -> None:
        self._kept: deque[int] = deque(maxlen=_KEPT_REQUESTS)
        self._usual_ms = 0
        self._noted = 0

    def waited_ms(self, patience_ms: int) -> int:
        """Return how long a caller with this patience has waited already, and remember it."""
        self._kept.append(patience_ms)
        self._noted += 1
        if self._noted % _RENEWAL_REQUESTS == 0 or self._noted < _RENEWAL_REQUESTS:
            ordered = sorted(self._kept)
            self._usual_ms = ordered[int(_USUAL_QUANTILE * len(ordered))]
        waited_ms = self._usual_ms - patience_ms
        return waited_ms if waited_ms >= _LEAST_WAITED_MS else 0


class PatienceTable(Table[str, PatienceHistory]):
    """Histories by the route's name."""

    def of(self, route: str) -> PatienceHistory:
        """Return a route's history, made when first asked for."""
        history = self.get(route)
        if history is None:
            history = PatienceHistory()
            self.put(route, history)
        return history
