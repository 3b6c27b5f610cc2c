"""The loop: runs tasks on one thread, and resumes them when what they wait for has happened."""

import heapq
import os
import select
import threading
import time
from collections import deque
from collections.abc import Callable, Mapping
from itertools import count

from greenlet import GreenletExit, getcurrent, greenlet

READABLE = select.EPOLLIN | select.EPOLLRDHUP
WRITABLE = select.EPOLLOUT

#: A timer entry: due time, a number that makes entries comparable, and the task.
_Timer = tuple[float, int, "Task"]


class Task(greenlet):  # type: ignore[misc]
    """A function that runs on a loop's thread and is suspended whenever it waits.

    Code in a task is written like code on a thread of its own, but it must wait only with the
    functions of this package: anything else that blocks, blocks all tasks.
    """

    def __init__(self, loop: "TaskLoop", function: Callable[[], None]) -> None:
        super().__init__(function)
        self.loop = loop
        #: Identifies what the task waits for; a wake-up for an earlier wait is ignored.
        self.awaited: object | None = None
        self.deadline_s: float | None = None
        #: Due time of the task's valid entry among the timers.
        self.timer_at_s: float | None = None


def current_task() -> Task | None:
    """Return the task that is running, or None on a thread that runs no loop."""
    current = getcurrent()
    return current if isinstance(current, Task) else None


class TaskLoop:
    """Runs tasks on one thread.

    A task that waits takes up some kilobytes, and no thread. ``report_error`` is called with
    an error that a task did not handle; the error ends only that task.
    """

    def __init__(self, name: str, report_error: Callable[[BaseException], None]) -> None:
        self._name = name
        self._report_error = report_error
        self._poll = select.epoll()
        self._wake_up_reader, self._wake_up_writer = os.pipe()
        os.set_blocking(self._wake_up_reader, False)
        os.set_blocking(self._wake_up_writer, False)
        self._poll.register(self._wake_up_reader, select.EPOLLIN)
        self._tasks_by_descriptor: dict[int, Task] = {}
        self._timers: list[_Timer] = []
        self._timer_numbers = count()
        self._new_functions: deque[Callable[[], None]] = deque()
        self._woken: deque[tuple[Task, object]] = deque()
        self._tasks: set[Task] = set()
        self._is_polling = False
        self._scheduler: greenlet | None = None

    @property
    def task_count(self) -> int:
        """Return the number of tasks that have not ended."""
        return len(self._tasks)

    def start(self) -> None:
        """Start the loop's thread."""
        threading.Thread(target=self._run_forever, name=self._name, daemon=True).start()

    def spawn(self, function: Callable[[], None]) -> None:
        """Run a function as a new task; may be called from any thread."""
        self._new_functions.append(function)
        self._interrupt_poll()

    def wake(self, task: Task, awaited: object) -> None:
        """Resume a task if it still waits for ``awaited``; may be called from any thread."""
        self._woken.append((task, awaited))
        self._interrupt_poll()

    def suspend(self, task: Task, awaited: object, timeout_s: float | None) -> None:
        """Suspend the running task until it is woken for ``awaited`` or the time is over."""
        assert self._scheduler is not None
        task.awaited = awaited
        task.deadline_s = None
        if timeout_s is not None:
            task.deadline_s = time.monotonic() + timeout_s
            self._set_timer(task, task.deadline_s)
        try:
            self._scheduler.switch()
        finally:
            task.awaited = None

    def suspend_until_ready(
        self, task: Task, events_by_descriptor: Mapping[int, int], timeout_s: float | None
    ) -> list[int]:
        """Suspend the running task until a descriptor is ready; return those that are.

        The result is empty if ``timeout_s`` is over. No other task may wait for one of them.
        """
        ready: list[int] = []
        for descriptor, events in events_by_descriptor.items():
            self._watch(descriptor, events)
            self._tasks_by_descriptor[descriptor] = task
        try:
            self.suspend(task, ready, timeout_s)
        finally:
            for descriptor in events_by_descriptor:
                self._tasks_by_descriptor.pop(descriptor, None)
        return ready

    def _watch(self, descriptor: int, events: int) -> None:
        """Have the next poll report a descriptor, once."""
        mask = events | select.EPOLLONESHOT
        try:
            self._poll.modify(descriptor, mask)
        except FileNotFoundError:
            # The first wait for this descriptor since it was opened.
            self._poll.register(descriptor, mask)

    def _run_forever(self) -> None:
        self._scheduler = getcurrent()
        while True:
            try:
                self._run_once()
            except Exception as error:  # noqa: BLE001
                # Tasks report their own errors; whatever happened here must not end all of them.
                self._report_error(error)

    def _run_once(self) -> None:
        for descriptor, _ in self._poll_events():
            if descriptor == self._wake_up_reader:
                os.read(descriptor, 1_024)
                continue
            # No task runs before all events have been assigned: a task could close a descriptor
            # and another one open a new descriptor of the same number.
            task = self._tasks_by_descriptor.get(descriptor)
            if task is not None and isinstance(task.awaited, list):
                task.awaited.append(descriptor)
                self._woken.append((task, task.awaited))
        self._resume_woken()
        self._resume_timed_out()
        for _ in range(len(self._new_functions)):
            self._start_task(self._new_functions.popleft())

    def _poll_events(self) -> list[tuple[int, int]]:
        # Set before the queues are looked at: what is added later interrupts the poll.
        self._is_polling = True
        try:
            return self._poll.poll(self._poll_timeout_s())
        finally:
            self._is_polling = False

    def _poll_timeout_s(self) -> float | None:
        if self._woken or self._new_functions:
            return 0.0
        if not self._timers:
            return None
        return max(0.0, self._timers[0][0] - time.monotonic())

    def _interrupt_poll(self) -> None:
        if not self._is_polling:
            return
        try:
            os.write(self._wake_up_writer, b"\0")
        except BlockingIOError:
            # The pipe is full, so that the poll is interrupted anyway.
            return

    def _resume_woken(self) -> None:
        for _ in range(len(self._woken)):
            task, awaited = self._woken.popleft()
            if task.awaited is awaited:
                task.switch()

    def _resume_timed_out(self) -> None:
        now_s = time.monotonic()
        while self._timers and self._timers[0][0] <= now_s:
            due_at_s, _, task = heapq.heappop(self._timers)
            if task.timer_at_s != due_at_s:
                continue
            task.timer_at_s = None
            if task.awaited is None or task.deadline_s is None:
                continue
            if task.deadline_s <= now_s:
                task.switch()
            else:
                self._set_timer(task, task.deadline_s)

    def _set_timer(self, task: Task, due_at_s: float) -> None:
        """Have the task looked at when a time has come.

        A task has one valid timer. It is kept when the task waits again, so that a stream does not
        add one for each of its events.
        """
        if task.timer_at_s is not None and task.timer_at_s <= due_at_s:
            return
        task.timer_at_s = due_at_s
        heapq.heappush(self._timers, (due_at_s, next(self._timer_numbers), task))

    def _start_task(self, function: Callable[[], None]) -> None:
        def run() -> None:
            try:
                function()
            except GreenletExit:
                # The interpreter ends.
                pass
            except BaseException as error:  # noqa: BLE001
                # Whatever a task raises would otherwise end the loop, and with it all tasks.
                self._report_error(error)
            finally:
                self._tasks.discard(task)

        task = Task(self, run)
        self._tasks.add(task)
        task.switch()
