"""Outcomes of requests, and the measures of one run."""

from collections import Counter
from dataclasses import dataclass, field

from benchmarks.policy._workload import Arrival

#: Intervals between tokens are counted in bins of this many milliseconds.
_BIN_MS = 2


@dataclass
class Outcome:
    """Outcome of one request; a time of 0 means that the event did not occur."""

    arrival: Arrival
    #: Number of the VM that is responsible for the request; changes if a peer accepts it.
    vm: int
    #: Number of the engine; -1 for none.
    upstream: int = -1
    dispatched_at_ms: float = 0.0
    first_token_at_ms: float = 0.0
    last_token_at_ms: float = 0.0
    finished_at_ms: float = 0.0
    #: Reason of the refusal or failure; empty if there was none.
    refusal_reason: str = ""
    #: Whether lower-tier work was queued in the VM's zone when the request was refused.
    lower_tier_present: bool = False
    #: Prompt tokens that the engine computed.
    computed_tokens: int = 0
    #: Prompt tokens that the engine had in its prefix cache.
    cached_tokens: int = 0
    #: Largest number of the prompt's tokens that any engine had in its prefix cache.
    max_cached_tokens: int = 0

    @property
    def in_time(self) -> bool:
        """Return whether the complete answer arrived by the deadline."""
        return 0 < self.finished_at_ms <= self.arrival.request.deadline_ms


@dataclass
class TokenIntervals:
    """Histogram of the intervals between tokens."""

    bins: Counter[int] = field(default_factory=Counter)

    def add(self, interval_ms: float) -> None:
        """Count one interval."""
        self.bins[int(interval_ms) // _BIN_MS] += 1

    def percentile_ms(self, share: float) -> float:
        """Return the upper limit of the bin with the quantile ``share``, or 0 if there is none."""
        remaining = share * sum(self.bins.values())
        for number in sorted(self.bins):
            remaining -= self.bins[number]
            if remaining <= 0:
                return float((number + 1) * _BIN_MS)
        return 0.0


def percentile(values: list[float], share: float) -> float:
    """Return the quantile ``share`` of the values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class RunMeasures:
    """Computes the measures of one run from its outcomes."""

    def __init__(
        self, outcomes: list[Outcome], intervals: TokenIntervals, *, engines: int, duration_ms: int
    ) -> None:
        self._outcomes = outcomes
        self._intervals = intervals
        self._engines = engines
        self._duration_ms = duration_ms

    def as_dict(self) -> dict[str, float]:
        """Return all measures by name."""
        measures = {
            "goodput": self._goodput(self._outcomes),
            "goodput_tokens": self._token_goodput(),
        }
        for rank in range(3):
            tier_outcomes = [
                outcome for outcome in self._outcomes if outcome.arrival.request.tier_rank == rank
            ]
            measures[f"goodput_{rank}"] = self._goodput(tier_outcomes)
            measures[f"refused_{rank}"] = float(
                sum(1 for outcome in tier_outcomes if outcome.refusal_reason)
            )
        top_tier_outcomes = [
            outcome for outcome in self._outcomes if outcome.arrival.request.tier_rank == 0
        ]
        measures["top_shed"] = float(
            sum(
                1
                for outcome in top_tier_outcomes
                if outcome.refusal_reason and outcome.lower_tier_present
            )
        )
        measures["goodput_others"] = self._goodput(
            [
                outcome
                for outcome in self._outcomes
                if outcome.arrival.request.organisation != "flooder"
            ]
        )
        measures.update(self._prefill())
        measures["first_token_p95_ms"] = self._first_token_p95_ms(top_tier_outcomes)
        measures["between_tokens_p95_ms"] = self._intervals.percentile_ms(0.95)
        return measures

    def _goodput(self, outcomes: list[Outcome]) -> float:
        if not outcomes:
            return 1.0
        return sum(1 for outcome in outcomes if outcome.in_time) / len(outcomes)

    def _token_goodput(self) -> float:
        offered = sum(outcome.arrival.job.output_tokens for outcome in self._outcomes)
        served = sum(
            outcome.arrival.job.output_tokens for outcome in self._outcomes if outcome.in_time
        )
        return served / max(1, offered)

    def _first_token_p95_ms(self, outcomes: list[Outcome]) -> float:
        first_token_times_ms = [
            outcome.first_token_at_ms - outcome.arrival.at_ms
            for outcome in outcomes
            if outcome.first_token_at_ms
        ]
        return percentile(first_token_times_ms, 0.95)

    def _prefill(self) -> dict[str, float]:
        total = sum(outcome.computed_tokens for outcome in self._outcomes)
        undelivered_tokens = sum(
            outcome.computed_tokens for outcome in self._outcomes if not outcome.in_time
        )
        recomputed_tokens = sum(
            max(0, outcome.max_cached_tokens - outcome.cached_tokens)
            for outcome in self._outcomes
            if outcome.in_time
        )
        return {
            "prefill": float(total),
            "prefill_bound": self._prefill_bound(),
            "wasted_prefill": float(undelivered_tokens + recomputed_tokens),
        }

    def _prefill_bound(self) -> float:
        """Return a lower bound of prefill tokens.

        Each request's own tokens count once, and each shared prefix once for each replica that its
        family's load needs.
        """
        unique_tokens = 0
        busy_ms: Counter[str] = Counter()
        shared_tokens: dict[str, int] = {}
        for outcome in self._outcomes:
            if not outcome.first_token_at_ms and not outcome.finished_at_ms:
                continue
            arrival = outcome.arrival
            unique_tokens += arrival.request.prompt_tokens - arrival.shared_tokens
            shared_tokens[arrival.family] = arrival.shared_tokens
            busy_ms[arrival.family] += int(outcome.last_token_at_ms - outcome.dispatched_at_ms)
        slots_ms = 16 * self._duration_ms
        replicas = {
            family: min(self._engines, 1 + family_busy_ms // slots_ms)
            for family, family_busy_ms in busy_ms.items()
        }
        return float(
            unique_tokens
            + sum(shared_tokens[family] * replicas[family] for family in shared_tokens)
        )
