"""Conformance of the core to the specification of claims, checked on random walks.

Each step of a random walk through the specification is also executed on real cores, one per VM,
and the observable state of the cores is compared with the specified state after each step.
"""

import random
from collections import Counter

from azureturn.core import ClaimSegment, SegmentProgressTable, SwapSegment, call_digest, segment_of
from azureturn.core.tests.claim_simulation import ANSWERED, ORGANISATION, ClaimSimulation
from azureturn.errors import RunState
from specification.claims import Phase, Response, State, claims_protocol, nonce_of

WALKS = 1_500
MAX_WALK_STEPS = 40
#: Number of times that the core can retry a read or write of the segment before the time at which
#: it gives the call up.
MAX_RETRIES = 3
TIMEOUT_MS = 60_000
SEGMENT = segment_of(call_digest(ORGANISATION, "key", "k"))
#: First words of the steps of a VM, in their labels: "give" stands for "give up", "lose" for the
#: three ways in which the answer to a read or write is lost, and "stop" for "stop asking".
VM_STEP_WORDS = {
    "arrive",
    "serve",
    "lose",
    "retry",
    "give",
    "send",
    "unreachable",
    "ask",
    "stop",
    "crash",
}


class ConformanceChecker:
    """Executes the specification's steps on cores and compares the observable state."""

    def __init__(self) -> None:
        self.simulation = ClaimSimulation("a", "b")
        self.clocks_ms = {"a": 0, "b": 0}
        self.retries: Counter[str] = Counter()

    def execute(self, label: str, before: State) -> None:
        vm_or_step, *rest = label.split(" ")
        if vm_or_step == "land":
            self._apply_delayed_write(rest[0], int(rest[1]))
        elif vm_or_step == "bump":
            self._write_unchanged_segment()
        else:
            self.simulation.now_ms = self.clocks_ms[vm_or_step]
            getattr(self, "_" + "_".join(rest))(vm_or_step, before.process(vm_or_step))
            self.clocks_ms[vm_or_step] = self.simulation.now_ms

    def _apply_delayed_write(self, nonce: str, expected_revision: int) -> None:
        for write in self.simulation.delayed:
            nonces = {claim.nonce for claim in write.content.claims.values()}
            if nonce in nonces and write.expected_revision == expected_revision:
                self.simulation.delayed.remove(write)
                self.simulation.service.swap(write)
                return
        raise AssertionError(f"no delayed write of {nonce}")

    def _write_unchanged_segment(self) -> None:
        """Increment the segment's revision without changing its claims."""
        revision, value = self.simulation.service.values.get(
            SEGMENT, (0, ClaimSegment().to_bytes())
        )
        content = ClaimSegment.from_bytes(value)
        self.simulation.service.swap(SwapSegment(SEGMENT, 0, revision, content))

    def _arrive(self, vm: str, _process: object) -> None:
        process_number = self.simulation.vms[vm].boot
        self.simulation.arrive(vm, f"{vm}/{process_number}", "k", timeout_ms=TIMEOUT_MS)

    def _serve(self, vm: str, _process: object) -> None:
        assert self.simulation.answer_service_call(vm)

    def _lose_applied(self, vm: str, _process: object) -> None:
        assert self.simulation.lose_service_answer(vm, applied=True)

    def _lose_dropped(self, vm: str, _process: object) -> None:
        assert self.simulation.lose_service_answer(vm, applied=False)

    def _lose_delayed(self, vm: str, _process: object) -> None:
        assert self.simulation.lose_service_answer(vm, applied=False, delayed=True)

    def _retry(self, vm: str, _process: object) -> None:
        table = self.simulation.vms[vm].core.board.table(SegmentProgressTable)
        self._advance(vm, table.of(SEGMENT).retry_at_ms)

    def _give_up(self, vm: str, _process: object) -> None:
        table = self.simulation.vms[vm].core.board.table(SegmentProgressTable)
        (claim_intent,) = table.of(SEGMENT).intents.values()
        self._advance(vm, claim_intent.claim_deadline_ms)
        pending_calls = self.simulation.vms[vm].pending_calls
        self.simulation.delayed += [call for call in pending_calls if isinstance(call, SwapSegment)]
        pending_calls.clear()

    def _advance(self, vm: str, until_ms: int) -> None:
        """Advance the time of one VM while the others are paused."""
        other_vms = [
            simulated_vm for name, simulated_vm in self.simulation.vms.items() if name != vm
        ]
        for other_vm in other_vms:
            other_vm.paused = True
        self.simulation.tick(until_ms - self.simulation.now_ms)
        for other_vm in other_vms:
            other_vm.paused = False

    def _send(self, vm: str, _process: object) -> None:
        assert self.simulation.execute_dispatch(vm)

    def _unreachable(self, vm: str, _process: object) -> None:
        assert self.simulation.execute_dispatch(vm, "unreachable")

    def _ask(self, vm: str, _process: object) -> None:
        # The core relies on a read of the segment for 20 ms (``FRESH_MS``). After that time it
        # reads the segment again before it queries the holder of the claim.
        self.simulation.now_ms += 25
        assert self.simulation.ask(vm)

    def _stop_asking(self, vm: str, _process: object) -> None:
        request = self.simulation.requests[f"{vm}/{self.simulation.vms[vm].boot}"]
        self.simulation.now_ms = request.deadline_ms
        assert self.simulation.ask(vm)

    def _crash(self, vm: str, _process: object) -> None:
        self.simulation.crash(vm)

    def compare(self, state: State) -> None:
        revision, value = self.simulation.service.values.get(
            SEGMENT, (0, ClaimSegment().to_bytes())
        )
        claims = ClaimSegment.from_bytes(value).claims.values()
        assert revision == state.revision
        assert [claim.nonce for claim in claims] == ([state.owner] if state.owner else [])
        assert sum(self.simulation.runs.values()) == len(state.ran)
        for name in ("a", "b"):
            self._compare_vm(name, state)

    def _compare_vm(self, name: str, state: State) -> None:
        process = state.process(name)
        vm = self.simulation.vms[name]
        assert vm.boot == process.boot
        assert bool(vm.pending_dispatches) == (process.phase is Phase.SENDING)
        assert [ask.claim.nonce for ask in vm.pending_queries] == (
            [process.observed_claim] if process.phase is Phase.ASKING else []
        )
        expected_calls = (process.phase is Phase.READING, process.phase is Phase.WRITING)
        swaps = [call for call in vm.pending_calls if isinstance(call, SwapSegment)]
        # Whether a read and whether a write of the segment is in progress.
        assert (len(vm.pending_calls) > len(swaps), bool(swaps)) == expected_calls
        if swaps:
            assert swaps[0].expected_revision == process.expected_revision
            nonces = {claim.nonce for claim in swaps[0].content.claims.values()}
            assert nonces == {nonce_of(name, process)}
        responses = self.simulation.responses_by_request.get(f"{name}/{process.boot}", [])
        assert [response.run_state for response in responses] == _RUN_STATES[process.response]
        assert process.response is not Response.ANSWERED or responses[0].kind == ANSWERED


#: Run states of the responses that the core has sent to the caller, by specified response.
_RUN_STATES = {
    Response.NOTHING: [],
    Response.NOT_RUN: [RunState.NOT_RUN],
    Response.ANSWERED: [RunState.RAN],
    Response.UNKNOWN: [RunState.UNKNOWN],
}


def walk(generator: random.Random) -> Counter[str]:
    """Follow one random walk through the specification; return how often each step was taken."""
    transitions = claims_protocol().transitions
    checker = ConformanceChecker()
    state = State()
    step_counts: Counter[str] = Counter()
    retries: Counter[str] = Counter()
    for _ in range(MAX_WALK_STEPS):
        steps = [
            (label, after)
            for label, after in transitions(state)
            if not label.endswith("retry") or retries[label] < MAX_RETRIES
        ]
        if not steps:
            break
        label, after = generator.choice(steps)
        retries[label] += 1
        # "land NONCE REVISION" and "bump" begin with the name of the step. All other labels begin
        # with "a " or "b ", the name of the VM, so the step's name is their second word.
        step_counts[label.split(" ")[0 if label[0] in "lb" and label[1] != " " else 1]] += 1
        checker.execute(label, state)
        state = State(*after)
        checker.compare(state)
    return step_counts


def test_core_conforms_on_random_walks() -> None:
    generator = random.Random(4)
    step_counts: Counter[str] = Counter()
    for _ in range(WALKS):
        step_counts += walk(generator)
    assert {*VM_STEP_WORDS, "land", "bump"} <= set(step_counts), step_counts
