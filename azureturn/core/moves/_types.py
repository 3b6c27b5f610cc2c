"""The record of a version move and its permitted changes."""

from dataclasses import dataclass, replace
from enum import StrEnum

from azureturn.errors import AzureturnError, ErrorKind


class MoveState(StrEnum):
    """State of a version move."""

    #: Upstreams load the new version, which gets no requests yet.
    LOADING = "loading"
    #: The share of requests for the new version grows stage by stage.
    RAMPING = "ramping"
    #: All requests go to the new version, which is still being tested.
    BAKING = "baking"
    COMPLETED = "completed"
    #: The mover ended the move and sent all requests to the old version again.
    TAKEN_BACK = "taken_back"
    #: An operator ended the move.
    ABORTED = "aborted"
    #: Never stored: a VM reports it after the deadline while it cannot reach the key-value
    #: service.
    FROZEN = "frozen"


class MoveReason(StrEnum):
    """Reason for the state of a move."""

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
    """A change would move a record backwards or out of a final state."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.CONFLICT, message)


@dataclass(frozen=True)
class SlowThresholds:
    """Latencies above which an answer on a route counts as slow."""

    #: Name of the route; empty for all routes together.
    route: str
    first_token_ms: float
    per_token_ms: float


@dataclass(frozen=True)
class MoveRecord:
    """The stored record of a move of a model's requests from one version to another.

    One VM at a time, the holder, has a lease on the record and advances the move. The record is
    changed only by compare-and-swap, so that every change applies to the revision that was read.
    Changes go forward only: the stage and the fencing number never decrease, and a final state is
    never left. The deadline is met when the state ``baking`` is reached.

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
    #: Successive shares of the requests for the new version; the last is 1.
    stages: tuple[float, ...] = (0.01, 0.05, 0.25, 0.5, 1.0)
    #: Requests of the new version required in each stage before the next stage.
    samples_per_stage: int = 30
    #: Requests of the new version required on each route before the second stage.
    samples_per_route: int = 12
    stage_min_ms: int = 20_000
    #: Time for which the new version is tested after it gets all requests.
    baking_ms: int = 300_000
    state: MoveState = MoveState.LOADING
    reason: MoveReason = MoveReason.NONE
    #: Human-readable explanation of the reason.
    detail: str = ""
    #: Index into ``stages``; -1 before the first stage.
    stage: int = -1
    stage_since_unix_ms: int = 0
    #: Time at which the new version got all requests; 0 before.
    moved_unix_ms: int = 0
    ended_unix_ms: int = 0
    #: Fencing number: incremented with each lease holder and sent with orders to engines.
    fence: int = 0
    #: VM that holds the lease on the record, and the boot id of its process.
    holder_vm: str = ""
    holder_boot_id: str = ""
    #: Incremented by each renewal of the lease, so that a renewal changes the stored revision.
    renewals: int = 0
    thresholds: tuple[SlowThresholds, ...] = ()
    #: Upstreams of the model that have not loaded the new version.
    missing: tuple[str, ...] = ()
    #: Whether, after the end, the version that no longer serves has been unloaded everywhere.
    settled: bool = False

    @property
    def ended(self) -> bool:
        """Return whether the state is final."""
        return self.state in ENDED_STATES

    @property
    def share(self) -> float:
        """Return the target share of the new version, from 0 to 1."""
        if self.state is MoveState.COMPLETED:
            return 1.0
        if self.state in ENDED_STATES or self.stage < 0:
            return 0.0
        return self.stages[self.stage]

    @property
    def serving_version(self) -> str:
        """Return the version that serves all requests once the move has ended."""
        return self.to_version if self.state is MoveState.COMPLETED else self.from_version

    def with_holder(self, vm: str, boot_id: str) -> "MoveRecord":
        """Return a copy with another process as the lease holder and the next fencing number."""
        return replace(self, holder_vm=vm, holder_boot_id=boot_id, fence=self.fence + 1)

    def with_renewal(self) -> "MoveRecord":
        """Return a copy with the lease renewed."""
        return replace(self, renewals=self.renewals + 1)

    def with_missing(self, missing: tuple[str, ...]) -> "MoveRecord":
        """Return a copy with the upstreams that have not loaded the new version."""
        return replace(self, missing=missing)

    def with_thresholds(self, thresholds: tuple[SlowThresholds, ...]) -> "MoveRecord":
        """Return a copy with the slow thresholds, which can be set only before the first stage."""
        if self.stage >= 0:
            raise MoveChangeError("slow thresholds cannot change after the first stage has begun")
        return replace(self, thresholds=thresholds)

    def with_stage(self, stage: int, *, unix_ms: int) -> "MoveRecord":
        """Return a copy at a later stage; the stage with share 1 starts the state ``baking``."""
        if stage <= self.stage or not stage < len(self.stages):
            raise MoveChangeError(f"a move at stage {self.stage} cannot change to stage {stage}")
        is_full_share = self.stages[stage] >= 1.0
        state = MoveState.BAKING if is_full_share else MoveState.RAMPING
        advanced = replace(self, stage=stage, stage_since_unix_ms=unix_ms)
        advanced = replace(advanced, moved_unix_ms=unix_ms if is_full_share else 0)
        return advanced if self.state is state else advanced._with_state(self.state, state)

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
        """Return a copy of an ended move marked as settled."""
        if not self.ended:
            raise MoveChangeError("a move cannot be settled before it has ended")
        return replace(self, settled=True)

    def _with_state(self, current: MoveState, state: MoveState) -> "MoveRecord":
        skips_ramping = current is MoveState.LOADING and state is MoveState.BAKING
        if state not in _NEXT_STATES.get(current, frozenset()) and not skips_ramping:
            raise MoveChangeError(f"a move in state {current.value} cannot change to {state.value}")
        return replace(self, state=state)
