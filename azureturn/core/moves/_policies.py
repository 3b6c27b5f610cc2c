"""Ramp policies: when the share of a new version grows. Chosen by name in the settings."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from azureturn.core.moves._evidence import EvidenceLedger
from azureturn.core.moves._judging import Verdict
from azureturn.core.moves._planning import judged_routes, stages_needed_ms
from azureturn.core.moves._types import MoveReason, MoveRecord

_MS_PER_S = 1_000
#: One in this many of a stage's samples must have been taken at load.
BUSY_PART = 6
#: Rates are trusted after this long, or after a tenth of the time to the deadline.
RATE_WARM_UP_MS = 60_000


@dataclass(frozen=True)
class RampView:
    """What a policy decides on."""

    record: MoveRecord
    ledger: EvidenceLedger
    verdict: Verdict
    unix_ms: int
    #: Requests a second on each route, both versions together.
    rates_per_s: Mapping[str, float] = field(default_factory=dict)
    #: How long this VM has known of the move, and so how far its rates can be trusted.
    known_for_ms: int = 0

    @property
    def rates_are_known(self) -> bool:
        """Return whether this VM has seen enough to say what can't be done in time."""
        whole_ms = self.record.deadline_unix_ms - self.record.started_unix_ms
        return self.known_for_ms >= min(RATE_WARM_UP_MS, whole_ms // 10)


@dataclass(frozen=True)
class Hold:
    """The share stays."""


@dataclass(frozen=True)
class Advance:
    """The share grows to the next stage."""


@dataclass(frozen=True)
class TakeBack:
    """The old version gets all requests again."""

    reason: MoveReason
    detail: str


RampDecision = Hold | Advance | TakeBack


@dataclass(frozen=True)
class RampPolicy:
    """When the share grows, and whether versions are judged."""

    decide: Callable[[RampView], RampDecision]
    judges: bool


RAMP_POLICIES: dict[str, RampPolicy] = {}
_Decide = Callable[[RampView], RampDecision]


def ramp_policy(name: str, *, judges: bool) -> Callable[[_Decide], _Decide]:
    """Register a policy under the name that settings use."""

    def register(decide: _Decide) -> _Decide:
        RAMP_POLICIES[name] = RampPolicy(decide, judges)
        return decide

    return register


@ramp_policy("judged", judges=True)
def judged(view: RampView) -> RampDecision:
    """Grow on enough clean samples; take back early what can't be done by the deadline."""
    record = view.record
    left_ms = record.deadline_unix_ms - view.unix_ms
    if left_ms <= 0:
        return TakeBack(MoveReason.DEADLINE_PASSED, f"at stage {record.stage + 1}")
    new = view.ledger.total(is_new=True, stages=range(record.stage, record.stage + 1))
    by_route = _samples_by_route(view)
    in_stage_ms = view.unix_ms - record.stage_since_unix_ms
    needed_ms = stages_needed_ms(
        record,
        view.rates_per_s,
        samples=new.requests,
        route_samples=by_route,
        in_stage_ms=in_stage_ms,
    )
    if needed_ms > left_ms and view.rates_are_known:
        detail = f"the stages need {needed_ms // _MS_PER_S} s, {left_ms // _MS_PER_S} s are left"
        return TakeBack(MoveReason.DEADLINE_UNREACHABLE, detail)
    enough = new.requests >= record.samples_per_stage
    enough = enough and new.busy * BUSY_PART >= record.samples_per_stage
    for route in judged_routes(view.rates_per_s):
        enough = enough and by_route.get(route, 0) >= record.samples_per_route
    if enough and in_stage_ms >= record.stage_min_ms and not view.verdict.suspicious:
        return Advance()
    return Hold()


@ramp_policy("clock", judges=False)
def clock(view: RampView) -> RampDecision:
    """Grow by the clock alone, in even steps up to the deadline, whatever the answers are."""
    record = view.record
    whole_ms = record.deadline_unix_ms - record.started_unix_ms
    due_ms = whole_ms * (record.stage + 2) // (len(record.stages) + 1)
    return Advance() if view.unix_ms >= record.started_unix_ms + due_ms else Hold()


def _samples_by_route(view: RampView) -> dict[str, int]:
    stages = range(0, len(view.record.stages))
    return {
        route: view.ledger.total(is_new=True, stages=stages, route=route).requests
        for route in view.rates_per_s
    }
