"""How long answers usually take on each route, as this VM has measured it."""

import math
from collections import OrderedDict
from dataclasses import dataclass

#: An answer that takes longer than usual by this factor or more is slow.
SLOW_FACTOR = 2.5
#: Minimum number of answers from which a usual time is known.
_MIN_SAMPLES = 8
#: Minimum weight of a new sample, so that the mean follows changes of load.
_MIN_WEIGHT = 1 / 64
#: Maximum number of routes whose times are kept.
_MAX_ROUTES = 4_096
_MIN_TIME = 0.5


@dataclass(frozen=True)
class _GeometricMean:
    """A moving geometric mean, which a few very long times hardly change."""

    samples: int = 0
    log_mean: float = 0.0

    def with_sample(self, value: float) -> "_GeometricMean":
        weight = max(1 / (self.samples + 1), _MIN_WEIGHT)
        difference = math.log(max(_MIN_TIME, value)) - self.log_mean
        return _GeometricMean(self.samples + 1, self.log_mean + weight * difference)

    @property
    def is_known(self) -> bool:
        return self.samples >= _MIN_SAMPLES

    def is_exceeded_by(self, value: float) -> bool:
        return value >= SLOW_FACTOR * math.exp(self.log_mean)


@dataclass(frozen=True)
class AnswerTime:
    """How long one answer took."""

    #: Time to the first event of a stream, or to a plain answer, as a multiple of the time that the
    #: prompt was expected to take; for a plain answer, in ms.
    start: float
    #: Mean interval between two events; None if the answer is no stream or too short.
    pace_ms: float | None = None


class UsualTimes:
    """Usual times by service and route.

    >>> times = UsualTimes()
    >>> for _ in range(8):
    ...     times.record("desk", "status", AnswerTime(20.0))
    >>> times.is_slow("desk", "status", AnswerTime(30.0))
    False
    >>> times.is_slow("desk", "status", AnswerTime(60.0))
    True
    """

    def __init__(self) -> None:
        self._starts: OrderedDict[tuple[str, str], _GeometricMean] = OrderedDict()
        self._paces: OrderedDict[tuple[str, str], _GeometricMean] = OrderedDict()

    def record(self, service: str, route: str, time: AnswerTime) -> None:
        """Record how long an answer on a route took."""
        _record(self._starts, (service, route), time.start)
        if time.pace_ms is not None:
            _record(self._paces, (service, route), time.pace_ms)

    def is_slow(self, service: str, route: str, time: AnswerTime | None) -> bool | None:
        """Return whether an answer took several times as long as usual; None if that is unknown."""
        if time is None:
            return None
        start = self._starts.get((service, route))
        if start is None or not start.is_known:
            return None
        if start.is_exceeded_by(time.start):
            return True
        pace = self._paces.get((service, route))
        if time.pace_ms is None or pace is None or not pace.is_known:
            return False
        return pace.is_exceeded_by(time.pace_ms)


def _record(
    means: OrderedDict[tuple[str, str], _GeometricMean], route: tuple[str, str], value: float
) -> None:
    means[route] = means.get(route, _GeometricMean()).with_sample(value)
    means.move_to_end(route)
    if len(means) > _MAX_ROUTES:
        means.popitem(last=False)
