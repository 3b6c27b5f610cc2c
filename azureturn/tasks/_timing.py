"""Waiting for a time to pass."""

import time

from azureturn.tasks._loop import current_task


def sleep(seconds: float) -> None:
    """Suspend the current task, or block the current thread, for a time."""
    task = current_task()
    if task is None:
        time.sleep(seconds)
    else:
        task.loop.suspend(task, object(), seconds)
