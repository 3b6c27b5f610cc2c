"""Runs the core: one lock around it, the clock beside it, and its actions carried out."""

import queue
import threading
import time
from collections.abc import Callable
from typing import TypeVar

from azureturn.errors import ErrorKind, RunState
from azureturn.framework import Action, Core, Event, Refuse, RequestAction, Tick

_MS_PER_S = 1_000
#: Weight of the latest tick in the mean lateness.
_LATENESS_WEIGHT = 0.1
#: A tick counts as no later than this: a VM that stood still once does not lack processor time.
_LATENESS_LIMIT_MS = 200.0
_ActionType = TypeVar("_ActionType", bound=Action)
_Value = TypeVar("_Value")


def now_ms() -> int:
    """Return this VM's clock since boot, which also runs while the VM is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class CoreRuntime:
    """The one place where the core meets threads.

    Requests register a mailbox and wait there; actions for a request go to its mailbox, all
    others to the function registered for their type. Nothing is done while the lock is held.
    """

    def __init__(self, core: Core, *, tick_interval_ms: int) -> None:
        self.core = core
        self._lock = threading.Lock()
        self._mailboxes: dict[str, queue.SimpleQueue[RequestAction]] = {}
        self._performers: dict[type[Action], Callable[..., None]] = {}
        self._tick_interval_s = tick_interval_ms / _MS_PER_S
        self._stopped = threading.Event()
        self._lateness_ms = 0.0

    @property
    def lateness_ms(self) -> float:
        """Return by how much ticks come late of late: a VM without processor time shows here."""
        return self._lateness_ms

    def perform(
        self, action_type: type[_ActionType], performer: Callable[[_ActionType], None]
    ) -> None:
        """Register what carries out actions of a type; it must not block."""
        self._performers[action_type] = performer

    def open_mailbox(self, request_id: str) -> "queue.SimpleQueue[RequestAction]":
        """Return the queue to which this request's actions will go."""
        mailbox: queue.SimpleQueue[RequestAction] = queue.SimpleQueue()
        self._mailboxes[request_id] = mailbox
        return mailbox

    def close_mailbox(self, request_id: str) -> None:
        """Forget a request's mailbox."""
        self._mailboxes.pop(request_id, None)

    def has_mailbox(self, request_id: str) -> bool:
        """Return whether a request of this id is in progress."""
        return request_id in self._mailboxes

    def deliver(self, action: RequestAction) -> None:
        """Hand a request an action that an adapter decided on, if it still waits for any."""
        mailbox = self._mailboxes.get(action.request_id)
        if mailbox is not None:
            mailbox.put(action)

    @property
    def requests_in_progress(self) -> int:
        """Return how many mailboxes are open."""
        return len(self._mailboxes)

    def submit(self, event: Event) -> tuple[Action, ...]:
        """Give the core an event, carry out what it asks for, and return those actions."""
        with self._lock:
            actions = self.core.handle(event, now_ms())
        for action in actions:
            self._carry_out(action)
        return actions

    def inspect(self, reader: Callable[[Core], _Value]) -> _Value:
        """Return what ``reader`` reads from the core while nothing changes it."""
        with self._lock:
            return reader(self.core)

    def start(self) -> None:
        """Begin to give the core the time."""
        threading.Thread(target=self._tick_forever, name="core-ticks", daemon=True).start()

    def stop(self) -> None:
        """End the ticks."""
        self._stopped.set()

    def _carry_out(self, action: Action) -> None:
        performer = self._performers.get(type(action))
        if performer is not None:
            performer(action)
            return
        if isinstance(action, RequestAction):
            self.deliver(action)

    def _tick_forever(self) -> None:
        due_at_ms = now_ms() + self._tick_interval_s * _MS_PER_S
        while not self._stopped.wait(self._tick_interval_s):
            late_ms = min(_LATENESS_LIMIT_MS, max(0.0, now_ms() - due_at_ms))
            self._lateness_ms += _LATENESS_WEIGHT * (late_ms - self._lateness_ms)
            self.submit(Tick())
            due_at_ms = now_ms() + self._tick_interval_s * _MS_PER_S


def next_action(
    mailbox: "queue.SimpleQueue[RequestAction]", request_id: str, *, wait_ms: int
) -> RequestAction:
    """Return the request's next action; a core that says nothing in time is an internal error."""
    try:
        return mailbox.get(timeout=wait_ms / _MS_PER_S)
    except queue.Empty:
        return Refuse(request_id, ErrorKind.INTERNAL, 0, RunState.UNKNOWN)
