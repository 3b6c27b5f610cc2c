"""Pauses that upstreams ask for, and what VMs report to their peers of upstreams' availability."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.site import RegisteredUpstream, UpstreamRun

#: Longest pause that is kept; a faulty upstream may ask for any.
MAX_PAUSE_MS = 600_000
#: By how much more than the pause callers are told to wait, as a share of it, so that they do not
#: all return at the same moment.
_SPREAD_SHARE = 0.25
_SPREAD_BOUNDS_MS = (200.0, 1_500.0)


@dataclass(frozen=True)
class AvailabilityReport:
    """What a run of an upstream has said, as far as its registration does not show it."""

    run: UpstreamRun
    is_leaving: bool = False
    #: How much longer it wants no request from the VM that reports; 0 if it does not say so.
    pause_ms: int = 0
    #: Name of the peer through which the VM was told to pause; the pause is that peer's too. Empty
    #: if it was told directly.
    relay_vm: str = ""


@dataclass(frozen=True)
class Pause:
    """The time in which a run of an upstream wants no request from this VM."""

    run: UpstreamRun
    until_ms: int
    #: Name of the peer that relayed the response which asked for it; empty if none did.
    relay_vm: str = ""


class PauseTable(Table[UpstreamRun, Pause]):
    """Pauses by run of an upstream; those that have ended are removed now and then."""

    def record(self, pause: Pause) -> bool:
        """Record a pause, and return whether it changes anything.

        A later response that asks for a shorter pause does not end the earlier one.
        """
        current = self.get(pause.run)
        if current is not None and current.until_ms >= pause.until_ms:
            return False
        self.put(pause.run, pause)
        return True

    def is_paused(self, run: UpstreamRun, now_ms: int) -> bool:
        """Return whether a run of an upstream wants no request from this VM now."""
        pause = self.get(run)
        return pause is not None and now_ms < pause.until_ms

    def wait_ms(self, upstreams: Iterable[RegisteredUpstream], now_ms: int) -> int:
        """Return the time until the first of these upstreams takes requests; 0 if one does now."""
        if not len(self):
            return 0
        waits_ms = []
        for upstream in upstreams:
            pause = self.get(upstream.run)
            waits_ms.append(0 if pause is None else max(0, pause.until_ms - now_ms))
        return min(waits_ms, default=0)

    def running(self, now_ms: int) -> list[Pause]:
        """Return the pauses that have not ended."""
        return [pause for pause in self.rows() if now_ms < pause.until_ms]

    def remove_ended(self, now_ms: int) -> None:
        """Forget the pauses that have ended."""
        ended = [run for run, pause in self.items() if now_ms >= pause.until_ms]
        for run in ended:
            self.remove(run)


def spread_retry_after_ms(wait_ms: int, generator: random.Random) -> int:
    """Return when a caller should return if all upstreams pause for ``wait_ms`` more.

    >>> 3_000 <= spread_retry_after_ms(3_000, random.Random(1)) <= 3_750
    True
    """
    low_ms, high_ms = _SPREAD_BOUNDS_MS
    spread_ms = min(high_ms, max(low_ms, _SPREAD_SHARE * wait_ms))
    return wait_ms + int(generator.uniform(0.0, spread_ms))
