"""Conformance of the core to the specification of claims, step by step on random walks."""

import random
from collections import Counter

from azureturn.core import ClaimSegment, SegmentProgressTable, SwapSegment, call_digest, segment_of
from azureturn.core.tests.claim_site import ANSWERED, ORGANISATION, ClaimSite
from azureturn.errors import RunState
from specification.claims import Phase, Response, State, claims_protocol, nonce_of

WALKS = 1_500
MAX_WALK_STEPS = 40
#: The core can retry a call to the service this often before it stops waiting.
MAX_RETRIES = 3
TIMEOUT_MS = 60_000
SEGMENT = segment_of(call_digest(ORGANISATION, "key", "k"))
VM_STEPS = {
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
        self.site = ClaimSite("a", "b")
        self.clocks_ms = {"a": 0, "b": 0}
        self.retries: Counter[str] = Counter()

    def execute(self, label: str, before: State) -> None:
        first, *rest = label.split(" ")
        if first == "land":
            self._land(rest[0], int(rest[1]))
        elif first == "bump":
            self._bump()
        else:
            self.site.now_ms = self.clocks_ms[first]
            getattr(self, "_" + "_".join(rest))(first, before.process(first))
            self.clocks_ms[first] = self.site.now_ms

    def _land(self, nonce: str, expected: int) -> None:
        for write in self.site.delayed:
            nonces = {claim.nonce for claim in write.content.claims.values()}
            if nonce in nonces and write.expected_revision == expected:
                self.site.delayed.remove(write)
                self.site.service.swap(write)
                return
        raise AssertionError(f"no delayed write of {nonce}")

    def _bump(self) -> None:
        revision, value = self.site.service.values.get(SEGMENT, (0, ClaimSegment().to_bytes()))
        content = ClaimSegment.from_bytes(value)
        self.site.service.swap(SwapSegment(SEGMENT, 0, revision, content))

    def _arrive(self, vm: str, process: object) -> None:
        boot = self.site.vms[vm].boot
        self.site.arrive(vm, f"{vm}/{boot}", "k", timeout_ms=TIMEOUT_MS)

    def _serve(self, vm: str, process: object) -> None:
        assert self.site.serve(vm)

    def _lose_applied(self, vm: str, process: object) -> None:
        assert self.site.lose(vm, applied=True)

    def _lose_dropped(self, vm: str, process: object) -> None:
        assert self.site.lose(vm, applied=False)

    def _lose_delayed(self, vm: str, process: object) -> None:
        assert self.site.lose(vm, applied=False, delayed=True)

    def _retry(self, vm: str, process: object) -> None:
        table = self.site.vms[vm].core.board.table(SegmentProgressTable)
        self._advance(vm, table.of(SEGMENT).retry_at_ms)

    def _give_up(self, vm: str, process: object) -> None:
        table = self.site.vms[vm].core.board.table(SegmentProgressTable)
        (intent,) = table.of(SEGMENT).intents.values()
        self._advance(vm, intent.decide_by_ms)
        calls = self.site.vms[vm].calls
        self.site.delayed += [call for call in calls if isinstance(call, SwapSegment)]
        calls.clear()

    def _advance(self, vm: str, until_ms: int) -> None:
        others = [site_vm for name, site_vm in self.site.vms.items() if name != vm]
        for other in others:
            other.paused = True
        self.site.tick(until_ms - self.site.now_ms)
        for other in others:
            other.paused = False

    def _send(self, vm: str, process: object) -> None:
        assert self.site.send(vm)

    def _unreachable(self, vm: str, process: object) -> None:
        assert self.site.send(vm, "unreachable")

    def _ask(self, vm: str, process: object) -> None:
        # The last read of the segment is too old by now, so the core reads it again.
        self.site.now_ms += 25
        assert self.site.ask(vm)

    def _stop_asking(self, vm: str, process: object) -> None:
        request = self.site.requests[f"{vm}/{self.site.vms[vm].boot}"]
        self.site.now_ms = request.deadline_ms
        assert self.site.ask(vm)

    def _crash(self, vm: str, process: object) -> None:
        self.site.crash(vm)

    def compare(self, state: State) -> None:
        revision, value = self.site.service.values.get(SEGMENT, (0, ClaimSegment().to_bytes()))
        claims = ClaimSegment.from_bytes(value).claims.values()
        assert revision == state.revision
        assert [claim.nonce for claim in claims] == ([state.owner] if state.owner else [])
        assert sum(self.site.runs.values()) == len(state.ran)
        for name in ("a", "b"):
            self._compare_vm(name, state)

    def _compare_vm(self, name: str, state: State) -> None:
        process = state.process(name)
        vm = self.site.vms[name]
        assert vm.boot == process.boot
        assert bool(vm.to_send) == (process.phase is Phase.SENDING)
        assert [ask.claim.nonce for ask in vm.to_ask] == (
            [process.observed_claim] if process.phase is Phase.ASKING else []
        )
        expected = (process.phase is Phase.READING, process.phase is Phase.WRITING)
        swaps = [call for call in vm.calls if isinstance(call, SwapSegment)]
        assert (len(vm.calls) > len(swaps), bool(swaps)) == expected
        if swaps:
            assert swaps[0].expected_revision == process.expected_revision
            nonces = {claim.nonce for claim in swaps[0].content.claims.values()}
            assert nonces == {nonce_of(name, process)}
        responses = self.site.told.get(f"{name}/{process.boot}", [])
        assert [one.run_state for one in responses] == _RUN_STATES[process.response]
        assert process.response is not Response.ANSWERED or responses[0].kind == ANSWERED


_RUN_STATES = {
    Response.NOTHING: [],
    Response.NOT_RUN: [RunState.NOT_RUN],
    Response.ANSWERED: [RunState.RAN],
    Response.UNKNOWN: [RunState.UNKNOWN],
}


def walk(generator: random.Random) -> Counter[str]:
    """Follow one random walk through the specification and count the steps taken by name."""
    transitions = claims_protocol().transitions
    checker = ConformanceChecker()
    state = State()
    taken: Counter[str] = Counter()
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
        # "land ..." and "bump" begin with the step's name, other labels with the VM's name.
        taken[label.split(" ")[0 if label[0] in "lb" and label[1] != " " else 1]] += 1
        checker.execute(label, state)
        state = State(*after)
        checker.compare(state)
    return taken


def test_core_conforms_on_random_walks() -> None:
    generator = random.Random(4)
    taken: Counter[str] = Counter()
    for _ in range(WALKS):
        taken += walk(generator)
    assert {*VM_STEPS, "land", "bump"} <= set(taken), taken
