"""The record of a version move, and how it may change."""

from dataclasses import dataclass, replace
from enum import StrEnum

from azureturn.errors import AzureturnError, ErrorKind


class MoveState(StrEnum):
    """How far a move has come."""

    LOADING = "loading"
    RAMPING = "ramping"
    #: All requests go to the new version, which is still judged.
    BAKING = "baking"
    COMPLETED = "completed"
    TAKEN_BACK = "taken_back"
    ABORTED = "aborted"
    #: Never written: a VM shows it from the deadline on while it has no word of the service.
    FROZEN = "frozen"


class MoveReason(StrEnum):
    """Why a move is in its state."""

    NONE = "none"
    FAILURES = "failures"
    SLOW = "slow"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    OPERATOR = "operator"
    NO_WORD_FROM_SERVICE = "no_word_from_service"


_NEXT_STATES: dict[MoveState, frozenset[MoveState]] = {
    MoveState.LOADING: frozenset({MoveState.RAMPING, MoveState.TAKEN_BACK, MoveState.ABORTED}),
    MoveState.RAMPING: frozenset({MoveState.BAKING, MoveState.TAKEN_BACK, MoveState.ABORTED}),
    MoveState.BAKING: frozenset({MoveState.COMPLETED, MoveState.TAKEN_BACK, MoveState.ABORTED}),
}
#: States that a record never leaves.
ENDED_STATES = frozenset({MoveState.COMPLETED, MoveState.TAKEN_BACK, MoveState.ABORTED})


class MoveChangeError(AzureturnError):
    """A change would make a move's record go back, or leave a final state."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.CONFLICT, message)


@dataclass(frozen=True)
class SlowThresholds:
    """From when on an answer on a route counts as slow."""

    #: Name of the route; empty for all routes together.
    route: str
    first_token_ms: float
    per_token_ms: float


@dataclass(frozen=True)
class MoveRecord:
    """One move of a model's requests from a version to another, as the service holds it.

    The record is changed by compare-and-swap alone, so that every change is made on what was
    read. A change goes forward: the stage and the fencing number never fall, and a final state
    is never left. The deadline is met by reaching the state ``baking``.

    >>> record = MoveRecord("m1", "fibre-large", "v1", "v2", 0, 600_000)
    >>> record.with_stage(0, unix_ms=60_000).share
    0.01
    """

    move_id: str
    model: str
    from_version: str
    to_version: str
    started_unix_ms: int
    deadline_unix_ms: int
    #: Shares of the requests that the new version gets, one after another; the last is 1.
    stages: tuple[float, ...] = (0.01, 0.05, 0.25, 0.5, 1.0)
    #: Requests of the new version that each stage needs before the next.
    samples_per_stage: int = 30
    #: Requests of the new version that each route needs before the second stage.
    samples_per_route: int = 12
    stage_min_ms: int = 20_000
    #: How long the version is judged after it has all requests.
    baking_ms: int = 300_000
    state: MoveState = MoveState.LOADING
    reason: MoveReason = MoveReason.NONE
    #: A sentence for people.
    detail: str = ""
    stage: int = -1
    stage_since_unix_ms: int = 0
    #: When the new version got all requests; 0 before.
    moved_unix_ms: int = 0
    ended_unix_ms: int = 0
    #: Rises with each holder of the lease; orders to engines carry it.
    fence: int = 0
    holder_vm: str = ""
    holder_boot_id: str = ""
    renewals: int = 0
    thresholds: tuple[SlowThresholds, ...] = ()
    #: Upstreams of the model that do not have the new version.
    missing: tuple[str, ...] = ()
    #: After the end: the version that lost is unloaded everywhere.
    settled: bool = False

    @property
    def ended(self) -> bool:
        """Return whether the state is final."""
        return self.state in ENDED_STATES

    @property
    def share(self) -> float:
        """Return the share of the requests that the new version is to get, 0 to 1."""
        if self.state is MoveState.COMPLETED:
            return 1.0
        if self.state in ENDED_STATES or self.stage < 0:
            return 0.0
        return self.stages[self.stage]

    @property
    def serving_version(self) -> str:
        """Return the version that serves once nothing is being moved."""
        return self.to_version if self.state is MoveState.COMPLETED else self.from_version

    def with_holder(self, vm: str, boot_id: str) -> "MoveRecord":
        """Return a copy that another process holds, under the next fencing number."""
        return replace(self, holder_vm=vm, holder_boot_id=boot_id, fence=self.fence + 1)

    def with_renewal(self) -> "MoveRecord":
        """Return a copy that says that its holder is alive."""
        return replace(self, renewals=self.renewals + 1)

    def with_missing(self, missing: tuple[str, ...]) -> "MoveRecord":
        """Return a copy with the upstreams that lack the new version."""
        return replace(self, missing=missing)

    def with_thresholds(self, thresholds: tuple[SlowThresholds, ...]) -> "MoveRecord":
        """Return a copy that says what is slow; it is set before the first stage only."""
        if self.stage >= 0:
            raise MoveChangeError("what counts as slow is fixed once the version gets requests")
        return replace(self, thresholds=thresholds)

    def with_stage(self, stage: int, *, unix_ms: int) -> "MoveRecord":
        """Return a copy at a later stage; the stage with all requests begins the baking."""
        if stage <= self.stage or not stage < len(self.stages):
            raise MoveChangeError(f"a move at stage {self.stage} cannot go to stage {stage}")
        everything = self.stages[stage] >= 1.0
        state = MoveState.BAKING if everything else MoveState.RAMPING
        moved = replace(self, stage=stage, stage_since_unix_ms=unix_ms)
        moved = replace(moved, moved_unix_ms=unix_ms if everything else 0)
        return moved if self.state is state else moved._with_state(self.state, state)

    def with_end(
        self,
        state: MoveState,
        reason: MoveReason = MoveReason.NONE,
        detail: str = "",
        *,
        unix_ms: int,
    ) -> "MoveRecord":
        """Return a copy in a final state."""
        if state not in ENDED_STATES:
            raise MoveChangeError(f"{state.value} is not a final state")
        ended = replace(self, reason=reason, detail=detail, ended_unix_ms=unix_ms)
        return ended._with_state(self.state, state)

    def with_settled(self) -> "MoveRecord":
        """Return a copy of an ended move with nothing left to do."""
        if not self.ended:
            raise MoveChangeError("a move that goes on is not settled")
        return replace(self, settled=True)

    def _with_state(self, present: MoveState, state: MoveState) -> "MoveRecord":
        from_loading = present is MoveState.LOADING and state is MoveState.BAKING
        if state not in _NEXT_STATES.get(present, frozenset()) and not from_loading:
            raise MoveChangeError(f"a move that is {present.value} cannot be {state.value}")
        return replace(self, state=state)
