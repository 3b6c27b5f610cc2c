"""What the core knows of the upstreams."""

import bisect
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.settings import UpstreamSettings

#: Changes of this VM's own work that are kept to correct old load reports.
_HISTORY_LIMIT = 64
#: What an old report says of others' work counts less by a factor e for each such age.
_REPORT_FADE_MS = 2_000.0
#: An upstream whose reports stop for this long is passed over while others are heard.
_SILENT_MS = 1_300


@dataclass(frozen=True)
class LoadReport:
    """What an upstream last said of its own load; it is old when it is read."""

    #: When the upstream took it, by this VM's clock.
    taken_at_ms: int = 0
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    #: The upstream says that it is leaving.
    leaving: bool = False


@dataclass(frozen=True)
class Upstream:
    """One upstream: its settings, what it reported, and what this VM has outstanding there."""

    settings: UpstreamSettings
    report: LoadReport = LoadReport()
    outstanding_requests: int = 0
    outstanding_tokens: int = 0
    #: What peers say that they have outstanding.
    peer_requests: int = 0
    peer_tokens: int = 0
    #: Leaving or drained: it gets no new work.
    leaving: bool = False
    #: No new work before this time, after a failure to connect.
    closed_until_ms: int = 0
    #: Failures to connect since it was last heard.
    refusals: int = 0
    #: When anything last came from it.
    heard_at_ms: int = 0
    #: When the prompts that this VM sent will be worked off, by estimate.
    prefill_until_ms: float = 0.0
    #: Taken out of service for being slow; one request at a time probes it.
    straggling: bool = False
    probe_at_ms: int = 0
    probes: int = 0
    #: Others' requests there when the report was taken.
    others_reported: int = 0
    #: This VM's own outstanding requests after each of the latest changes.
    history: tuple[tuple[int, int], ...] = ()

    def with_settings(self, settings: UpstreamSettings) -> "Upstream":
        """Return a copy that follows changed settings."""
        return changed(self, settings=settings)

    def with_report(self, report: LoadReport, *, now_ms: int = 0) -> "Upstream":
        """Return a copy with a newer load report, less what this VM itself had there then."""
        own_then = self._own_requests_at(report.taken_at_ms)
        others = max(0, report.running + report.waiting - own_then)
        return changed(self, report=report, others_reported=others, heard_at_ms=now_ms, refusals=0)

    def with_outstanding(self, *, requests: int, tokens: int, now_ms: int = 0) -> "Upstream":
        """Return a copy with these amounts added to what is outstanding."""
        outstanding = max(0, self.outstanding_requests + requests)
        return changed(
            self,
            outstanding_requests=outstanding,
            outstanding_tokens=max(0, self.outstanding_tokens + tokens),
            history=(*self.history[1 - _HISTORY_LIMIT :], (now_ms, outstanding)),
        )

    def with_peer_work(self, *, requests: int, tokens: int) -> "Upstream":
        """Return a copy with these amounts added to what peers have outstanding."""
        return changed(
            self,
            peer_requests=max(0, self.peer_requests + requests),
            peer_tokens=max(0, self.peer_tokens + tokens),
        )

    def with_closed_until(self, closed_until_ms: int) -> "Upstream":
        """Return a copy that gets no new work before a time."""
        return changed(self, closed_until_ms=closed_until_ms, refusals=self.refusals + 1)

    def with_leaving(self, leaving: bool) -> "Upstream":
        """Return a copy that is, or no longer is, leaving."""
        return changed(self, leaving=leaving)

    def with_heard(self, now_ms: int) -> "Upstream":
        """Return a copy that something came from at this time."""
        return changed(self, heard_at_ms=now_ms, refusals=0)

    def with_prefill(self, prefill_ms: float, *, now_ms: int) -> "Upstream":
        """Return a copy that has this much more of prompts to work off."""
        starts_at_ms = max(self.prefill_until_ms, now_ms)
        return changed(self, prefill_until_ms=starts_at_ms + prefill_ms)

    def with_straggling(self, straggling: bool, *, probe_at_ms: int = 0) -> "Upstream":
        """Return a copy that is, or no longer is, out of service for being slow."""
        probes = self.probes + 1 if straggling else 0
        return changed(self, straggling=straggling, probe_at_ms=probe_at_ms, probes=probes)

    def in_service(self) -> bool:
        """Return whether it takes new work at all, now or after a failure to connect."""
        return not self.leaving and not self.settings.draining

    def is_silent(self, now_ms: int) -> bool:
        """Return whether a model engine that used to report has not been heard lately."""
        return self.report.taken_at_ms > 0 and now_ms - self.heard_at_ms > _SILENT_MS

    def takes_work(self, now_ms: int) -> bool:
        """Return whether it may be given new work now."""
        if not self.in_service() or self.closed_until_ms > now_ms:
            return False
        return not self.straggling or self._takes_probe(now_ms)

    def estimated_requests(self, now_ms: int) -> float:
        """Return the requests that it has by now from all VMs.

        This VM's own are known. Those of others are the larger of what peers say and of what
        the upstream's last report leaves after this VM's own at that time, which counts less
        the older it is.
        """
        others = float(self.peer_requests)
        if self.others_reported > others:
            age_ms = max(0, now_ms - self.report.taken_at_ms)
            others = max(others, self.others_reported * math.exp(-age_ms / _REPORT_FADE_MS))
        return self.outstanding_requests + others

    def _takes_probe(self, now_ms: int) -> bool:
        return self.probe_at_ms <= now_ms and self.outstanding_requests == 0

    def _own_requests_at(self, at_ms: int) -> int:
        index = bisect.bisect_right(self.history, (at_ms, 1 << 62))
        if index > 0:
            return self.history[index - 1][1]
        return self.history[0][1] if len(self.history) >= _HISTORY_LIMIT else 0


class UpstreamTable(Table[str, Upstream]):
    """Upstreams by name, with an index by what they serve."""

    def __init__(self) -> None:
        super().__init__()
        #: Names of those at which this VM has requests outstanding.
        self.busy: set[str] = set()
        #: For each target a ring of hashes and names, in the order of the hashes.
        self._rings: dict[str, list[tuple[int, str]]] = {}

    def put(self, key: str, row: Upstream) -> None:
        """Insert or replace an upstream."""
        before = self.get(key)
        super().put(key, row)
        if row.outstanding_requests > 0:
            self.busy.add(key)
        else:
            self.busy.discard(key)
        if before is None or before.settings.targets != row.settings.targets:
            self._unindex(key, before)
            for target in row.settings.targets:
                bisect.insort(self._rings.setdefault(target, []), _ring_entry(key))

    def remove(self, key: str) -> Upstream | None:
        """Take an upstream out."""
        row = super().remove(key)
        self.busy.discard(key)
        self._unindex(key, row)
        return row

    def names(self, target: str) -> Iterator[str]:
        """Return the names of all upstreams for ``target``."""
        return (name for _, name in self._rings.get(target, ()))

    def any_in_service(self, target: str) -> bool:
        """Return whether some upstream takes new work for ``target``, now or soon."""
        return any(self._rows[name].in_service() for name in self.names(target))

    def serving(self, target: str, now_ms: int) -> list[Upstream]:
        """Return the upstreams that may be given new work for ``target``."""
        rows = (self._rows[name] for name in self.names(target))
        return [row for row in rows if row.takes_work(now_ms)]

    def sample(
        self, target: str, generator: random.Random, *, around: int, each: int
    ) -> list[Upstream]:
        """Return at most ``2 * each`` upstreams: a window by a number, and some by chance.

        The window is the same on every VM, so that equal prompts meet the same upstreams. Where
        there are no more than that many in all, all are returned.
        """
        ring = self._rings.get(target, [])
        count = len(ring)
        if count <= 2 * each:
            return [self._rows[name] for _, name in ring]
        start = bisect.bisect_left(ring, (around, ""))
        chosen = {ring[(start + offset) % count][1]: None for offset in range(each)}
        for _ in range(each):
            chosen[ring[generator.randrange(count)][1]] = None
        return [self._rows[name] for name in chosen]

    def _unindex(self, key: str, row: Upstream | None) -> None:
        if row is None:
            return
        for target in row.settings.targets:
            ring = self._rings[target]
            index = bisect.bisect_left(ring, _ring_entry(key))
            if index < len(ring) and ring[index][1] == key:
                del ring[index]


def _ring_entry(name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(name.encode()), name)
