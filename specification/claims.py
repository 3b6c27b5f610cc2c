"""The right to run by claims: two VMs, one call, one segment of the key-value service.

A duplicate comes to each VM. Writes lose their answers, after they took effect, before, or while
they are delayed and land later; another write moves the segment's revision. A process may crash at
any moment and start anew without memory. A pause needs no step of its own: a process that takes no
step while others do is paused, also between its right to run and the first byte.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol

from specification._registry import Mutation, Specification, specification

VMS = ("a", "b")
LAST_BOOT = 2
LAST_SEEK = 2
BUMPS = 1
NOBODY = ""


class Phase(StrEnum):
    """How far a VM is with its request."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"
    #: A call had no answer; the next one is a read.
    LOST = "lost"
    #: The right to run is there, and the first byte has not left.
    SENDING = "sending"
    #: Another claim was met; its holder is asked.
    ASKING = "asking"
    DONE = "done"


class Word(StrEnum):
    """What a caller was told."""

    NOTHING = "nothing"
    NOT_RUN = "not_run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Process(NamedTuple):
    """One VM's present boot."""

    boot: int = 1
    phase: Phase = Phase.IDLE
    #: How often this boot sought the right; with VM and boot it makes the nonce.
    seek: int = 0
    #: Revision that the outstanding write compares with.
    base: int = 0
    #: The claim that was met, and the one whose holder gave it up.
    met: str = NOBODY
    released: str = NOBODY
    told: Word = Word.NOTHING
    #: Nonces that this boot gave its word never to run.
    abandoned: frozenset[str] = frozenset()


class State(NamedTuple):
    """The whole system."""

    revision: int = 0
    owner: str = NOBODY
    #: Writes under way whose answers nobody waits for, as (nonce, revision compared with).
    delayed: frozenset[tuple[str, int]] = frozenset()
    a: Process = Process()
    b: Process = Process()
    #: Nonces under which the upstream ran the call, in order.
    ran: tuple[str, ...] = ()
    bumps: int = 0

    def process(self, vm: str) -> Process:
        """Return a VM's process."""
        return self.a if vm == "a" else self.b

    def with_process(self, vm: str, **changes: Any) -> "State":
        """Return a copy in which a VM's process is changed."""
        process = self.process(vm)._replace(**changes)
        return self._replace(a=process) if vm == "a" else self._replace(b=process)

    def with_write(self, nonce: str, base: int) -> "State":
        """Return a copy after a compare-and-swap came to the service."""
        if base != self.revision:
            return self
        return self._replace(revision=self.revision + 1, owner=nonce)


def nonce_of(vm: str, process: Process) -> str:
    """Return the nonce that a process seeks the right under."""
    return f"{vm}.{process.boot}-{process.seek}"


@dataclass(frozen=True)
class Safeguards:
    """The parts of the protocol that mutations take out."""

    read_back: bool = True
    nonce: bool = True
    holders_word: bool = True
    abandon: bool = True
    compare: bool = True


Step = tuple[str, State]


class ClaimSteps:
    """Every step that can follow a state."""

    def __init__(self, safeguards: Safeguards) -> None:
        self._safeguards = safeguards

    def of(self, fields: tuple[Any, ...]) -> list[Step]:
        """Return the steps as the model checker wants them."""
        state = State(*fields)
        steps = list(self._of_service(state))
        for vm in VMS:
            for step in _STEPS_OF_PHASE[state.process(vm).phase]:
                steps += step(self, state, vm)
            steps += self._crash(state, vm)
        return steps

    def _of_service(self, state: State) -> Iterator[Step]:
        for nonce, base in sorted(state.delayed):
            rest = state._replace(delayed=state.delayed - {(nonce, base)})
            landed_at = base if self._safeguards.compare else state.revision
            yield f"land {nonce} {base}", rest.with_write(nonce, landed_at)
        if state.bumps < BUMPS:
            yield "bump", state._replace(revision=state.revision + 1, bumps=state.bumps + 1)

    def _crash(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        if process.phase is Phase.IDLE or process.boot == LAST_BOOT:
            return
        anew = Process(boot=process.boot + 1)
        yield f"{vm} crash", _let_go(state, vm).with_process(vm, **anew._asdict())

    def _arrive(self, state: State, vm: str) -> Iterator[Step]:
        yield f"{vm} arrive", state.with_process(vm, phase=Phase.READING, seek=1)

    def _read(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        if self._is_own(state.owner, vm, process):
            after = state.with_process(vm, phase=Phase.SENDING)
        elif state.owner in (NOBODY, process.released):
            after = state.with_process(vm, phase=Phase.WRITING, base=state.revision)
        else:
            after = state.with_process(vm, phase=Phase.ASKING, met=state.owner)
        yield f"{vm} serve", after
        yield f"{vm} lose dropped", state.with_process(vm, phase=Phase.LOST)

    def _is_own(self, owner: str, vm: str, process: Process) -> bool:
        if not self._safeguards.nonce:
            return owner.startswith(vm)
        return owner == nonce_of(vm, process)

    def _write(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        nonce = nonce_of(vm, process)
        base = process.base if self._safeguards.compare else state.revision
        took_effect = base == state.revision
        phase = Phase.SENDING if took_effect else Phase.READING
        yield f"{vm} serve", state.with_write(nonce, base).with_process(vm, phase=phase)
        lost = Phase.LOST if self._safeguards.read_back else Phase.SENDING
        forgotten = state.with_process(vm, phase=lost)
        yield f"{vm} lose applied", forgotten.with_write(nonce, base)
        yield f"{vm} lose dropped", forgotten
        yield f"{vm} lose delayed", _let_go(state, vm).with_process(vm, phase=lost)

    def _retry(self, state: State, vm: str) -> Iterator[Step]:
        yield f"{vm} retry", state.with_process(vm, phase=Phase.READING)

    def _give_up(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        if process.told is not Word.NOTHING:
            return
        if not self._safeguards.abandon:
            yield f"{vm} give up", state.with_process(vm, told=Word.NOT_RUN)
            return
        yield f"{vm} give up", self._abandoned(_let_go(state, vm), vm)

    def _send(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        ran = (*state.ran, nonce_of(vm, process))
        told = Word.ANSWERED if process.told is Word.NOTHING else process.told
        yield f"{vm} send", state._replace(ran=ran).with_process(vm, phase=Phase.DONE, told=told)
        yield f"{vm} unreachable", self._abandoned(state, vm)

    def _abandoned(self, state: State, vm: str) -> State:
        process = state.process(vm)
        abandoned = process.abandoned | {nonce_of(vm, process)}
        return state.with_process(
            vm, phase=Phase.DONE, told=Word.NOT_RUN, abandoned=abandoned, base=0
        )

    def _ask(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        holder = state.process(process.met[0])
        gone = not process.met.startswith(f"{process.met[0]}.{holder.boot}-")
        given_up = not gone and process.met in holder.abandoned
        ended = not gone and process.met in state.ran
        if given_up or not (ended or gone or self._safeguards.holders_word):
            if process.seek < LAST_SEEK:
                yield f"{vm} ask", state.with_process(
                    vm,
                    phase=Phase.READING,
                    seek=process.seek + 1,
                    met=NOBODY,
                    released=process.met,
                )
        elif ended:
            yield f"{vm} ask", self._told(state, vm, Word.ANSWERED)
        else:
            label = "ask" if gone else "stop asking"
            yield f"{vm} {label}", self._told(state, vm, Word.UNKNOWN)

    def _told(self, state: State, vm: str, word: Word) -> State:
        return state.with_process(vm, phase=Phase.DONE, told=word)


def _let_go(state: State, vm: str) -> State:
    """Return a copy in which nobody waits for the answer of a VM's outstanding write."""
    process = state.process(vm)
    if process.phase is not Phase.WRITING:
        return state
    write = (nonce_of(vm, process), process.base)
    return state._replace(delayed=state.delayed | {write})


_StepOfPhase = Callable[[ClaimSteps, State, str], Iterator[Step]]

_STEPS_OF_PHASE: dict[Phase, tuple[_StepOfPhase, ...]] = {
    Phase.IDLE: (ClaimSteps._arrive,),
    Phase.READING: (ClaimSteps._read, ClaimSteps._give_up),
    Phase.WRITING: (ClaimSteps._write, ClaimSteps._give_up),
    Phase.LOST: (ClaimSteps._retry, ClaimSteps._give_up),
    Phase.SENDING: (ClaimSteps._send,),
    Phase.ASKING: (ClaimSteps._ask,),
    Phase.DONE: (),
}


def _runs_at_most_once(fields: dict[str, Any]) -> bool:
    return len(fields["ran"]) <= 1


def _not_run_is_true(fields: dict[str, Any]) -> bool:
    """Say of each request told ``not_run`` that it neither ran nor is about to."""
    for vm in VMS:
        process: Process = fields[vm]
        sent = process.phase is Phase.SENDING or nonce_of(vm, process) in fields["ran"]
        if process.told is Word.NOT_RUN and sent:
            return False
    return True


def _an_answer_is_of_a_run(fields: dict[str, Any]) -> bool:
    told = {fields[vm].told for vm in VMS}
    return Word.ANSWERED not in told or bool(fields["ran"])


def claims_protocol(safeguards: Safeguards | None = None) -> Protocol:
    """Return the protocol, whole or with safeguards taken out."""
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=ClaimSteps(safeguards or Safeguards()).of,
        invariants={
            "a call runs at most once": _runs_at_most_once,
            "not run is true": _not_run_is_true,
            "an answer is of a run": _an_answer_is_of_a_run,
        },
    )


@specification("right to run, claims")
def claims() -> Specification:
    """Return the specification with its mutations."""
    once, truth = "a call runs at most once", "not run is true"
    return Specification(
        claims_protocol(),
        {
            "no read-back": Mutation(claims_protocol(Safeguards(read_back=False)), once),
            "no nonce": Mutation(claims_protocol(Safeguards(nonce=False)), once),
            "trust in time": Mutation(claims_protocol(Safeguards(holders_word=False)), once),
            "no compare": Mutation(claims_protocol(Safeguards(compare=False)), once),
            "no word kept": Mutation(claims_protocol(Safeguards(abandon=False)), truth),
        },
    )
