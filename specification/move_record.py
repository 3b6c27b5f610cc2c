"""Specification of the record of a version move.

A version move shifts the requests of a model from an old version to a new one. A mover is a VM
that may advance the move; the mover that has the lease on the record also orders the engine to load
and unload versions.

The model has two movers, an operator, an engine that ignores fencing numbers, and outages of the
key-value service. The service changes the record by compare-and-swap. Answers are lost, writes
arrive late, and each mover may lose contact with the service at any time, also at the deadline. A
mover may be paused between checking its lease and sending its order. The engine executes every
order that reaches it, whatever the order's fencing number. Bounds: two takeovers (where orders are
explored), one write in transit for each mover, two stages.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol

from specification._registry import Mutation, Specification, specification

NO_HOLDER = -1
MOVERS = (0, 1)
LAST_STAGE = 1
#: Number of times that a mover may take over the record.
TAKEOVER_LIMIT = 2
#: The check fails if it reaches this many states.
MAX_STATES = 500_000

LOADING, RAMPING, BAKING = "loading", "ramping", "baking"
COMPLETED, TAKEN_BACK, ABORTED = "completed", "taken_back", "aborted"
FINAL_STATES = (COMPLETED, TAKEN_BACK, ABORTED)
_STATE_RANK = {LOADING: 0, RAMPING: 1, BAKING: 2, COMPLETED: 3, TAKEN_BACK: 3, ABORTED: 3}


class Record(NamedTuple):
    """The record stored in the service."""

    state: str
    #: Index of the current stage; -1 before the first.
    stage: int
    #: Fencing number; incremented with each takeover.
    fence: int
    #: Number of the mover that took the record over last.
    holder: int


class Write(NamedTuple):
    """A compare-and-swap in transit."""

    expected_revision: int
    record: Record


class Mover(NamedTuple):
    """One VM: the record it last read, and its operations in progress."""

    #: Revision and content of the record when the VM last read or wrote it.
    known_revision: int = 0
    known: Record | None = None
    #: Whether the VM has current information from the service.
    in_contact: bool = False
    #: Write in transit.
    pending: Write | None = None
    #: Whether the VM has the lease on the record.
    lease: bool = False
    #: Whether the VM knows that the new version was judged bad or the move was ended; the new
    #: version then gets no requests.
    condemned: bool = False
    #: Whether the VM is paused while its order is in progress.
    paused: bool = False
    #: Order in progress, which may reach the engine at any time: "load", "unload" or "".
    order: str = ""


class State(NamedTuple):
    """State of the whole system; the fields from ``final_states`` on serve to detect violations."""

    revision: int = 1
    record: Record = Record(LOADING, -1, 0, NO_HOLDER)
    movers: tuple[Mover, Mover] = (Mover(), Mover())
    #: Whether the deadline has passed.
    deadline: bool = False
    #: Whether the engine has loaded the new version.
    loaded: bool = False
    #: Final states that the record has had.
    final_states: tuple[str, ...] = ()
    #: Whether the record was changed backwards or out of a final state.
    reverted: bool = False
    #: Whether, without ``stop_at_deadline``, the move reached ``baking`` after the deadline.
    moved_late: bool = False
    #: Whether a VM raised the share of a version that it had condemned.
    condemned_share_grew: bool = False
    #: Whether two movers that were not paused had orders in progress at the same time.
    concurrent_orders: bool = False


@dataclass(frozen=True)
class Safeguards:
    """Safeguards of the protocol; each mutation disables one."""

    #: The service applies a write only at the expected revision.
    compare: bool = True
    #: A mover does not write over a record in a final state.
    keep_final_state: bool = True
    #: A VM that condemned the version never advances the move afterwards.
    remember_condemned: bool = True
    #: After the deadline a mover takes the move back instead of advancing it.
    stop_at_deadline: bool = True
    #: Without contact to the service, a VM shows an unfinished move as frozen after the deadline.
    show_frozen: bool = True
    #: A mover sends no order while an order of the other mover is in progress.
    await_running_orders: bool = True
    #: A version is unloaded only after its move has ended.
    unload_after_end: bool = True


class Scope(StrEnum):
    """Half of the model that is explored; both halves include the record and its writes."""

    #: Deadline, outage and lost answers; any mover writes at any time, regardless of the lease.
    RECORD = "record"
    #: Orders, pauses and the engine, with a service that always answers and without a deadline.
    ORDERS = "orders"


#: Label of a step, and the state after it.
Step = tuple[str, State]


def _with_mover(state: State, number: int, **changes: Any) -> State:
    movers = list(state.movers)
    movers[number] = movers[number]._replace(**changes)
    return state._replace(movers=(movers[0], movers[1]))


def applied_stage(mover: Mover) -> int:
    """Return the stage whose share of requests a VM applies; -1 for none."""
    if mover.known is None or mover.condemned and mover.known.state != COMPLETED:
        return -1
    if mover.known.state == COMPLETED:
        return LAST_STAGE
    return -1 if mover.known.state in FINAL_STATES else mover.known.stage


def displayed_state(state: State, mover: Mover, safeguards: Safeguards) -> str:
    """Return the state that a VM displays for the move."""
    if mover.known is None:
        return "nothing"
    if mover.condemned and mover.known.state not in FINAL_STATES:
        return TAKEN_BACK
    in_progress = mover.known.state in (LOADING, RAMPING)
    if in_progress and state.deadline and not mover.in_contact and safeguards.show_frozen:
        return "frozen"
    return mover.known.state


class MoveRecordModel:
    """Generates the transitions under a set of safeguards."""

    def __init__(self, safeguards: Safeguards, scope: Scope) -> None:
        self.safeguards = safeguards
        self.scope = scope

    def steps(self, state: State) -> Iterator[Step]:
        """Yield every step from a state; a state that records a violation has no steps."""
        if (
            state.reverted
            or state.condemned_share_grew
            or state.moved_late
            or state.concurrent_orders
        ):
            return
        if not state.deadline and self.scope is Scope.RECORD:
            yield "deadline passes", state._replace(deadline=True)
        if state.record.state not in FINAL_STATES:
            yield "operator aborts", self._apply(state, state.record._replace(state=ABORTED))
        for number in MOVERS:
            yield from self._mover(state, number)

    def _mover(self, state: State, number: int) -> Iterator[Step]:
        mover = state.movers[number]
        name = f"mover {number}"
        if mover.lease:
            yield f"{name} lease expires", _with_mover(state, number, lease=False)
        if mover.in_contact and self.scope is Scope.RECORD:
            yield f"{name} loses contact", _with_mover(state, number, in_contact=False)
        if not mover.in_contact or mover.known_revision != state.revision:
            yield f"{name} reads", self._observe(state, number, state.revision, state.record)
        if mover.known is not None and mover.known.stage >= 0 and not mover.condemned:
            yield f"{name} condemns", _with_mover(state, number, condemned=True)
        yield from self._deliveries(state, number, name)
        if self.scope is Scope.ORDERS:
            yield from self._orders(state, number, name)
        if mover.pending is None and mover.in_contact and mover.known is not None:
            for label, record in self._possible_writes(state, number, mover.known):
                write = Write(mover.known_revision, record)
                yield f"{name} {label}", _with_mover(state, number, pending=write)

    def _possible_writes(
        self, state: State, number: int, known: Record
    ) -> Iterator[tuple[str, Record]]:
        """Yield the records that a mover may try to write over the record it knows."""
        mover = state.movers[number]
        is_final = known.state in FINAL_STATES
        ignores_lease = self.scope is Scope.RECORD
        holder_lapsed = known.holder == NO_HOLDER or not state.movers[known.holder].lease
        if not ignores_lease and holder_lapsed and known.fence < TAKEOVER_LIMIT:
            yield "takes over", known._replace(fence=known.fence + 1, holder=number)
        if is_final and self.safeguards.keep_final_state:
            return
        if mover.condemned and known.state != TAKEN_BACK:
            yield "takes back", known._replace(state=TAKEN_BACK)
        # The record's correctness relies on compare-and-swap alone, so a mover does not need the
        # lease in this scope.
        if not (ignores_lease or known.holder == number and mover.lease) or is_final:
            return
        may_advance = not mover.condemned or not self.safeguards.remember_condemned
        must_take_back = state.deadline and self.safeguards.stop_at_deadline
        version_loaded = state.loaded or self.scope is Scope.RECORD
        if must_take_back and known.state in (LOADING, RAMPING):
            yield "takes back late", known._replace(state=TAKEN_BACK)
        elif known.state in (LOADING, RAMPING) and may_advance and version_loaded:
            stage = known.stage + 1
            next_state = BAKING if stage == LAST_STAGE else RAMPING
            yield "advances", known._replace(state=next_state, stage=stage)
        if known.state == BAKING and may_advance:
            yield "completes", known._replace(state=COMPLETED)

    def _deliveries(self, state: State, number: int, name: str) -> Iterator[Step]:
        write = state.movers[number].pending
        if write is None:
            return
        if not self._accepts(state, write):
            yield f"{name} conflicts", _with_mover(state, number, pending=None)
            return
        applied = _with_mover(self._apply(state, write.record), number, pending=None)
        if self.scope is Scope.RECORD:
            yield f"{name} loses answer", applied
        known = self._observe(applied, number, applied.revision, write.record)
        holds_lease = write.record.holder == number and self.scope is Scope.ORDERS
        yield f"{name} writes", _with_mover(known, number, lease=holds_lease)

    def _orders(self, state: State, number: int, name: str) -> Iterator[Step]:
        mover = state.movers[number]
        other_mover = state.movers[1 - number]
        if mover.order:
            loaded = mover.order == "load"
            after = _with_mover(state._replace(loaded=loaded), number, order="", paused=False)
            yield f"{name} order ends", after
            if not mover.paused:
                yield f"{name} pauses during an order", _with_mover(state, number, paused=True)
            return
        known = mover.known
        if known is None or known.holder != number or not mover.lease:
            return
        if other_mover.order and not other_mover.paused and self.safeguards.await_running_orders:
            return
        concurrent = state.concurrent_orders or bool(other_mover.order and not other_mover.paused)
        kinds = []
        if known.state in (LOADING, RAMPING, BAKING) and not state.loaded:
            kinds.append("load")
        ended = known.state in (TAKEN_BACK, ABORTED)
        too_early = mover.condemned and not self.safeguards.unload_after_end
        if (ended or too_early) and state.loaded:
            kinds.append("unload")
        for kind in kinds:
            after_order = _with_mover(
                state._replace(concurrent_orders=concurrent), number, order=kind
            )
            yield f"{name} orders {kind}", after_order

    def _accepts(self, state: State, write: Write) -> bool:
        if not self.safeguards.compare:
            return write.record != state.record
        return write.expected_revision == state.revision

    def _apply(self, state: State, record: Record) -> State:
        before = state.record
        state_reverted = _STATE_RANK[record.state] < _STATE_RANK[before.state]
        final_changed = before.state in FINAL_STATES and record.state != before.state
        number_decreased = record.stage < before.stage or record.fence < before.fence
        reverted = state.reverted or state_reverted or final_changed or number_decreased
        starts_baking = record.state == BAKING and before.state != BAKING
        final_states = state.final_states
        if record.state in FINAL_STATES and record.state not in final_states:
            final_states = tuple(sorted((*final_states, record.state)))
        # A write sent before the deadline may take effect after the deadline, but a write sent
        # after the deadline must not take effect.
        moved_late = state.moved_late or (
            starts_baking and state.deadline and not self.safeguards.stop_at_deadline
        )
        return state._replace(
            revision=state.revision + 1,
            record=record,
            final_states=final_states,
            reverted=reverted,
            moved_late=moved_late,
        )

    def _observe(self, state: State, number: int, revision: int, record: Record) -> State:
        mover = state.movers[number]
        condemned = mover.condemned or record.state in (TAKEN_BACK, ABORTED)
        observed = mover._replace(
            known_revision=revision, known=record, in_contact=True, condemned=condemned
        )
        if not self.safeguards.remember_condemned:
            observed = observed._replace(condemned=False)
        condemned_share_grew = mover.condemned and applied_stage(observed) > applied_stage(mover)
        condemned_share_grew = condemned_share_grew and record.state != COMPLETED
        after = _with_mover(state, number, **observed._asdict())
        return after._replace(
            condemned_share_grew=state.condemned_share_grew or condemned_share_grew
        )


def _deadline_is_displayed(state: State, safeguards: Safeguards) -> bool:
    """Return whether no VM without contact displays the move as in progress after the deadline."""
    if not state.deadline:
        return True
    out_of_contact = [
        mover for mover in state.movers if not mover.in_contact and mover.known is not None
    ]
    return all(
        displayed_state(state, mover, safeguards) not in (LOADING, RAMPING)
        for mover in out_of_contact
    )


def _serving_version_is_loaded(state: State) -> bool:
    return state.record.state not in (RAMPING, BAKING) or state.loaded


def move_protocol(safeguards: Safeguards, scope: Scope) -> Protocol:
    """Return one half of the protocol under a set of safeguards."""
    model = MoveRecordModel(safeguards, scope)

    def invariant(check: Any) -> Any:
        return lambda fields: check(State(**fields))

    record_invariants = {
        "a move has at most one final state": invariant(lambda state: len(state.final_states) <= 1),
        "the record never reverts": invariant(lambda state: not state.reverted),
        "a condemned version's share never grows": invariant(
            lambda state: not state.condemned_share_grew
        ),
        "a move past its deadline is moved, ended or shown as frozen": invariant(
            lambda state: not state.moved_late and _deadline_is_displayed(state, safeguards)
        ),
    }
    order_invariants = {
        "a serving version is loaded": invariant(_serving_version_is_loaded),
        "running movers never send orders concurrently": invariant(
            lambda state: not state.concurrent_orders
        ),
    }
    return Protocol(
        name=f"move {scope.value}",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(model.steps(State(*state))),
        invariants=record_invariants if scope is Scope.RECORD else order_invariants,
    )


@specification("move_record")
def move_record() -> Specification:
    """Return the specification of a move's record, with its mutations."""
    safeguards = Safeguards()
    mutation_table = {
        "no compare": (replace(safeguards, compare=False), "the record never reverts"),
        "final state overwritten": (
            replace(safeguards, keep_final_state=False),
            "a move has at most one final state",
        ),
        "condemnation forgotten": (
            replace(safeguards, remember_condemned=False),
            "a condemned version's share never grows",
        ),
        "advances past the deadline": (
            replace(safeguards, stop_at_deadline=False),
            "a move past its deadline is moved, ended or shown as frozen",
        ),
        "frozen not shown": (
            replace(safeguards, show_frozen=False),
            "a move past its deadline is moved, ended or shown as frozen",
        ),
    }
    return _specification(safeguards, mutation_table, Scope.RECORD)


@specification("move_orders")
def move_orders() -> Specification:
    """Return the specification of a move's orders to an engine that ignores fencing numbers."""
    safeguards = Safeguards()
    mutation_table = {
        "running orders not awaited": (
            replace(safeguards, await_running_orders=False),
            "running movers never send orders concurrently",
        ),
        "unloaded before the end": (
            replace(safeguards, unload_after_end=False),
            "a serving version is loaded",
        ),
    }
    return _specification(safeguards, mutation_table, Scope.ORDERS)


def _specification(
    safeguards: Safeguards, mutation_table: dict[str, tuple[Safeguards, str]], scope: Scope
) -> Specification:
    mutations = {
        name: Mutation(move_protocol(mutated, scope), violated_invariant)
        for name, (mutated, violated_invariant) in mutation_table.items()
    }
    return Specification(move_protocol(safeguards, scope), mutations, max_states=MAX_STATES)
