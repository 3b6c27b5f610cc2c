"""The planned stop: in which order a daemon leaves, and what counts as a cut."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from azureturn.serving._runtime import now_ms

_POLL_S = 0.02
#: Nothing must be unfinished for so many polls in a row: a request may be just being read.
QUIET_POLLS = 8
_MS_PER_S = 1_000


class StopStage(IntEnum):
    """How far a daemon has come on its way out."""

    SERVING = 0
    #: Not ready any more, but every request is served until the balancer has noticed.
    LEAVING = 1
    #: New requests are refused as not run; those in flight are served to their end.
    FINISHING = 2
    #: Nothing is unfinished any more: whatever still comes is refused, without exception.
    CLOSING = 3
    STOPPED = 4


@dataclass(frozen=True)
class StopLimits:
    """How long a planned stop may take."""

    balancer_lag_ms: int
    #: From the end of the balancer's lag.
    stop_limit_ms: int


class PlannedStop:
    """Takes a daemon from serving to stopped.

    ``unfinished`` tells how much is still owed: requests in flight whose last byte has not left,
    and claims whose outcome is not settled. Only a second signal or the limit cuts them.

    >>> stop = PlannedStop(StopLimits(0, 0), unfinished=lambda: 2)
    >>> stop.run(announce=lambda: None)
    2
    """

    def __init__(self, limits: StopLimits, *, unfinished: Callable[[], int]) -> None:
        self._limits = limits
        self._unfinished = unfinished
        self._cut = threading.Event()
        self._stage = StopStage.SERVING

    @property
    def stage(self) -> StopStage:
        """Return how far the stop has come."""
        return self._stage

    def cut(self) -> None:
        """Wait no longer for anything (a second signal)."""
        self._cut.set()

    def run(self, *, announce: Callable[[], None]) -> int:
        """Leave in order and return how many requests or claims were cut."""
        self._stage = StopStage.LEAVING
        announce()
        self._cut.wait(self._limits.balancer_lag_ms / _MS_PER_S)
        self._stage = StopStage.FINISHING
        ends_at_ms = now_ms() + self._limits.stop_limit_ms
        self._wait_until_quiet(ends_at_ms)
        self._stage = StopStage.CLOSING
        self._wait_until_quiet(ends_at_ms)
        cut = self._unfinished()
        self._stage = StopStage.STOPPED
        return cut

    def _wait_until_quiet(self, ends_at_ms: int) -> None:
        quiet_polls = 0
        while quiet_polls < QUIET_POLLS and now_ms() < ends_at_ms:
            quiet_polls = 0 if self._unfinished() else quiet_polls + 1
            if self._cut.wait(_POLL_S):
                return
