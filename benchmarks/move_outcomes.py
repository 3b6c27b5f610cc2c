"""What becomes of single requests: failures and latencies of a good and of a bad version."""

import random
from dataclasses import dataclass, replace

BASE_FAIL_SHARE = 0.005
_FIRST_TOKEN_MEDIAN_MS = 300.0
_FIRST_TOKEN_SIGMA = 0.5
_PER_TOKEN_MEDIAN_MS = 25.0
_PER_TOKEN_SIGMA = 0.2
_LENGTH_SIGMA = 0.6
_LONGEST_TOKENS = 3_000
#: A bad version fails this share of its requests, drawn evenly for each run.
_FAIL_SHARES = (0.15, 0.6)
_SLOW_FIRST_FACTORS = (2.0, 4.0)
_SLOW_TOKEN_FACTORS = (1.5, 3.0)
#: Share of all requests in progress from which on some versions fail.
_LOAD_LIMIT_SHARE = 0.2


@dataclass(frozen=True)
class RouteMix:
    """One route's part of the requests and the usual length of its answers."""

    name: str
    part: float
    output_tokens: int


@dataclass(frozen=True)
class SiteMix:
    """One site of the brief, as far as moves see it."""

    name: str
    model: str
    requests_per_s: float
    routes: tuple[RouteMix, ...]


SITES = {
    "kuiseb": SiteMix(
        "kuiseb",
        "fibre-large",
        24.0,
        (
            RouteMix("diagnosis", 0.3, 400),
            RouteMix("fabric-question", 0.5, 80),
            RouteMix("job-summary", 0.2, 600),
        ),
    ),
    "burdekin": SiteMix(
        "burdekin",
        "drafting",
        40.0,
        (
            RouteMix("call-summary", 0.4, 150),
            RouteMix("fault-category", 0.4, 10),
            RouteMix("incident-narrative", 0.2, 1000),
        ),
    ),
}


@dataclass(frozen=True)
class Outcome:
    """How one request went."""

    failed: bool
    first_token_ms: float
    per_token_ms: float
    output_tokens: int


@dataclass(frozen=True)
class Fault:
    """What is wrong with the new version; by default nothing."""

    fail_share: float = 0.0
    slow_first: float = 1.0
    slow_tokens: float = 1.0
    #: Empty: every route.
    route: str = ""
    starts_ms: int = 0
    #: Share of the requests in progress that the new version must have; 0: always.
    load_share: float = 0.0

    @property
    def is_bad(self) -> bool:
        """Return whether the version should be taken back."""
        return self.fail_share > 0 or self.slow_first > 1 or self.slow_tokens > 1

    def shows(self, route: str, now_ms: int, load_share: float) -> bool:
        """Return whether the fault can show in a request that is dispatched now."""
        if not self.is_bad or now_ms < self.starts_ms or load_share < self.load_share:
            return False
        return self.route in ("", route)


def fault_of(scenario: str, site: SiteMix, generator: random.Random, *, latest_ms: int) -> Fault:
    """Return the new version's fault in one run; how bad it is, is drawn."""
    failing = Fault(fail_share=generator.uniform(*_FAIL_SHARES))
    if scenario in ("bad_at_once", "platform_down_bad"):
        return failing
    if scenario == "bad_late":
        return replace(failing, starts_ms=round(generator.uniform(0.2, 1.0) * latest_ms))
    if scenario == "bad_under_load":
        return replace(failing, load_share=_LOAD_LIMIT_SHARE)
    if scenario == "bad_on_one_route":
        return replace(failing, route=generator.choice(site.routes).name)
    if scenario == "slow":
        return Fault(
            slow_first=generator.uniform(*_SLOW_FIRST_FACTORS),
            slow_tokens=generator.uniform(*_SLOW_TOKEN_FACTORS),
        )
    return Fault()


def draw_outcome(
    route: RouteMix, fault: Fault | None, load: float, generator: random.Random
) -> Outcome:
    """Return how a request goes; ``load`` is the rate in multiples of the usual one."""
    fail_share = BASE_FAIL_SHARE if fault is None else max(BASE_FAIL_SHARE, fault.fail_share)
    tokens = generator.lognormvariate(0.0, _LENGTH_SIGMA) * route.output_tokens
    crowding = 0.6 + 0.4 * load * load
    first_ms = _FIRST_TOKEN_MEDIAN_MS * generator.lognormvariate(0.0, _FIRST_TOKEN_SIGMA)
    token_ms = _PER_TOKEN_MEDIAN_MS * generator.lognormvariate(0.0, _PER_TOKEN_SIGMA)
    if fault is not None:
        first_ms *= fault.slow_first
        token_ms *= fault.slow_tokens
    return Outcome(
        generator.random() < fail_share,
        first_ms * crowding,
        token_ms * (0.8 + 0.2 * load),
        max(1, min(_LONGEST_TOKENS, round(tokens))),
    )
