"""Threads that go on after an unexpected error."""

import threading
import time
from collections.abc import Callable

from azureturn.observability import EventLog, LogEvent, describe_error

#: Pause after an unexpected error, so that one that repeats does not take the processor.
_PAUSE_S = 0.2


def run_forever(task: Callable[[], None], name: str, log: EventLog) -> None:
    """Run a task again and again on a thread of its own.

    A thread that ended would end without a word, and its task with it: an error that nobody
    foresaw is logged, and the task begins anew.
    """

    def run() -> None:
        while True:
            try:
                task()
            except Exception as error:  # noqa: BLE001
                log.error(LogEvent.INTERNAL_ERROR, error=describe_error(error))
                time.sleep(_PAUSE_S)

    threading.Thread(target=run, name=name, daemon=True).start()
