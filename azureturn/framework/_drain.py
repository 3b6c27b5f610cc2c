"""How fast a queue drains, and so when a request could be served."""

import math
from dataclasses import dataclass

from azureturn.framework._blackboard import Table
from azureturn.framework._rows import changed

#: Rates follow changes within about this time.
_RATE_WINDOW_MS = 2_000.0
#: For this long ahead, higher tiers are expected to come as fast as now.
_HORIZON_MS = 20_000.0
#: Share of the whole rate that a tier is thought to get at the least.
_LEAST_SHARE = 0.05
#: Share of the whole rate that a tier is thought to get beyond the horizon.
_LATER_SHARE = 0.5


@dataclass(frozen=True)
class DrainRate:
    """Work that arrives and work that is placed, in tokens a millisecond, for one target."""

    placed: float = 0.0
    #: Arrivals by tier rank.
    arrived: tuple[float, ...] = ()
    updated_at_ms: int = 0
    #: Work since the last update.
    placed_tokens: float = 0.0
    arrived_tokens: tuple[float, ...] = ()

    def with_placed(self, tokens: float) -> "DrainRate":
        """Return a copy that has seen this much placed."""
        return changed(self, placed_tokens=self.placed_tokens + tokens)

    def with_arrived(self, rank: int, tokens: float) -> "DrainRate":
        """Return a copy that has seen this much arrive."""
        counts = list(self.arrived_tokens) + [0.0] * (rank + 1 - len(self.arrived_tokens))
        counts[rank] += tokens
        return changed(self, arrived_tokens=tuple(counts))

    def with_time(self, now_ms: int, *, backlogged: bool) -> "DrainRate":
        """Return a copy whose rates take in what was counted since the last update.

        The rate of placements says how fast the queue drains only while something waits; with
        an empty queue it says how little came.
        """
        passed_ms = now_ms - self.updated_at_ms
        if passed_ms <= 0:
            return self
        weight = 1.0 - math.exp(-passed_ms / _RATE_WINDOW_MS)
        rate = self.placed_tokens / passed_ms
        placed = self.placed
        if backlogged or rate > placed:
            placed += weight * (rate - placed)
        ranks = max(len(self.arrived), len(self.arrived_tokens))
        old = list(self.arrived) + [0.0] * (ranks - len(self.arrived))
        new = list(self.arrived_tokens) + [0.0] * (ranks - len(self.arrived_tokens))
        arrived = tuple(
            before + weight * (tokens / passed_ms - before)
            for before, tokens in zip(old, new, strict=True)
        )
        return DrainRate(placed, arrived, now_ms)

    def wait_ms(self, rank: int, tokens_ahead: float) -> float:
        """Return how long work of a tier waits behind this much other work."""
        if tokens_ahead <= 0.0 or self.placed <= 0.0:
            return 0.0
        rate = max(self.placed - sum(self.arrived[:rank]), _LEAST_SHARE * self.placed)
        within = rate * _HORIZON_MS
        if tokens_ahead <= within:
            return tokens_ahead / rate
        later_rate = max(rate, _LATER_SHARE * self.placed)
        return _HORIZON_MS + (tokens_ahead - within) / later_rate


class DrainTable(Table[str, DrainRate]):
    """Rates by target."""

    def of(self, target: str) -> DrainRate:
        """Return the rates of a target."""
        return self.get(target) or DrainRate()
