"""Cold upstreams: which ones are cold, and when this VM may send one a request.

Load: upstreams that have just started, or whose availability zone returns to service, crash if
they get more than a few requests a second. Each VM decides alone, from what the store, responses
and peers have stated, and rather takes an upstream for cold than not.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._cold_limit import SLOT_MS, ColdLimit, KnownVms
from azureturn.gateway.site import RegisteredUpstream, UpstreamRun

#: Time after the start of this process in which it sends nothing to cold upstreams. Meanwhile other
#: VMs learn of it and it of them, and requests of an earlier process no longer count.
_START_HOLD_MS = 3_000
#: By how much the clocks of upstreams and VMs may differ.
_CLOCK_DIFFERENCE_MS = 10_000
#: Maximum number of cold upstreams in a report.
_REPORTED_UPSTREAMS_LIMIT = 64
#: How long slots that were taken are remembered; far longer than they may be used.
_SLOT_MEMORY_MS = 5_000
#: Maximum number of runs of upstreams that are remembered.
_RUNS_LIMIT = 1_000


class ColdSource(StrEnum):
    """Why an upstream is taken for cold."""

    #: Its registration states it.
    ENTRY = "registration"
    #: A response states it.
    ANSWER = "response"
    #: A peer has reported it.
    PEER = "peer"
    #: It has started, and nothing states that it is not cold.
    START = "start"
    #: Its process had ended, so that another one may have started under its name.
    ENDED = "process end"
    #: Its availability zone has been out of service until now.
    EVACUATION = "evacuation"


@dataclass(frozen=True)
class ColdReport:
    """How much longer a run of an upstream stays cold, as a VM reports it to its peers."""

    run: UpstreamRun
    left_ms: int


@dataclass(frozen=True)
class ColdClaim:
    """A time until which an upstream is taken for cold."""

    until_ms: float
    #: When this VM learned of it.
    noted_at_ms: int
    #: Revision of the view that it rests on; registrations written later refute it.
    revision: int = 0


@dataclass(frozen=True)
class ColdUpstream:
    """A run of an upstream that is cold, or was until recently."""

    run: UpstreamRun
    #: Since when this VM has taken it for cold without interruption.
    since_ms: int
    claims: Mapping[ColdSource, ColdClaim] = field(default_factory=dict)

    def until_ms(self) -> float:
        """Return the time until which it is taken for cold."""
        return max((claim.until_ms for claim in self.claims.values()), default=0.0)

    def reported_until_ms(self) -> float:
        """Return the time until which peers are told that it is cold.

        What is known only from peers is left out. An upstream that refuses this VM's connections
        may respond to its peers, so that it is reported only once it responds again.
        """
        reported = (
            claim.until_ms
            for source, claim in self.claims.items()
            if source != ColdSource.PEER and not math.isinf(claim.until_ms)
        )
        return max(reported, default=0.0)

    def with_claim(self, source: ColdSource, claim: ColdClaim) -> "ColdUpstream":
        """Return the row with another claim."""
        return changed(self, claims={**self.claims, source: claim})

    def without(self, *sources: ColdSource, noted_until_ms: int) -> "ColdUpstream":
        """Return the row without the claims of these sources that were noted until then."""
        kept = {
            source: claim
            for source, claim in self.claims.items()
            if source not in sources or claim.noted_at_ms > noted_until_ms
        }
        return changed(self, claims=kept)


@dataclass(frozen=True)
class _Slot:
    """A slot that is taken for a request."""

    run: UpstreamRun
    at_ms: int


class ColdUpstreamTable(Table[UpstreamRun, ColdUpstream]):
    """Cold upstreams by run, and the slots that this VM has taken."""

    def __init__(self) -> None:
        super().__init__()
        self.vms = KnownVms()
        self.started_at_ms = 0
        #: Limits by service; services whose upstreams have none are left out.
        self.limits: Mapping[str, ColdLimit] = {}
        #: How long upstreams of these services are cold after their start, by name.
        self.start_ms: Mapping[str, int] = {}
        #: When this VM last decided to send a request, by name of the upstream.
        self._sent_at_ms: dict[str, int] = {}
        #: Slots by id of the request that they are taken for.
        self._slots: dict[str, _Slot] = {}

    def is_cold(self, run: UpstreamRun, now_ms: int) -> bool:
        """Return whether a run of an upstream is taken for cold."""
        row = self.get(run)
        return row is not None and now_ms < row.until_ms()

    def is_limited(self, upstream: RegisteredUpstream, now_ms: int) -> bool:
        """Return whether this VM may only send an upstream its share of requests now."""
        return upstream.service in self.limits and self.is_cold(upstream.run, now_ms)

    def may_send(self, upstream: RegisteredUpstream, now_ms: int) -> bool:
        """Return whether this VM may decide now to send an upstream a request."""
        if not self.is_limited(upstream, now_ms):
            return True
        if now_ms - self.started_at_ms < _START_HOLD_MS:
            return False
        limit = self.limits[upstream.service]
        rank, vm_count = self.vms.rank(upstream.name), self.vms.count
        share = limit.share(rank, vm_count)
        if not share:
            return False
        since_ms = self._rows[upstream.run].since_ms
        sent_at_ms = self._sent_at_ms.get(upstream.name)
        if sent_at_ms is not None and sent_at_ms >= since_ms:
            return now_ms - sent_at_ms >= limit.round_ms / share
        if sent_at_ms is not None and now_ms - sent_at_ms < limit.round_ms:
            # Requests from before it became cold count as well.
            return False
        return now_ms >= since_ms + limit.first_slot_ms(rank, vm_count)

    def record_sent(self, upstream: RegisteredUpstream, request_id: str, now_ms: int) -> None:
        """Record the decision to send a request, which uses up a slot if the upstream is cold."""
        if upstream.service not in self.limits:
            return
        self._sent_at_ms[upstream.name] = now_ms
        if self.is_cold(upstream.run, now_ms):
            self._slots[request_id] = _Slot(upstream.run, now_ms)

    def may_begin(self, upstream: RegisteredUpstream, request_id: str, now_ms: int) -> bool:
        """Return whether a request may still be sent for which this VM had decided to send it.

        The upstream may have become cold since, or opening a connection may have taken long.
        """
        if not self.is_limited(upstream, now_ms):
            return True
        slot = self._slots.pop(request_id, None)
        return slot is not None and slot.run == upstream.run and now_ms - slot.at_ms <= SLOT_MS

    def take_slot(self, upstream: RegisteredUpstream, now_ms: int) -> bool:
        """Return whether a probe or a peer's request may be sent now; it uses up a slot if so."""
        if not self.may_send(upstream, now_ms):
            return False
        if upstream.service in self.limits:
            self._sent_at_ms[upstream.name] = now_ms
        return True

    def claim(self, run: UpstreamRun, source: ColdSource, until_ms: float, now_ms: int) -> bool:
        """Take a run of an upstream for cold until then; return whether it was not before.

        It replaces what the same source said before, except that a peer shortens no time, since
        several of them report.
        """
        was_cold = self.is_cold(run, now_ms)
        row = self.get(run)
        if row is None or not was_cold:
            row = ColdUpstream(run, now_ms)
        earlier = row.claims.get(source)
        if source is ColdSource.PEER and earlier is not None:
            until_ms = max(until_ms, earlier.until_ms)
        self.put(run, row.with_claim(source, ColdClaim(until_ms, now_ms)))
        return not was_cold and now_ms < until_ms

    def record_evacuation_ended(
        self, run: UpstreamRun, until_ms: float, *, revision: int, now_ms: int
    ) -> bool:
        """Take an upstream for cold whose zone returns; return whether it was not before."""
        is_new = self.claim(run, ColdSource.EVACUATION, until_ms, now_ms)
        claim = ColdClaim(until_ms, now_ms, revision)
        self.put(run, self._rows[run].with_claim(ColdSource.EVACUATION, claim))
        return is_new

    def record_entry(self, run: UpstreamRun, left_ms: int, *, revision: int, now_ms: int) -> bool:
        """Apply what a registration states; return whether the upstream was not cold before.

        It was written some time before it is read, so that the time left, counted from now, ends
        no earlier than it does at the upstream.
        """
        if left_ms > 0:
            return self.claim(run, ColdSource.ENTRY, now_ms + left_ms, now_ms)
        self._drop(run, ColdSource.ENTRY, ColdSource.START, noted_until_ms=now_ms)
        row = self.get(run)
        evacuation = None if row is None else row.claims.get(ColdSource.EVACUATION)
        if evacuation is not None and revision > evacuation.revision:
            self._drop(run, ColdSource.EVACUATION, noted_until_ms=now_ms)
        return False

    def record_answer(
        self, run: UpstreamRun, left_ms: int, *, asked_at_ms: int, now_ms: int
    ) -> bool:
        """Apply what a response states; return whether the upstream was not cold before.

        That it is not cold refutes only what was known before the request was sent.
        """
        if left_ms > 0:
            return self.claim(run, ColdSource.ANSWER, now_ms + left_ms, now_ms)
        self._drop(run, *ColdSource, noted_until_ms=asked_at_ms)
        return False

    def record_contact(self, run: UpstreamRun, until_ms: float, now_ms: int) -> None:
        """Record that an upstream responds whose process had ended before."""
        row = self.get(run)
        ended = None if row is None else row.claims.get(ColdSource.ENDED)
        if row is not None and ended is not None and math.isinf(ended.until_ms):
            self.put(run, row.with_claim(ColdSource.ENDED, ColdClaim(until_ms, now_ms)))

    def remove_warm(self, now_ms: int) -> list[UpstreamRun]:
        """Remove and return the runs that are no longer cold, and slots that were not used."""
        warm = [run for run, row in self.items() if now_ms >= row.until_ms()]
        for run in warm:
            self.remove(run)
        late = [key for key, slot in self._slots.items() if now_ms - slot.at_ms > _SLOT_MEMORY_MS]
        for request_id in late:
            del self._slots[request_id]
        self.vms.remove_forgotten(now_ms)
        return warm

    def keep_only(self, upstreams: Mapping[str, RegisteredUpstream]) -> None:
        """Forget runs that are not registered if there are too many of them."""
        if len(self) + len(self._sent_at_ms) <= _RUNS_LIMIT:
            return
        for run in [run for run, _ in self.items() if run[0] not in upstreams]:
            self.remove(run)
        for name in self._sent_at_ms.keys() - upstreams.keys():
            del self._sent_at_ms[name]

    def reports(self, now_ms: int) -> tuple[ColdReport, ...]:
        """Return the cold upstreams for this VM's report.

        What this VM knows from peers is left out: their delays would add up without end.
        """
        reports = []
        for run, row in self.items():
            left_ms = row.reported_until_ms() - now_ms
            if left_ms > 0:
                reports.append(ColdReport(run, math.ceil(left_ms)))
        reports.sort(key=lambda report: report.left_ms, reverse=True)
        return tuple(reports[:_REPORTED_UPSTREAMS_LIMIT])

    def _drop(self, run: UpstreamRun, *sources: ColdSource, noted_until_ms: int) -> None:
        row = self.get(run)
        if row is not None:
            self.put(run, row.without(*sources, noted_until_ms=noted_until_ms))


def may_be_starting(started_unix_ms: int, cold_start_ms: int, unix_ms: int) -> bool:
    """Return whether an upstream that states nothing may be cold because of its start.

    >>> [may_be_starting(start, 3_000, 100_000) for start in (0, 80_000, 90_000, 104_000)]
    [True, False, True, True]
    """
    age_ms = unix_ms - started_unix_ms
    return not started_unix_ms or age_ms <= cold_start_ms + _CLOCK_DIFFERENCE_MS
