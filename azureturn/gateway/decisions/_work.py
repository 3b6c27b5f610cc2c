"""What is known of each upstream: outstanding work, speed and failures."""

import math
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed

#: Weight of a new answer in what is learned of an upstream.
_LEARNING_WEIGHT = 0.15
#: What was learned of failures halves in this time without news, so that an upstream is tried.
_FAILURE_HALF_LIFE_MS = 2_500.0
_PACE_HALF_LIFE_MS = 6_000.0
_PACE_BOUNDS = (0.2, 20.0)


@dataclass(frozen=True)
class UpstreamState:
    """This VM's own dealings with one run of an upstream."""

    #: Name and start of the run; another run begins with an empty row.
    run: tuple[str, int]
    requests: int = 0
    #: Prompt tokens sent whose first event has not come.
    pending_tokens: int = 0
    #: Time that it takes, as a multiple of what is assumed.
    pace: float = 1.0
    paced_at_ms: int = 0
    #: Share of answers that failed, as of ``failed_at_ms``.
    failure_share: float = 0.0
    failed_at_ms: int = 0
    #: Mean time of a plain answer; 0 until one came.
    answer_ms: float = 0.0
    answered_at_ms: int = 0
    #: The last connection to it was refused or unanswered.
    is_unreachable: bool = False

    def with_sent(self, pending_tokens: int) -> "UpstreamState":
        """Return a copy that has one more request."""
        return changed(
            self,
            requests=self.requests + 1,
            pending_tokens=self.pending_tokens + pending_tokens,
        )

    def with_worked_off(self, pending_tokens: int) -> "UpstreamState":
        """Return a copy that has so much less of prompts to work off."""
        return changed(self, pending_tokens=max(0, self.pending_tokens - pending_tokens))

    def with_ended(self, pending_tokens: int) -> "UpstreamState":
        """Return a copy that has one request less."""
        return changed(
            self,
            requests=max(0, self.requests - 1),
            pending_tokens=max(0, self.pending_tokens - pending_tokens),
        )

    def with_pace(self, pace: float, now_ms: int) -> "UpstreamState":
        """Return a copy that has learned from one more answer."""
        low, high = _PACE_BOUNDS
        bounded = min(high, max(low, pace))
        weight = 1.0 if not self.paced_at_ms else _LEARNING_WEIGHT
        return changed(self, pace=self.pace + weight * (bounded - self.pace), paced_at_ms=now_ms)

    def with_answer_time(self, took_ms: float, now_ms: int) -> "UpstreamState":
        """Return a copy that has learned from one more plain answer."""
        mean = took_ms
        if self.answer_ms:
            mean = self.answer_ms + _LEARNING_WEIGHT * (took_ms - self.answer_ms)
        return changed(self, answer_ms=mean, answered_at_ms=now_ms)

    def with_outcome(self, *, failed: bool, now_ms: int) -> "UpstreamState":
        """Return a copy that has learned whether one more answer failed."""
        share = self.failures(now_ms)
        share += _LEARNING_WEIGHT * ((1.0 if failed else 0.0) - share)
        return changed(self, failure_share=share, failed_at_ms=now_ms)

    def with_reachable(self, reachable: bool) -> "UpstreamState":
        """Return a copy that can, or can't, be connected to."""
        return changed(self, is_unreachable=not reachable)

    def failures(self, now_ms: int) -> float:
        """Return the share of answers that are expected to fail."""
        age_ms = max(0, now_ms - self.failed_at_ms)
        return self.failure_share * math.exp2(-age_ms / _FAILURE_HALF_LIFE_MS)

    def expected_pace(self, now_ms: int) -> float:
        """Return the pace; a slow one is believed less the longer nothing was heard."""
        if self.pace <= 1.0:
            return self.pace
        age_ms = max(0, now_ms - self.paced_at_ms)
        return 1.0 + (self.pace - 1.0) * math.exp2(-age_ms / _PACE_HALF_LIFE_MS)

    def expected_answer_ms(self, now_ms: int) -> float:
        """Return the time of a plain answer, believed less the longer nothing was heard."""
        age_ms = max(0, now_ms - self.answered_at_ms)
        return self.answer_ms * math.exp2(-age_ms / _PACE_HALF_LIFE_MS)


class UpstreamStateTable(Table[str, UpstreamState]):
    """States by the upstream's name."""

    def of(self, run: tuple[str, int]) -> UpstreamState:
        """Return the state of a run of an upstream, empty for one that is new."""
        state = self.get(run[0])
        if state is None or state.run != run:
            state = UpstreamState(run)
            self.put(run[0], state)
        return state
