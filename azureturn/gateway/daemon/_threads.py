"""Threads that continue after an unexpected error."""

import threading
import time
from collections.abc import Callable

from azureturn.observability import EventLog, LogEvent, describe_error

#: Delay before a failed task is restarted, so that a recurring error does not use up the processor.
_RESTART_DELAY_S = 0.2


def run_forever(task: Callable[[], None], name: str, log: EventLog) -> None:
    """Run a task on its own thread and restart it whenever it ends.

    An unexpected error would otherwise end the thread, and with it the task, silently. It is
    logged, and the task is restarted.
    """

    def run() -> None:
        while True:
            try:
                task()
            except Exception as error:  # noqa: BLE001
                log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))
                time.sleep(_RESTART_DELAY_S)

    threading.Thread(target=run, name=name, daemon=True).start()
