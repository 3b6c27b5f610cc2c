"""Limits the memory that parts of responses take up in all exchanges together."""

import threading

#: Bytes that each reservation has without asking the budget. Responses of this size are read even
#: while faulty upstreams have used up the budget.
FREE_BYTES = 16_384


class BodyBudget:
    """A number of bytes that exchanges reserve before they buffer part of a body.

    >>> budget = BodyBudget(10)
    >>> budget.reserve(8), budget.reserve(8)
    (True, False)
    >>> budget.release(8)
    >>> budget.reserve(8)
    True
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._reserved_bytes = 0
        self._lock = threading.Lock()

    @property
    def reserved_bytes(self) -> int:
        """Return how many bytes are reserved."""
        return self._reserved_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve the bytes, and return whether so many were left."""
        with self._lock:
            if self._reserved_bytes + size_bytes > self._limit_bytes:
                return False
            self._reserved_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Return reserved bytes."""
        with self._lock:
            self._reserved_bytes -= size_bytes


class BodyReservation:
    """What one exchange has buffered of a response, as far as it counts for the budget.

    >>> budget = BodyBudget(100_000)
    >>> reservation = BodyReservation(budget)
    >>> reservation.resize(20_000), budget.reserved_bytes
    (True, 3616)
    >>> reservation.resize(0), budget.reserved_bytes
    (True, 0)
    """

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._counted_bytes = 0

    def resize(self, size_bytes: int) -> bool:
        """Reserve as much as ``size_bytes`` take up in all; return whether so much was left."""
        counted_bytes = max(0, size_bytes - FREE_BYTES)
        added_bytes = counted_bytes - self._counted_bytes
        if added_bytes > 0 and not self._budget.reserve(added_bytes):
            return False
        if added_bytes < 0:
            self._budget.release(-added_bytes)
        self._counted_bytes = counted_bytes
        return True

    def release(self) -> None:
        """Return all that is reserved."""
        self.resize(0)
