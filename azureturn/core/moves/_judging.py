"""Judges a new version against the old one, with error rates that hold at any time.

Which version answers a request is decided by a hash, so where both are equally good, each answer
with a trouble is the new version's with probability ``share``, whatever the load, the route and
the engine. Wald's sequential likelihood ratio (A. Wald, 1945, Annals of Mathematical Statistics
16) compares this with a new version that has the trouble ``ratio`` times as often. It needs
sums of counts only, so it comes out the same in whichever order VMs pool them.

- The ratio is not known: likelihood ratios are averaged over a grid of ratios.
- A version may turn bad late: ratios are begun anew with each epoch and averaged over the
  beginnings (J. Shin, A. Ramdas, A. Rinaldo, 2022, "E-detectors").
- Several troubles on several routes are watched: their e-values are averaged, which is an
  e-value again (V. Vovk, R. Wang, 2021, Annals of Statistics 49).

By Ville's inequality the chance that the average ever reaches ``1 / error_rate`` for a version
that is within the tolerated ratios is at most ``error_rate``, however often one looks.

While the new version has all requests there is no old one beside it. Its rate is then compared
with what the old version had during the move, widened by :data:`REFERENCE_RATIO`. This holds
only as far as the requests are like those of the move, so answers then count as slow only when
they are very slow, and only in epochs with no more requests than the move had.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import cache

from azureturn.core.moves._evidence import EPOCH_MS, Counts, EvidenceLedger, Trouble
from azureturn.core.moves._types import MoveReason, MoveRecord

#: Chance that a version within the tolerated ratios is ever condemned.
ERROR_RATE = 0.005
#: Evidence from which on a share no longer grows.
SUSPICION = 5.0
#: A new version may have a trouble this many times as often as the old one.
TOLERATED_RATIO = (1.5, 2.0, 2.0, 2.0, 2.0)
#: The same towards what the old version had earlier.
REFERENCE_RATIO = (2.0, 3.0, 3.0, 3.0, 3.0)
#: Lowest rate that the old version is taken to have.
REFERENCE_FLOOR = (0.01, 0.1, 0.02, 0.1, 0.02)
#: The new version's rate must also be above the old one's by this much.
LEAST_EXCESS = (0.02, 0.1, 0.05, 0.1, 0.05)
#: Ratios of the alternatives, in multiples of the tolerated one.
ALTERNATIVES = (2.0, 6.0, 20.0, 60.0)
REFERENCE_ALTERNATIVES = (1.5, 2.5, 6.0, 20.0)
#: Fewer troubles than this condemn nothing.
LEAST_TROUBLES = 3
#: Weight of the beginning at the first epoch; the others share the rest.
FIRST_WEIGHT = 0.5
_HIGHEST_RATE = 0.95
_HIGHEST_REFERENCE = 0.6
_LARGEST_EXPONENT = 600.0

#: An epoch with this many times the requests of the move's fullest says nothing of slowness.
USUAL_LOAD = 1.2
#: What is judged without the old version beside the new: not what a busier hour brings about.
_JUDGED_ALONE = (Trouble.FAILED, Trouble.VERY_SLOW_FIRST_TOKEN, Trouble.VERY_SLOW_TOKENS)
_JUDGED_IN_BURST = (Trouble.FAILED,)

ALL_ROUTES = ""
_GRID = range(len(ALTERNATIVES))
#: Logarithms of likelihood ratios by route and trouble, one for each alternative.
_Ratios = dict[tuple[str, Trouble], list[float]]


@dataclass(frozen=True)
class Verdict:
    """What the pooled evidence says of a new version."""

    #: The average e-value; the version is condemned at ``1 / ERROR_RATE``.
    evidence: float = 0.0
    condemned: bool = False
    reason: MoveReason = MoveReason.NONE
    detail: str = ""

    @property
    def suspicious(self) -> bool:
        """Return whether the share must not grow on this evidence."""
        return self.evidence >= SUSPICION


@dataclass
class Judge:
    """The sequential test of one move; it keeps what closed epochs said."""

    record: MoveRecord
    error_rate: float = ERROR_RATE
    _closed: _Ratios = field(default_factory=dict)
    _closed_to: int = 0
    _first_epoch: int | None = None
    #: Most requests in a closed epoch while both versions served.
    _usual_requests: int = 0

    def verdict(self, ledger: EvidenceLedger) -> Verdict:
        """Return what the ledger's evidence says now."""
        by_epoch = self._ratios_by_epoch(ledger)
        if not self._begun(by_epoch):
            return Verdict()
        sums = {place: list(logs) for place, logs in self._closed.items()}
        for epoch in sorted(by_epoch):
            if epoch >= self._closed_to:
                self._extend(sums, by_epoch[epoch], epoch)
        latest = max(by_epoch, default=self._closed_to)
        return self._decide(sums, latest, ledger)

    def close_before(self, epoch: int, ledger: EvidenceLedger) -> None:
        """Keep what epochs before ``epoch`` say, since the ledger is about to forget them."""
        by_epoch = self._ratios_by_epoch(ledger)
        for one, requests in _requests_by_epoch(ledger, shared_only=self.record).items():
            if one < epoch:
                self._usual_requests = max(self._usual_requests, requests)
        if self._begun(by_epoch):
            for early in sorted(one for one in by_epoch if one < epoch):
                self._extend(self._closed, by_epoch[early], early)
        self._closed_to = max(self._closed_to, epoch)

    def _begun(self, by_epoch: dict[int, _Ratios]) -> bool:
        if self._first_epoch is None and by_epoch:
            self._first_epoch = min(by_epoch)
        return self._first_epoch is not None

    def _extend(self, sums: _Ratios, ratios: _Ratios, epoch: int) -> None:
        weight = math.log(self._weight(epoch))
        for place in set(sums) | set(ratios):
            if place not in sums:
                sums[place] = [math.log(max(1e-300, self._spent(epoch - 1)))] * len(_GRID)
            logs = ratios.get(place)
            for index in _GRID:
                begun = _log_add(sums[place][index], weight)
                sums[place][index] = begun + (logs[index] if logs else 0.0)

    def _weight(self, epoch: int) -> float:
        """Return the weight of the beginning at an epoch; over all epochs they sum to 1."""
        assert self._first_epoch is not None
        if epoch <= self._first_epoch:
            return FIRST_WEIGHT
        if epoch - self._first_epoch > self._planned_epochs():
            return 1e-300
        return (1 - FIRST_WEIGHT) / self._planned_epochs()

    def _spent(self, epoch: int) -> float:
        """Return the weight of all beginnings up to an epoch."""
        assert self._first_epoch is not None
        if epoch < self._first_epoch:
            return 0.0
        later = min(epoch - self._first_epoch, self._planned_epochs())
        return FIRST_WEIGHT + later * (1 - FIRST_WEIGHT) / self._planned_epochs()

    def _planned_epochs(self) -> int:
        record = self.record
        planned_ms = record.deadline_unix_ms - record.started_unix_ms + record.baking_ms
        return max(1, planned_ms // EPOCH_MS)

    def _ratios_by_epoch(self, ledger: EvidenceLedger) -> dict[int, _Ratios]:
        found: dict[int, _Ratios] = {}
        reference: dict[str, Counts] = {}
        requests = _requests_by_epoch(ledger)
        for key, counts in ledger.pooled.items():
            if key.stage < 0 or key.epoch < self._closed_to:
                continue
            ratios = found.setdefault(key.epoch, {})
            share = self.record.stages[key.stage]
            if share < 1.0:
                _add_against_other(ratios, key.route, counts, key.is_new, share)
            elif key.is_new:
                old = _reference(ledger, self.record, key.route, reference)
                usual = requests[key.epoch] <= self._usual_requests * USUAL_LOAD
                judged = _JUDGED_ALONE if usual else _JUDGED_IN_BURST
                _add_against_reference(ratios, key.route, counts, old, judged)
        return found

    def _decide(self, sums: _Ratios, latest: int, ledger: EvidenceLedger) -> Verdict:
        unspent = max(0.0, 1.0 - self._spent(latest))
        tests = len(Trouble) * (len(ledger.routes()) + 1)
        values = {place: _mean_exp(logs) + unspent for place, logs in sums.items()}
        total = sum(values.values()) + (tests - len(values))
        evidence = total / tests
        if not values or evidence < SUSPICION:
            return Verdict(evidence)
        route, trouble = max(values, key=lambda place: values[place])
        new, old = _rates(ledger, self.record, route)
        excess = _rate(new, trouble) - _rate(old, trouble)
        clear = new.troubles[trouble] >= LEAST_TROUBLES and excess >= LEAST_EXCESS[trouble]
        reason = MoveReason.FAILURES if trouble is Trouble.FAILED else MoveReason.SLOW
        detail = (
            f"{trouble.name.lower()} on {route or 'all routes'}: "
            f"{new.troubles[trouble]} of {new.requests} new, "
            f"{old.troubles[trouble]} of {old.requests} old"
        )
        return Verdict(evidence, clear and evidence >= 1 / self.error_rate, reason, detail)


def _log_add(one: float, other: float) -> float:
    high, low = max(one, other), min(one, other)
    return high + math.log1p(math.exp(low - high))


def _mean_exp(logs: list[float]) -> float:
    return sum(math.exp(min(one, _LARGEST_EXPONENT)) for one in logs) / len(logs)


def _rate(counts: Counts, trouble: Trouble) -> float:
    return counts.troubles[trouble] / max(1, counts.requests)


def _rates(ledger: EvidenceLedger, record: MoveRecord, route: str) -> tuple[Counts, Counts]:
    """Return the recent counts of the new and the old version; the old's from all the move."""
    new, old = Counts(), Counts()
    for key, counts in ledger.pooled.items():
        if key.stage < 0 or route not in (ALL_ROUTES, key.route):
            continue
        if key.is_new:
            new = new.with_added(counts)
        else:
            old = old.with_added(counts)
    if old.requests < new.requests:
        ramping = range(-1, len(record.stages) - 1)
        old = ledger.total(is_new=False, stages=ramping, route=route)
    return new, old


def _requests_by_epoch(
    ledger: EvidenceLedger, *, shared_only: MoveRecord | None = None
) -> dict[int, int]:
    """Return the requests in each open epoch; of a move, only while both versions served."""
    found: dict[int, int] = {}
    for key, counts in ledger.pooled.items():
        if shared_only is None or key.stage < 0 or shared_only.stages[key.stage] < 1.0:
            found[key.epoch] = found.get(key.epoch, 0) + counts.requests
    return found


def _reference(
    ledger: EvidenceLedger, record: MoveRecord, route: str, known: dict[str, Counts]
) -> Counts:
    if route not in known:
        ramping = range(-1, len(record.stages) - 1)
        known[route] = ledger.total(is_new=False, stages=ramping, route=route)
    return known[route]


def _add(
    ratios: _Ratios, route: str, trouble: Trouble, logs: Sequence[float], count: int = 1
) -> None:
    for place in ((route, trouble), (ALL_ROUTES, trouble)):
        present = ratios.get(place)
        if present is None:
            ratios[place] = [count * one for one in logs]
            continue
        for index, one in enumerate(logs):
            present[index] += count * one


def _add_against_other(
    ratios: _Ratios, route: str, counts: Counts, is_new: bool, share: float
) -> None:
    """Add what troubles say of the version that had them, both versions serving side by side."""
    for trouble, count in zip(Trouble, counts.troubles, strict=True):
        if count:
            logs = _logs_of_one_trouble(share, TOLERATED_RATIO[trouble], is_new)
            _add(ratios, route, trouble, logs, count)


@cache
def _logs_of_one_trouble(share: float, tolerated: float, is_new: bool) -> tuple[float, ...]:
    """Return for each alternative what a single trouble of one version adds."""
    null = _share_of_troubles(share, tolerated)
    others = [_share_of_troubles(share, tolerated * multiple) for multiple in ALTERNATIVES]
    if is_new:
        return tuple(math.log(other / null) for other in others)
    return tuple(math.log((1 - other) / (1 - null)) for other in others)


def _share_of_troubles(share: float, ratio: float) -> float:
    """Return the chance that a trouble is the new version's if it has ``ratio`` times as many."""
    return share * ratio / (share * ratio + 1 - share)


def _add_against_reference(
    ratios: _Ratios, route: str, counts: Counts, old: Counts, judged: Sequence[Trouble]
) -> None:
    """Add what answers of the new version say against the old version's earlier rate."""
    for trouble in judged:
        usual = max(REFERENCE_FLOOR[trouble], (old.troubles[trouble] + 1) / (old.requests + 2))
        null = min(_HIGHEST_REFERENCE, usual * REFERENCE_RATIO[trouble])
        bad = counts.troubles[trouble]
        good = max(0, counts.requests - bad)
        logs = []
        for multiple in REFERENCE_ALTERNATIVES:
            other = min(_HIGHEST_RATE, null * multiple)
            logs.append(bad * math.log(other / null) + good * math.log((1 - other) / (1 - null)))
        _add(ratios, route, trouble, logs)
