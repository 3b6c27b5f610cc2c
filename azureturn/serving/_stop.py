"""The planned stop: the stages of a daemon's graceful shutdown."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from azureturn.serving._runtime import now_ms

_POLL_INTERVAL_S = 0.02
#: Number of consecutive polls without unfinished work before a stage ends. One poll is not
#: enough because a request that is still being read is not counted yet.
IDLE_POLLS = 8
_MS_PER_S = 1_000


class StopStage(IntEnum):
    """Stages of a planned stop, in order."""

    SERVING = 0
    #: The VM reports that it is not ready, but serves every request until the load balancer has
    #: noticed.
    LEAVING = 1
    #: New requests are refused as not run; requests in flight are completed.
    FINISHING = 2
    #: All work is finished; any further request is refused without exception.
    CLOSING = 3
    STOPPED = 4


@dataclass(frozen=True)
class StopLimits:
    """Time limits of a planned stop."""

    #: Time that the load balancer needs to notice that the VM is not ready.
    balancer_lag_ms: int
    #: Maximum time for unfinished work, counted from the end of ``balancer_lag_ms``.
    stop_limit_ms: int


class PlannedStop:
    """Runs the stages of a daemon's graceful shutdown.

    ``unfinished`` returns the amount of unfinished work: requests whose answer has not been sent
    completely, and claims whose outcome is not settled. Only :meth:`skip_wait` or the time limit
    ends the wait for them. Then ``end_requests`` gives a last answer to each request that has none
    yet, and returns how many there were; :meth:`run` returns the amount that is unfinished after
    that. ``limits`` returns the limits in force, which may change until the stop ends.

    >>> stop = PlannedStop(lambda: StopLimits(0, 0), unfinished=lambda: 2)
    >>> stop.run(announce=lambda: None)
    2
    """

    def __init__(
        self,
        limits: Callable[[], StopLimits],
        *,
        unfinished: Callable[[], int],
        end_requests: Callable[[], int] = lambda: 0,
    ) -> None:
        self._limits = limits
        self._count_unfinished = unfinished
        self._end_requests = end_requests
        self._wait_skipped = threading.Event()
        self._stage = StopStage.SERVING

    @property
    def stage(self) -> StopStage:
        """Return the current stage."""
        return self._stage

    def skip_wait(self) -> None:
        """Stop waiting for unfinished work; called after a second signal."""
        self._wait_skipped.set()

    def run(self, *, announce: Callable[[], None]) -> int:
        """Run all stages, and return how many requests and claims are still unfinished."""
        self._stage = StopStage.LEAVING
        announce()
        self._wait_skipped.wait(self._limits().balancer_lag_ms / _MS_PER_S)
        self._stage = StopStage.FINISHING
        began_at_ms = now_ms()
        self._wait_until_idle(began_at_ms)
        self._stage = StopStage.CLOSING
        self._wait_until_idle(began_at_ms)
        unfinished_count = self._count_unfinished()
        if unfinished_count:
            unfinished_count -= self._end_requests()
            # Some may have ended by themselves meanwhile.
            unfinished_count = max(0, min(unfinished_count, self._count_unfinished()))
        self._stage = StopStage.STOPPED
        return unfinished_count

    def _wait_until_idle(self, began_at_ms: int) -> None:
        idle_polls = 0
        while idle_polls < IDLE_POLLS and now_ms() - began_at_ms < self._limits().stop_limit_ms:
            idle_polls = 0 if self._count_unfinished() else idle_polls + 1
            if self._wait_skipped.wait(_POLL_INTERVAL_S):
                return
