"""Limits the memory that bodies take up in all exchanges together.

Handles the load of many callers with large bodies, whole or piece by piece, and of callers who do
not read their responses. The limit follows from the memory of the VM. At the limit nothing more is
read until there is room; room is taken from the connection that makes the least progress for what
it holds, if it is slower than the least pace, and given to the most urgent request first.
"""

import threading
import time
from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from azureturn.tasks import Signal, new_signal

#: Bytes that each reservation has without asking the budget. Bodies of this size are read even
#: while faulty upstreams or callers have used up the budget.
FREE_BYTES = 16_384
#: What bodies do not take up: the idle process, and heads, tasks and connections.
_OTHER_BYTES = 96_000_000
#: Share of the rest that bodies may take up; the other half is for copies on their way, and for
#: what the allocator and the kernel hold.
_BODY_SHARE = 0.5
#: Share of the budget that bodies of requests may take up. The rest is always left for responses:
#: a request that has run and whose response finds no room would have run in vain.
_REQUEST_SHARE = 0.75
#: Some bodies of the largest size fit even into the smallest VM.
_MIN_LIMIT_BYTES = 24 << 20
#: Limit for responses if the memory of the VM is unknown.
_DEFAULT_LIMIT_BYTES = 32 << 20
#: Pace below which a connection may lose its room to one that waits for it, and the time over which
#: the pace is measured. A body of the largest size would take 256 s at this pace, far longer than
#: any request may take.
LEAST_PACE_BYTES_PER_S = 16_384
_PACE_WINDOW_S = 0.5
#: How often a request that waits for room looks whether a connection is too slow.
_CHECK_INTERVAL_S = 0.1


class Reclaimed(Protocol):
    """Is called with the bytes that a connection held when its room is taken."""

    def __call__(self, held_bytes: int) -> None:
        """Close the connection, or stop reading from it; this must not wait."""


@dataclass(order=True)
class _Waiter:
    """A request that waits for room."""

    rank: int
    size_bytes: int
    number: int
    signal: Signal | None = field(default=None, compare=False)


class BodyBudget:
    """A number of bytes that exchanges reserve before they buffer part of a body.

    ``request_limit_bytes`` is the part of it that bodies of requests may take up; with None these
    are not counted.

    >>> budget = BodyBudget(10)
    >>> budget.reserve(8), budget.reserve(8)
    (True, False)
    >>> budget.release(8)
    >>> budget.reserve(8)
    True
    """

    def __init__(
        self,
        limit_bytes: int,
        request_limit_bytes: int | None = None,
        *,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.request_limit_bytes = request_limit_bytes
        self.now_s = now_s
        self._reserved_bytes = 0
        self._request_bytes = 0
        self._lock = threading.Lock()
        self._waiting: list[_Waiter] = []
        self._numbers = count()
        self._reservations: set[BodyReservation] = set()

    @classmethod
    def for_memory(cls, memory_mb: float | None) -> "BodyBudget":
        """Return the budget of a VM with so much memory.

        >>> BodyBudget.for_memory(300).limit_bytes
        102000000
        """
        if memory_mb is None:
            return cls(_DEFAULT_LIMIT_BYTES)
        left_bytes = int(memory_mb * 1_000_000) - _OTHER_BYTES
        limit_bytes = max(_MIN_LIMIT_BYTES, int(_BODY_SHARE * left_bytes))
        return cls(limit_bytes, int(_REQUEST_SHARE * limit_bytes))

    @property
    def reserved_bytes(self) -> int:
        """Return how many bytes are reserved."""
        return self._reserved_bytes

    def reserve(self, size_bytes: int, *, for_request: bool = False) -> bool:
        """Reserve the bytes, and return whether so many were left."""
        with self._lock:
            if self._reserved_bytes + size_bytes > self.limit_bytes:
                return False
            if for_request:
                assert self.request_limit_bytes is not None
                if self._request_bytes + size_bytes > self.request_limit_bytes:
                    return False
                self._request_bytes += size_bytes
            self._reserved_bytes += size_bytes
            return True

    def release(self, size_bytes: int, *, for_request: bool = False) -> None:
        """Return reserved bytes."""
        with self._lock:
            self._reserved_bytes -= size_bytes
            self._request_bytes -= size_bytes if for_request else 0
        self._wake_first()

    def add(self, reservation: "BodyReservation") -> None:
        """Make it possible to take the room of a connection."""
        self._reservations.add(reservation)

    def discard(self, reservation: "BodyReservation") -> None:
        """Take the room of a connection no longer."""
        self._reservations.discard(reservation)

    def wait_for_room(self, reservation: "BodyReservation", size_bytes: int, wait_s: float) -> bool:
        """Reserve the bytes as soon as there is room; return False if there is none in time.

        More urgent requests come first, and among equally urgent ones those that need less.
        """
        ends_at_s = self.now_s() + wait_s
        waiter = _Waiter(reservation.rank, size_bytes, next(self._numbers))
        for_request = reservation.is_for_request
        insort(self._waiting, waiter)
        try:
            while True:
                is_first = self._waiting[0] is waiter
                if is_first and self.reserve(size_bytes, for_request=for_request):
                    return True
                if is_first and self._reclaim_slowest(
                    reservation.rank, only_requests=self._lacks_request_share(size_bytes)
                ):
                    continue
                left_s = ends_at_s - self.now_s()
                if left_s <= 0:
                    return False
                signal = new_signal()
                waiter.signal = signal
                signal.wait(min(left_s, _CHECK_INTERVAL_S))
        finally:
            self._waiting.remove(waiter)
            self._wake_first()

    def _lacks_request_share(self, size_bytes: int) -> bool:
        """Return whether only the share of requests is used up, not the whole budget."""
        return self._reserved_bytes + size_bytes <= self.limit_bytes

    def _wake_first(self) -> None:
        if self._waiting and self._waiting[0].signal is not None:
            self._waiting[0].signal.set()

    def _reclaim_slowest(self, rank: int, *, only_requests: bool) -> bool:
        """Take the room of one connection for a request of a rank; return whether there was one.

        Connections of less urgent requests lose theirs also if they are not slow.
        """
        now_s = self.now_s()
        candidates: list[tuple[int, float, int, BodyReservation]] = []
        for reservation in self._reservations:
            if not reservation.counted_bytes or (only_requests and not reservation.is_for_request):
                continue
            pace = reservation.measure_pace(now_s)
            is_slow = pace is not None and pace < LEAST_PACE_BYTES_PER_S
            is_slow = is_slow and reservation.is_moving
            if is_slow or reservation.rank > rank:
                progress = (pace or 0.0) / reservation.counted_bytes
                # Slow connections first, and then the least urgent ones.
                order = 0 if is_slow else 1
                candidates.append((order, progress, -reservation.rank, reservation))
        if not candidates:
            return False
        min(candidates, key=lambda row: row[:3])[3].reclaim()
        return True


class BodyReservation:
    """What one exchange has buffered of a body, as far as it counts for the budget.

    >>> budget = BodyBudget(100_000)
    >>> reservation = BodyReservation(budget)
    >>> reservation.resize(20_000), budget.reserved_bytes
    (True, 3616)
    >>> reservation.resize(0), budget.reserved_bytes
    (True, 0)
    """

    def __init__(self, budget: BodyBudget, *, rank: int = 0, is_for_request: bool = False) -> None:
        self._budget = budget
        #: Urgency rank of the request; the lower, the more urgent.
        self.rank = rank
        self.is_for_request = is_for_request
        self.counted_bytes = 0
        #: Whether bytes are being received from the caller, or sent to it.
        self.is_moving = False
        self._on_reclaimed: Reclaimed | None = None
        self._progress_bytes = 0
        self._measured_bytes = 0
        self._measured_at_s = 0.0
        self._pace: float | None = None

    def resize(self, size_bytes: int) -> bool:
        """Reserve as much as ``size_bytes`` take up in all; return whether so much was left."""
        return self.resize_or_wait(size_bytes, wait_s=None)

    def resize_or_wait(self, size_bytes: int, *, wait_s: float | None) -> bool:
        """Reserve as :meth:`resize` does, but wait up to ``wait_s`` for room; None not to wait."""
        if self.is_for_request and self._budget.request_limit_bytes is None:
            return True
        counted_bytes = max(0, size_bytes - FREE_BYTES)
        added_bytes = counted_bytes - self.counted_bytes
        if added_bytes < 0:
            self._budget.release(-added_bytes, for_request=self.is_for_request)
        elif added_bytes > 0:
            if wait_s is None:
                has_room = self._budget.reserve(added_bytes, for_request=self.is_for_request)
            else:
                has_room = self._budget.wait_for_room(self, added_bytes, wait_s)
            if not has_room:
                return False
            # The room may have been taken during the wait, so this is not the value from before.
            counted_bytes = self.counted_bytes + added_bytes
        self.counted_bytes = counted_bytes
        return True

    def release(self) -> None:
        """Return all that is reserved."""
        self.keep()
        self.resize(0)

    def allow_reclaim(self, on_reclaimed: Reclaimed, *, is_moving: bool) -> None:
        """Let the budget take the room from now on, for a more urgent request.

        With ``is_moving``, the budget may also take it for any other request while the connection
        is slower than the least pace.
        """
        self.is_moving = is_moving
        self._on_reclaimed = on_reclaimed
        self._measured_bytes, self._measured_at_s = self._progress_bytes, self._budget.now_s()
        self._pace = None
        self._budget.add(self)

    def keep(self) -> None:
        """Do not let the budget take the room any more."""
        self._on_reclaimed = None
        self._budget.discard(self)

    def record_progress(self, size_bytes: int) -> None:
        """Record that bytes have been received from the caller, or sent to it."""
        self._progress_bytes += size_bytes

    def measure_pace(self, now_s: float) -> float | None:
        """Return the latest pace in bytes per second; None if it is not known yet."""
        elapsed_s = now_s - self._measured_at_s
        if elapsed_s >= _PACE_WINDOW_S:
            self._pace = (self._progress_bytes - self._measured_bytes) / elapsed_s
            self._measured_bytes, self._measured_at_s = self._progress_bytes, now_s
        return self._pace

    def reclaim(self) -> None:
        """Take the room."""
        on_reclaimed, held_bytes = self._on_reclaimed, self.counted_bytes
        self.release()
        if on_reclaimed is not None:
            on_reclaimed(held_bytes)
