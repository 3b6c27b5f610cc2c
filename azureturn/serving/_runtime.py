"""Runs the core: serialises access to it, sends it ticks, and executes its actions.

The core decides which actions follow from an event, and does no I/O itself.
"""

import threading
import time
from collections.abc import Callable
from functools import partial
from typing import TypeVar

from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, Core, Event, Refuse, RequestAction, Tick
from azureturn.tasks import Mailbox, Priority, TaskLoop, sleep

_MS_PER_S = 1_000
#: Weight of the latest tick in the exponential moving average of the lateness.
_LATENESS_WEIGHT = 0.1
#: Maximum lateness counted for one tick, so that a single pause of the VM is not taken for a
#: lack of processor time.
_LATENESS_LIMIT_MS = 200.0
_ActionType = TypeVar("_ActionType", bound=Action)
_Value = TypeVar("_Value")


def now_ms() -> int:
    """Return the time since boot in ms, including time during which the VM was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class CoreRuntime:
    """Makes the core usable from many threads and tasks.

    Each request opens a mailbox, in which it waits for its actions. An action is passed to
    the function registered for its type, or else, if it belongs to a request, to that request's
    mailbox. Actions are executed after the lock on the core has been released.
    """

    def __init__(
        self, core: Core, *, tick_interval_ms: int, report_error: Callable[[Exception], None]
    ) -> None:
        self.core = core
        self._report_error = report_error
        self._lock = threading.Lock()
        self._mailboxes: dict[str, Mailbox[RequestAction]] = {}
        self._handlers: dict[type[Action], Callable[..., None]] = {}
        self._tick_interval_s = tick_interval_ms / _MS_PER_S
        self._stopped = threading.Event()
        self._lateness_ms = 0.0

    @property
    def lateness_ms(self) -> float:
        """Return the average lateness of recent ticks, which is high on an overloaded VM.

        On a loop, it includes the shortest time that a ready task of a request waited.
        """
        return self._lateness_ms

    def register_handler(
        self, action_type: type[_ActionType], handler: Callable[[_ActionType], None]
    ) -> None:
        """Register the function that executes actions of a type; it must not block."""
        self._handlers[action_type] = handler

    def open_mailbox(self, request_id: str) -> Mailbox[RequestAction]:
        """Create and return the mailbox for this request's actions."""
        mailbox: Mailbox[RequestAction] = Mailbox()
        self._mailboxes[request_id] = mailbox
        return mailbox

    def close_mailbox(self, request_id: str) -> None:
        """Remove a request's mailbox."""
        self._mailboxes.pop(request_id, None)

    def has_mailbox(self, request_id: str) -> bool:
        """Return whether a request with this id is in progress."""
        return request_id in self._mailboxes

    def deliver(self, action: RequestAction) -> None:
        """Put an action into its request's mailbox, if the request is still in progress."""
        mailbox = self._mailboxes.get(action.request_id)
        if mailbox is not None:
            mailbox.put(action)

    @property
    def requests_in_progress(self) -> int:
        """Return how many mailboxes are open."""
        return len(self._mailboxes)

    def submit(self, event: Event) -> tuple[Action, ...]:
        """Pass an event to the core, execute the resulting actions, and return them."""
        with self._lock:
            actions = self.core.handle(event, now_ms())
        for action in actions:
            self._execute(action)
        return actions

    def inspect(self, reader: Callable[[Core], _Value]) -> _Value:
        """Call ``reader`` with the core while holding the lock, and return its result."""
        with self._lock:
            return reader(self.core)

    def start(self, loop: TaskLoop | None = None) -> None:
        """Start sending ticks to the core, in a task of ``loop`` or else on a thread."""
        if loop is None:
            threading.Thread(target=self._tick_loop, name="core-ticks", daemon=True).start()
        else:
            loop.spawn(partial(self._tick_loop, loop), priority=Priority.CONTROL)

    def stop(self) -> None:
        """Stop sending ticks."""
        self._stopped.set()

    def _execute(self, action: Action) -> None:
        handler = self._handlers.get(type(action))
        if handler is not None:
            handler(action)
            return
        if isinstance(action, RequestAction):
            self.deliver(action)

    def _tick_loop(self, loop: TaskLoop | None = None) -> None:
        due_at_ms = now_ms() + self._tick_interval_s * _MS_PER_S
        while not self._stopped.is_set():
            sleep(self._tick_interval_s)
            lateness_ms = max(0.0, now_ms() - due_at_ms)
            lag_ms, delay_ms = int(lateness_ms), 0
            if loop is not None:
                delay_ms = int(_MS_PER_S * (loop.lag.take_shortest_delay_s() or 0.0))
                lag_ms += int(_MS_PER_S * loop.longest_wait_s)
            self._record_lateness(lateness_ms + delay_ms)
            try:
                self.submit(Tick(lag_ms, delay_ms))
            except Exception as error:  # noqa: BLE001
                # Without ticks no request times out and no peer hears of this VM.
                self._report_error(error)
            due_at_ms = now_ms() + self._tick_interval_s * _MS_PER_S

    def _record_lateness(self, lateness_ms: float) -> None:
        limited_ms = min(_LATENESS_LIMIT_MS, lateness_ms)
        self._lateness_ms += _LATENESS_WEIGHT * (limited_ms - self._lateness_ms)


def next_action(mailbox: Mailbox[RequestAction], request_id: str, *, wait_ms: int) -> RequestAction:
    """Return the request's next action, or a refusal of kind ``internal`` after ``wait_ms``."""
    try:
        return mailbox.get(timeout_s=wait_ms / _MS_PER_S)
    except TimeoutError:
        return Refuse(request_id, ErrorKind.INTERNAL, 0, RunState.UNKNOWN)
