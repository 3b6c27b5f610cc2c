"""Estimates the time a move still needs, to compare it with the time left to the deadline."""

from collections.abc import Mapping
from dataclasses import dataclass

from azureturn.core.moves._types import MoveRecord
from azureturn.settings import MoveSettings

_MS_PER_S = 1_000
#: A route with a smaller share of the requests is tested only together with the others.
MIN_ROUTE_SHARE = 0.02


@dataclass(frozen=True)
class LoadingWork:
    """The replicas that have not loaded the new version, and the speed of loading."""

    #: Number of replicas that have not loaded the version.
    replicas: int
    #: Size of the weights of one version.
    weight_bytes: int
    #: Throughput of the weight store, shared by all its readers.
    weight_store_bytes_per_s: float
    #: Time to load a version after its weights have been transferred to the engine.
    load_time_ms: int

    @classmethod
    def from_settings(cls, settings: MoveSettings, *, replicas: int) -> "LoadingWork":
        """Return the loading work estimated from settings."""
        return cls(
            replicas,
            settings.weight_bytes,
            settings.weight_store_bytes_per_s,
            settings.load_time_ms,
        )

    def needed_ms(self) -> int:
        """Return the time to load all replicas, whose transfers share the store's throughput.

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

    ``rates_per_s`` is the request rate of each route, for both versions together. ``samples`` is
    the number of requests of the new version in the current stage, and ``route_samples`` is their
    number on each route over all stages. ``in_stage_ms`` is the time since the current stage began.
    """
    rate = sum(rates_per_s.values())
    needed_ms = 0
    for index in range(max(0, record.stage), len(record.stages) - 1):
        is_current_stage = index == record.stage
        remaining = record.samples_per_stage - (samples if is_current_stage else 0)
        stage_ms = _sampling_ms(remaining, record.stages[index] * rate)
        if index == 0:
            sampled = route_samples or {}
            for route in judged_routes(rates_per_s):
                remaining = record.samples_per_route - sampled.get(route, 0)
                route_rate = record.stages[index] * rates_per_s[route]
                stage_ms = max(stage_ms, _sampling_ms(remaining, route_rate))
        min_ms = record.stage_min_ms - (in_stage_ms if is_current_stage else 0)
        needed_ms += max(stage_ms, min_ms, 0)
    return needed_ms


def judged_routes(rates_per_s: Mapping[str, float]) -> tuple[str, ...]:
    """Return the routes that have enough requests to be tested individually."""
    min_rate = MIN_ROUTE_SHARE * sum(rates_per_s.values())
    return tuple(route for route, rate in rates_per_s.items() if rate > 0 and rate >= min_rate)


def _sampling_ms(samples: int, rate_per_s: float) -> int:
    if samples <= 0:
        return 0
    if rate_per_s <= 0:
        return 24 * 3_600 * _MS_PER_S
    return round(samples / rate_per_s * _MS_PER_S)
