"""State of each upstream: outstanding work, speed, failures and reachability."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.site import RegisteredUpstream, UpstreamRun

#: Weight of a new sample in the moving averages.
_EWMA_WEIGHT = 0.15
#: Half-life of the failure share without new samples, so that a failed upstream is tried again.
_FAILURE_HALF_LIFE_MS = 2_500.0
_SLOWDOWN_HALF_LIFE_MS = 6_000.0
_SLOWDOWN_BOUNDS = (0.2, 20.0)


@dataclass(frozen=True)
class UpstreamState:
    """State of one run of an upstream: this VM's requests at it, and what this VM has measured.

    A run is the time between a start of the upstream's process and its end.
    """

    run: UpstreamRun
    #: Requests of this VM that it is running.
    requests: int = 0
    #: Estimated prompt tokens to prefill for requests whose first event has not been received.
    pending_tokens: int = 0
    #: Measured time per token, as a multiple of the configured one.
    slowdown: float = 1.0
    slowdown_at_ms: int = 0
    #: Share of answers that failed, as of ``failed_at_ms``.
    failure_share: float = 0.0
    failed_at_ms: int = 0
    #: Mean time of a plain answer; 0 before the first one.
    answer_ms: float = 0.0
    answered_at_ms: int = 0
    #: Whether the last attempt to connect to it failed, or it did not respond to a probe.
    is_unreachable: bool = False
    #: Whether it did not respond to a probe, although it could be connected.
    is_silent: bool = False

    def with_sent(self, pending_tokens: int) -> "UpstreamState":
        """Return a copy with one more request, which has this many tokens to prefill."""
        return changed(
            self,
            requests=self.requests + 1,
            pending_tokens=self.pending_tokens + pending_tokens,
        )

    def with_prefilled(self, pending_tokens: int) -> "UpstreamState":
        """Return a copy with fewer tokens to prefill, as a first event has been received."""
        return changed(self, pending_tokens=max(0, self.pending_tokens - pending_tokens))

    def with_ended(self, pending_tokens: int) -> "UpstreamState":
        """Return a copy with one request less; ``pending_tokens`` it still had to prefill."""
        return changed(
            self,
            requests=max(0, self.requests - 1),
            pending_tokens=max(0, self.pending_tokens - pending_tokens),
        )

    def with_slowdown(self, slowdown: float, now_ms: int) -> "UpstreamState":
        """Return a copy whose average slowdown includes that of one more streamed answer."""
        low, high = _SLOWDOWN_BOUNDS
        bounded = min(high, max(low, slowdown))
        weight = 1.0 if not self.slowdown_at_ms else _EWMA_WEIGHT
        return changed(
            self, slowdown=self.slowdown + weight * (bounded - self.slowdown), slowdown_at_ms=now_ms
        )

    def with_answer_time(self, took_ms: float, now_ms: int) -> "UpstreamState":
        """Return a copy whose average answer time includes that of one more plain answer."""
        mean = took_ms
        if self.answer_ms:
            mean = self.answer_ms + _EWMA_WEIGHT * (took_ms - self.answer_ms)
        return changed(self, answer_ms=mean, answered_at_ms=now_ms)

    def with_outcome(self, *, failed: bool, now_ms: int) -> "UpstreamState":
        """Return a copy whose failure share includes one more answer."""
        share = self.expected_failure_share(now_ms)
        share += _EWMA_WEIGHT * ((1.0 if failed else 0.0) - share)
        return changed(self, failure_share=share, failed_at_ms=now_ms)

    def with_reachable(self, reachable: bool) -> "UpstreamState":
        """Return a copy that is marked as reachable or unreachable."""
        return changed(self, is_unreachable=not reachable, is_silent=False)

    def with_silent(self) -> "UpstreamState":
        """Return a copy that is marked as unreachable until it responds to a probe."""
        return changed(self, is_unreachable=True, is_silent=True)

    def expected_failure_share(self, now_ms: int) -> float:
        """Return the share of answers that are expected to fail; it decays without samples."""
        if not self.failure_share:
            return 0.0
        age_ms = max(0, now_ms - self.failed_at_ms)
        return self.failure_share * math.exp2(-age_ms / _FAILURE_HALF_LIFE_MS)

    def expected_slowdown(self, now_ms: int) -> float:
        """Return the expected slowdown; a value above 1 decays to 1 without new samples."""
        if self.slowdown <= 1.0:
            return self.slowdown
        age_ms = max(0, now_ms - self.slowdown_at_ms)
        return 1.0 + (self.slowdown - 1.0) * math.exp2(-age_ms / _SLOWDOWN_HALF_LIFE_MS)

    def expected_answer_ms(self, now_ms: int) -> float:
        """Return the expected time of a plain answer, which decays without new samples."""
        age_ms = max(0, now_ms - self.answered_at_ms)
        return self.answer_ms * math.exp2(-age_ms / _SLOWDOWN_HALF_LIFE_MS)


class UpstreamStateTable(Table[str, UpstreamState]):
    """Upstream states, keyed by upstream name."""

    def of(self, run: UpstreamRun) -> UpstreamState:
        """Return the state of a run of an upstream; a new run starts empty."""
        state = self.get(run[0])
        if state is None or state.run != run:
            state = UpstreamState(run)
            self.put(run[0], state)
        return state

    def of_each(self, upstreams: Iterable[RegisteredUpstream]) -> list[UpstreamState]:
        """Return the states of upstreams, in their order."""
        rows = self._rows
        states = []
        for upstream in upstreams:
            state = rows.get(upstream.name)
            if state is None or state.run[1] != upstream.started_unix_ms:
                state = self.of(upstream.run)
            states.append(state)
        return states

    def is_unreachable(self, run: UpstreamRun) -> bool:
        """Return whether a run of an upstream could not be connected, or did not respond."""
        state = self.get(run[0])
        return state is not None and state.run == run and state.is_unreachable

    def is_silent(self, run: UpstreamRun) -> bool:
        """Return whether a run of an upstream could be connected, but did not respond."""
        state = self.get(run[0])
        return state is not None and state.run == run and state.is_silent
