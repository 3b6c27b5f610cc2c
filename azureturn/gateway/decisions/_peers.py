"""The table of peers, by their last reports."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property

from azureturn.framework import Table
from azureturn.gateway.decisions._allotment_pacing import LiveVms, ReportAges
from azureturn.gateway.decisions._peer_report import OutstandingWork, PeerReport
from azureturn.gateway.site import RegisteredUpstream

_MS_PER_S = 1_000
#: A peer is live, that is, assumed to run and to be reachable, until its last report is older than
#: this many report intervals.
_MISSED_REPORTS_LIMIT = 7
#: A peer reports its usage of allotments in time until its last report is older than this many
#: intervals, and than this time. Until then both sides of a partition use what remains of an
#: allotment: with two intervals, 195 VMs exceeded the bound.
_LATE_REPORTS_LIMIT = 1.25
_MIN_LATE_REPORT_MS = 700
#: Minimum time between two reports, which applies to urgent ones as well.
URGENT_INTERVAL_MS = 20
#: Reports that a VM sends in a second at the most while they are urgent: twice as many as
#: otherwise. They take up the link that requests need, at this VM and at the peers.
_URGENT_REPORTS_PER_S = 320
#: Number of VMs up to which every VM sends its reports at the shortest interval. With more VMs the
#: interval grows in proportion, so that the reports per second that a VM sends stay constant.
_SHORTEST_INTERVAL_VMS = 16
#: Maximum age at which a peer's report is used to count its queued requests.
_WAITING_REPORT_MAX_AGE_MS = 250
#: Maximum number of queued requests that are counted for a single peer.
_WAITING_REQUESTS_LIMIT = 4
#: Deadlines that differ by less are treated as equal.
_DEADLINE_TOLERANCE_MS = 50
#: A peer that has sent no report for this long is removed.
PEER_EXPIRY_MS = 20_000
#: Bounds of the usage assumed of another VM, as a multiple of this VM's usage.
_USAGE_RATIO_BOUNDS = (0.33, 3.0)
#: Time after the start of this process during which a VM that is registered in the store but has
#: sent no report counts as a known VM that is not live.
_REGISTRATION_GRACE_MS = 10_000


@dataclass(frozen=True)
class Peer:
    """A peer's latest report and the time of its receipt."""

    report: PeerReport
    received_at_ms: int
    #: Units in the window that this VM itself had admitted when it received the report.
    own_units: int = 0

    #: Interval at which the peer sends reports.
    interval_ms: int = 100

    @cached_property
    def used_units(self) -> int:
        """Return the peer's usage of all allotments together; each request asks for it."""
        return sum(spent.units for spent in self.report.spent.values())

    @property
    def live_until_ms(self) -> int:
        """Return until when the report is recent enough to be used."""
        return self.received_at_ms + _MISSED_REPORTS_LIMIT * self.interval_ms

    def is_live(self, now_ms: int) -> bool:
        """Return whether the report is recent enough to be used."""
        return now_ms - self.received_at_ms <= _MISSED_REPORTS_LIMIT * self.interval_ms

    def reports_in_time(self, now_ms: int) -> bool:
        """Return whether its usage of allotments is known; it may still be live if not."""
        limit_ms = max(_MIN_LATE_REPORT_MS, _LATE_REPORTS_LIMIT * self.interval_ms)
        return now_ms - self.received_at_ms <= limit_ms

    def is_paused(self, upstream: str, now_ms: int) -> bool:
        """Return whether an upstream wants no request from the peer at this time."""
        age_ms = now_ms - self.received_at_ms
        return any(
            row.run[0] == upstream and age_ms < row.pause_ms for row in self.report.availability
        )


class PeerTable(Table[str, Peer]):
    """Peers keyed by VM name, and the sum of their outstanding work at each upstream."""

    def __init__(self) -> None:
        super().__init__()
        self._work: dict[str, OutstandingWork] = {}
        #: The work of each VM that the sums include, and whether they include nothing else.
        self._added_work: dict[str, dict[str, OutstandingWork]] = {}
        self._are_totals_exact = False
        self.own_name = ""
        #: Boot id of this process.
        self.own_boot = 0
        self.started_at_ms = 0
        #: Wall-clock time at ``started_at_ms``.
        self.started_unix_ms = 0
        #: Names of the VMs registered in the store, including this one.
        self.registered_vms: frozenset[str] = frozenset()
        #: Live peers at a time, until a peer changes; one request asks for them repeatedly.
        self._live_peers: tuple[int, list[Peer]] | None = None
        #: Names of the peers that are live until ``_live_until_ms`` at least, unless they change.
        self._live_names: set[str] = set()
        self._live_until_ms = -math.inf
        #: Zones without live VMs, until one of the names above changes.
        self._dead_zones: frozenset[str] | None = None
        #: Names of all peers, the one whose report is the oldest first.
        self._by_receipt: OrderedDict[str, None] = OrderedDict()
        #: The known VMs, the registered ones that they were computed from, and whether they
        #: include these.
        self._known_vms: tuple[frozenset[str], frozenset[str], bool] | None = None

    def put(self, key: str, row: Peer) -> None:
        """Insert or replace the peer with this name."""
        self._live_peers = None
        if key not in self._rows:
            self._known_vms = None
        if key not in self._live_names:
            self._live_names.add(key)
            self._dead_zones = None
        # Hundreds of reports a second are put, so that this calls as little as possible.
        live_until_ms = row.received_at_ms + _MISSED_REPORTS_LIMIT * row.interval_ms
        if live_until_ms < self._live_until_ms:
            self._live_until_ms = live_until_ms
        if key in self._by_receipt:
            self._by_receipt.move_to_end(key)
        else:
            self._by_receipt[key] = None
        self._rows[key] = row

    def remove(self, key: str) -> Peer | None:
        """Remove the peer with this name and return it, or None if there is none."""
        self._live_peers = self._known_vms = self._dead_zones = None
        self._live_names.discard(key)
        self._by_receipt.pop(key, None)
        return super().remove(key)

    def work_at(self, upstream: str) -> OutstandingWork:
        """Return the outstanding work of all live peers at an upstream."""
        return self._work.get(upstream, _NO_WORK)

    def work_at_each(self, upstreams: Iterable[RegisteredUpstream]) -> list[OutstandingWork]:
        """Return the outstanding work of all live peers at upstreams, in their order."""
        work = self._work
        return [work.get(upstream.name, _NO_WORK) for upstream in upstreams]

    def live_peers(self, now_ms: int) -> list[Peer]:
        """Return the peers whose latest report is recent; the list must not be changed."""
        if self._live_peers is None or self._live_peers[0] != now_ms:
            self._live_peers = (now_ms, [peer for peer in self.rows() if peer.is_live(now_ms)])
        return self._live_peers[1]

    def live_count(self, now_ms: int) -> int:
        """Return the number of peers whose latest report is recent."""
        self._update_live(now_ms)
        return len(self._live_names)

    def oldest_report_age_ms(self, now_ms: int) -> int:
        """Return the age of the oldest report of a live peer; -1 if there is none."""
        for name in self._by_receipt:
            peer = self._rows[name]
            if peer.is_live(now_ms):
                return now_ms - peer.received_at_ms
        return -1

    def reaching(self, upstream: str, now_ms: int) -> list[Peer]:
        """Return the live peers that can connect to an upstream, as far as they have reported.

        Those that the upstream wants no request from are left out.

        Peers that are short of CPU time are left out if there are others.
        """
        reaching = [
            peer
            for peer in self.live_peers(now_ms)
            if upstream not in peer.report.unreachable and not peer.is_paused(upstream, now_ms)
        ]
        return [peer for peer in reaching if not peer.report.strained] or reaching

    def unix_ms(self, now_ms: int) -> int:
        """Return the wall-clock time, derived from the monotonic clock of this process."""
        return self.started_unix_ms + now_ms - self.started_at_ms

    def reporting_vms(self, now_ms: int, own_units: int) -> LiveVms:
        """Return the VMs that report their usage in time, including this one.

        ``own_units`` is the usage of this VM.
        """
        peers = [peer for peer in self.rows() if peer.reports_in_time(now_ms)]
        vm_count = self.vms(now_ms)
        is_complete = len(peers) + 1 == vm_count
        return LiveVms(
            frozenset({self.own_name, *(peer.report.vm for peer in peers)}),
            1.0 if is_complete else self.reporting_usage_share(own_units, now_ms),
            vm_count,
            ReportAges(len(peers), sum(now_ms - peer.received_at_ms for peer in peers)),
        )

    def vms_ahead(self, now_ms: int) -> int:
        """Return the number of live VMs whose names sort before this VM's.

        VMs that would all make the same write wait in this order, so that usually only one writes.
        """
        return sum(peer.report.vm < self.own_name for peer in self.live_peers(now_ms))

    def vms(self, now_ms: int) -> int:
        """Return the number of known VMs, live or not, including this one."""
        return len(self._known(now_ms))

    def interval_ms(self, shortest_ms: int) -> int:
        """Return the report interval of a VM in a site of this size."""
        return int(shortest_ms * max(1.0, (len(self) + 1) / _SHORTEST_INTERVAL_VMS))

    def has_old_reports(self, now_ms: int) -> bool:
        """Return whether a site of this size has reports at longer intervals than the shortest."""
        return self.vms(now_ms) > _SHORTEST_INTERVAL_VMS

    def urgent_interval_ms(self) -> int:
        """Return the shortest interval between two reports of a VM in a site of this size."""
        return max(URGENT_INTERVAL_MS, math.ceil(len(self) * _MS_PER_S / _URGENT_REPORTS_PER_S))

    def zones_without_live_vms(self, now_ms: int) -> frozenset[str]:
        """Return the availability zones with known VMs of which none is live."""
        if self.live_count(now_ms) == len(self):
            return frozenset()
        if self._dead_zones is None:
            zones = {peer.report.availability_zone for peer in self.rows()}
            live_zones = {self._rows[name].report.availability_zone for name in self._live_names}
            self._dead_zones = frozenset(zones - live_zones)
        return self._dead_zones

    def vm_count_outside(self, zones: frozenset[str], now_ms: int) -> int:
        """Return the number of known VMs, less the VMs in ``zones`` that are not live."""
        if not zones or self.live_count(now_ms) == len(self):
            return self.vms(now_ms)
        excluded = sum(
            not peer.is_live(now_ms) and peer.report.availability_zone in zones
            for peer in self.rows()
        )
        return self.vms(now_ms) - excluded

    def vm_names_outside(self, zones: frozenset[str], now_ms: int) -> frozenset[str]:
        """Return the names of the known VMs, less those in ``zones`` that are not live."""
        known = self._known(now_ms)
        if not zones or self.live_count(now_ms) == len(self):
            return known
        return known - {
            name
            for name, peer in self.items()
            if not peer.is_live(now_ms) and peer.report.availability_zone in zones
        }

    def reporting_usage_share(self, own_units: int, now_ms: int) -> float:
        """Return the share of the total usage of the VMs that report in time, and this one.

        The last reported usage of a VM that does not is compared with this VM's usage when the
        report was received, so that both sides of a partition compute the same shares. A VM
        that has never reported is assumed to use as much as this one.
        """
        live_usage = 1.0
        other_usage = float(self.vms(now_ms) - 1 - len(self))
        for peer in self.rows():
            if peer.reports_in_time(now_ms):
                live_usage += _usage_ratio(peer.used_units, own_units)
            else:
                other_usage += _usage_ratio(peer.used_units, peer.own_units)
        return live_usage / (live_usage + max(0.0, other_usage))

    def requests_ahead_at_peers(
        self, service: str, tier_rank: int, deadline_ms: int, now_ms: int
    ) -> int:
        """Return the number of peers' queued requests that go before a given one queued here.

        A peer without work at any upstream is not counted, since it may be unable to reach them.
        """
        requests_ahead = 0
        for peer in self.rows():
            queue_report = peer.report.waiting.get(service)
            if queue_report is None or not peer.report.work:
                continue
            if now_ms - peer.received_at_ms > _WAITING_REPORT_MAX_AGE_MS:
                continue
            peer_deadline_ms = (
                peer.received_at_ms + queue_report.deadline_in_ms + _DEADLINE_TOLERANCE_MS
            )
            if queue_report.tier_rank < tier_rank:
                requests_ahead += min(_WAITING_REQUESTS_LIMIT, queue_report.requests)
            elif queue_report.tier_rank == tier_rank and peer_deadline_ms < deadline_ms:
                requests_ahead += 1
        return requests_ahead

    def recompute_work(self, now_ms: int) -> None:
        """Remove expired peers, and recompute the total outstanding work of the live ones."""
        for name in [
            vm for vm, peer in self.items() if now_ms - peer.received_at_ms > PEER_EXPIRY_MS
        ]:
            self.remove(name)
        live = {peer.report.vm: peer.report.work for peer in self.live_peers(now_ms)}
        if self._are_totals_exact and _are_same(live, self._added_work):
            return
        self._work = _total_work(live.values())
        self._added_work = live
        self._are_totals_exact = True

    def _update_live(self, now_ms: int) -> None:
        if now_ms <= self._live_until_ms:
            return
        live = {name: peer for name, peer in self.items() if peer.is_live(now_ms)}
        if live.keys() != self._live_names:
            self._live_names = set(live)
            self._dead_zones = None
        self._live_until_ms = min((peer.live_until_ms for peer in live.values()), default=math.inf)

    def _known(self, now_ms: int) -> frozenset[str]:
        """Return the names of the known VMs, live or not, including this one."""
        is_grace = now_ms - self.started_at_ms < _REGISTRATION_GRACE_MS
        registered = self.registered_vms
        cached = self._known_vms
        if (
            cached is None
            or cached[1] is not registered
            or cached[2] is not is_grace
            or self.own_name not in cached[0]
        ):
            names = {self.own_name}.union(self._rows, registered if is_grace else ())
            cached = self._known_vms = (frozenset(names), registered, is_grace)
        return cached[0]

    def add_work(self, before: PeerReport | None, after: PeerReport) -> None:
        """Update the totals from a peer's previous report to its newer one."""
        old_work = before.work if before else {}
        new_work = after.work
        if old_work is new_work:
            return
        if self._added_work.get(after.vm, old_work) is not old_work:
            self._are_totals_exact = False
        self._added_work[after.vm] = new_work
        for upstream, work in new_work.items():
            old = old_work.get(upstream, _NO_WORK)
            if old != work:
                _add(self._work, upstream, work[0] - old[0], work[1] - old[1])
        for upstream, work in old_work.items():
            if upstream not in new_work:
                _add(self._work, upstream, -work[0], -work[1])


_NO_WORK = OutstandingWork(0, 0)


def _usage_ratio(usage: int, own_units: int) -> float:
    low, high = _USAGE_RATIO_BOUNDS
    return min(high, max(low, (usage + 1) / (own_units + 1)))


def _add(sums: dict[str, OutstandingWork], upstream: str, requests: int, tokens: int) -> None:
    old_requests, old_tokens = sums.get(upstream, _NO_WORK)
    requests += old_requests
    tokens += old_tokens
    if requests <= 0 and tokens <= 0:
        sums.pop(upstream, None)
    else:
        sums[upstream] = OutstandingWork(
            requests if requests > 0 else 0, tokens if tokens > 0 else 0
        )


def _are_same(
    first: dict[str, dict[str, OutstandingWork]], second: dict[str, dict[str, OutstandingWork]]
) -> bool:
    """Return whether the work by VM consists of the same objects."""
    return len(first) == len(second) and all(second.get(vm) is work for vm, work in first.items())


def _total_work(reports: Iterable[dict[str, OutstandingWork]]) -> dict[str, OutstandingWork]:
    sums: dict[str, OutstandingWork] = {}
    for work_by_upstream in reports:
        for upstream, work in work_by_upstream.items():
            _add(sums, upstream, work.requests, work.pending_tokens)
    return sums
