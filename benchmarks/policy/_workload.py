"""Requests of one run, generated from its seed before the run starts."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from azureturn.core import PREFIX_BLOCK_TOKENS, Request
from azureturn.settings import UpstreamKind
from benchmarks.policy._scenarios import Phase, Scenario
from standins.engine_simulator import EngineSpeed, Job

TARGET = "model"
#: Deadline of deferrable work; represents a site's working day on the time scale of a run.
DEFERRABLE_TIMEOUT_MS = 120_000
#: Callers limit answers to the length that fits the deadline at this token interval.
_SLOWEST_MS_PER_TOKEN = 25
_MS_PER_S = 1_000.0


@dataclass(frozen=True)
class RouteLoad:
    """Workload of one route."""

    route: str
    tier_rank: int
    timeout_ms: int
    #: Prompt tokens that all requests of a family share, and mean number of further prompt tokens
    #: of a request. A family is a group of requests whose prompts start with the same text.
    shared_tokens: int
    unique_tokens: int
    output_tokens: int
    streamed: bool = True


@dataclass(frozen=True)
class SiteLoad:
    """Size and workload of a site."""

    name: str
    zones: int
    vms: int
    engines: int
    routes: tuple[RouteLoad, ...]
    #: Names of the organisations, with their weights in the requests.
    organisations: tuple[tuple[str, float], ...]
    #: Number of families on a route with a long shared prefix; other routes have one family.
    families: int


SITES: dict[str, SiteLoad] = {
    "kuiseb": SiteLoad(
        name="kuiseb",
        zones=4,
        vms=8,
        engines=9,
        routes=(
            RouteLoad("diagnosis", 0, 30_000, 4_000, 300, 400),
            RouteLoad("fabric-question", 1, 15_000, 256, 100, 80),
            RouteLoad("job-summary", 2, DEFERRABLE_TIMEOUT_MS, 3_000, 500, 600, streamed=False),
        ),
        organisations=(("a", 5.0), ("b", 3.0), ("c", 1.0), ("d", 1.0), ("e", 1.0)),
        families=48,
    ),
    "burdekin": SiteLoad(
        name="burdekin",
        zones=3,
        vms=6,
        engines=9,
        routes=(
            RouteLoad("call-summary", 0, 20_000, 256, 600, 150),
            RouteLoad("fault-category", 1, 10_000, 256, 50, 10),
            RouteLoad(
                "incident-narrative", 2, DEFERRABLE_TIMEOUT_MS, 512, 1_000, 1_000, streamed=False
            ),
        ),
        organisations=(("a", 5.0), ("b", 3.0), ("c", 1.0), ("d", 1.0), ("e", 1.0)),
        families=5,
    ),
}


@dataclass(frozen=True)
class Arrival:
    """One request, the VM that receives it, and its job at an engine."""

    at_ms: int
    vm: int
    request: Request
    job: Job
    streamed: bool
    family: str
    shared_tokens: int


def engine_cost_ms(route: RouteLoad, speed: EngineSpeed) -> float:
    """Return the engine time per request in a full batch, with its shared prefix cached."""
    prefill_ms = _MS_PER_S * route.unique_tokens / speed.prefill_tokens_per_s
    decode_ms = route.output_tokens * (
        speed.step_base_ms / speed.slots + speed.step_per_sequence_ms
    )
    return prefill_ms + decode_ms


class Workload:
    """Generates the arrivals of one run."""

    def __init__(self, site: SiteLoad, scenario: Scenario, speeds: list[EngineSpeed], seed: int):
        self._site = site
        self._scenario = scenario
        self._speeds = speeds
        self._random = random.Random(seed)
        self._number = 0

    def arrivals(self) -> list[Arrival]:
        """Return all arrivals of the run in order of time."""
        all_arrivals: list[Arrival] = []
        starts_at_ms = 0
        for phase in self._scenario.phases:
            for route in self._site.routes:
                all_arrivals.extend(self._route_arrivals(route, phase, starts_at_ms))
            starts_at_ms = phase.ends_at_ms
        return sorted(all_arrivals, key=lambda arrival: (arrival.at_ms, arrival.request.request_id))

    def _route_arrivals(
        self, route: RouteLoad, phase: Phase, starts_at_ms: int
    ) -> Iterator[Arrival]:
        capacity_per_ms = sum(1.0 / engine_cost_ms(route, speed) for speed in self._speeds)
        requests_per_ms = phase.load * phase.tier_shares[route.tier_rank] * capacity_per_ms
        flooded = route.tier_rank == 1 and self._scenario.flood_factor > 1.0
        streams = [(requests_per_ms, "")]
        if flooded:
            streams.append((requests_per_ms * (self._scenario.flood_factor - 1.0), "flooder"))
        for rate_per_ms, organisation in streams:
            at_ms = float(starts_at_ms)
            while (at_ms := at_ms + self._random.expovariate(rate_per_ms)) < phase.ends_at_ms:
                yield self._arrival(route, int(at_ms), organisation)

    def _arrival(self, route: RouteLoad, at_ms: int, organisation: str) -> Arrival:
        generator = self._random
        self._number += 1
        request_id = f"r{self._number}"
        names = [name for name, _ in self._site.organisations]
        weights = [weight for _, weight in self._site.organisations]
        organisation = organisation or generator.choices(names, weights)[0]
        family = f"{route.route}/{self._family(route)}"
        prompt_tokens = route.shared_tokens + max(
            1, int(generator.gauss(1.0, 0.2) * route.unique_tokens)
        )
        output_tokens = self._length(route)
        request = Request(
            request_id=request_id,
            organisation=organisation,
            route=route.route,
            tier_rank=route.tier_rank,
            target=TARGET,
            kind=UpstreamKind.MODEL_ENGINE,
            arrived_at_ms=at_ms,
            deadline_ms=at_ms + route.timeout_ms,
            prompt_tokens=prompt_tokens,
            expected_output_tokens=route.output_tokens,
            prefix_digests=_digests(
                family, request_id, route.shared_tokens, prompt_tokens, PREFIX_BLOCK_TOKENS
            ),
        )
        block_tokens = self._speeds[0].block_tokens
        blocks = _digests(family, request_id, route.shared_tokens, prompt_tokens, block_tokens)
        job = Job(request_id, prompt_tokens, output_tokens, blocks)
        vm = generator.randrange(self._site.vms)
        return Arrival(at_ms, vm, request, job, route.streamed, family, route.shared_tokens)

    def _family(self, route: RouteLoad) -> int:
        if route.shared_tokens < 1_000:
            return 0
        return min(int(self._site.families * self._random.random() ** 1.5), self._site.families - 1)

    def _length(self, route: RouteLoad) -> int:
        sigma = self._scenario.length_sigma
        output_tokens = route.output_tokens * self._random.lognormvariate(-sigma * sigma / 2, sigma)
        return max(1, min(route.timeout_ms // _SLOWEST_MS_PER_TOKEN, int(output_tokens)))


def _digests(
    family: str, request_id: str, shared_tokens: int, prompt_tokens: int, block_tokens: int
) -> tuple[str, ...]:
    shared = shared_tokens // block_tokens
    total = prompt_tokens // block_tokens
    unique = [f"{request_id}:{number}" for number in range(shared, total)]
    return tuple([f"{family}:{number}" for number in range(shared)] + unique)
