"""How fast the engines of a service prefill prompts, as this VM has measured it.

Handles services whose engines prefill at another speed than configured: the time until a first
event, and the pause that a long prompt causes in the answers beside it, were both off by as much.
"""

from collections import deque

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.settings import EnginePolicy

#: Number of recent prompts that the speed is computed from, and the least number.
_HISTORY_SIZE = 48
_MIN_PROMPTS = 8
#: Fewest tokens of a prompt whose prefill takes longer than everything else until its first event.
_MIN_TOKENS = 2_000
#: Quantile of the measured times per token that is taken for the speed. The times of many prompts
#: include a wait behind others.
_QUANTILE = 0.25
#: Bounds of the speed, as multiples of the configured one.
_BOUNDS = (0.2, 5.0)


class PrefillSpeed:
    """Recent prompts of one service."""

    def __init__(self) -> None:
        self._ms_per_token: deque[float] = deque(maxlen=_HISTORY_SIZE)
        self._engine: EnginePolicy | None = None

    def record(self, tokens: int, took_ms: float, engine: EnginePolicy, *, slowdown: float) -> None:
        """Include a prompt whose first event came after ``took_ms``.

        ``slowdown`` is that of its engine. Short prompts are left out.
        """
        if tokens < _MIN_TOKENS:
            return
        prefill_ms = max(0.0, took_ms / max(slowdown, _BOUNDS[0]) - engine.first_event_ms)
        self._ms_per_token.append(prefill_ms / tokens)
        self._engine = None

    def applied_to(self, engine: EnginePolicy) -> EnginePolicy:
        """Return the policy with the measured speed in place of the configured one."""
        if len(self._ms_per_token) < _MIN_PROMPTS:
            return engine
        if self._engine is None:
            ascending = sorted(self._ms_per_token)
            ms_per_token = ascending[int(_QUANTILE * len(ascending))]
            low, high = (bound * engine.prefill_tokens_per_ms for bound in _BOUNDS)
            tokens_per_ms = min(high, max(low, 1.0 / ms_per_token if ms_per_token else high))
            self._engine = changed(engine, prefill_tokens_per_ms=tokens_per_ms)
        return self._engine


class PrefillSpeedTable(Table[str, PrefillSpeed]):
    """Speeds of prefill, keyed by service."""

    def of(self, service: str) -> PrefillSpeed:
        """Return the speed at a service, creating it on first use."""
        speed = self.get(service)
        if speed is None:
            speed = PrefillSpeed()
            self.put(service, speed)
        return speed
