"""Specification of tickets, which let a call run at most once although its caller retries.

The model has one minter (the VM that issued the ticket), one VM that forwards calls to it, and
one caller that makes two attempts. The caller declares the first attempt as such, but not the
second. Each attempt arrives either at the minter or at the other VM, which forwards it and may
lose the connection before the first byte, or lose the answer afterwards. The minter may crash and
restart without its state.

The answer to an attempt covers that attempt and all earlier ones: a caller that retries while the
first attempt is still waiting gets two answers, one for each attempt.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol

from specification._registry import Mutation, Specification, specification

ATTEMPTS = (0, 1)
MAX_BOOT = 2


class Stage(StrEnum):
    """Progress of an attempt."""

    NOT_MADE = "not_made"
    #: At the VM that forwards it.
    FORWARDING = "forwarding"
    #: In transit to the minter or in its queue.
    AT_MINTER = "at_minter"
    #: Admitted by the minter; the first byte has not been sent to the upstream.
    SENDING = "sending"
    #: Waits for the result of the attempt that was admitted.
    SHARING = "sharing"
    DONE = "done"


class Attempt(NamedTuple):
    """One attempt of the caller to make the call."""

    stage: Stage = Stage.NOT_MADE
    #: Whether the sender still waits for the answer.
    awaited: bool = True


class State(NamedTuple):
    """State of the whole system."""

    #: Number of the minter's current process; increases with each restart.
    boot: int = 1
    #: Whether the current process has recorded the ticket as used.
    used: bool = False
    #: Whether the attempt that used the ticket has ended.
    ended: bool = False
    attempts: tuple[Attempt, Attempt] = (Attempt(), Attempt())
    #: Numbers of the attempts that ran, in order.
    ran: tuple[int, ...] = ()
    #: Whether ``not_run`` was answered although that attempt or an earlier one ran or may still
    #: run.
    told_falsely: bool = False

    def with_attempt(self, number: int, **changes: Any) -> "State":
        """Return a copy with one attempt changed."""
        attempts = list(self.attempts)
        attempts[number] = attempts[number]._replace(**changes)
        return self._replace(attempts=(attempts[0], attempts[1]))


@dataclass(frozen=True)
class Safeguards:
    """Safeguards of the protocol; each mutation disables one."""

    #: The minter rejects tickets that an earlier process of its own issued.
    check_boot: bool = True
    #: The minter records that a ticket was used.
    remember_used: bool = True
    #: ``not_run`` is answered only to the attempt that was declared as the first.
    require_declared_first: bool = True


Step = tuple[str, State]
_BUSY = (Stage.AT_MINTER, Stage.SENDING, Stage.SHARING)


class TicketTransitions:
    """Generates the steps that can follow a state."""

    def __init__(self, safeguards: Safeguards) -> None:
        self._safeguards = safeguards

    def successors(self, fields: tuple[Any, ...]) -> list[Step]:
        """Return the labelled successor states, as the model checker expects them."""
        state = State(*fields)
        steps = list(self._crash(state))
        for number in ATTEMPTS:
            steps += self._attempt_steps(state, number)
        return steps

    def _attempt_steps(self, state: State, number: int) -> Iterator[Step]:
        stage = state.attempts[number].stage
        if stage is Stage.NOT_MADE and (number == 0 or state.attempts[0] != Attempt()):
            yield f"{number} to forwarder", state.with_attempt(number, stage=Stage.FORWARDING)
            yield f"{number} to minter", state.with_attempt(number, stage=Stage.AT_MINTER)
        elif stage is Stage.FORWARDING:
            yield f"{number} forward", state.with_attempt(number, stage=Stage.AT_MINTER)
            yield f"{number} no connection", self._answer_not_run(state, number)
        elif stage is Stage.AT_MINTER:
            yield f"{number} admit", self._admit(state, number)
        elif stage is Stage.SENDING:
            ran = state._replace(ran=(*state.ran, number), ended=True)
            yield f"{number} send", ran.with_attempt(number, stage=Stage.DONE)
            unused = state._replace(used=False)
            yield f"{number} unreachable", self._answer_not_run(unused, number)
        elif stage is Stage.SHARING and (state.ended or not state.used):
            after = Stage.DONE if state.ended else Stage.AT_MINTER
            yield f"{number} share result", state.with_attempt(number, stage=after)
        if stage in _BUSY and state.attempts[number].awaited:
            yield f"{number} lose answer", state.with_attempt(number, awaited=False)

    def _admit(self, state: State, number: int) -> State:
        if state.boot != 1 and self._safeguards.check_boot:
            return self._answer_not_run(state, number)
        if state.used:
            return state.with_attempt(number, stage=Stage.SHARING)
        used = state._replace(used=self._safeguards.remember_used)
        return used.with_attempt(number, stage=Stage.SENDING)

    def _answer_not_run(self, state: State, number: int) -> State:
        """Answer ``not_run`` to the declared first attempt, and ``unknown`` to the other."""
        done = state.with_attempt(number, stage=Stage.DONE)
        declared = number == 0 or not self._safeguards.require_declared_first
        if not declared or not state.attempts[number].awaited:
            return done
        earlier = state.attempts[:number]
        may_run = any(
            earlier_attempt.stage not in (Stage.NOT_MADE, Stage.DONE) for earlier_attempt in earlier
        )
        did_run = any(earlier_attempt <= number for earlier_attempt in state.ran)
        return done._replace(told_falsely=state.told_falsely or did_run or may_run)

    def _crash(self, state: State) -> Iterator[Step]:
        if state.boot == MAX_BOOT:
            return
        crashed = state._replace(boot=state.boot + 1, used=False, ended=False)
        for number in ATTEMPTS:
            if state.attempts[number].stage in (Stage.SENDING, Stage.SHARING):
                crashed = crashed.with_attempt(number, stage=Stage.DONE)
        yield "crash", crashed


def _not_run_is_correct(fields: dict[str, Any]) -> bool:
    return not fields["told_falsely"]


def tickets_protocol(safeguards: Safeguards | None = None) -> Protocol:
    """Return the protocol with the given safeguards, by default all of them."""
    return Protocol(
        name="tickets",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=TicketTransitions(safeguards or Safeguards()).successors,
        invariants={
            "a ticket runs at most once": lambda fields: len(fields["ran"]) <= 1,
            "a not_run answer is correct": _not_run_is_correct,
        },
    )


@specification("tickets")
def tickets() -> Specification:
    """Return the specification with its mutations."""
    at_most_once, not_run_correct = "a ticket runs at most once", "a not_run answer is correct"
    return Specification(
        tickets_protocol(),
        {
            "tickets of an earlier process admitted": Mutation(
                tickets_protocol(Safeguards(check_boot=False)), at_most_once
            ),
            "used tickets not recorded": Mutation(
                tickets_protocol(Safeguards(remember_used=False)), at_most_once
            ),
            "not_run answered to any attempt": Mutation(
                tickets_protocol(Safeguards(require_declared_first=False)), not_run_correct
            ),
        },
    )
