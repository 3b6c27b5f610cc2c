"""Mailboxes: queues from which a task or a thread takes what others put in."""

import threading
import time
from collections import deque
from typing import Generic, TypeVar

from azureturn.tasks._signals import Signal, new_signal

_Item = TypeVar("_Item")


class MailboxFullError(Exception):
    """The mailbox contains as many items as it may."""


class Mailbox(Generic[_Item]):
    """A queue; any thread may put items in, and tasks or threads wait for them.

    >>> mailbox = Mailbox(limit=1)
    >>> mailbox.put("a")
    >>> mailbox.get(timeout_s=1.0)
    'a'
    """

    def __init__(self, *, limit: int | None = None) -> None:
        self._limit = limit
        self._items: deque[_Item] = deque()
        self._waiting: deque[Signal] = deque()
        self._lock = threading.Lock()

    def put(self, item: _Item) -> None:
        """Add an item without blocking; raises :class:`MailboxFullError` beyond the limit."""
        with self._lock:
            if self._limit is not None and len(self._items) >= self._limit:
                raise MailboxFullError
            self._items.append(item)
            signal = self._waiting.popleft() if self._waiting else None
        if signal is not None:
            signal.set()

    def get(self, *, timeout_s: float | None = None) -> _Item:
        """Return the next item; raises ``TimeoutError`` if there is none in time."""
        deadline_s = None if timeout_s is None else time.monotonic() + timeout_s
        while True:
            with self._lock:
                if self._items:
                    return self._items.popleft()
                signal = new_signal()
                self._waiting.append(signal)
            left_s = None if deadline_s is None else deadline_s - time.monotonic()
            if not signal.wait(left_s) and self._withdraw(signal):
                raise TimeoutError

    def _withdraw(self, signal: Signal) -> bool:
        """Stop waiting; return False if an item has arrived for this signal after all."""
        with self._lock:
            if signal not in self._waiting:
                return False
            self._waiting.remove(signal)
            return True
