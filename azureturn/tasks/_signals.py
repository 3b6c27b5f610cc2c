"""Signals: flags for which a task or a thread waits until another one sets them."""

import threading
from typing import Protocol

from azureturn.tasks._loop import Task, current_task


class Signal(Protocol):
    """A flag that is set at most once."""

    def set(self) -> None:
        """Set the flag; may be called from any thread."""

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until the flag is set, at most ``timeout`` seconds; return whether it is."""


class _TaskSignal:
    """A signal for which the task that created it waits."""

    def __init__(self, task: Task) -> None:
        self._task = task
        self._is_set = False

    def set(self) -> None:
        self._is_set = True
        self._task.loop.wake(self._task, self)

    def wait(self, timeout: float | None = None) -> bool:
        if not self._is_set:
            self._task.loop.suspend(self._task, self, timeout)
        return self._is_set


def new_signal() -> Signal:
    """Return a signal for which the current task or thread can wait."""
    task = current_task()
    return threading.Event() if task is None else _TaskSignal(task)
