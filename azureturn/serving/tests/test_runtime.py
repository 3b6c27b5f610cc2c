"""Execution of the core's actions, and its ticks."""

import threading
from dataclasses import dataclass

from azureturn.framework import Action, Context, Controller, Core, Tick, on
from azureturn.serving import CoreRuntime

_WAIT_S = 10.0


@dataclass(frozen=True)
class _Ticked(Action):
    """Emitted at each tick."""


class _TickingController(Controller[None]):
    name = "ticking"

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        context.act(_Ticked())


def test_ticks_go_on_after_one_whose_action_fails() -> None:
    core = Core.from_controllers({"ticking": _TickingController}, None, seed=1)
    errors: list[Exception] = []
    runtime = CoreRuntime(core, tick_interval_ms=5, report_error=errors.append)
    executed: list[_Ticked] = []
    has_gone_on = threading.Event()

    def fail_first(action: _Ticked) -> None:
        executed.append(action)
        if len(executed) == 1:
            raise OverflowError("int out of range")
        has_gone_on.set()

    runtime.register_handler(_Ticked, fail_first)
    runtime.start()
    try:
        assert has_gone_on.wait(_WAIT_S)
    finally:
        runtime.stop()
    assert [str(error) for error in errors] == ["int out of range"]
