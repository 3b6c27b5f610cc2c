"""The scenarios: offered load and faults."""

from collections.abc import Callable
from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Phase:
    """A period of constant offered load."""

    ends_at_ms: int
    #: Offered work as a share of the site's capacity.
    load: float
    #: Each tier's share of the offered work, the most urgent tier first.
    tier_shares: tuple[float, ...] = (0.35, 0.25, 0.40)


@dataclass(frozen=True)
class Scenario:
    """Load and faults of one run; a time of 0 means that the fault does not occur."""

    name: str
    phases: tuple[Phase, ...] = (Phase(60_000, 0.7),)
    #: Speeds of the engines as multiples of the default, assigned cyclically.
    speed_factors: tuple[float, ...] = (1.0,)
    report_lag_ms: int = 200
    #: Standard deviation of the logarithm of answer lengths.
    length_sigma: float = 0.5
    #: Time from which on one engine is slower by ``straggler_slow_down``.
    straggler_at_ms: int = 0
    straggler_slow_down: float = 5.0
    #: Period in which zone 0 is disconnected from the other zones.
    zone_cut_at_ms: int = 0
    zone_restored_at_ms: int = 0
    #: Time at which every second engine fails.
    engines_failed_at_ms: int = 0
    #: Factor by which one additional organisation raises the load on the middle tier's route.
    flood_factor: float = 1.0


SCENARIOS: dict[str, Scenario] = {}
_ScenarioFactory = Callable[[Scenario], Scenario]


def _scenario(name: str) -> Callable[[_ScenarioFactory], _ScenarioFactory]:
    def register(factory: _ScenarioFactory) -> _ScenarioFactory:
        SCENARIOS[name] = factory(Scenario(name))
        return factory

    return register


@_scenario("steady")
def _steady(base: Scenario) -> Scenario:
    return base


@_scenario("burst")
def _burst(base: Scenario) -> Scenario:
    peak = Phase(40_000, 3.0, tier_shares=(0.2, 0.3, 0.5))
    return replace(base, phases=(Phase(10_000, 0.7), peak, Phase(60_000, 0.7)))


@_scenario("unlike_engines")
def _unlike_engines(base: Scenario) -> Scenario:
    return replace(base, speed_factors=(2.0, 1.0, 0.5))


@_scenario("stale_reports")
def _stale_reports(base: Scenario) -> Scenario:
    return replace(base, report_lag_ms=5_000)


@_scenario("straggler")
def _straggler(base: Scenario) -> Scenario:
    return replace(base, straggler_at_ms=20_000)


@_scenario("zone_cut")
def _zone_cut(base: Scenario) -> Scenario:
    return replace(base, zone_cut_at_ms=20_000, zone_restored_at_ms=40_000)


@_scenario("half_lost")
def _half_lost(base: Scenario) -> Scenario:
    return replace(base, engines_failed_at_ms=20_000)


@_scenario("flood")
def _flood(base: Scenario) -> Scenario:
    return replace(base, flood_factor=5.0)


@_scenario("lengths")
def _lengths(base: Scenario) -> Scenario:
    return replace(base, length_sigma=1.2)
