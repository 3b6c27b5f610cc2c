"""Specification of starting a version move.

Two operators start a move of the same model, and at most one may succeed: the record of the move
names its author. Answers are lost and writes arrive late.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specification._registry import Mutation, Specification, specification

NO_AUTHOR = -1
OPERATORS = (0, 1)
IDLE, SENT, LOST, WON, CONFLICT = "idle", "sent", "lost", "won", "conflict"


class Operator(NamedTuple):
    """One operator's command that starts a move."""

    stage: str = IDLE
    #: Number of the command's writes in transit.
    pending_writes: int = 0


class State(NamedTuple):
    """State of the whole system: the record's author and both operators."""

    #: Number of the operator whose write created the record.
    author: int = NO_AUTHOR
    operators: tuple[Operator, Operator] = (Operator(), Operator())


def _with_operator(state: State, number: int, **changes: Any) -> State:
    operators = list(state.operators)
    operators[number] = operators[number]._replace(**changes)
    return state._replace(operators=(operators[0], operators[1]))


def _steps(state: State, *, read_back: bool, compare: bool) -> Iterator[tuple[str, State]]:
    for number in OPERATORS:
        operator = state.operators[number]
        name = f"operator {number}"
        after_send = _with_operator(
            state, number, stage=SENT, pending_writes=operator.pending_writes + 1
        )
        if operator.stage == IDLE:
            yield f"{name} sends", after_send
        if operator.stage == SENT:
            yield f"{name} loses answer", _with_operator(state, number, stage=LOST)
        if operator.stage == LOST and not read_back:
            yield f"{name} assumes success", _with_operator(state, number, stage=WON)
        elif operator.stage == LOST and state.author == NO_AUTHOR:
            if operator.pending_writes < 2:
                yield f"{name} sends again", after_send
        elif operator.stage == LOST:
            stage = WON if state.author == number else CONFLICT
            yield f"{name} reads back", _with_operator(state, number, stage=stage)
        if operator.pending_writes:
            after_arrival = _with_operator(
                state, number, pending_writes=operator.pending_writes - 1
            )
            awaits_answer = operator.stage == SENT
            if state.author == NO_AUTHOR or not compare:
                after_write = after_arrival._replace(author=number)
                after_answer = _with_operator(after_write, number, stage=WON)
                yield f"{name} write succeeds", after_answer if awaits_answer else after_write
            else:
                # An earlier write of the same command may have stored the conflicting record, so
                # the command checks the author.
                stage = WON if state.author == number else CONFLICT
                after_conflict = _with_operator(after_arrival, number, stage=stage)
                yield f"{name} write fails", after_conflict if awaits_answer else after_arrival


def _winner_is_author(state: State) -> bool:
    winners = [number for number in OPERATORS if state.operators[number].stage == WON]
    return all(state.author == number for number in winners)


def _protocol(*, read_back: bool = True, compare: bool = True) -> Protocol:
    return Protocol(
        name="move start",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state_fields: list(
            _steps(State(*state_fields), read_back=read_back, compare=compare)
        ),
        invariants={"one winner": lambda fields: _winner_is_author(State(**fields))},
    )


@specification("move_start")
def move_start() -> Specification:
    """Return the specification of a move's start, with its mutations."""
    return Specification(
        _protocol(),
        {
            "no read-back": Mutation(_protocol(read_back=False), "one winner"),
            "no compare": Mutation(_protocol(compare=False), "one winner"),
        },
    )
