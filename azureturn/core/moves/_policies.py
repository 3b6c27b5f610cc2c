"""Ramp policies: decide when the share of a new version grows.

The settings select a policy by name.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from azureturn.core.moves._evidence import MoveEvidence
from azureturn.core.moves._judging import Verdict
from azureturn.core.moves._planning import judged_routes, stages_needed_ms
from azureturn.core.moves._types import MoveReason, MoveRecord

_MS_PER_S = 1_000
#: At least ``1 / BUSY_SAMPLE_DIVISOR`` of a stage's samples must have been dispatched under high
#: load (``ModelLoad.busy``).
BUSY_SAMPLE_DIVISOR = 6
#: Measured rates are used after this time, or after a tenth of the time from start to deadline
#: if that is shorter.
RATE_WARM_UP_MS = 60_000


@dataclass(frozen=True)
class RampInputs:
    """Inputs of a ramp policy."""

    record: MoveRecord
    move_evidence: MoveEvidence
    verdict: Verdict
    unix_ms: int
    #: Requests per second on each route, for both versions together.
    rates_per_s: Mapping[str, float] = field(default_factory=dict)
    #: Time since this VM first read the move. The measured rates are unreliable until this time is
    #: long enough.
    known_for_ms: int = 0

    @property
    def rates_are_known(self) -> bool:
        """Return whether the measured rates are reliable enough to predict a missed deadline."""
        planned_ms = self.record.deadline_unix_ms - self.record.started_unix_ms
        return self.known_for_ms >= min(RATE_WARM_UP_MS, planned_ms // 10)


@dataclass(frozen=True)
class Hold:
    """Keep the current share."""


@dataclass(frozen=True)
class Advance:
    """Advance to the next stage."""


@dataclass(frozen=True)
class TakeBack:
    """Send all requests to the old version again."""

    reason: MoveReason
    detail: str


RampDecision = Hold | Advance | TakeBack


@dataclass(frozen=True)
class RampPolicy:
    """A registered ramp policy."""

    decide: Callable[[RampInputs], RampDecision]
    #: Whether the policy uses the statistical test: a condemned version gets no more requests, and
    #: the first stage waits for the latency thresholds.
    judges: bool


RAMP_POLICIES: dict[str, RampPolicy] = {}
_DecideFunction = Callable[[RampInputs], RampDecision]


def ramp_policy(name: str, *, judges: bool) -> Callable[[_DecideFunction], _DecideFunction]:
    """Register a policy under the name that settings use."""

    def register(decide: _DecideFunction) -> _DecideFunction:
        RAMP_POLICIES[name] = RampPolicy(decide, judges)
        return decide

    return register


@ramp_policy("judged", judges=True)
def judged(inputs: RampInputs) -> RampDecision:
    """Advance after enough samples if the verdict is not suspicious.

    Takes the move back if the deadline has passed or cannot be met.
    """
    record = inputs.record
    remaining_ms = record.deadline_unix_ms - inputs.unix_ms
    if remaining_ms <= 0:
        return TakeBack(MoveReason.DEADLINE_PASSED, f"at stage {record.stage + 1}")
    new = inputs.move_evidence.total(is_new=True, stages=range(record.stage, record.stage + 1))
    by_route = _samples_by_route(inputs)
    in_stage_ms = inputs.unix_ms - record.stage_since_unix_ms
    needed_ms = stages_needed_ms(
        record,
        inputs.rates_per_s,
        samples=new.requests,
        route_samples=by_route,
        in_stage_ms=in_stage_ms,
    )
    if needed_ms > remaining_ms and inputs.rates_are_known:
        detail = (
            f"the remaining stages need {needed_ms // _MS_PER_S} s, "
            f"{remaining_ms // _MS_PER_S} s are left"
        )
        return TakeBack(MoveReason.DEADLINE_UNREACHABLE, detail)
    has_enough_samples = new.requests >= record.samples_per_stage
    has_enough_samples = (
        has_enough_samples and new.busy * BUSY_SAMPLE_DIVISOR >= record.samples_per_stage
    )
    for route in judged_routes(inputs.rates_per_s):
        has_enough_samples = (
            has_enough_samples and by_route.get(route, 0) >= record.samples_per_route
        )
    if has_enough_samples and in_stage_ms >= record.stage_min_ms and not inputs.verdict.suspicious:
        return Advance()
    return Hold()


@ramp_policy("clock", judges=False)
def clock(inputs: RampInputs) -> RampDecision:
    """Advance at equal intervals up to the deadline, regardless of the evidence."""
    record = inputs.record
    planned_ms = record.deadline_unix_ms - record.started_unix_ms
    due_ms = planned_ms * (record.stage + 2) // (len(record.stages) + 1)
    return Advance() if inputs.unix_ms >= record.started_unix_ms + due_ms else Hold()


def _samples_by_route(inputs: RampInputs) -> dict[str, int]:
    stages = range(0, len(inputs.record.stages))
    return {
        route: inputs.move_evidence.total(is_new=True, stages=stages, route=route).requests
        for route in inputs.rates_per_s
    }
