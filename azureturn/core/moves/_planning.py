"""How long a move still needs, so that its deadline is planned backwards."""

from collections.abc import Mapping
from dataclasses import dataclass

from azureturn.core.moves._types import MoveRecord
from azureturn.settings import MoveSettings

_MS_PER_S = 1_000
#: A route with a smaller part of the requests is judged together with the others only.
LEAST_ROUTE_PART = 0.02


@dataclass(frozen=True)
class LoadingWork:
    """What is left to load, and how fast it goes."""

    #: Replicas that do not have the version yet.
    replicas: int
    weight_bytes: int
    #: What the weight store gives to all its readers together.
    weight_store_bytes_per_s: float
    #: Time to load a version once its weights are at the engine.
    load_time_ms: int

    @classmethod
    def from_settings(cls, settings: MoveSettings, *, replicas: int) -> "LoadingWork":
        """Return the work that settings let one expect."""
        return cls(
            replicas,
            settings.weight_bytes,
            settings.weight_store_bytes_per_s,
            settings.load_time_ms,
        )

    def needed_ms(self) -> int:
        """Return the time until all replicas have it; the store's readers wait for each other.

        >>> LoadingWork(9, 2_000_000, 10_000_000.0, 500).needed_ms()
        2300
        """
        if not self.replicas:
            return 0
        fetch_s = self.replicas * self.weight_bytes / self.weight_store_bytes_per_s
        return round(fetch_s * _MS_PER_S) + self.load_time_ms


def stages_needed_ms(
    record: MoveRecord,
    rates_per_s: Mapping[str, float],
    *,
    samples: int = 0,
    route_samples: Mapping[str, int] | None = None,
    in_stage_ms: int = 0,
) -> int:
    """Return the time until the new version has all requests.

    ``rates_per_s`` gives the requests on each route, both versions together; ``samples`` what the
    new version had in this stage, ``route_samples`` what it had on each route in all.
    """
    rate = sum(rates_per_s.values())
    needed_ms = 0
    for index in range(max(0, record.stage), len(record.stages) - 1):
        present = index == record.stage
        missing = record.samples_per_stage - (samples if present else 0)
        stage_ms = _time_for(missing, record.stages[index] * rate)
        if index == 0:
            had = route_samples or {}
            for route in judged_routes(rates_per_s):
                missing = record.samples_per_route - had.get(route, 0)
                route_rate = record.stages[index] * rates_per_s[route]
                stage_ms = max(stage_ms, _time_for(missing, route_rate))
        least_ms = record.stage_min_ms - (in_stage_ms if present else 0)
        needed_ms += max(stage_ms, least_ms, 0)
    return needed_ms


def judged_routes(rates_per_s: Mapping[str, float]) -> tuple[str, ...]:
    """Return the routes that have enough requests to be judged by themselves."""
    least = LEAST_ROUTE_PART * sum(rates_per_s.values())
    return tuple(route for route, rate in rates_per_s.items() if rate > 0 and rate >= least)


def _time_for(samples: int, rate_per_s: float) -> int:
    if samples <= 0:
        return 0
    if rate_per_s <= 0:
        return 24 * 3_600 * _MS_PER_S
    return round(samples / rate_per_s * _MS_PER_S)
