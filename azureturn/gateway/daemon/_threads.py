"""Threads and tasks that continue after an unexpected error."""

import threading
from collections.abc import Callable

from azureturn.observability import EventLog, LogEvent, describe_error
from azureturn.tasks import Priority, TaskLoop, sleep

#: Delay before a failed function is called again, so that a recurring error does not use up the
#: processor.
_RESTART_DELAY_S = 0.2


def run_forever(
    function: Callable[[], None], name: str, log: EventLog, *, loop: TaskLoop | None = None
) -> None:
    """Run a function in a task of ``loop``, or on its own thread, and again whenever it ends.

    An unexpected error would otherwise end the function silently. It is logged, and the function
    is called again.
    """

    def run() -> None:
        while True:
            try:
                function()
            except Exception as error:  # noqa: BLE001
                log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))
                sleep(_RESTART_DELAY_S)

    if loop is not None:
        loop.spawn(run, priority=Priority.CONTROL)
    else:
        threading.Thread(target=run, name=name, daemon=True).start()
