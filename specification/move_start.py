"""Specification of starting a version move.

Two operators start a move of the same model; answers are lost and writes arrive late.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specification._registry import Mutation, Specification, specification

NO_AUTHOR = -1
OPERATORS = (0, 1)
IDLE, SENT, LOST, WON, CONFLICT = "idle", "sent", "lost", "won", "conflict"


class Operator(NamedTuple):
    """One operator's command, and the number of its writes in transit."""

    stage: str = IDLE
    pending_writes: int = 0


class State(NamedTuple):
    """State of the whole system: the record's author and both operators."""

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
        sent = _with_operator(state, number, stage=SENT, pending_writes=operator.pending_writes + 1)
        if operator.stage == IDLE:
            yield f"{name} sends", sent
        if operator.stage == SENT:
            yield f"{name} loses answer", _with_operator(state, number, stage=LOST)
        if operator.stage == LOST and not read_back:
            yield f"{name} assumes success", _with_operator(state, number, stage=WON)
        elif operator.stage == LOST and state.author == NO_AUTHOR:
            if operator.pending_writes < 2:
                yield f"{name} sends again", sent
        elif operator.stage == LOST:
            stage = WON if state.author == number else CONFLICT
            yield f"{name} reads back", _with_operator(state, number, stage=stage)
        if operator.pending_writes:
            arrived = _with_operator(state, number, pending_writes=operator.pending_writes - 1)
            answered = operator.stage == SENT
            if state.author == NO_AUTHOR or not compare:
                applied = arrived._replace(author=number)
                won = _with_operator(applied, number, stage=WON)
                yield f"{name} write succeeds", won if answered else applied
            else:
                # The conflicting move may be the command's own: it checks the author first.
                stage = WON if state.author == number else CONFLICT
                compared = _with_operator(arrived, number, stage=stage)
                yield f"{name} write fails", compared if answered else arrived


def _winner_is_author(state: State) -> bool:
    winners = [number for number in OPERATORS if state.operators[number].stage == WON]
    return all(state.author == number for number in winners)


def _protocol(*, read_back: bool = True, compare: bool = True) -> Protocol:
    return Protocol(
        name="move start",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda operator: list(
            _steps(State(*operator), read_back=read_back, compare=compare)
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
