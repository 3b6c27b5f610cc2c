"""Sequential test of a new version against the old one, with anytime-valid error rates.

Requests are assigned to versions by a hash, so if both versions are equally good, an answer with
a defect belongs to the new version with probability ``share``, independent of load, route and
engine. Wald's sequential likelihood ratio (A. Wald, 1945, Annals of Mathematical Statistics 16)
compares this with a new version that has the defect ``ratio`` times as often. It depends only on
sums of counts, so the result does not depend on the order in which VMs merge them.

- The ``ratio`` is unknown: likelihood ratios are averaged over a grid of values.
- A version may degrade late: a new likelihood ratio is started in each epoch, and the likelihood
  ratios are averaged over their start epochs (J. Shin, A. Ramdas, A. Rinaldo, 2022, "E-detectors").
- Several kinds of defect on several routes are tested: their e-values are averaged, which gives
  an e-value again (V. Vovk, R. Wang, 2021, Annals of Statistics 49).

By Ville's inequality, the probability that the average ever reaches ``1 / error_rate`` for a
version within the tolerated ratios is at most ``error_rate``, however often the average is
evaluated.

When the new version has all requests, there are no concurrent requests of the old one. The defect
rate of the new version is then compared with the rate of the old version during the ramp,
multiplied by :data:`REFERENCE_RATIO`. This is valid only if the requests resemble those of the
ramp, so of the slow answers only very slow ones are tested, and only in epochs with at most
:data:`HIGH_LOAD_FACTOR` times the requests of the busiest epoch of the ramp.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import cache

from azureturn.core.moves._evidence import EPOCH_MS, Counts, Defect, MoveEvidence
from azureturn.core.moves._types import MoveReason, MoveRecord

#: Maximum probability that a version within the tolerated ratios is ever condemned.
ERROR_RATE = 0.005
#: E-value at or above which the share of the new version does not grow.
SUSPICION_THRESHOLD = 5.0
#: Tolerated ratio of the new version's defect rate to the old version's, by kind of defect.
TOLERATED_RATIO = (1.5, 2.0, 2.0, 2.0, 2.0)
#: Tolerated ratio if the old version's earlier rate is the reference, by kind of defect.
REFERENCE_RATIO = (2.0, 3.0, 3.0, 3.0, 3.0)
#: Lower bound assumed for the old version's defect rate, by kind of defect.
REFERENCE_FLOOR = (0.01, 0.1, 0.02, 0.1, 0.02)
#: Minimum difference between the defect rates required to condemn, by kind of defect.
MIN_EXCESS = (0.02, 0.1, 0.05, 0.1, 0.05)
#: Ratios of the alternative hypotheses, as multiples of the tolerated ratio.
ALTERNATIVES = (2.0, 6.0, 20.0, 60.0)
#: Multiples for the comparison with the old version's earlier rate.
REFERENCE_ALTERNATIVES = (1.5, 2.5, 6.0, 20.0)
#: Minimum number of defects required to condemn.
MIN_DEFECTS = 3
#: Weight of the test started in the first epoch; tests of later epochs share the rest.
FIRST_EPOCH_WEIGHT = 0.5
_MAX_RATE = 0.95
_MAX_REFERENCE_RATE = 0.6
_MAX_EXPONENT = 600.0

#: After the ramp, an epoch with more requests than this multiple of the busiest epoch of the ramp
#: is not tested for slow answers.
HIGH_LOAD_FACTOR = 1.2
#: Defects tested without concurrent requests of the old version. The kinds that higher load alone
#: can cause are left out.
_REFERENCE_DEFECTS = (Defect.FAILED, Defect.VERY_SLOW_FIRST_TOKEN, Defect.VERY_SLOW_TOKENS)
_HIGH_LOAD_DEFECTS = (Defect.FAILED,)

#: Route name of the test over all routes together.
ALL_ROUTES = ""
_ALTERNATIVE_INDICES = range(len(ALTERNATIVES))
#: Log likelihood ratios by route and kind of defect, one per alternative hypothesis.
_LogRatios = dict[tuple[str, Defect], list[float]]


@dataclass(frozen=True)
class Verdict:
    """Result of the sequential test for a new version.

    A condemned version was judged worse than tolerated and must get no more requests.
    """

    #: The average e-value; a value of ``1 / ERROR_RATE`` or more is required to condemn the
    #: version.
    evidence: float = 0.0
    condemned: bool = False
    reason: MoveReason = MoveReason.NONE
    detail: str = ""

    @property
    def suspicious(self) -> bool:
        """Return whether the evidence is strong enough to stop the share from growing."""
        return self.evidence >= SUSPICION_THRESHOLD


@dataclass
class Judge:
    """The sequential test of one move; retains the results of closed epochs."""

    record: MoveRecord
    error_rate: float = ERROR_RATE
    _closed_log_ratios: _LogRatios = field(default_factory=dict)
    #: Epochs before this one are closed.
    _closed_before: int = 0
    _first_epoch: int | None = None
    #: Maximum number of requests in a closed epoch while both versions served.
    _max_ramp_requests: int = 0

    def verdict(self, move_evidence: MoveEvidence) -> Verdict:
        """Return the verdict on the current evidence."""
        by_epoch = self._log_ratios_by_epoch(move_evidence)
        if not self._has_started(by_epoch):
            return Verdict()
        sums = {test: list(log_ratios) for test, log_ratios in self._closed_log_ratios.items()}
        for epoch in sorted(by_epoch):
            if epoch >= self._closed_before:
                self._add_epoch(sums, by_epoch[epoch], epoch)
        latest = max(by_epoch, default=self._closed_before)
        return self._decide(sums, latest, move_evidence)

    def close_before(self, epoch: int, move_evidence: MoveEvidence) -> None:
        """Retain the results of epochs before ``epoch``, which the evidence is about to drop."""
        by_epoch = self._log_ratios_by_epoch(move_evidence)
        for open_epoch, requests in _requests_by_epoch(
            move_evidence, ramp_only=self.record
        ).items():
            if open_epoch < epoch:
                self._max_ramp_requests = max(self._max_ramp_requests, requests)
        if self._has_started(by_epoch):
            for closing_epoch in sorted(
                open_epoch for open_epoch in by_epoch if open_epoch < epoch
            ):
                self._add_epoch(self._closed_log_ratios, by_epoch[closing_epoch], closing_epoch)
        self._closed_before = max(self._closed_before, epoch)

    def _has_started(self, by_epoch: dict[int, _LogRatios]) -> bool:
        if self._first_epoch is None and by_epoch:
            self._first_epoch = min(by_epoch)
        return self._first_epoch is not None

    def _add_epoch(self, sums: _LogRatios, ratios: _LogRatios, epoch: int) -> None:
        weight = math.log(self._start_weight(epoch))
        for test in set(sums) | set(ratios):
            if test not in sums:
                sums[test] = [
                    math.log(max(1e-300, self._cumulative_start_weight(epoch - 1)))
                ] * len(_ALTERNATIVE_INDICES)
            log_ratios = ratios.get(test)
            for index in _ALTERNATIVE_INDICES:
                with_new_start = _log_add(sums[test][index], weight)
                sums[test][index] = with_new_start + (log_ratios[index] if log_ratios else 0.0)

    def _start_weight(self, epoch: int) -> float:
        """Return the weight of the test started in an epoch; the weights sum to 1."""
        assert self._first_epoch is not None
        if epoch <= self._first_epoch:
            return FIRST_EPOCH_WEIGHT
        if epoch - self._first_epoch > self._planned_epochs():
            return 1e-300
        return (1 - FIRST_EPOCH_WEIGHT) / self._planned_epochs()

    def _cumulative_start_weight(self, epoch: int) -> float:
        """Return the total weight of the tests started up to and including an epoch."""
        assert self._first_epoch is not None
        if epoch < self._first_epoch:
            return 0.0
        later_epochs = min(epoch - self._first_epoch, self._planned_epochs())
        return FIRST_EPOCH_WEIGHT + later_epochs * (1 - FIRST_EPOCH_WEIGHT) / self._planned_epochs()

    def _planned_epochs(self) -> int:
        record = self.record
        planned_ms = record.deadline_unix_ms - record.started_unix_ms + record.baking_ms
        return max(1, planned_ms // EPOCH_MS)

    def _log_ratios_by_epoch(self, move_evidence: MoveEvidence) -> dict[int, _LogRatios]:
        result: dict[int, _LogRatios] = {}
        reference: dict[str, Counts] = {}
        requests = _requests_by_epoch(move_evidence)
        for key, counts in move_evidence.pooled.items():
            if key.stage < 0 or key.epoch < self._closed_before:
                continue
            ratios = result.setdefault(key.epoch, {})
            share = self.record.stages[key.stage]
            if share < 1.0:
                _add_side_by_side_comparison(ratios, key.route, counts, key.is_new, share)
            elif key.is_new:
                old = _reference_counts(move_evidence, self.record, key.route, reference)
                is_normal_load = requests[key.epoch] <= self._max_ramp_requests * HIGH_LOAD_FACTOR
                tested_defects = _REFERENCE_DEFECTS if is_normal_load else _HIGH_LOAD_DEFECTS
                _add_reference_comparison(ratios, key.route, counts, old, tested_defects)
        return result

    def _decide(self, sums: _LogRatios, latest: int, move_evidence: MoveEvidence) -> Verdict:
        remaining_weight = max(0.0, 1.0 - self._cumulative_start_weight(latest))
        tests = len(Defect) * (len(move_evidence.routes()) + 1)
        values = {
            test: _mean_exp(log_ratios) + remaining_weight for test, log_ratios in sums.items()
        }
        total = sum(values.values()) + (tests - len(values))
        evidence = total / tests
        if not values or evidence < SUSPICION_THRESHOLD:
            return Verdict(evidence)
        route, defect = max(values, key=lambda test: values[test])
        new, old = _recent_counts(move_evidence, self.record, route)
        excess = _defect_rate(new, defect) - _defect_rate(old, defect)
        exceeds_minimum = new.defects[defect] >= MIN_DEFECTS and excess >= MIN_EXCESS[defect]
        reason = MoveReason.FAILURES if defect is Defect.FAILED else MoveReason.SLOW
        detail = (
            f"{defect.name.lower()} on {route or 'all routes'}: "
            f"{new.defects[defect]} of {new.requests} new, "
            f"{old.defects[defect]} of {old.requests} old"
        )
        return Verdict(
            evidence, exceeds_minimum and evidence >= 1 / self.error_rate, reason, detail
        )


def _log_add(a: float, b: float) -> float:
    high, low = max(a, b), min(a, b)
    return high + math.log1p(math.exp(low - high))


def _mean_exp(log_ratios: list[float]) -> float:
    return sum(math.exp(min(log_ratio, _MAX_EXPONENT)) for log_ratio in log_ratios) / len(
        log_ratios
    )


def _defect_rate(counts: Counts, defect: Defect) -> float:
    return counts.defects[defect] / max(1, counts.requests)


def _recent_counts(
    move_evidence: MoveEvidence, record: MoveRecord, route: str
) -> tuple[Counts, Counts]:
    """Return the counts of the new and the old version in the open epochs.

    If the old version has fewer requests in these epochs than the new one, the old version's
    counts of the whole ramp are returned instead.
    """
    new, old = Counts(), Counts()
    for key, counts in move_evidence.pooled.items():
        if key.stage < 0 or route not in (ALL_ROUTES, key.route):
            continue
        if key.is_new:
            new = new.with_added(counts)
        else:
            old = old.with_added(counts)
    if old.requests < new.requests:
        ramping = range(-1, len(record.stages) - 1)
        old = move_evidence.total(is_new=False, stages=ramping, route=route)
    return new, old


def _requests_by_epoch(
    move_evidence: MoveEvidence, *, ramp_only: MoveRecord | None = None
) -> dict[int, int]:
    """Return the requests per open epoch; with ``ramp_only``, only while both versions served."""
    result: dict[int, int] = {}
    for key, counts in move_evidence.pooled.items():
        if ramp_only is None or key.stage < 0 or ramp_only.stages[key.stage] < 1.0:
            result[key.epoch] = result.get(key.epoch, 0) + counts.requests
    return result


def _reference_counts(
    move_evidence: MoveEvidence, record: MoveRecord, route: str, cached: dict[str, Counts]
) -> Counts:
    if route not in cached:
        ramping = range(-1, len(record.stages) - 1)
        cached[route] = move_evidence.total(is_new=False, stages=ramping, route=route)
    return cached[route]


def _add(
    ratios: _LogRatios, route: str, defect: Defect, log_ratios: Sequence[float], count: int = 1
) -> None:
    for test in ((route, defect), (ALL_ROUTES, defect)):
        existing = ratios.get(test)
        if existing is None:
            ratios[test] = [count * log_ratio for log_ratio in log_ratios]
            continue
        for index, log_ratio in enumerate(log_ratios):
            existing[index] += count * log_ratio


def _add_side_by_side_comparison(
    ratios: _LogRatios, route: str, counts: Counts, is_new: bool, share: float
) -> None:
    """Add the log likelihood ratios of defects counted while both versions served."""
    for defect, count in zip(Defect, counts.defects, strict=True):
        if count:
            log_ratios = _defect_log_ratios(share, TOLERATED_RATIO[defect], is_new)
            _add(ratios, route, defect, log_ratios, count)


@cache
def _defect_log_ratios(share: float, tolerated: float, is_new: bool) -> tuple[float, ...]:
    """Return the log likelihood ratio of a single defect for each alternative."""
    null = _new_version_defect_share(share, tolerated)
    alternatives = [
        _new_version_defect_share(share, tolerated * multiple) for multiple in ALTERNATIVES
    ]
    if is_new:
        return tuple(math.log(alternative / null) for alternative in alternatives)
    return tuple(math.log((1 - alternative) / (1 - null)) for alternative in alternatives)


def _new_version_defect_share(share: float, ratio: float) -> float:
    """Return the probability that a defect is the new version's, given the ratio of both rates."""
    return share * ratio / (share * ratio + 1 - share)


def _add_reference_comparison(
    ratios: _LogRatios, route: str, counts: Counts, old: Counts, tested_defects: Sequence[Defect]
) -> None:
    """Add the log likelihood ratios of the new version against the old version's earlier rate."""
    for defect in tested_defects:
        reference_rate = max(
            REFERENCE_FLOOR[defect], (old.defects[defect] + 1) / (old.requests + 2)
        )
        null = min(_MAX_REFERENCE_RATE, reference_rate * REFERENCE_RATIO[defect])
        defect_count = counts.defects[defect]
        defect_free_count = max(0, counts.requests - defect_count)
        log_ratios = []
        for multiple in REFERENCE_ALTERNATIVES:
            alternative = min(_MAX_RATE, null * multiple)
            log_ratios.append(
                defect_count * math.log(alternative / null)
                + defect_free_count * math.log((1 - alternative) / (1 - null))
            )
        _add(ratios, route, defect, log_ratios)
