"""How fast this VM places the requests of a service, and so how long one would wait."""

import math
from dataclasses import dataclass

from azureturn.core import Table
from azureturn.core import changed_row as changed

_RATE_WINDOW_MS = 1_500.0
#: Rate that is assumed until one was seen, in requests a millisecond.
_FIRST_RATE = 0.05
_LEAST_RATE = 0.000_5


@dataclass(frozen=True)
class PlacementRate:
    """Requests placed in a millisecond while others waited."""

    rate: float = _FIRST_RATE
    placed: int = 0
    counted_at_ms: int = 0

    def with_placed(self) -> "PlacementRate":
        """Return a copy after one more placement."""
        return changed(self, placed=self.placed + 1)

    def with_time(self, now_ms: int, *, waiting: int) -> "PlacementRate":
        """Return a copy that takes in what was placed since the last time.

        Without anything waiting, what was placed says only that the rate is at least that.
        """
        passed_ms = now_ms - self.counted_at_ms
        if passed_ms <= 0:
            return self
        rate = self.placed / passed_ms
        weight = 1.0 - math.exp(-passed_ms / _RATE_WINDOW_MS)
        if waiting or rate > self.rate:
            rate = self.rate + weight * (rate - self.rate)
        else:
            rate = self.rate + weight * (_FIRST_RATE - self.rate)
        return PlacementRate(max(_LEAST_RATE, rate), 0, now_ms)

    def wait_ms(self, ahead: int) -> float:
        """Return how long a request waits behind so many others."""
        return ahead / self.rate


class PlacementRateTable(Table[str, PlacementRate]):
    """Rates by service."""

    def of(self, service: str) -> PlacementRate:
        """Return a service's rate."""
        return self.get(service) or PlacementRate()
