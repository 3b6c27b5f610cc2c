"""The right to run by tickets: one minter, a VM that passes calls on, and a caller that repeats.

The first attempt is declared as such by the caller, the second is not. Either may come to the
minter itself or to another VM, which passes it on and may lose the connection before the first
byte, or the answer after it. The minter may crash and start anew without memory.

What an attempt is told speaks of itself and of all that were made before it: a caller that repeats
a call while the first attempt still waits gets two answers, one for each.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol

from specification._registry import Mutation, Specification, specification

ATTEMPTS = (0, 1)
LAST_BOOT = 2


class Stage(StrEnum):
    """How far an attempt is."""

    NOT_MADE = "not_made"
    #: At the VM that is to pass it on.
    PASSING = "passing"
    #: On its way to the minter or in its queue.
    AT_MINTER = "at_minter"
    #: The minter gave it the right, and the first byte has not left.
    SENDING = "sending"
    #: Waits for the end of the attempt that has the right.
    SHARING = "sharing"
    DONE = "done"


class Attempt(NamedTuple):
    """One time that the caller sends the call."""

    stage: Stage = Stage.NOT_MADE
    #: Whether somebody still waits for its answer.
    awaited: bool = True


class State(NamedTuple):
    """The whole system."""

    boot: int = 1
    #: Whether the present boot remembers that the ticket was used.
    used: bool = False
    #: Whether the attempt that used it has ended.
    ended: bool = False
    attempts: tuple[Attempt, Attempt] = (Attempt(), Attempt())
    #: The attempts that ran, in order.
    ran: tuple[int, ...] = ()
    #: Whether ``not_run`` was told though that attempt or an earlier one ran or may yet run.
    told_falsely: bool = False

    def with_attempt(self, number: int, **changes: Any) -> "State":
        """Return a copy in which one attempt is changed."""
        attempts = list(self.attempts)
        attempts[number] = attempts[number]._replace(**changes)
        return self._replace(attempts=(attempts[0], attempts[1]))


@dataclass(frozen=True)
class Safeguards:
    """The parts of the protocol that mutations take out."""

    own_boot: bool = True
    memory: bool = True
    declared_first: bool = True


Step = tuple[str, State]
_BUSY = (Stage.AT_MINTER, Stage.SENDING, Stage.SHARING)


class TicketSteps:
    """Every step that can follow a state."""

    def __init__(self, safeguards: Safeguards) -> None:
        self._safeguards = safeguards

    def of(self, fields: tuple[Any, ...]) -> list[Step]:
        """Return the steps as the model checker wants them."""
        state = State(*fields)
        steps = list(self._crash(state))
        for number in ATTEMPTS:
            steps += self._of_attempt(state, number)
        return steps

    def _of_attempt(self, state: State, number: int) -> Iterator[Step]:
        stage = state.attempts[number].stage
        if stage is Stage.NOT_MADE and (number == 0 or state.attempts[0] != Attempt()):
            yield f"{number} to other", state.with_attempt(number, stage=Stage.PASSING)
            yield f"{number} to minter", state.with_attempt(number, stage=Stage.AT_MINTER)
        elif stage is Stage.PASSING:
            yield f"{number} pass on", state.with_attempt(number, stage=Stage.AT_MINTER)
            yield f"{number} no connection", self._tell_not_run(state, number)
        elif stage is Stage.AT_MINTER:
            yield f"{number} take in", self._take_in(state, number)
        elif stage is Stage.SENDING:
            ran = state._replace(ran=(*state.ran, number), ended=True)
            yield f"{number} send", ran.with_attempt(number, stage=Stage.DONE)
            freed = state._replace(used=False)
            yield f"{number} unreachable", self._tell_not_run(freed, number)
        elif stage is Stage.SHARING and (state.ended or not state.used):
            after = Stage.DONE if state.ended else Stage.AT_MINTER
            yield f"{number} share", state.with_attempt(number, stage=after)
        if stage in _BUSY and state.attempts[number].awaited:
            yield f"{number} lose answer", state.with_attempt(number, awaited=False)

    def _take_in(self, state: State, number: int) -> State:
        if state.boot != 1 and self._safeguards.own_boot:
            return self._tell_not_run(state, number)
        if state.used:
            return state.with_attempt(number, stage=Stage.SHARING)
        used = state._replace(used=self._safeguards.memory)
        return used.with_attempt(number, stage=Stage.SENDING)

    def _tell_not_run(self, state: State, number: int) -> State:
        """Tell ``not_run`` to the declared first attempt, and ``unknown`` to the other."""
        done = state.with_attempt(number, stage=Stage.DONE)
        declared = number == 0 or not self._safeguards.declared_first
        if not declared or not state.attempts[number].awaited:
            return done
        earlier = state.attempts[:number]
        may_run = any(one.stage not in (Stage.NOT_MADE, Stage.DONE) for one in earlier)
        did_run = any(one <= number for one in state.ran)
        return done._replace(told_falsely=state.told_falsely or did_run or may_run)

    def _crash(self, state: State) -> Iterator[Step]:
        if state.boot == LAST_BOOT:
            return
        lost = state._replace(boot=state.boot + 1, used=False, ended=False)
        for number in ATTEMPTS:
            if state.attempts[number].stage in (Stage.SENDING, Stage.SHARING):
                lost = lost.with_attempt(number, stage=Stage.DONE)
        yield "crash", lost


def _told_truly(fields: dict[str, Any]) -> bool:
    return not fields["told_falsely"]


def tickets_protocol(safeguards: Safeguards | None = None) -> Protocol:
    """Return the protocol, whole or with safeguards taken out."""
    return Protocol(
        name="tickets",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=TicketSteps(safeguards or Safeguards()).of,
        invariants={
            "a ticket runs at most once": lambda fields: len(fields["ran"]) <= 1,
            "not run is true": _told_truly,
        },
    )


@specification("right to run, tickets")
def tickets() -> Specification:
    """Return the specification with its mutations."""
    once, truth = "a ticket runs at most once", "not run is true"
    return Specification(
        tickets_protocol(),
        {
            "another boot": Mutation(tickets_protocol(Safeguards(own_boot=False)), once),
            "no memory": Mutation(tickets_protocol(Safeguards(memory=False)), once),
            "not run undeclared": Mutation(
                tickets_protocol(Safeguards(declared_first=False)), truth
            ),
        },
    )
