"""Property test of claims and tickets under arbitrary sequences of steps and faults."""

from hypothesis import given
from hypothesis import strategies as st

from azureturn.core.tests.claim_simulation import ANSWERED, ClaimSimulation
from azureturn.errors import RunState

VMS = ("a", "b", "c")
CALLS = ("key-1", "key-2", "key-3", "key-4", "ticket-of-a")
ENDINGS = (ANSWERED, ANSWERED, "unknown", "unreachable")
LOSSES = ("applied", "dropped", "delayed")

VM = st.sampled_from(VMS)
#: Faults are rarer than regular steps; otherwise few calls would reach the states in which a fault
#: matters.
STEPS = (
    *6 * [st.tuples(st.just("arrive"), VM, st.sampled_from(CALLS))],
    *12 * [st.tuples(st.just("serve"), VM)],
    *4 * [st.tuples(st.just("lose"), VM, st.sampled_from(LOSSES))],
    *1 * [st.tuples(st.just("apply_delayed_write"))],
    *3 * [st.tuples(st.just("send"), VM, st.sampled_from(ENDINGS))],
    *3 * [st.tuples(st.just("ask"), VM)],
    *6 * [st.tuples(st.just("tick"), st.sampled_from([50, 100, 100, 150, 2_100]))],
    *1 * [st.tuples(st.just("crash"), VM)],
    *2 * [st.tuples(st.just("pause"), VM)],
    *3 * [st.tuples(st.just("resume"), VM)],
)
STEP = st.sampled_from(STEPS).flatmap(lambda step: step)


class InvariantChecker:
    """Executes steps and checks the invariants after each one."""

    def __init__(self) -> None:
        self.simulation = ClaimSimulation(*VMS)
        self.arrivals = 0

    def execute(self, step: tuple[str, ...]) -> None:
        name, *arguments = step
        vm = self.simulation.vms.get(arguments[0]) if arguments else None
        if vm is not None and vm.paused and name not in ("resume", "crash"):
            return
        getattr(self, f"_{name}")(*arguments)
        self.check()

    def _arrive(self, vm: str, call: str) -> None:
        self.arrivals += 1
        request_id = f"{vm}/{self.arrivals}"
        if call.startswith("ticket"):
            # Only the process that issued a ticket may run its call; other VMs forward it there.
            issuer = self.simulation.vms["a"]
            if issuer.boot == 1 and not issuer.paused:
                self.simulation.arrive("a", f"a/{self.arrivals}", ticket_nonce=call)
            return
        self.simulation.arrive(vm, request_id, call)

    def _serve(self, vm: str) -> None:
        self.simulation.answer_service_call(vm)

    def _lose(self, vm: str, loss: str) -> None:
        self.simulation.lose_service_answer(
            vm, applied=loss == "applied", delayed=loss == "delayed"
        )

    def _apply_delayed_write(self) -> None:
        self.simulation.apply_delayed_write()

    def _send(self, vm: str, ending: str) -> None:
        self.simulation.execute_dispatch(vm, ending)

    def _ask(self, vm: str) -> None:
        self.simulation.ask(vm)

    def _tick(self, elapsed_ms: int) -> None:
        self.simulation.tick(elapsed_ms)

    def _crash(self, vm: str) -> None:
        self.simulation.crash(vm)

    def _pause(self, vm: str) -> None:
        self.simulation.vms[vm].paused = True

    def _resume(self, vm: str) -> None:
        self.simulation.vms[vm].paused = False

    def check(self) -> None:
        simulation = self.simulation
        assert all(count <= 1 for count in simulation.runs.values()), simulation.runs
        for request_id, responses in simulation.responses_by_request.items():
            assert len(responses) == 1, (request_id, responses)
            if responses[0].run_state is RunState.NOT_RUN:
                assert request_id not in simulation.sent_requests
        undispatched = {
            dispatch.request_id
            for vm in simulation.vms.values()
            for dispatch in vm.pending_dispatches
        }
        refused = {
            request_id
            for request_id, responses in simulation.responses_by_request.items()
            if responses[0].run_state is RunState.NOT_RUN
        }
        assert not undispatched & refused

    def finish(self) -> None:
        self.simulation.run_until_idle()
        self.check()
        without_response = (
            set(self.simulation.requests)
            - set(self.simulation.responses_by_request)
            - self.simulation.callers_without_response
        )
        assert not without_response


@given(st.lists(STEP, min_size=100, max_size=200))
def test_at_most_one_run_and_one_correct_response_under_any_faults(
    steps: list[tuple[str, ...]],
) -> None:
    checker = InvariantChecker()
    for step in steps:
        checker.execute(step)
    checker.finish()
