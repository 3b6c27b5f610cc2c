"""Limits the memory that callers' connections and the heads of their requests take up.

Handles the load of many callers who send heads piece by piece, or heads with as many fields as fit
into them: a field of six bytes takes up some 250 in tables and copies. A head beyond the free size
needs room, and keeps it until its request has been answered. Without room, the head that has been
unfinished for longest is given up for another one, and otherwise the new one is refused.
"""

import threading
import time
from collections.abc import Callable

#: What each connection takes up while it is idle or its request is awaited; 10 kB were measured.
CONNECTION_BYTES = 10_240
#: What each field of a head takes up in tables, beyond its bytes; 240 bytes were measured for the
#: smallest fields of a request in progress.
FIELD_BYTES = 256
#: How often the bytes of a head are held while its request is in progress.
_HEAD_COPIES = 3
#: What the head of each request may take up without asking; heads of usual callers take up less.
FREE_HEAD_BYTES = 16_384
#: Room is reserved in steps, so that not each line of a head asks for some.
_STEP_BYTES = 8_192
#: Limit for all connections and heads of a server. It is half of what the budget of bodies leaves
#: for the process: 3,000 idle connections take up 30 MB of it, and the largest head 2.4 MB.
DEFAULT_LIMIT_BYTES = 48 << 20
#: How long a head may be unfinished before another one can take its room.
_MIN_HEAD_AGE_S = 0.5


class ConnectionMemory:
    """A number of bytes for the connections and heads of one server.

    >>> memory = ConnectionMemory(FREE_HEAD_BYTES)
    >>> first, second = HeadMemory(memory, print), HeadMemory(memory, print)
    >>> first.add(10_000, fields=1), second.add(10_000, fields=1)
    (True, False)
    >>> first.release()
    >>> second.add(1, fields=0)
    True
    """

    def __init__(
        self,
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
        *,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._now_s = now_s
        self._lock = threading.Lock()
        self._reserved_bytes = 0
        #: When each head that is being read began to hold room, the oldest first.
        self._unfinished: dict[HeadMemory, float] = {}

    @property
    def reserved_bytes(self) -> int:
        """Return how many bytes are reserved."""
        return self._reserved_bytes

    def count_connection(self, change: int) -> None:
        """Add to the number of connections, which are limited by number elsewhere."""
        self.release(-change * CONNECTION_BYTES)

    def reserve(self, head: "HeadMemory", size_bytes: int) -> bool:
        """Reserve bytes for a head that is being read; return whether there was room."""
        while not self._reserve_if_possible(head, size_bytes):
            oldest = self._take_oldest_unfinished(head)
            if oldest is None:
                return False
            oldest.give_up()
        return True

    def release(self, size_bytes: int) -> None:
        """Return reserved bytes."""
        with self._lock:
            self._reserved_bytes -= size_bytes

    def finish(self, head: "HeadMemory") -> None:
        """Do not take the room of a head any more."""
        with self._lock:
            self._unfinished.pop(head, None)

    def _reserve_if_possible(self, head: "HeadMemory", size_bytes: int) -> bool:
        with self._lock:
            if self._reserved_bytes + size_bytes > self._limit_bytes:
                return False
            self._reserved_bytes += size_bytes
            self._unfinished.setdefault(head, self._now_s())
            return True

    def _take_oldest_unfinished(self, besides: "HeadMemory") -> "HeadMemory | None":
        """Return the head whose room may be taken, which cannot be finished any more."""
        latest_s = self._now_s() - _MIN_HEAD_AGE_S
        with self._lock:
            for head, began_at_s in self._unfinished.items():
                if head is not besides and began_at_s <= latest_s:
                    del self._unfinished[head]
                    head.is_given_up = True
                    return head
        return None


class HeadMemory:
    """What the head of one request takes up; ``stop_reading`` is called if its room is taken."""

    def __init__(self, memory: ConnectionMemory, stop_reading: Callable[[], None]) -> None:
        self._memory = memory
        self._stop_reading = stop_reading
        #: Whether another head has taken the room.
        self.is_given_up = False
        self._size_bytes = 0
        self._reserved_bytes = 0

    def add(self, size_bytes: int, *, fields: int) -> bool:
        """Count received bytes and fields; return whether there is room for them."""
        self._size_bytes += _HEAD_COPIES * size_bytes + FIELD_BYTES * fields
        missing_bytes = self._size_bytes - FREE_HEAD_BYTES - self._reserved_bytes
        if missing_bytes <= 0:
            return True
        step_bytes = max(_STEP_BYTES, missing_bytes)
        if not self._memory.reserve(self, step_bytes):
            return False
        self._reserved_bytes += step_bytes
        return True

    def finish(self) -> bool:
        """Keep the room until :meth:`release`; return False if it was taken before."""
        self._memory.finish(self)
        return not self.is_given_up

    def give_up(self) -> None:
        """Return the room, and read no more of the head."""
        self.release()
        self._stop_reading()

    def release(self) -> None:
        """Return the room."""
        self._memory.finish(self)
        reserved_bytes, self._reserved_bytes = self._reserved_bytes, 0
        self._memory.release(reserved_bytes)


class HeadLines:
    """Counts the lines of a head as they are read; takes the place of the reader of a connection.

    Raises :class:`HeadRefusedError` if there is no room for them.
    """

    def __init__(self, read_line: Callable[[int], bytes], head: HeadMemory) -> None:
        self._read_line = read_line
        self._head = head

    def readline(self, size: int = -1) -> bytes:
        """Return the next line with its end, or what comes first of its ``size`` bytes."""
        data = self._read_line(size)
        if not self._head.add(len(data), fields=data.endswith(b"\n")):
            raise HeadRefusedError
        return data


class HeadRefusedError(Exception):
    """There is no room for the head of a request, which is refused without being read."""
