"""Specification of tickets, which let a call run at most once although its caller retries.

A ticket is the right to run one call once. The VM that issued it keeps it in memory and records
its use.

The model has one issuer (the VM that issued the ticket), one VM that forwards calls to the issuer,
and one caller that makes two attempts. The caller declares the first attempt as such, but not the
second. Each attempt arrives either at the issuer or at the other VM. The other VM forwards it and
may lose the connection before the first byte, or lose the answer afterwards. The issuer may crash
and restart without its state.

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
#: Number of the last process of the issuer; a process with this number does not crash.
MAX_BOOT = 2


class Stage(StrEnum):
    """Progress of an attempt."""

    NOT_MADE = "not_made"
    #: At the VM that forwards it to the issuer.
    FORWARDING = "forwarding"
    #: In transit to the issuer or in its queue.
    AT_ISSUER = "at_minter"
    #: Admitted by the issuer; the first byte has not been sent to the upstream.
    SENDING = "sending"
    #: Waits for the result of the attempt that was admitted, to answer with the same result.
    SHARING = "sharing"
    DONE = "done"


class Attempt(NamedTuple):
    """One attempt of the caller to make the call."""

    stage: Stage = Stage.NOT_MADE
    #: Whether the sender of the attempt still waits for the answer.
    awaited: bool = True


class State(NamedTuple):
    """State of the whole system."""

    #: Number of the issuer's current process; increases with each restart.
    boot: int = 1
    #: Whether the issuer's current process has recorded the ticket as used.
    used: bool = False
    #: Whether the attempt that used the ticket has ended.
    ended: bool = False
    attempts: tuple[Attempt, Attempt] = (Attempt(), Attempt())
    #: Numbers of the attempts that ran, in order.
    ran: tuple[int, ...] = ()
    #: Whether an attempt was answered ``not_run`` although that attempt or an earlier one ran or
    #: may still run.
    told_falsely: bool = False

    def with_attempt(self, number: int, **changes: Any) -> "State":
        """Return a copy with one attempt changed."""
        attempts = list(self.attempts)
        attempts[number] = attempts[number]._replace(**changes)
        return self._replace(attempts=(attempts[0], attempts[1]))


@dataclass(frozen=True)
class Safeguards:
    """Safeguards of the protocol; each mutation disables one."""

    #: The issuer rejects tickets that an earlier process of the same VM issued.
    check_boot: bool = True
    #: The issuer records that a ticket was used.
    remember_used: bool = True
    #: ``not_run`` is answered only to the attempt that was declared as the first.
    require_declared_first: bool = True


#: Label of a step, and the state after it.
Step = tuple[str, State]
#: Stages of an attempt that has reached the issuer and has no answer yet.
_STAGES_AT_ISSUER = (Stage.AT_ISSUER, Stage.SENDING, Stage.SHARING)


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
            yield f"{number} to issuer", state.with_attempt(number, stage=Stage.AT_ISSUER)
        elif stage is Stage.FORWARDING:
            yield f"{number} forward", state.with_attempt(number, stage=Stage.AT_ISSUER)
            yield f"{number} no connection", self._answer_not_run(state, number)
        elif stage is Stage.AT_ISSUER:
            yield f"{number} admit", self._admit(state, number)
        elif stage is Stage.SENDING:
            after_run = state._replace(ran=(*state.ran, number), ended=True)
            yield f"{number} send", after_run.with_attempt(number, stage=Stage.DONE)
            ticket_unused = state._replace(used=False)
            yield f"{number} unreachable", self._answer_not_run(ticket_unused, number)
        elif stage is Stage.SHARING and (state.ended or not state.used):
            next_stage = Stage.DONE if state.ended else Stage.AT_ISSUER
            yield f"{number} share result", state.with_attempt(number, stage=next_stage)
        if stage in _STAGES_AT_ISSUER and state.attempts[number].awaited:
            yield f"{number} lose answer", state.with_attempt(number, awaited=False)

    def _admit(self, state: State, number: int) -> State:
        if state.boot != 1 and self._safeguards.check_boot:
            return self._answer_not_run(state, number)
        if state.used:
            return state.with_attempt(number, stage=Stage.SHARING)
        ticket_used = state._replace(used=self._safeguards.remember_used)
        return ticket_used.with_attempt(number, stage=Stage.SENDING)

    def _answer_not_run(self, state: State, number: int) -> State:
        """Return the state after an attempt that did not run was answered.

        The attempt that was declared as the first is answered ``not_run``, the other ``unknown``.
        """
        answered = state.with_attempt(number, stage=Stage.DONE)
        declared = number == 0 or not self._safeguards.require_declared_first
        if not declared or not state.attempts[number].awaited:
            return answered
        earlier = state.attempts[:number]
        may_run = any(
            earlier_attempt.stage not in (Stage.NOT_MADE, Stage.DONE) for earlier_attempt in earlier
        )
        did_run = any(earlier_attempt <= number for earlier_attempt in state.ran)
        return answered._replace(told_falsely=state.told_falsely or did_run or may_run)

    def _crash(self, state: State) -> Iterator[Step]:
        if state.boot == MAX_BOOT:
            return
        restarted = state._replace(boot=state.boot + 1, used=False, ended=False)
        for number in ATTEMPTS:
            if state.attempts[number].stage in (Stage.SENDING, Stage.SHARING):
                restarted = restarted.with_attempt(number, stage=Stage.DONE)
        yield "crash", restarted


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
