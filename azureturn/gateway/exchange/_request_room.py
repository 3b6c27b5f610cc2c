"""Room in memory for the body of one request, from its reading until it is needed no more."""

from collections.abc import Callable

from azureturn.errors import DEFAULT_RETRY_AFTER_MS, ErrorKind, RefusedError
from azureturn.gateway.exchange._body_budget import FREE_BYTES, BodyBudget, BodyReservation
from azureturn.gateway.exchange._caller import CallerChannel
from azureturn.gateway.exchange._room_reporter import RoomReporter

_MS_PER_S = 1_000
#: How long a request waits for room if nothing else limits that.
_MAX_WAIT_S = 15.0


class RequestRoom:
    """The room of one request's body, which it loses if its caller makes no progress.

    While the request waits to be sent, or its body is kept only for a further attempt, a more
    urgent request may take the room.
    """

    free_bytes = FREE_BYTES

    def __init__(
        self,
        budget: BodyBudget,
        caller: CallerChannel,
        reporter: RoomReporter,
        *,
        rank: int,
        caller_timeout_ms: int | None,
    ) -> None:
        self._caller = caller
        self._reporter = reporter
        self._caller_timeout_ms = caller_timeout_ms
        self._reservation = BodyReservation(budget, rank=rank, is_for_request=True)

    def acquire(self, size_bytes: int) -> None:
        """Wait until a body of this size may be held; raises :class:`RefusedError` otherwise."""
        wait_s = min(_MAX_WAIT_S, self._caller.reading_left_s or _MAX_WAIT_S)
        if self._caller_timeout_ms is not None:
            wait_s = min(wait_s, self._caller_timeout_ms / _MS_PER_S)
        if not self._reservation.resize_or_wait(size_bytes, wait_s=wait_s):
            self._reporter.report_refused()
            raise RefusedError(
                ErrorKind.OVERLOADED,
                "no room for the body",
                retry_after_ms=DEFAULT_RETRY_AFTER_MS,
            )
        self._allow_reclaim("reading", self._caller.stop_reading, is_moving=True)

    def record_progress(self, size_bytes: int) -> None:
        """Record that so many bytes of the body were read."""
        self._reservation.record_progress(size_bytes)

    def end_reading(self, size_bytes: int) -> None:
        """Return what the body has not taken up."""
        self._reservation.keep()
        self._reservation.resize(min(size_bytes, self._reservation.counted_bytes + FREE_BYTES))

    def yield_while_waiting(self, on_reclaimed: Callable[[], None]) -> None:
        """Let more urgent requests take the room while the request has not been sent."""
        self._allow_reclaim("waiting", on_reclaimed, is_moving=False)

    def yield_while_kept(self, on_reclaimed: Callable[[], None]) -> None:
        """Let more urgent requests take the room of a body that only a further attempt needs."""
        self._allow_reclaim("kept", on_reclaimed, is_moving=False)

    def keep(self) -> None:
        """Do not let the room be taken."""
        self._reservation.keep()

    def release(self) -> None:
        """Return the room."""
        self._reservation.release()

    def _allow_reclaim(
        self, phase: str, on_reclaimed: Callable[[], None], *, is_moving: bool
    ) -> None:
        def report_and_reclaim(held_bytes: int) -> None:
            self._reporter.report_reclaimed(phase, self._reservation, held_bytes)
            on_reclaimed()

        self._reservation.allow_reclaim(report_and_reclaim, is_moving=is_moving)
