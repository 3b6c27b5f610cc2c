"""How fast each upstream is, as all VMs together have measured it.

Handles upstreams of one service that differ in speed by a factor of five, and whose speed changes
by as much during the day. A single VM gets too few answers from each to notice that in time.

Each VM adds up the time that its answers took and the time that they would have taken at the
configured speed, and reports what was added since its last report. Sums can be merged in any order,
and a lost report only means fewer answers. They age, so that an upstream that gets few requests is
taken for an average one after a while, and is tried again.

Speeds are measured and exchanged only if ``policy.shares_speeds`` is set. Otherwise placement uses
estimates made from this VM's own answers.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.site import RegisteredUpstream, UpstreamRun

#: Time in which a measurement loses half of its weight.
_HALF_LIFE_MS = 3_000.0
#: Weight of the service's mean in the estimate of an upstream, in ms at the configured speed. It is
#: some answers long, so that a few delayed ones are no change of speed.
_PRIOR_MS = 1_000.0
#: Speeds that differ from the service's mean by less than this share count as equal to it.
_EQUAL_SHARE = 0.2
#: Bounds of a measurement, and of its ratio to what the configured speed gives.
_MAX_ASSUMED_MS = 600_000
_RATIO_BOUNDS = (0.05, 50.0)
#: The requests at an upstream are counted in so many levels, of equal parts of its slots.
LEVELS = 3
#: Share by which an engine has to serve more with fewer concurrent requests for its limit to fall.
_LIMIT_MARGIN = 0.1
#: Shortest time between two computations of the estimates, which change slowly.
_ESTIMATE_INTERVAL_MS = 250
#: Time assumed for a plain answer, as a unit of measurement.
PLAIN_ANSWER_MS = 100.0


@dataclass(frozen=True)
class SpeedReport:
    """Time taken by answers of one run of an upstream that ended since the last report."""

    run: UpstreamRun
    #: Part of its slots that were in use when the requests were sent; 0 is the lowest.
    level: int
    #: Time at the configured speed.
    assumed_ms: int
    took_ms: int


@dataclass(frozen=True)
class AgedSums:
    """Sums of assumed and measured time, in which older ones count for less."""

    assumed_ms: float = 0.0
    took_ms: float = 0.0
    at_ms: int = 0

    def aged(self, now_ms: int) -> "AgedSums":
        """Return the sums at a later time."""
        factor = math.exp2(-max(0, now_ms - self.at_ms) / _HALF_LIFE_MS)
        return AgedSums(self.assumed_ms * factor, self.took_ms * factor, max(now_ms, self.at_ms))

    def plus(self, assumed_ms: float, took_ms: float, now_ms: int) -> "AgedSums":
        """Return the sums with another measurement, which may be older than the last one."""
        aged = self.aged(now_ms)
        added = AgedSums(assumed_ms, took_ms, now_ms).aged(aged.at_ms)
        return AgedSums(
            aged.assumed_ms + added.assumed_ms, aged.took_ms + added.took_ms, aged.at_ms
        )

    def ratio(self, prior: float) -> float:
        """Return the measured time as a multiple of the assumed one, with a prior estimate."""
        return (self.took_ms + prior * _PRIOR_MS) / (self.assumed_ms + _PRIOR_MS)


_NO_SUMS = (AgedSums(),) * LEVELS


@dataclass(frozen=True)
class UpstreamSpeed:
    """Measurements of one run of an upstream by level."""

    run: UpstreamRun
    levels: tuple[AgedSums, ...] = _NO_SUMS

    def with_report(self, report: SpeedReport, now_ms: int) -> "UpstreamSpeed":
        """Return the speed with one more measurement, within bounds."""
        assumed_ms = float(min(_MAX_ASSUMED_MS, max(0, report.assumed_ms)))
        low, high = _RATIO_BOUNDS
        took_ms = min(high * assumed_ms, max(low * assumed_ms, float(report.took_ms)))
        level = min(LEVELS - 1, max(0, report.level))
        levels = list(self.levels)
        levels[level] = levels[level].plus(assumed_ms, took_ms, now_ms)
        return UpstreamSpeed(self.run, tuple(levels))


@dataclass(frozen=True)
class SpeedEstimate:
    """How many times slower than configured an upstream is, by level, and its limit of requests."""

    slowdowns: tuple[float, ...] = (1.0,) * LEVELS
    #: Number of requests from which one more costs the others more than it brings.
    limit: int = 1_000_000

    @classmethod
    def constant(cls, slowdown: float) -> "SpeedEstimate":
        """Return the estimate for an upstream whose speed does not depend on its requests."""
        return cls((slowdown,) * LEVELS)

    def slowdown(self, requests: float, slots: int) -> float:
        """Return the slowdown with so many requests at an upstream."""
        return self.slowdowns[level_of(requests, slots)]


class SpeedTable(Table[str, UpstreamSpeed]):
    """Speeds by upstream name, and what this VM has measured since its last report."""

    def __init__(self) -> None:
        super().__init__()
        self._unreported: dict[tuple[UpstreamRun, int], tuple[int, int]] = {}
        self._estimated: dict[str, tuple[list[UpstreamRun], int, dict[str, SpeedEstimate]]] = {}

    def record(self, report: SpeedReport, now_ms: int) -> None:
        """Include a measurement of this VM."""
        self.merge(report, now_ms)
        key = (report.run, report.level)
        assumed_ms, took_ms = self._unreported.get(key, (0, 0))
        self._unreported[key] = (assumed_ms + report.assumed_ms, took_ms + report.took_ms)

    def merge(self, report: SpeedReport, now_ms: int) -> None:
        """Include a measurement of this VM or a peer; a new run starts from scratch."""
        speed = self.get(report.run[0])
        if speed is None or speed.run != report.run:
            speed = UpstreamSpeed(report.run)
        self.put(report.run[0], speed.with_report(report, now_ms))

    def take_unreported(self) -> tuple[SpeedReport, ...]:
        """Return what was measured since the last call."""
        reports = tuple(
            SpeedReport(run, level, assumed_ms, took_ms)
            for (run, level), (assumed_ms, took_ms) in self._unreported.items()
        )
        self._unreported.clear()
        return reports

    def forget_except(self, runs: Iterable[UpstreamRun]) -> None:
        """Forget the upstreams that are not among these runs."""
        kept = set(runs)
        for name in [name for name, speed in self.items() if speed.run not in kept]:
            self.remove(name)

    def estimates(
        self, service: str, upstreams: Iterable[RegisteredUpstream], now_ms: int
    ) -> dict[str, SpeedEstimate]:
        """Return the estimates for all upstreams of a service, by name.

        They are kept for :data:`_ESTIMATE_INTERVAL_MS`.
        """
        rows = list(upstreams)
        runs = [row.run for row in rows]
        cached = self._estimated.get(service)
        if cached is None or cached[0] != runs or now_ms - cached[1] >= _ESTIMATE_INTERVAL_MS:
            cached = (runs, now_ms, self._estimate(rows, now_ms))
            self._estimated[service] = cached
        return cached[2]

    def _estimate(self, rows: list[RegisteredUpstream], now_ms: int) -> dict[str, SpeedEstimate]:
        speeds = [self._levels(row.run, now_ms) for row in rows]
        mean = _mean_ratios(speeds)
        return {
            row.name: _estimate(levels, mean, row.slots)
            for row, levels in zip(rows, speeds, strict=True)
        }

    def _levels(self, run: UpstreamRun, now_ms: int) -> tuple[AgedSums, ...]:
        speed = self.get(run[0])
        if speed is None or speed.run != run:
            return _NO_SUMS
        return tuple(sums.aged(now_ms) for sums in speed.levels)


def level_of(requests: float, slots: int) -> int:
    """Return the level of an upstream that has so many requests.

    >>> [level_of(requests, 6) for requests in (0, 1, 2, 4, 9)]
    [0, 0, 1, 2, 2]
    """
    return min(LEVELS - 1, max(0, int(requests * LEVELS / max(1, slots))))


def _mean_ratios(speeds: list[tuple[AgedSums, ...]]) -> tuple[float, ...]:
    """Return the ratio over all upstreams by level; without answers, that of the level below."""
    ratios: list[float] = []
    for level in range(LEVELS):
        prior = ratios[-1] if ratios else 1.0
        # Each upstream counts once, however many answers the fast ones give in the same time.
        known = [row[level].ratio(prior) for row in speeds]
        ratios.append(sum(known) / len(known) if known else prior)
    return tuple(ratios)


def _estimate(levels: tuple[AgedSums, ...], mean: tuple[float, ...], slots: int) -> SpeedEstimate:
    # An upstream whose speed is known at some levels is expected to differ by as much at others.
    usual_took_ms = sum(ratio * sums.assumed_ms for ratio, sums in zip(mean, levels, strict=True))
    assumed_ms = sum(sums.assumed_ms for sums in levels)
    took_ms = sum(sums.took_ms for sums in levels)
    prior_ms = _PRIOR_MS * sum(mean) / LEVELS
    factor = (took_ms + prior_ms) / (usual_took_ms + prior_ms)
    measured = [sums.ratio(factor * ratio) for ratio, sums in zip(mean, levels, strict=True)]
    # The fewer answers there are, the more their times vary by chance.
    equal_share = _EQUAL_SHARE * (1.0 + math.sqrt(_PRIOR_MS / max(1.0, assumed_ms)))
    slowdowns = tuple(
        ratio + _significance(slowdown / ratio - 1.0, equal_share) * (slowdown - ratio)
        for slowdown, ratio in zip(measured, mean, strict=True)
    )
    return SpeedEstimate(slowdowns, _limit(measured, slots))


def _significance(difference: float, equal_share: float) -> float:
    """Return how much of a difference counts: nothing up to a share, and all from its double.

    >>> [_significance(difference, 0.25) for difference in (-0.25, 0.375, 0.75)]
    [0.0, 0.5, 1.0]
    """
    return min(1.0, max(0.0, abs(difference) / equal_share - 1.0))


def _limit(slowdowns: list[float], slots: int) -> int:
    """Return the number of requests beyond which an upstream serves less, at most its slots."""
    best, best_rate = slots, 0.0
    for level, slowdown in enumerate(slowdowns):
        requests = max(1, (level + 1) * slots // LEVELS)
        rate = requests / slowdown
        if rate > best_rate * (1.0 + _LIMIT_MARGIN):
            best, best_rate = requests, rate
        elif rate * (1.0 + _LIMIT_MARGIN) >= best_rate:
            best = requests
    return best
