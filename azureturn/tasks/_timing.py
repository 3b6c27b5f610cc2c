"""Waiting for a time to pass."""

import time

from azureturn.tasks._loop import Priority, current_task


def sleep(seconds: float) -> None:
    """Suspend the current task, or block the current thread, for a time."""
    task = current_task()
    if task is None:
        time.sleep(seconds)
    else:
        task.loop.suspend(task, object(), seconds)


def yield_to_others() -> None:
    """Let all other tasks go on that are ready, if this is a task.

    A computation that takes long calls this again and again, so that no other task waits for it.
    """
    task = current_task()
    if task is None:
        return
    priority, task.priority = task.priority, Priority.BACKGROUND
    try:
        task.loop.suspend(task, object(), 0.0)
    finally:
        if task.priority is Priority.BACKGROUND:
            task.priority = priority
