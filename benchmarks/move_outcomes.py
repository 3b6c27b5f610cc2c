"""Random outcomes of single requests: failures and latencies of good and bad versions."""

import random
from dataclasses import dataclass, replace

BASE_FAIL_SHARE = 0.005
_FIRST_TOKEN_MEDIAN_MS = 300.0
_FIRST_TOKEN_SIGMA = 0.5
_PER_TOKEN_MEDIAN_MS = 25.0
_PER_TOKEN_SIGMA = 0.2
_LENGTH_SIGMA = 0.6
_MAX_OUTPUT_TOKENS = 3_000
#: Range of the share of requests that a bad version fails, drawn uniformly for each run.
_FAIL_SHARES = (0.15, 0.6)
_FIRST_TOKEN_FACTORS = (2.0, 4.0)
_TOKEN_TIME_FACTORS = (1.5, 3.0)
#: Share of all requests in progress from which on a version fails in ``bad_under_load``.
_LOAD_LIMIT_SHARE = 0.2


@dataclass(frozen=True)
class RouteWorkload:
    """One route's share of the requests and the median length of its answers."""

    name: str
    request_share: float
    output_tokens: int


@dataclass(frozen=True)
class SiteWorkload:
    """The workload of one site, as far as it is relevant to moves."""

    name: str
    model: str
    requests_per_s: float
    routes: tuple[RouteWorkload, ...]


SITES = {
    "kuiseb": SiteWorkload(
        "kuiseb",
        "fibre-large",
        24.0,
        (
            RouteWorkload("diagnosis", 0.3, 400),
            RouteWorkload("fabric-question", 0.5, 80),
            RouteWorkload("job-summary", 0.2, 600),
        ),
    ),
    "burdekin": SiteWorkload(
        "burdekin",
        "drafting",
        40.0,
        (
            RouteWorkload("call-summary", 0.4, 150),
            RouteWorkload("fault-category", 0.4, 10),
            RouteWorkload("incident-narrative", 0.2, 1000),
        ),
    ),
}


@dataclass(frozen=True)
class Outcome:
    """Outcome of one request."""

    failed: bool
    first_token_ms: float
    per_token_ms: float
    output_tokens: int


@dataclass(frozen=True)
class Fault:
    """Fault of the new version; by default the version is good."""

    fail_share: float = 0.0
    first_token_factor: float = 1.0
    token_time_factor: float = 1.0
    #: The only route that is affected; empty: all routes.
    route: str = ""
    starts_ms: int = 0
    #: Share of the requests in progress from which on the fault appears; 0: always.
    load_share: float = 0.0

    @property
    def is_bad(self) -> bool:
        """Return whether the move to the version should be taken back."""
        return self.fail_share > 0 or self.first_token_factor > 1 or self.token_time_factor > 1

    def affects(self, route: str, now_ms: int, load_share: float) -> bool:
        """Return whether the fault affects a request that is dispatched now."""
        if not self.is_bad or now_ms < self.starts_ms or load_share < self.load_share:
            return False
        return self.route in ("", route)


def draw_fault(
    scenario: str, site: SiteWorkload, generator: random.Random, *, latest_ms: int
) -> Fault:
    """Return the new version's fault in one run, with its severity drawn at random."""
    failure = Fault(fail_share=generator.uniform(*_FAIL_SHARES))
    if scenario in ("bad_at_once", "platform_down_bad"):
        return failure
    if scenario == "bad_late":
        return replace(failure, starts_ms=round(generator.uniform(0.2, 1.0) * latest_ms))
    if scenario == "bad_under_load":
        return replace(failure, load_share=_LOAD_LIMIT_SHARE)
    if scenario == "bad_on_one_route":
        return replace(failure, route=generator.choice(site.routes).name)
    if scenario == "slow":
        return Fault(
            first_token_factor=generator.uniform(*_FIRST_TOKEN_FACTORS),
            token_time_factor=generator.uniform(*_TOKEN_TIME_FACTORS),
        )
    return Fault()


def draw_outcome(
    route: RouteWorkload, fault: Fault | None, load: float, generator: random.Random
) -> Outcome:
    """Return a request's outcome; ``load`` is the request rate as a multiple of the normal rate."""
    fail_share = BASE_FAIL_SHARE if fault is None else max(BASE_FAIL_SHARE, fault.fail_share)
    tokens = generator.lognormvariate(0.0, _LENGTH_SIGMA) * route.output_tokens
    load_factor = 0.6 + 0.4 * load * load
    first_ms = _FIRST_TOKEN_MEDIAN_MS * generator.lognormvariate(0.0, _FIRST_TOKEN_SIGMA)
    token_ms = _PER_TOKEN_MEDIAN_MS * generator.lognormvariate(0.0, _PER_TOKEN_SIGMA)
    if fault is not None:
        first_ms *= fault.first_token_factor
        token_ms *= fault.token_time_factor
    return Outcome(
        generator.random() < fail_share,
        first_ms * load_factor,
        token_ms * (0.8 + 0.2 * load),
        max(1, min(_MAX_OUTPUT_TOKENS, round(tokens))),
    )
