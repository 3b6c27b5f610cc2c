"""Upstreams that state limits: of the requests per second from all VMs together, or of rejections.

The VMs share a limit of requests without coordinating each of them: each VM has time slots of its
own, one for each request of its share, the first of them at a random time. A slot that is not used
soon lapses, so that VMs that were idle do not all send at once. Of a limit of rejections each VM
uses up its share with one rejection, and then sends nothing until the share is there again.
"""

import math
import random
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.site import StatedLimits, UpstreamRun

_MS_PER_S = 1_000.0
#: How long after its beginning a slot may be used.
_SLOT_MS = 500.0
#: Requests that are sent in spite of a lower limit, since only an answer shows that it has ended.
_MIN_LIMIT_PER_S = 0.1
#: Longest time without requests to an upstream after a rejection that it could hardly bear.
_MAX_PAUSE_MS = 5_000.0
#: Age up to which an observed limit, or its end, is reported to peers.
_REPORTED_AGE_MS = 10_000


@dataclass(frozen=True)
class LimitReport:
    """What an upstream's latest answer to a VM stated, as the VM reports it to its peers."""

    run: UpstreamRun
    limits: StatedLimits
    age_ms: int


@dataclass(frozen=True)
class RequestLimit:
    """The limits of one run of an upstream, and when this VM may send to it."""

    run: UpstreamRun
    #: Those in the upstream's latest answer.
    limits: StatedLimits
    observed_at_ms: int
    next_slot_at_ms: float = 0.0
    #: End of the pause after a rejection.
    paused_until_ms: float = 0.0

    def slot_interval_ms(self, vm_count: int) -> float:
        """Return the time between two slots of a VM; infinite without a limit."""
        if self.limits.requests_per_s is None:
            return math.inf
        return vm_count * _MS_PER_S / max(_MIN_LIMIT_PER_S, self.limits.requests_per_s)

    def pause_ms(self, vm_count: int) -> float:
        """Return the time in which this VM's share of the limit allows for one rejection."""
        rejections_per_s = self.limits.rejections_per_s
        if rejections_per_s is None:
            return 0.0
        return min(_MAX_PAUSE_MS, vm_count * _MS_PER_S / max(1.0, rejections_per_s))

    def first_valid_slot_ms(self, vm_count: int, now_ms: int) -> float:
        """Return the beginning of the first slot that is unused and has not lapsed."""
        lapsed_ms = now_ms - _SLOT_MS - self.next_slot_at_ms
        if lapsed_ms <= 0:
            return self.next_slot_at_ms
        interval_ms = self.slot_interval_ms(vm_count)
        return self.next_slot_at_ms + math.ceil(lapsed_ms / interval_ms) * interval_ms


class RequestLimitTable(Table[str, RequestLimit]):
    """Limits keyed by upstream name; upstreams that never stated one have no row."""

    def observe(
        self, report: LimitReport, *, vm_count: int, now_ms: int, random: random.Random
    ) -> None:
        """Apply what an answer stated, to this VM or a peer, unless a later one is known."""
        name = report.run[0]
        at_ms = now_ms - report.age_ms
        before = self.get(name)
        if before is None or before.run != report.run:
            if report.limits == StatedLimits():
                return
            before = RequestLimit(report.run, StatedLimits(), at_ms - 1)
        if at_ms <= before.observed_at_ms:
            return
        after = changed(before, limits=report.limits, observed_at_ms=at_ms)
        if report.limits.requests_per_s is not None:
            interval_ms = after.slot_interval_ms(vm_count)
            if before.limits.requests_per_s is None:
                next_slot_at_ms = now_ms + random.uniform(0.0, interval_ms)
            else:
                next_slot_at_ms = min(before.next_slot_at_ms, now_ms + interval_ms)
            after = changed(after, next_slot_at_ms=next_slot_at_ms)
        self.put(name, after)

    def may_send(self, run: UpstreamRun, vm_count: int, now_ms: int) -> bool:
        """Return whether this VM may send a request to a run of an upstream now."""
        limit = self._limit_of(run)
        if limit is None:
            return True
        if limit.limits.is_brittle and now_ms < limit.paused_until_ms:
            return False
        if limit.limits.requests_per_s is None:
            return True
        return limit.first_valid_slot_ms(vm_count, now_ms) <= now_ms

    def is_brittle(self, run: UpstreamRun) -> bool:
        """Return whether a run of an upstream falls over if it has to reject many requests."""
        limit = self._limit_of(run)
        return limit is not None and limit.limits.is_brittle

    def record_rejected(self, run: UpstreamRun, vm_count: int, now_ms: int) -> None:
        """Begin a pause after a rejection by a brittle upstream."""
        limit = self._limit_of(run)
        if limit is not None and limit.limits.is_brittle:
            paused_until_ms = now_ms + limit.pause_ms(vm_count)
            self.put(run[0], changed(limit, paused_until_ms=paused_until_ms))

    def record_sent(self, run: UpstreamRun, vm_count: int, now_ms: int) -> None:
        """Use up a slot for a request that is sent now."""
        limit = self._limit_of(run)
        if limit is not None and limit.limits.requests_per_s is not None:
            slot_ms = limit.first_valid_slot_ms(vm_count, now_ms)
            next_slot_at_ms = slot_ms + limit.slot_interval_ms(vm_count)
            self.put(run[0], changed(limit, next_slot_at_ms=next_slot_at_ms))

    def reports(self, now_ms: int) -> tuple[LimitReport, ...]:
        """Return what upstreams have stated recently, for this VM's report."""
        return tuple(
            LimitReport(limit.run, limit.limits, now_ms - limit.observed_at_ms)
            for limit in self.rows()
            if now_ms - limit.observed_at_ms <= _REPORTED_AGE_MS
        )

    def _limit_of(self, run: UpstreamRun) -> RequestLimit | None:
        limit = self.get(run[0])
        return None if limit is None or limit.run != run else limit
