"""Two operators start a move of the same model; answers are lost and writes arrive late."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

from specification._registry import Mutation, Specification, specification

NO_ONE = -1
OPERATORS = (0, 1)
IDLE, SENT, LOST, WON, CONFLICT = "idle", "sent", "lost", "won", "conflict"


class Operator(NamedTuple):
    """One operator's command, and how many of its writes are on their way."""

    stage: str = IDLE
    on_the_way: int = 0


class State(NamedTuple):
    """The record's author, and both operators."""

    author: int = NO_ONE
    operators: tuple[Operator, Operator] = (Operator(), Operator())


def _with_operator(state: State, number: int, **changes: Any) -> State:
    operators = list(state.operators)
    operators[number] = operators[number]._replace(**changes)
    return state._replace(operators=(operators[0], operators[1]))


def _steps(state: State, *, read_back: bool, compare: bool) -> Iterator[tuple[str, State]]:
    for number in OPERATORS:
        one = state.operators[number]
        name = f"operator {number}"
        sent = _with_operator(state, number, stage=SENT, on_the_way=one.on_the_way + 1)
        if one.stage == IDLE:
            yield f"{name} sends", sent
        if one.stage == SENT:
            yield f"{name} loses answer", _with_operator(state, number, stage=LOST)
        if one.stage == LOST and not read_back:
            yield f"{name} trusts", _with_operator(state, number, stage=WON)
        elif one.stage == LOST and state.author == NO_ONE:
            if one.on_the_way < 2:
                yield f"{name} sends again", sent
        elif one.stage == LOST:
            stage = WON if state.author == number else CONFLICT
            yield f"{name} reads back", _with_operator(state, number, stage=stage)
        if one.on_the_way:
            arrived = _with_operator(state, number, on_the_way=one.on_the_way - 1)
            answered = one.stage == SENT
            if state.author == NO_ONE or not compare:
                landed = arrived._replace(author=number)
                won = _with_operator(landed, number, stage=WON)
                yield f"{name} write lands", won if answered else landed
            else:
                # Before it calls this a conflict, the command looks whose move it is.
                stage = WON if state.author == number else CONFLICT
                told = _with_operator(arrived, number, stage=stage)
                yield f"{name} write fails", told if answered else arrived


def _winner_is_author(state: State) -> bool:
    winners = [number for number in OPERATORS if state.operators[number].stage == WON]
    return all(state.author == number for number in winners)


def _protocol(*, read_back: bool = True, compare: bool = True) -> Protocol:
    return Protocol(
        name="move start",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda one: list(_steps(State(*one), read_back=read_back, compare=compare)),
        invariants={"one winner": lambda fields: _winner_is_author(State(**fields))},
    )


@specification("move_start")
def move_start() -> Specification:
    """Return the specification of a move's start."""
    return Specification(
        _protocol(),
        {
            "no read-back": Mutation(_protocol(read_back=False), "one winner"),
            "no compare": Mutation(_protocol(compare=False), "one winner"),
        },
    )
