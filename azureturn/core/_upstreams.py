"""The core's state of the upstreams."""

import bisect
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.settings import UpstreamSettings

#: Length of ``Upstream.history``, from which this VM's own requests at the time of a delayed load
#: report are looked up.
_HISTORY_LIMIT = 64
#: Requests of other VMs in a load report are discounted exponentially with the report's age, with
#: this time constant.
_REPORT_DECAY_MS = 2_000.0
#: An upstream that was not heard from for this long is avoided while others are available.
_SILENCE_TIMEOUT_MS = 1_300


@dataclass(frozen=True)
class LoadReport:
    """Latest load report of an upstream; it arrives with a delay."""

    #: When the upstream counted its requests, by this VM's clock.
    taken_at_ms: int = 0
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    #: Whether the upstream reports that it is leaving.
    leaving: bool = False


@dataclass(frozen=True)
class Upstream:
    """One upstream: its settings, its load report, and this VM's outstanding work there."""

    settings: UpstreamSettings
    report: LoadReport = LoadReport()
    outstanding_requests: int = 0
    outstanding_tokens: int = 0
    #: Outstanding work reported by peers.
    peer_requests: int = 0
    peer_tokens: int = 0
    #: Whether the upstream is leaving or drained, so that it gets no new work.
    leaving: bool = False
    #: The upstream gets no new work before this time, after a failed connection.
    backoff_until_ms: int = 0
    #: Failed connections since the upstream was last heard from.
    connect_failures: int = 0
    #: When data was last received from the upstream.
    heard_at_ms: int = 0
    #: Estimated time at which the prompts sent by this VM will have been prefilled.
    prefill_until_ms: float = 0.0
    #: Whether the upstream is excluded as a straggler; it then gets one probe request at a time.
    excluded: bool = False
    #: Time from which an excluded upstream may get the next probe request.
    probe_at_ms: int = 0
    #: How often the exclusion was started or extended; the delay between probes doubles with it.
    probes: int = 0
    #: Requests of other VMs at the upstream at the time of the report.
    reported_requests_of_other_vms: int = 0
    #: Time and number of this VM's own outstanding requests after each of the latest changes.
    history: tuple[tuple[int, int], ...] = ()

    def with_settings(self, settings: UpstreamSettings) -> "Upstream":
        """Return a copy with changed settings."""
        return changed(self, settings=settings)

    def with_report(self, report: LoadReport, *, now_ms: int = 0) -> "Upstream":
        """Return a copy with a newer load report.

        The requests of other VMs are those in the report, less this VM's own at that time.
        """
        own_requests = self._own_requests_at(report.taken_at_ms)
        other_requests = max(0, report.running + report.waiting - own_requests)
        return changed(
            self,
            report=report,
            reported_requests_of_other_vms=other_requests,
            heard_at_ms=now_ms,
            connect_failures=0,
        )

    def with_outstanding(self, *, requests: int, tokens: int, now_ms: int = 0) -> "Upstream":
        """Return a copy with these amounts added to this VM's outstanding work."""
        outstanding = max(0, self.outstanding_requests + requests)
        return changed(
            self,
            outstanding_requests=outstanding,
            outstanding_tokens=max(0, self.outstanding_tokens + tokens),
            history=(*self.history[1 - _HISTORY_LIMIT :], (now_ms, outstanding)),
        )

    def with_peer_work(self, *, requests: int, tokens: int) -> "Upstream":
        """Return a copy with these amounts added to the outstanding work of peers."""
        return changed(
            self,
            peer_requests=max(0, self.peer_requests + requests),
            peer_tokens=max(0, self.peer_tokens + tokens),
        )

    def with_backoff_until(self, backoff_until_ms: int) -> "Upstream":
        """Return a copy that gets no new work before a time, after a failed connection."""
        return changed(
            self, backoff_until_ms=backoff_until_ms, connect_failures=self.connect_failures + 1
        )

    def with_leaving(self, leaving: bool) -> "Upstream":
        """Return a copy that is, or no longer is, leaving."""
        return changed(self, leaving=leaving)

    def with_contact(self, now_ms: int) -> "Upstream":
        """Return a copy from which data was received at this time."""
        return changed(self, heard_at_ms=now_ms, connect_failures=0)

    def with_prefill(self, prefill_ms: float, *, now_ms: int) -> "Upstream":
        """Return a copy with this estimated prefill time added."""
        starts_at_ms = max(self.prefill_until_ms, now_ms)
        return changed(self, prefill_until_ms=starts_at_ms + prefill_ms)

    def with_exclusion(self, excluded: bool, *, probe_at_ms: int = 0) -> "Upstream":
        """Return a copy that is, or no longer is, excluded as a straggler."""
        probes = self.probes + 1 if excluded else 0
        return changed(self, excluded=excluded, probe_at_ms=probe_at_ms, probes=probes)

    def in_service(self) -> bool:
        """Return whether the upstream accepts new work, possibly only after a back-off."""
        return not self.leaving and not self.settings.draining

    def is_silent(self, now_ms: int) -> bool:
        """Return whether an upstream that sends load reports was not heard from recently."""
        return self.report.taken_at_ms > 0 and now_ms - self.heard_at_ms > _SILENCE_TIMEOUT_MS

    def takes_work(self, now_ms: int) -> bool:
        """Return whether the upstream may get new work now."""
        if not self.in_service() or self.backoff_until_ms > now_ms:
            return False
        return not self.excluded or self._takes_probe(now_ms)

    def estimated_requests(self, now_ms: int) -> float:
        """Return the estimated number of requests at the upstream from all VMs.

        This VM knows its own requests. The number of requests of other VMs is estimated as the
        larger of two numbers: the requests reported by peers; and the requests in the upstream's
        last report, less this VM's own at that time, discounted by the age of the report.
        """
        other_requests = float(self.peer_requests)
        if self.reported_requests_of_other_vms > other_requests:
            age_ms = max(0, now_ms - self.report.taken_at_ms)
            other_requests = max(
                other_requests,
                self.reported_requests_of_other_vms * math.exp(-age_ms / _REPORT_DECAY_MS),
            )
        return self.outstanding_requests + other_requests

    def _takes_probe(self, now_ms: int) -> bool:
        return self.probe_at_ms <= now_ms and self.outstanding_requests == 0

    def _own_requests_at(self, at_ms: int) -> int:
        index = bisect.bisect_right(self.history, (at_ms, 1 << 62))
        if index > 0:
            return self.history[index - 1][1]
        return self.history[0][1] if len(self.history) >= _HISTORY_LIMIT else 0


class UpstreamTable(Table[str, Upstream]):
    """Upstreams by name, with an index by target."""

    def __init__(self) -> None:
        super().__init__()
        #: Names of the upstreams at which this VM has outstanding requests.
        self.busy: set[str] = set()
        #: Hash ring of each target: pairs of hash and name, sorted by hash.
        self._rings: dict[str, list[tuple[int, str]]] = {}

    def put(self, key: str, row: Upstream) -> None:
        """Insert or replace an upstream."""
        previous = self.get(key)
        super().put(key, row)
        if row.outstanding_requests > 0:
            self.busy.add(key)
        else:
            self.busy.discard(key)
        if previous is None or previous.settings.targets != row.settings.targets:
            self._remove_from_rings(key, previous)
            for target in row.settings.targets:
                bisect.insort(self._rings.setdefault(target, []), _ring_entry(key))

    def remove(self, key: str) -> Upstream | None:
        """Remove an upstream and return it."""
        row = super().remove(key)
        self.busy.discard(key)
        self._remove_from_rings(key, row)
        return row

    def names(self, target: str) -> Iterator[str]:
        """Return the names of all upstreams for ``target``."""
        return (name for _, name in self._rings.get(target, ()))

    def any_in_service(self, target: str) -> bool:
        """Return whether any upstream for ``target`` is in service."""
        return any(self._rows[name].in_service() for name in self.names(target))

    def serving(self, target: str, now_ms: int) -> list[Upstream]:
        """Return the upstreams that may get new work for ``target`` now."""
        rows = (self._rows[name] for name in self.names(target))
        return [row for row in rows if row.takes_work(now_ms)]

    def sample(
        self, target: str, generator: random.Random, *, start_hash: int, sample_size: int
    ) -> list[Upstream]:
        """Return up to ``2 * sample_size`` upstreams: a window of the hash ring and a random part.

        The window starts at ``start_hash`` and is the same on every VM, so that equal prompts are
        sent to the same upstreams. If there are at most ``2 * sample_size`` upstreams, all are
        returned.
        """
        ring = self._rings.get(target, [])
        count = len(ring)
        if count <= 2 * sample_size:
            return [self._rows[name] for _, name in ring]
        start = bisect.bisect_left(ring, (start_hash, ""))
        chosen = {ring[(start + offset) % count][1]: None for offset in range(sample_size)}
        for _ in range(sample_size):
            chosen[ring[generator.randrange(count)][1]] = None
        return [self._rows[name] for name in chosen]

    def _remove_from_rings(self, key: str, row: Upstream | None) -> None:
        if row is None:
            return
        for target in row.settings.targets:
            ring = self._rings[target]
            index = bisect.bisect_left(ring, _ring_entry(key))
            if index < len(ring) and ring[index][1] == key:
                del ring[index]


def _ring_entry(name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(name.encode()), name)
