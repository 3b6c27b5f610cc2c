"""Estimate of the rate at which requests leave a queue, and of the resulting waiting time."""

import math
from dataclasses import dataclass

from azureturn.framework._blackboard import Table
from azureturn.framework._rows import changed

#: Time constant of the exponential smoothing of rates.
_RATE_TIME_CONSTANT_MS = 2_000.0
#: Requests of more urgent tiers are expected to arrive at the present rate for this long.
_HORIZON_MS = 20_000.0
#: Minimum share of the placement rate that a tier is assumed to get within the horizon.
_MIN_SHARE = 0.05
#: The same beyond the horizon.
_MIN_SHARE_BEYOND_HORIZON = 0.5


@dataclass(frozen=True)
class DrainRate:
    """Rates at which work arrives in a queue and is placed from it, in tokens per millisecond.

    The target of a queue is the service or model that its requests are for.
    """

    placement_rate: float = 0.0
    #: Indexed by tier rank.
    arrival_rates: tuple[float, ...] = ()
    updated_at_ms: int = 0
    #: Since when the rates are measured.
    began_at_ms: int = 0
    #: Work placed since the last update.
    placed_tokens: float = 0.0
    #: Work that has arrived since the last update, indexed by tier rank.
    arrived_tokens: tuple[float, ...] = ()

    def with_placed(self, tokens: float) -> "DrainRate":
        """Return a copy that counts ``tokens`` more of placed work."""
        return changed(self, placed_tokens=self.placed_tokens + tokens)

    def with_arrived(self, rank: int, tokens: float) -> "DrainRate":
        """Return a copy that counts ``tokens`` more of arriving work in a tier."""
        counts = list(self.arrived_tokens) + [0.0] * (rank + 1 - len(self.arrived_tokens))
        counts[rank] += tokens
        return changed(self, arrived_tokens=tuple(counts))

    def with_time(self, now_ms: int, *, backlogged: bool) -> "DrainRate":
        """Return a copy whose rates include the work counted since the last update.

        While requests are queued (``backlogged``), the placement rate shows how fast the queue can
        be emptied. With an empty queue it is limited by the arrivals, so it may only raise the
        estimate.
        """
        if not self.updated_at_ms:
            # What was counted before belongs to a time of unknown length.
            return DrainRate(began_at_ms=now_ms, updated_at_ms=now_ms)
        elapsed_ms = now_ms - self.updated_at_ms
        if elapsed_ms <= 0:
            return self
        # At first the rates are averages over the whole time.
        weight = max(
            1.0 - math.exp(-elapsed_ms / _RATE_TIME_CONSTANT_MS),
            elapsed_ms / (now_ms - self.began_at_ms),
        )
        rate = self.placed_tokens / elapsed_ms
        placement_rate = self.placement_rate
        if backlogged or rate > placement_rate:
            placement_rate += weight * (rate - placement_rate)
        ranks = max(len(self.arrival_rates), len(self.arrived_tokens))
        old = list(self.arrival_rates) + [0.0] * (ranks - len(self.arrival_rates))
        new = list(self.arrived_tokens) + [0.0] * (ranks - len(self.arrived_tokens))
        arrival_rates = tuple(
            previous + weight * (tokens / elapsed_ms - previous)
            for previous, tokens in zip(old, new, strict=True)
        )
        return DrainRate(placement_rate, arrival_rates, now_ms, self.began_at_ms)

    def wait_ms(self, rank: int, tokens_ahead: float, *, min_share: float = _MIN_SHARE) -> float:
        """Return the expected wait of a request in a tier, behind ``tokens_ahead`` queued.

        Within the horizon the tier is assumed to get ``min_share`` of the placement rate at least.
        """
        if tokens_ahead <= 0.0 or self.placement_rate <= 0.0:
            return 0.0
        rate = max(
            self.placement_rate - sum(self.arrival_rates[:rank]), min_share * self.placement_rate
        )
        within_horizon = rate * _HORIZON_MS
        if tokens_ahead <= within_horizon:
            return tokens_ahead / rate
        rate_beyond_horizon = max(rate, _MIN_SHARE_BEYOND_HORIZON * self.placement_rate)
        return _HORIZON_MS + (tokens_ahead - within_horizon) / rate_beyond_horizon


class DrainTable(Table[str, DrainRate]):
    """Drain rates, keyed by target."""

    def of(self, target: str) -> DrainRate:
        """Return the rates of a target, zero for a new one."""
        return self.get(target) or DrainRate()
