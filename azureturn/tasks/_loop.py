"""The loop: runs tasks on one thread, and resumes them when what they wait for has happened."""

import heapq
import os
import select
import threading
import time
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from enum import IntEnum
from itertools import count

from greenlet import GreenletExit, getcurrent, greenlet

from azureturn.tasks._lag import LagMeter

READABLE = select.EPOLLIN | select.EPOLLRDHUP
WRITABLE = select.EPOLLOUT
#: The other end has shut its connection down, or the connection has failed.
HUNG_UP = select.EPOLLRDHUP
#: What epoll reports whether it was asked for or not.
_FAILED = select.EPOLLHUP | select.EPOLLERR
#: How long ready tasks are resumed before the loop looks for new events. It bounds how long a task
#: of the higher priority waits for those of the lower one, together with the longest step of one.
_POLL_INTERVAL_S = 0.01

#: Tasks that are kept for the next function after theirs has ended. A new one costs the operating
#: system's calls that map and unmap its stack, and the page faults of its first use.
_MAX_IDLE_TASKS = 16

#: A timer entry: due time, a number that makes entries comparable, and the task.
_Timer = tuple[float, int, "Task"]


class Priority(IntEnum):
    """Which of the ready tasks are resumed first."""

    #: What keeps the process informed and in control, such as ticks and changes of the store.
    CONTROL = 0
    REQUEST = 1
    #: Long computations, while anything else is ready.
    BACKGROUND = 2


class Task(greenlet):  # type: ignore[misc]
    """A function that runs on a loop's thread and is suspended whenever it waits.

    Code in a task is written like code on a thread of its own, but it must wait only with the
    functions of this package: anything else that blocks, blocks all tasks.
    """

    def __init__(self, loop: "TaskLoop", function: Callable[[], None], priority: Priority) -> None:
        super().__init__(function)
        self.loop = loop
        #: What the task runs; None while it is idle.
        self.function: Callable[[], None] | None = None
        self.priority = priority
        #: Identifies what the task waits for; a wake-up for an earlier wait is ignored.
        self.awaited: object | None = None
        self.deadline_s: float | None = None
        #: Due time of the task's valid entry among the timers.
        self.timer_at_s: float | None = None
        #: Since when the task is known to be ready; None unless it is about to be resumed.
        self.ready_since_s: float | None = None


class _Descriptor:
    """Who waits for events of a file descriptor: one task, one callback, or both."""

    def __init__(self) -> None:
        self.task: Task | None = None
        self.task_events = 0
        self.callback: Callable[[], None] | None = None
        self.callback_events = 0

    @property
    def events(self) -> int:
        return self.task_events | self.callback_events


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
        self._descriptors: dict[int, _Descriptor] = {}
        self._timers: list[_Timer] = []
        self._timer_numbers = count()
        #: Filled by any thread; the loop's own thread moves it to the ready tasks.
        self._new_functions: deque[tuple[Callable[[], None], Priority]] = deque()
        self._woken: deque[tuple[Task, object]] = deque()
        self._ready: dict[Priority, deque[Task]] = {priority: deque() for priority in Priority}
        self._tasks: set[Task] = set()
        #: Tasks whose function has ended, to be given another one.
        self._idle_tasks: list[Task] = []
        self._is_polling = False
        self._is_stopped = False
        self._scheduler: greenlet | None = None
        self._lag = LagMeter(time.monotonic())

    @property
    def task_count(self) -> int:
        """Return the number of tasks that have not ended."""
        return len(self._tasks)

    @property
    def arrived_since_s(self) -> float:
        """Return when the events found by the latest poll may have happened, at the earliest."""
        return self._lag.arrived_since_s

    @property
    def longest_wait_s(self) -> float:
        """Return for how long the first of the ready tasks of requests has been ready."""
        waiting = self._ready[Priority.REQUEST]
        since_s = waiting[0].ready_since_s if waiting else None
        return 0.0 if since_s is None else time.monotonic() - since_s

    @property
    def lag(self) -> LagMeter:
        """Return the measure of how late tasks are resumed."""
        return self._lag

    def start(self) -> None:
        """Start the loop's thread."""
        threading.Thread(target=self._run_forever, name=self._name, daemon=True).start()

    def stop(self) -> None:
        """End the loop's thread after its current turn; tasks that wait are not resumed."""
        self._is_stopped = True
        self._interrupt_poll()

    def spawn(self, function: Callable[[], None], *, priority: Priority = Priority.REQUEST) -> None:
        """Run a function as a new task; may be called from any thread."""
        self._new_functions.append((function, priority))
        self._interrupt_poll()

    def wake(self, task: Task, awaited: object) -> None:
        """Resume a task if it still waits for ``awaited``; may be called from any thread."""
        self._woken.append((task, awaited))
        self._interrupt_poll()

    def watch(self, descriptor: int, events: int, callback: Callable[[], None]) -> None:
        """Call a function on the loop once a descriptor is ready; call this on the loop.

        The function must not wait. A task may wait for the same descriptor meanwhile.
        """
        entry = self._descriptors.setdefault(descriptor, _Descriptor())
        entry.callback, entry.callback_events = callback, events
        self._arm(descriptor, entry)

    def unwatch(self, descriptor: int) -> None:
        """Do not call the function of :meth:`watch` any more; call this before the close."""
        entry = self._descriptors.get(descriptor)
        if entry is not None:
            entry.callback, entry.callback_events = None, 0
            self._forget_unused(descriptor, entry)

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
            entry = self._descriptors.setdefault(descriptor, _Descriptor())
            entry.task, entry.task_events = task, events
            self._arm(descriptor, entry)
        try:
            self.suspend(task, ready, timeout_s)
        finally:
            for descriptor in events_by_descriptor:
                entry = self._descriptors[descriptor]
                entry.task, entry.task_events = None, 0
                self._forget_unused(descriptor, entry)
        return ready

    def _arm(self, descriptor: int, entry: _Descriptor) -> None:
        """Have the next poll report a descriptor, once."""
        mask = entry.events | select.EPOLLONESHOT
        try:
            self._poll.modify(descriptor, mask)
        except FileNotFoundError:
            # The first wait for this descriptor since it was opened.
            self._poll.register(descriptor, mask)

    def _forget_unused(self, descriptor: int, entry: _Descriptor) -> None:
        if entry.task is None and entry.callback is None:
            self._descriptors.pop(descriptor, None)

    def _run_forever(self) -> None:
        self._scheduler = getcurrent()
        while not self._is_stopped:
            try:
                self._run_once()
            except Exception as error:  # noqa: BLE001
                # Tasks report their own errors; whatever happened here must not end all of them.
                self._report_error(error)

    def _run_once(self) -> None:
        self._find_events()
        if self._is_stopped:
            return
        self._add_woken()
        self._add_timed_out()
        self._resume_ready()

    def _find_events(self) -> None:
        # Set before the queues are looked at: what is added later interrupts the poll.
        self._is_polling = True
        timeout_s = self._poll_timeout_s()
        self._lag.begin_poll(time.monotonic(), timeout_s)
        try:
            events = self._poll.poll(timeout_s)
        finally:
            self._is_polling = False
        self._lag.end_poll(time.monotonic(), found_events=bool(events))
        # No task runs before all events have been assigned: a task could close a descriptor and
        # another one open a new descriptor of the same number.
        callbacks = [
            callback
            for descriptor, mask in events
            if (callback := self._assign_event(descriptor, mask)) is not None
        ]
        for callback in callbacks:
            callback()

    def _assign_event(self, descriptor: int, mask: int) -> Callable[[], None] | None:
        """Have the task that waits for a descriptor resumed; return a callback for its event."""
        if descriptor == self._wake_up_reader:
            os.read(descriptor, 1_024)
            return None
        entry = self._descriptors.get(descriptor)
        if entry is None:
            return None
        callback = None
        if entry.callback is not None and mask & (entry.callback_events | _FAILED):
            callback = entry.callback
            entry.callback, entry.callback_events = None, 0
        task = entry.task
        if task is not None and mask & (entry.task_events | _FAILED):
            entry.task_events = 0
            if isinstance(task.awaited, list):
                task.awaited.append(descriptor)
                self._add_ready(task, self._lag.found_s)
        if entry.events:
            with suppress(OSError):
                self._arm(descriptor, entry)
        self._forget_unused(descriptor, entry)
        return callback

    def _poll_timeout_s(self) -> float | None:
        if self._is_stopped or self._woken or self._new_functions or any(self._ready.values()):
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

    def _add_ready(self, task: Task, since_s: float) -> None:
        if task.ready_since_s is None:
            task.ready_since_s = since_s
            self._ready[task.priority].append(task)

    def _add_woken(self) -> None:
        """Add the tasks that were woken or are new to the ready ones."""
        for _ in range(len(self._woken)):
            task, awaited = self._woken.popleft()
            if task.awaited is awaited:
                self._add_ready(task, time.monotonic())
        for _ in range(len(self._new_functions)):
            function, priority = self._new_functions.popleft()
            self._add_ready(self._new_task(function, priority), time.monotonic())

    def _add_timed_out(self) -> None:
        """Add the tasks whose time was over when the latest poll looked for events.

        What happened before is then known: an event that was not read in time because the loop was
        busy is not taken for a timeout.
        """
        polled_s = self._lag.polled_s
        while self._timers and self._timers[0][0] <= polled_s:
            due_at_s, _, task = heapq.heappop(self._timers)
            if task.timer_at_s != due_at_s:
                continue
            task.timer_at_s = None
            if task.awaited is None or task.deadline_s is None:
                continue
            if task.deadline_s <= polled_s:
                self._add_ready(task, self._lag.found_s)
            else:
                self._set_timer(task, task.deadline_s)

    def _resume_ready(self) -> None:
        """Resume ready tasks, those of higher priority first, until it is time for a poll."""
        poll_at_s = time.monotonic() + _POLL_INTERVAL_S
        # A task that has not started yet counts as false.
        while not self._is_stopped and (task := self._next_ready()) is not None:
            assert task.ready_since_s is not None
            now_s = time.monotonic()
            if task.priority is Priority.REQUEST:
                self._lag.record_delay(now_s - task.ready_since_s)
            task.ready_since_s = None
            task.switch()
            if time.monotonic() >= poll_at_s:
                return
            self._add_woken()

    def _next_ready(self) -> Task | None:
        for tasks in self._ready.values():
            if tasks:
                return tasks.popleft()
        return None

    def _set_timer(self, task: Task, due_at_s: float) -> None:
        """Have the task looked at when a time has come.

        A task has one valid timer. It is kept when the task waits again, so that a stream does not
        add one for each of its events.
        """
        if task.timer_at_s is not None and task.timer_at_s <= due_at_s:
            return
        task.timer_at_s = due_at_s
        heapq.heappush(self._timers, (due_at_s, next(self._timer_numbers), task))

    def _new_task(self, function: Callable[[], None], priority: Priority) -> Task:
        if self._idle_tasks:
            task = self._idle_tasks.pop()
        else:
            task = Task(self, lambda: self._run_task(task), priority)
        task.function, task.priority = function, priority
        self._tasks.add(task)
        return task

    def _run_task(self, task: Task) -> None:
        """Run the task's function, and those that it is given while it is idle after that."""
        assert self._scheduler is not None
        while True:
            try:
                assert task.function is not None
                task.function()
            except GreenletExit:
                # The interpreter ends.
                return
            except BaseException as error:  # noqa: BLE001
                # Whatever a task raises would otherwise end the loop, and with it all tasks.
                self._report_error(error)
            finally:
                task.function = None
                self._tasks.discard(task)
            if len(self._idle_tasks) >= _MAX_IDLE_TASKS:
                return
            self._idle_tasks.append(task)
            try:
                self._scheduler.switch()
            except GreenletExit:
                return
