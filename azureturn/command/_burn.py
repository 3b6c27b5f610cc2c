"""Error-budget burn: how fast each service-level objective's error budget is consumed.

The burn rate is the share of bad requests divided by the share that the objective allows. It is
computed over pairs of a long and a short window, and an alert requires that the rates of both
windows exceed the pair's threshold, as in "The Site Reliability Workbook" (B. Beyer et al.,
O'Reilly 2018), chapter 5, "Alerting on SLOs": the long window prevents alerts on short spikes, and
the short one ends an alert soon after its cause. The thresholds are taken from that chapter and
assume an SLO period of 30 days.
"""

from collections.abc import Callable
from dataclasses import dataclass

from azureturn.observability import HOUR_MS, MINUTE_MS, SliCounts, SliKey, SliWindow
from azureturn.settings import ALL_ORGANISATIONS, ObjectiveSettings

CONTRIBUTOR_LIMIT = 5
_QUANTILES = (0.5, 0.95, 0.99)
_DECIMALS = 4


@dataclass(frozen=True)
class WindowPair:
    """The lengths of a long and a short window, and the burn rate that both must exceed."""

    long_ms: int
    short_ms: int
    threshold: float
    #: Alert severity if both exceed it: ``page``, or ``ticket`` to open an issue.
    verdict: str


WINDOW_PAIRS = (
    WindowPair(HOUR_MS, 5 * MINUTE_MS, 14.4, "page"),
    WindowPair(6 * HOUR_MS, 30 * MINUTE_MS, 6.0, "page"),
    WindowPair(72 * HOUR_MS, 6 * HOUR_MS, 1.0, "ticket"),
)
VERDICT_OK = "ok"


@dataclass(frozen=True)
class BurnRates:
    """The burn rates over both windows of a pair, and whether both exceed the threshold."""

    long_ms: int
    short_ms: int
    #: Burn rate over the long window.
    long_rate: float
    #: Burn rate over the short window.
    short_rate: float
    threshold: float
    exceeded: bool


@dataclass(frozen=True)
class Contributor:
    """A source of bad requests, and its share of all bad requests of the objective."""

    route: str
    upstream: str
    #: Version that the upstream served.
    version: str
    error_kind: str
    bad_count: int
    #: Bad requests of this source divided by all bad requests of the objective.
    bad_share: float


@dataclass(frozen=True)
class Latency:
    """Latency quantiles of the tier's good requests over the objective's window, in ms."""

    p50_ms: float
    p95_ms: float
    p99_ms: float


@dataclass(frozen=True)
class ObjectiveReport:
    """State of one objective."""

    tier: str
    organisation: str
    target: float
    window_ms: int
    good_count: int
    bad_count: int
    #: Remaining share of the error budget; negative if it is overspent.
    budget_left: float
    #: The most severe alert whose pair of windows exceeds its threshold, or ``ok``.
    verdict: str
    #: Burn rates in the order of ``WINDOW_PAIRS``.
    burns: tuple[BurnRates, ...]
    latency: Latency
    contributors: tuple[Contributor, ...]


def required_windows(objectives: tuple[ObjectiveSettings, ...]) -> list[int]:
    """Return the lengths in ms of all windows that a report on these objectives needs."""
    lengths_ms = {window_ms for pair in WINDOW_PAIRS for window_ms in (pair.long_ms, pair.short_ms)}
    return sorted(lengths_ms | {objective.window_ms for objective in objectives})


def report_objective(
    objective: ObjectiveSettings, windows: dict[int, SliWindow]
) -> ObjectiveReport:
    """Return an objective's state.

    ``windows`` maps a window length in ms to the counts of that window, summed over all VMs.
    """
    matches = _key_filter(objective)
    objective_window = windows.get(objective.window_ms, SliWindow())
    counts = objective_window.total(matches)
    burns = tuple(_burn_rates(pair, objective, windows) for pair in WINDOW_PAIRS)
    return ObjectiveReport(
        tier=objective.tier,
        organisation=objective.organisation,
        target=objective.target,
        window_ms=objective.window_ms,
        good_count=counts.good_count,
        bad_count=counts.bad_count,
        budget_left=round(1.0 - burn_rate(counts, objective.target), _DECIMALS),
        verdict=_verdict(burns),
        burns=burns,
        latency=_latency(objective_window, objective.tier),
        contributors=_contributors(objective_window, matches),
    )


def burn_rate(counts: SliCounts, target: float) -> float:
    """Return the burn rate: 1 consumes the budget exactly over the objective's window.

    >>> round(burn_rate(SliCounts(good_count=98, bad_count=2), target=0.99), 6)
    2.0
    """
    return counts.bad_share / (1.0 - target)


def _key_filter(objective: ObjectiveSettings) -> Callable[[SliKey], bool]:
    def matches(key: SliKey) -> bool:
        all_organisations = objective.organisation == ALL_ORGANISATIONS
        return key.tier == objective.tier and (
            all_organisations or key.organisation == objective.organisation
        )

    return matches


def _burn_rates(
    pair: WindowPair, objective: ObjectiveSettings, windows: dict[int, SliWindow]
) -> BurnRates:
    matches = _key_filter(objective)
    long_rate, short_rate = (
        round(
            burn_rate(windows.get(window_ms, SliWindow()).total(matches), objective.target),
            _DECIMALS,
        )
        for window_ms in (pair.long_ms, pair.short_ms)
    )
    return BurnRates(
        long_ms=pair.long_ms,
        short_ms=pair.short_ms,
        long_rate=long_rate,
        short_rate=short_rate,
        threshold=pair.threshold,
        exceeded=long_rate > pair.threshold and short_rate > pair.threshold,
    )


def _verdict(burns: tuple[BurnRates, ...]) -> str:
    for pair, burn in zip(WINDOW_PAIRS, burns, strict=True):
        if burn.exceeded:
            return pair.verdict
    return VERDICT_OK


def _latency(window: SliWindow, tier: str) -> Latency:
    sketch = window.latencies.get(tier)
    if sketch is None:
        return Latency(0.0, 0.0, 0.0)
    return Latency(*(round(sketch.quantile_ms(quantile), 1) for quantile in _QUANTILES))


def _contributors(window: SliWindow, matches: Callable[[SliKey], bool]) -> tuple[Contributor, ...]:
    bad_counts: dict[tuple[str, str, str, str], int] = {}
    for key, counts in window.cells.items():
        if matches(key) and counts.bad_count:
            source = (key.route, key.upstream, key.version, key.error_kind)
            bad_counts[source] = bad_counts.get(source, 0) + counts.bad_count
    total = sum(bad_counts.values())
    worst = sorted(bad_counts.items(), key=lambda item: (-item[1], item[0]))[:CONTRIBUTOR_LIMIT]
    return tuple(Contributor(*source, count, count / total) for source, count in worst)
