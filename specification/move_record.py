"""A version move's record: two movers, an operator, a fence-ignoring engine, an outage.

The service changes the record by compare-and-swap; answers are lost, writes arrive late, and
each mover loses the service at any moment, also at the deadline. A mover may be paused between
its look at the lease and its order. The engine carries out every order that reaches it, whatever
its fencing number. Bounds: two takeovers (where
orders are explored), one write of each mover on its way, two stages.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol

from specification._registry import Mutation, Specification, specification

NO_ONE = -1
MOVERS = (0, 1)
LAST_STAGE = 1
TAKEOVER_LIMIT = 2
#: Reaching this many states counts as a failure.
MAX_STATES = 500_000

LOADING, RAMPING, BAKING = "loading", "ramping", "baking"
COMPLETED, TAKEN_BACK, ABORTED = "completed", "taken_back", "aborted"
FINAL = (COMPLETED, TAKEN_BACK, ABORTED)
_ORDER = {LOADING: 0, RAMPING: 1, BAKING: 2, COMPLETED: 3, TAKEN_BACK: 3, ABORTED: 3}


class Record(NamedTuple):
    """What the service holds."""

    state: str
    stage: int
    fence: int
    holder: int


class Write(NamedTuple):
    """A compare-and-swap on its way."""

    base: int
    record: Record


class Mover(NamedTuple):
    """One VM: what it last read, and what it has under way."""

    known_revision: int = 0
    known: Record | None = None
    heard: bool = False
    pending: Write | None = None
    lease: bool = False
    condemned: bool = False
    paused: bool = False
    #: An order that has been decided on and may leave at any time: "load", "unload" or "".
    order: str = ""


class State(NamedTuple):
    """Everything; the last fields remember what must not have happened."""

    revision: int = 1
    record: Record = Record(LOADING, -1, 0, NO_ONE)
    movers: tuple[Mover, Mover] = (Mover(), Mover())
    deadline: bool = False
    loaded: bool = False
    finals: tuple[str, ...] = ()
    reverted: bool = False
    moved_late: bool = False
    grew: bool = False
    both_order: bool = False


@dataclass(frozen=True)
class Rules:
    """The safeguards; each mutation takes one out."""

    compare: bool = True
    final_is_final: bool = True
    condemned_first: bool = True
    late_is_late: bool = True
    show_frozen: bool = True
    wait_out_orders: bool = True
    unload_after_end: bool = True


class Scope(StrEnum):
    """Which half is explored; what the halves share is the record and its writes."""

    #: Deadline, outage and lost answers; any mover writes at any time, as if no lease existed.
    RECORD = "record"
    #: Orders, pauses and the engine, under a service that answers and no deadline.
    ORDERS = "orders"


Step = tuple[str, State]


def _with_mover(state: State, number: int, **changes: Any) -> State:
    movers = list(state.movers)
    movers[number] = movers[number]._replace(**changes)
    return state._replace(movers=(movers[0], movers[1]))


def share(mover: Mover) -> int:
    """Return the stage whose share a VM applies; -1 for none."""
    if mover.known is None or mover.condemned and mover.known.state != COMPLETED:
        return -1
    if mover.known.state == COMPLETED:
        return LAST_STAGE
    return -1 if mover.known.state in FINAL else mover.known.stage


def shown(state: State, mover: Mover, rules: Rules) -> str:
    """Return what a VM shows of the move."""
    if mover.known is None:
        return "nothing"
    if mover.condemned and mover.known.state not in FINAL:
        return TAKEN_BACK
    moving = mover.known.state in (LOADING, RAMPING)
    if moving and state.deadline and not mover.heard and rules.show_frozen:
        return "frozen"
    return mover.known.state


class MoveRecordModel:
    """The transitions under a set of rules."""

    def __init__(self, rules: Rules, scope: Scope) -> None:
        self.rules = rules
        self.scope = scope

    def steps(self, state: State) -> Iterator[Step]:
        """Yield every step from a state; what went wrong once is not followed further."""
        if state.reverted or state.grew or state.moved_late or state.both_order:
            return
        if not state.deadline and self.scope is Scope.RECORD:
            yield "deadline passes", state._replace(deadline=True)
        if state.record.state not in FINAL:
            yield "operator aborts", self._land(state, state.record._replace(state=ABORTED))
        for number in MOVERS:
            yield from self._mover(state, number)

    def _mover(self, state: State, number: int) -> Iterator[Step]:
        mover = state.movers[number]
        name = f"mover {number}"
        if mover.lease:
            yield f"{name} lease lapses", _with_mover(state, number, lease=False)
        if mover.heard and self.scope is Scope.RECORD:
            yield f"{name} hears nothing", _with_mover(state, number, heard=False)
        if not mover.heard or mover.known_revision != state.revision:
            yield f"{name} reads", self._learn(state, number, state.revision, state.record)
        if mover.known is not None and mover.known.stage >= 0 and not mover.condemned:
            yield f"{name} condemns", _with_mover(state, number, condemned=True)
        yield from self._deliveries(state, number, name)
        if self.scope is Scope.ORDERS:
            yield from self._orders(state, number, name)
        if mover.pending is None and mover.heard and mover.known is not None:
            for label, record in self._wanted(state, number, mover.known):
                write = Write(mover.known_revision, record)
                yield f"{name} {label}", _with_mover(state, number, pending=write)

    def _wanted(self, state: State, number: int, known: Record) -> Iterator[tuple[str, Record]]:
        """Yield the records that a mover may seek to write over what it knows."""
        mover = state.movers[number]
        final = known.state in FINAL
        on_trust = self.scope is Scope.RECORD
        other_lapsed = known.holder == NO_ONE or not state.movers[known.holder].lease
        if not on_trust and other_lapsed and known.fence < TAKEOVER_LIMIT:
            yield "takes over", known._replace(fence=known.fence + 1, holder=number)
        if final and self.rules.final_is_final:
            return
        if mover.condemned and known.state != TAKEN_BACK:
            yield "takes back", known._replace(state=TAKEN_BACK)
        # Records rest on compare-and-swap alone, so there a mover need not even hold the lease.
        if not (on_trust or known.holder == number and mover.lease) or final:
            return
        may_grow = not mover.condemned or not self.rules.condemned_first
        late = state.deadline and self.rules.late_is_late
        has_version = state.loaded or self.scope is Scope.RECORD
        if late and known.state in (LOADING, RAMPING):
            yield "takes back late", known._replace(state=TAKEN_BACK)
        elif known.state in (LOADING, RAMPING) and may_grow and has_version:
            stage = known.stage + 1
            grown = BAKING if stage == LAST_STAGE else RAMPING
            yield "advances", known._replace(state=grown, stage=stage)
        if known.state == BAKING and may_grow:
            yield "completes", known._replace(state=COMPLETED)

    def _deliveries(self, state: State, number: int, name: str) -> Iterator[Step]:
        write = state.movers[number].pending
        if write is None:
            return
        if not self._holds(state, write):
            yield f"{name} conflicts", _with_mover(state, number, pending=None)
            return
        landed = _with_mover(self._land(state, write.record), number, pending=None)
        if self.scope is Scope.RECORD:
            yield f"{name} loses answer", landed
        known = self._learn(landed, number, landed.revision, write.record)
        holds = write.record.holder == number and self.scope is Scope.ORDERS
        yield f"{name} writes", _with_mover(known, number, lease=holds)

    def _orders(self, state: State, number: int, name: str) -> Iterator[Step]:
        mover = state.movers[number]
        other = state.movers[1 - number]
        if mover.order:
            loaded = mover.order == "load"
            after = _with_mover(state._replace(loaded=loaded), number, order="", paused=False)
            yield f"{name} order ends", after
            if not mover.paused:
                yield f"{name} pauses in an order", _with_mover(state, number, paused=True)
            return
        known = mover.known
        if known is None or known.holder != number or not mover.lease:
            return
        if other.order and not other.paused and self.rules.wait_out_orders:
            return
        both = state.both_order or bool(other.order and not other.paused)
        kinds = []
        if known.state in (LOADING, RAMPING, BAKING) and not state.loaded:
            kinds.append("load")
        ended = known.state in (TAKEN_BACK, ABORTED)
        early = mover.condemned and not self.rules.unload_after_end
        if (ended or early) and state.loaded:
            kinds.append("unload")
        for kind in kinds:
            ordered = _with_mover(state._replace(both_order=both), number, order=kind)
            yield f"{name} orders {kind}", ordered

    def _holds(self, state: State, write: Write) -> bool:
        if not self.rules.compare:
            return write.record != state.record
        return write.base == state.revision

    def _land(self, state: State, record: Record) -> State:
        before = state.record
        back = _ORDER[record.state] < _ORDER[before.state]
        changed_end = before.state in FINAL and record.state != before.state
        fell = record.stage < before.stage or record.fence < before.fence
        reverted = state.reverted or back or changed_end or fell
        moved = record.state == BAKING and before.state != BAKING
        finals = state.finals
        if record.state in FINAL and record.state not in finals:
            finals = tuple(sorted((*finals, record.state)))
        # A write sought before the deadline may land after it; one sought later must not.
        late = state.moved_late or (moved and state.deadline and not self.rules.late_is_late)
        return state._replace(
            revision=state.revision + 1,
            record=record,
            finals=finals,
            reverted=reverted,
            moved_late=late,
        )

    def _learn(self, state: State, number: int, revision: int, record: Record) -> State:
        mover = state.movers[number]
        condemned = mover.condemned or record.state in (TAKEN_BACK, ABORTED)
        learned = mover._replace(
            known_revision=revision, known=record, heard=True, condemned=condemned
        )
        if not self.rules.condemned_first:
            learned = learned._replace(condemned=False)
        grew = mover.condemned and share(learned) > share(mover)
        grew = grew and record.state != COMPLETED
        changed = _with_mover(state, number, **learned._asdict())
        return changed._replace(grew=state.grew or grew)


def _deadline_is_shown(state: State, rules: Rules) -> bool:
    """Without word of the service, a VM never shows a move as going on past its deadline."""
    if not state.deadline:
        return True
    silent = [one for one in state.movers if not one.heard and one.known is not None]
    return all(shown(state, one, rules) not in (LOADING, RAMPING) for one in silent)


def _served_is_loaded(state: State) -> bool:
    return state.record.state not in (RAMPING, BAKING) or state.loaded


def protocol(rules: Rules, scope: Scope) -> Protocol:
    """Return one half of the protocol under a set of rules."""
    model = MoveRecordModel(rules, scope)

    def on(check: Any) -> Any:
        return lambda fields: check(State(**fields))

    record_invariants = {
        "never completed and taken back both": on(lambda one: len(one.finals) <= 1),
        "the record never reverts": on(lambda one: not one.reverted),
        "a condemned version's share never grows": on(lambda one: not one.grew),
        "at the deadline it is moved, ended or shown frozen": on(
            lambda one: not one.moved_late and _deadline_is_shown(one, rules)
        ),
    }
    order_invariants = {
        "what serves is loaded": on(_served_is_loaded),
        "no two running movers order": on(lambda one: not one.both_order),
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
    """Return the specification of a move's record."""
    rules = Rules()
    broken = {
        "no compare": (replace(rules, compare=False), "the record never reverts"),
        "final states left": (
            replace(rules, final_is_final=False),
            "never completed and taken back both",
        ),
        "condemned forgotten": (
            replace(rules, condemned_first=False),
            "a condemned version's share never grows",
        ),
        "moves past the deadline": (
            replace(rules, late_is_late=False),
            "at the deadline it is moved, ended or shown frozen",
        ),
        "frozen not shown": (
            replace(rules, show_frozen=False),
            "at the deadline it is moved, ended or shown frozen",
        ),
    }
    return _specification(rules, broken, Scope.RECORD)


@specification("move_orders")
def move_orders() -> Specification:
    """Return the specification of a move's orders to an engine that ignores the fence."""
    rules = Rules()
    broken = {
        "no waiting out": (replace(rules, wait_out_orders=False), "no two running movers order"),
        "unload before the end": (replace(rules, unload_after_end=False), "what serves is loaded"),
    }
    return _specification(rules, broken, Scope.ORDERS)


def _specification(
    rules: Rules, broken: dict[str, tuple[Rules, str]], scope: Scope
) -> Specification:
    mutations = {
        name: Mutation(protocol(mutated, scope), breaks)
        for name, (mutated, breaks) in broken.items()
    }
    return Specification(protocol(rules, scope), mutations, max_states=MAX_STATES)
