"""What became of each request, and the figures of one run."""

from collections import Counter
from dataclasses import dataclass, field

from benchmarks.policy._workload import Arrival

#: Intervals between tokens are counted in bins of this many milliseconds.
_BIN_MS = 2


@dataclass
class Outcome:
    """One request's fate."""

    arrival: Arrival
    #: The VM that answers for it, which a peer's taking it changes.
    vm: int
    upstream: int = -1
    dispatched_at_ms: float = 0.0
    first_token_at_ms: float = 0.0
    last_token_at_ms: float = 0.0
    finished_at_ms: float = 0.0
    refused: str = ""
    #: Whether lower-tier work was queued or running anywhere when this was refused.
    lower_tier_present: bool = False
    #: Prompt tokens that the engine worked on, had cached, and some engine had cached.
    computed_tokens: int = 0
    cached_tokens: int = 0
    held_elsewhere_tokens: int = 0

    @property
    def in_time(self) -> bool:
        """Return whether the whole answer came by the deadline."""
        return 0 < self.finished_at_ms <= self.arrival.request.deadline_ms


@dataclass
class Intervals:
    """Intervals between tokens, in bins."""

    bins: Counter[int] = field(default_factory=Counter)

    def add(self, interval_ms: float) -> None:
        """Count one interval."""
        self.bins[int(interval_ms) // _BIN_MS] += 1

    def percentile_ms(self, share: float) -> float:
        """Return the interval that this share of all do not exceed."""
        left = share * sum(self.bins.values())
        for number in sorted(self.bins):
            left -= self.bins[number]
            if left <= 0:
                return float((number + 1) * _BIN_MS)
        return 0.0


def percentile(values: list[float], share: float) -> float:
    """Return the value that this share of all do not exceed, or 0 where there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Figures:
    """Works out one run's measures from its outcomes."""

    def __init__(
        self, outcomes: list[Outcome], intervals: Intervals, *, engines: int, duration_ms: int
    ) -> None:
        self._outcomes = outcomes
        self._intervals = intervals
        self._engines = engines
        self._duration_ms = duration_ms

    def as_row(self) -> dict[str, float]:
        """Return every measure by name."""
        row = {
            "goodput": self._goodput(self._outcomes),
            "goodput_tokens": self._token_goodput(),
        }
        for rank in range(3):
            of_tier = [one for one in self._outcomes if one.arrival.request.tier_rank == rank]
            row[f"goodput_{rank}"] = self._goodput(of_tier)
            row[f"refused_{rank}"] = float(sum(1 for one in of_tier if one.refused))
        top = [one for one in self._outcomes if one.arrival.request.tier_rank == 0]
        row["top_shed"] = float(sum(1 for one in top if one.refused and one.lower_tier_present))
        row["goodput_others"] = self._goodput(
            [one for one in self._outcomes if one.arrival.request.organisation != "flooder"]
        )
        row.update(self._prefill())
        row["first_token_p95_ms"] = self._first_token_p95_ms(top)
        row["between_tokens_p95_ms"] = self._intervals.percentile_ms(0.95)
        return row

    def _goodput(self, outcomes: list[Outcome]) -> float:
        if not outcomes:
            return 1.0
        return sum(1 for one in outcomes if one.in_time) / len(outcomes)

    def _token_goodput(self) -> float:
        offered = sum(one.arrival.job.output_tokens for one in self._outcomes)
        served = sum(one.arrival.job.output_tokens for one in self._outcomes if one.in_time)
        return served / max(1, offered)

    def _first_token_p95_ms(self, outcomes: list[Outcome]) -> float:
        waits = [
            one.first_token_at_ms - one.arrival.at_ms for one in outcomes if one.first_token_at_ms
        ]
        return percentile(waits, 0.95)

    def _prefill(self) -> dict[str, float]:
        total = sum(one.computed_tokens for one in self._outcomes)
        undelivered = sum(one.computed_tokens for one in self._outcomes if not one.in_time)
        recomputed = sum(
            max(0, one.held_elsewhere_tokens - one.cached_tokens)
            for one in self._outcomes
            if one.in_time
        )
        return {
            "prefill": float(total),
            "prefill_bound": self._prefill_bound(),
            "wasted_prefill": float(undelivered + recomputed),
        }

    def _prefill_bound(self) -> float:
        """Return the least prefill: own parts, and each prefix once per replica it needs."""
        own = 0
        busy_ms: Counter[str] = Counter()
        shared: dict[str, int] = {}
        for one in self._outcomes:
            if not one.first_token_at_ms and not one.finished_at_ms:
                continue
            arrival = one.arrival
            own += arrival.request.prompt_tokens - arrival.shared_tokens
            shared[arrival.family] = arrival.shared_tokens
            busy_ms[arrival.family] += int(one.last_token_at_ms - one.dispatched_at_ms)
        slots_ms = 16 * self._duration_ms
        replicas = {
            family: min(self._engines, 1 + busy // slots_ms) for family, busy in busy_ms.items()
        }
        return float(own + sum(shared[family] * replicas[family] for family in shared))
