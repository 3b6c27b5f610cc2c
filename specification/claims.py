"""Specification of claims, which let a call run at most once although two VMs receive it.

A claim is a record in the key-value service that gives one process, its holder, the right to run a
call; a nonce identifies the claim. A segment is the part of all claims that the service stores
under one key.

The model has two VMs, one call and one segment. Each VM receives a duplicate of the call. The
answer to a write may be lost after the write took effect, before it, or while the write is delayed
and takes effect later. One unrelated write changes the segment's revision. A process may crash at
any time and restart without its state. Pauses need no step of their own: a process that takes no
step while others do is paused, also between winning its claim and sending the first byte.

Step labels begin with the name of a VM. ``serve`` means that the service answers the VM's read or
write; ``lose applied``, ``lose dropped`` and ``lose delayed`` are the three ways in which the
answer is lost. Two labels name no VM: ``land`` means that a delayed write takes effect, and
``bump`` is the unrelated write.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from minicheck import Protocol

from specification._registry import Mutation, Specification, specification

VMS = ("a", "b")
#: Number of the last process of a VM; a process with this number does not crash.
MAX_BOOT = 2
#: Number of claims that one process attempts.
MAX_CLAIMS_PER_BOOT = 2
#: Number of unrelated writes to the segment.
MAX_OTHER_WRITES = 1
NO_CLAIM = ""


class Phase(StrEnum):
    """Progress of a VM's request."""

    IDLE = "idle"
    READING = "reading"
    WRITING = "writing"
    #: A read or write of the segment was not answered; the next step is a read.
    LOST = "lost"
    #: The claim is won; the first byte has not been sent to the upstream.
    SENDING = "sending"
    #: The segment holds another claim; the holder of that claim is queried.
    ASKING = "asking"
    DONE = "done"


class Response(StrEnum):
    """Response to the caller."""

    NOTHING = "nothing"
    NOT_RUN = "not_run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Process(NamedTuple):
    """The current process of one VM."""

    #: Number of the process; increases with each restart.
    boot: int = 1
    phase: Phase = Phase.IDLE
    #: Number of claims that this process has attempted. VM, boot and this number form the nonce.
    claim_number: int = 0
    #: Revision that the outstanding write compares with.
    expected_revision: int = 0
    #: Nonce of the claim of another process that was found in the segment.
    observed_claim: str = NO_CLAIM
    #: Nonce of a claim that its holder has abandoned, so that it may be overwritten.
    released: str = NO_CLAIM
    response: Response = Response.NOTHING
    #: Nonces that this process has promised never to run.
    abandoned: frozenset[str] = frozenset()


class State(NamedTuple):
    """State of the whole system."""

    revision: int = 0
    #: Nonce of the claim in the segment.
    owner: str = NO_CLAIM
    #: Writes in transit whose senders no longer wait for the answer, as (nonce, expected revision).
    delayed: frozenset[tuple[str, int]] = frozenset()
    a: Process = Process()
    b: Process = Process()
    #: Nonces under which the upstream ran the call, in order.
    ran: tuple[str, ...] = ()
    #: Number of unrelated writes so far.
    other_writes: int = 0

    def process(self, vm: str) -> Process:
        """Return a VM's process."""
        return self.a if vm == "a" else self.b

    def with_process(self, vm: str, **changes: Any) -> "State":
        """Return a copy with a VM's process changed."""
        process = self.process(vm)._replace(**changes)
        return self._replace(a=process) if vm == "a" else self._replace(b=process)

    def with_swap(self, nonce: str, expected_revision: int) -> "State":
        """Return a copy after the service has processed a compare-and-swap."""
        if expected_revision != self.revision:
            return self
        return self._replace(revision=self.revision + 1, owner=nonce)


def nonce_of(vm: str, process: Process) -> str:
    """Return the nonce of a process's current claim."""
    return f"{vm}.{process.boot}-{process.claim_number}"


@dataclass(frozen=True)
class Safeguards:
    """Safeguards of the protocol; each mutation disables one."""

    #: A write whose answer was lost is followed by a read.
    read_back: bool = True
    #: A process recognises its claim by the nonce, not only by the VM's name.
    nonce: bool = True
    #: A claim of another process is overwritten only after its holder answered that it abandoned
    #: the claim.
    require_holder_answer: bool = True
    #: A process that answers ``not_run`` abandons its claim: it never runs the call under that
    #: claim.
    abandon: bool = True
    #: The service applies a write only at the expected revision.
    compare: bool = True


#: Label of a step, and the state after it.
Step = tuple[str, State]


class ClaimTransitions:
    """Generates the steps that can follow a state."""

    def __init__(self, safeguards: Safeguards) -> None:
        self._safeguards = safeguards

    def successors(self, fields: tuple[Any, ...]) -> list[Step]:
        """Return the labelled successor states, as the model checker expects them."""
        state = State(*fields)
        steps = list(self._service_steps(state))
        for vm in VMS:
            for step in _STEPS_BY_PHASE[state.process(vm).phase]:
                steps += step(self, state, vm)
            steps += self._crash(state, vm)
        return steps

    def _service_steps(self, state: State) -> Iterator[Step]:
        for nonce, expected_revision in sorted(state.delayed):
            remaining = state._replace(delayed=state.delayed - {(nonce, expected_revision)})
            compared_with = expected_revision if self._safeguards.compare else state.revision
            yield f"land {nonce} {expected_revision}", remaining.with_swap(nonce, compared_with)
        if state.other_writes < MAX_OTHER_WRITES:
            yield "bump", state._replace(
                revision=state.revision + 1, other_writes=state.other_writes + 1
            )

    def _crash(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        if process.phase is Phase.IDLE or process.boot == MAX_BOOT:
            return
        restarted = Process(boot=process.boot + 1)
        yield f"{vm} crash", _detach_write(state, vm).with_process(vm, **restarted._asdict())

    def _arrive(self, state: State, vm: str) -> Iterator[Step]:
        yield f"{vm} arrive", state.with_process(vm, phase=Phase.READING, claim_number=1)

    def _read(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        if self._is_own(state.owner, vm, process):
            after = state.with_process(vm, phase=Phase.SENDING)
        elif state.owner in (NO_CLAIM, process.released):
            after = state.with_process(vm, phase=Phase.WRITING, expected_revision=state.revision)
        else:
            after = state.with_process(vm, phase=Phase.ASKING, observed_claim=state.owner)
        yield f"{vm} serve", after
        yield f"{vm} lose dropped", state.with_process(vm, phase=Phase.LOST)

    def _is_own(self, owner: str, vm: str, process: Process) -> bool:
        if not self._safeguards.nonce:
            return owner.startswith(vm)
        return owner == nonce_of(vm, process)

    def _write(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        nonce = nonce_of(vm, process)
        expected_revision = (
            process.expected_revision if self._safeguards.compare else state.revision
        )
        succeeds = expected_revision == state.revision
        phase = Phase.SENDING if succeeds else Phase.READING
        yield f"{vm} serve", state.with_swap(nonce, expected_revision).with_process(vm, phase=phase)
        next_phase = Phase.LOST if self._safeguards.read_back else Phase.SENDING
        unanswered = state.with_process(vm, phase=next_phase)
        yield f"{vm} lose applied", unanswered.with_swap(nonce, expected_revision)
        yield f"{vm} lose dropped", unanswered
        yield f"{vm} lose delayed", _detach_write(state, vm).with_process(vm, phase=next_phase)

    def _retry(self, state: State, vm: str) -> Iterator[Step]:
        yield f"{vm} retry", state.with_process(vm, phase=Phase.READING)

    def _give_up(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        if process.response is not Response.NOTHING:
            return
        if not self._safeguards.abandon:
            yield f"{vm} give up", state.with_process(vm, response=Response.NOT_RUN)
            return
        yield f"{vm} give up", self._with_claim_abandoned(_detach_write(state, vm), vm)

    def _send(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        ran = (*state.ran, nonce_of(vm, process))
        response = Response.ANSWERED if process.response is Response.NOTHING else process.response
        yield f"{vm} send", state._replace(ran=ran).with_process(
            vm, phase=Phase.DONE, response=response
        )
        yield f"{vm} unreachable", self._with_claim_abandoned(state, vm)

    def _with_claim_abandoned(self, state: State, vm: str) -> State:
        process = state.process(vm)
        abandoned = process.abandoned | {nonce_of(vm, process)}
        return state.with_process(
            vm,
            phase=Phase.DONE,
            response=Response.NOT_RUN,
            abandoned=abandoned,
            expected_revision=0,
        )

    def _ask(self, state: State, vm: str) -> Iterator[Step]:
        process = state.process(vm)
        holder = state.process(process.observed_claim[0])
        holder_restarted = not process.observed_claim.startswith(
            f"{process.observed_claim[0]}.{holder.boot}-"
        )
        was_abandoned = not holder_restarted and process.observed_claim in holder.abandoned
        ended = not holder_restarted and process.observed_claim in state.ran
        if was_abandoned or not (
            ended or holder_restarted or self._safeguards.require_holder_answer
        ):
            if process.claim_number < MAX_CLAIMS_PER_BOOT:
                yield f"{vm} ask", state.with_process(
                    vm,
                    phase=Phase.READING,
                    claim_number=process.claim_number + 1,
                    observed_claim=NO_CLAIM,
                    released=process.observed_claim,
                )
        elif ended:
            yield f"{vm} ask", self._respond(state, vm, Response.ANSWERED)
        else:
            label = "ask" if holder_restarted else "stop asking"
            yield f"{vm} {label}", self._respond(state, vm, Response.UNKNOWN)

    def _respond(self, state: State, vm: str, response: Response) -> State:
        return state.with_process(vm, phase=Phase.DONE, response=response)


def _detach_write(state: State, vm: str) -> State:
    """Return a copy in which a VM no longer waits for the answer to its outstanding write.

    The write stays in transit and may still take effect.
    """
    process = state.process(vm)
    if process.phase is not Phase.WRITING:
        return state
    write = (nonce_of(vm, process), process.expected_revision)
    return state._replace(delayed=state.delayed | {write})


_StepFunction = Callable[[ClaimTransitions, State, str], Iterator[Step]]

_STEPS_BY_PHASE: dict[Phase, tuple[_StepFunction, ...]] = {
    Phase.IDLE: (ClaimTransitions._arrive,),
    Phase.READING: (ClaimTransitions._read, ClaimTransitions._give_up),
    Phase.WRITING: (ClaimTransitions._write, ClaimTransitions._give_up),
    Phase.LOST: (ClaimTransitions._retry, ClaimTransitions._give_up),
    Phase.SENDING: (ClaimTransitions._send,),
    Phase.ASKING: (ClaimTransitions._ask,),
    Phase.DONE: (),
}


def _runs_at_most_once(fields: dict[str, Any]) -> bool:
    return len(fields["ran"]) <= 1


def _not_run_is_correct(fields: dict[str, Any]) -> bool:
    """Return whether no call answered with ``not_run`` ran or can still run."""
    for vm in VMS:
        process: Process = fields[vm]
        sent = process.phase is Phase.SENDING or nonce_of(vm, process) in fields["ran"]
        if process.response is Response.NOT_RUN and sent:
            return False
    return True


def _answer_implies_run(fields: dict[str, Any]) -> bool:
    responses = {fields[vm].response for vm in VMS}
    return Response.ANSWERED not in responses or bool(fields["ran"])


def claims_protocol(safeguards: Safeguards | None = None) -> Protocol:
    """Return the protocol with the given safeguards, by default all of them."""
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=ClaimTransitions(safeguards or Safeguards()).successors,
        invariants={
            "a call runs at most once": _runs_at_most_once,
            "a not_run response is correct": _not_run_is_correct,
            "an answer implies a run": _answer_implies_run,
        },
    )


@specification("claims")
def claims() -> Specification:
    """Return the specification with its mutations."""
    at_most_once, not_run_correct = "a call runs at most once", "a not_run response is correct"
    return Specification(
        claims_protocol(),
        {
            "no read-back": Mutation(claims_protocol(Safeguards(read_back=False)), at_most_once),
            "no nonce": Mutation(claims_protocol(Safeguards(nonce=False)), at_most_once),
            "claim taken over after time-out": Mutation(
                claims_protocol(Safeguards(require_holder_answer=False)), at_most_once
            ),
            "no compare": Mutation(claims_protocol(Safeguards(compare=False)), at_most_once),
            "claim not abandoned": Mutation(
                claims_protocol(Safeguards(abandon=False)), not_run_correct
            ),
        },
    )
