"""Room in memory for the parts of one stream that its caller has not read yet."""

from collections.abc import Callable

from azureturn.gateway.exchange._body_budget import BodyBudget, BodyReservation
from azureturn.gateway.exchange._room_reporter import RoomReporter

_PHASE = "streaming"
#: What an event takes up beyond its bytes until the part in which it came has been written.
EVENT_BYTES = 128
_EVENT_END = b"\n\n"
#: How long a part waits for room before its stream is cut. It is in memory already, and not counted
#: during the wait: with 1 s, 240 streams that are not read took a VM of 160 MB to 180 MB.
_WAIT_S = 0.1


class StreamRoom:
    """The room of one stream, which it loses if its caller reads too slowly while others wait.

    A part that the kernel takes at once needs none.
    """

    def __init__(
        self, budget: BodyBudget, reporter: RoomReporter, reset: Callable[[], None]
    ) -> None:
        # The rank of the most urgent requests: a stream that is read fast enough is never cut.
        self._reservation = BodyReservation(budget, rank=0)
        self._reporter = reporter
        self._reset = reset
        #: The events that are being written.
        self.part = b""

    def begin(self, size_bytes: int) -> None:
        """Count a part that the caller has not taken; raises ``TimeoutError`` without room."""
        size_bytes += EVENT_BYTES * self.part.count(_EVENT_END)
        if not self._reservation.resize_or_wait(size_bytes, wait_s=_WAIT_S):
            self._reporter.report_reclaimed(_PHASE, self._reservation, size_bytes)
            self._reset()
            raise TimeoutError("no room for a part of a stream that its caller does not read")
        if self._reservation.counted_bytes:
            self._reservation.allow_reclaim(self._reclaim, is_moving=True)

    def record_progress(self, size_bytes: int) -> None:
        """Record that the caller has taken bytes."""
        self._reservation.record_progress(size_bytes)

    def end(self) -> None:
        """Return the room of a part."""
        self._reservation.release()

    def _reclaim(self, held_bytes: int) -> None:
        self._reporter.report_reclaimed(_PHASE, self._reservation, held_bytes)
        self._reset()
