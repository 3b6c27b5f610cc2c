"""Property test of claims and tickets under arbitrary sequences of faults."""

from hypothesis import given
from hypothesis import strategies as st

from azureturn.core.tests.claim_site import ANSWERED, ClaimSite
from azureturn.errors import RunState

VMS = ("a", "b", "c")
CALLS = ("key-1", "key-2", "key-3", "key-4", "ticket-of-a")
ENDINGS = (ANSWERED, ANSWERED, "unknown", "unreachable")
LOSSES = ("applied", "dropped", "delayed")

VM = st.sampled_from(VMS)
#: Faults are rarer than regular steps; otherwise few calls would get far enough to be disturbed.
STEPS = (
    *6 * [st.tuples(st.just("arrive"), VM, st.sampled_from(CALLS))],
    *12 * [st.tuples(st.just("serve"), VM)],
    *4 * [st.tuples(st.just("lose"), VM, st.sampled_from(LOSSES))],
    *1 * [st.tuples(st.just("land"))],
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
        self.site = ClaimSite(*VMS)
        self.arrivals = 0

    def do(self, step: tuple[str, ...]) -> None:
        name, *arguments = step
        vm = self.site.vms.get(arguments[0]) if arguments else None
        if vm is not None and vm.paused and name not in ("resume", "crash"):
            return
        getattr(self, f"_{name}")(*arguments)
        self.check()

    def _arrive(self, vm: str, call: str) -> None:
        self.arrivals += 1
        request_id = f"{vm}/{self.arrivals}"
        if call.startswith("ticket"):
            # Only the process that minted a ticket may run it; other VMs forward it there.
            minter = self.site.vms["a"]
            if minter.boot == 1 and not minter.paused:
                self.site.arrive("a", f"a/{self.arrivals}", ticket_nonce=call)
            return
        self.site.arrive(vm, request_id, call)

    def _serve(self, vm: str) -> None:
        self.site.serve(vm)

    def _lose(self, vm: str, loss: str) -> None:
        self.site.lose(vm, applied=loss == "applied", delayed=loss == "delayed")

    def _land(self) -> None:
        self.site.land()

    def _send(self, vm: str, ending: str) -> None:
        self.site.send(vm, ending)

    def _ask(self, vm: str) -> None:
        self.site.ask(vm)

    def _tick(self, elapsed_ms: int) -> None:
        self.site.tick(elapsed_ms)

    def _crash(self, vm: str) -> None:
        self.site.crash(vm)

    def _pause(self, vm: str) -> None:
        self.site.vms[vm].paused = True

    def _resume(self, vm: str) -> None:
        self.site.vms[vm].paused = False

    def check(self) -> None:
        site = self.site
        assert all(count <= 1 for count in site.runs.values()), site.runs
        for request_id, told in site.told.items():
            assert len(told) == 1, (request_id, told)
            if told[0].run_state is RunState.NOT_RUN:
                assert request_id not in site.sent_requests
        waiting = {one.request_id for vm in site.vms.values() for one in vm.to_send}
        refused = {key for key, told in site.told.items() if told[0].run_state is RunState.NOT_RUN}
        assert not waiting & refused

    def finish(self) -> None:
        self.site.run_until_idle()
        self.check()
        unanswered = (
            set(self.site.requests) - set(self.site.told) - self.site.callers_without_response
        )
        assert not unanswered


@given(st.lists(STEP, min_size=100, max_size=200))
def test_at_most_one_run_and_one_correct_response_under_any_faults(
    steps: list[tuple[str, ...]],
) -> None:
    checker = InvariantChecker()
    for step in steps:
        checker.do(step)
    checker.finish()
