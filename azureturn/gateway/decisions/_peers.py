"""What the peers of this VM say of themselves, many times a second."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._prompts import SentPrompt
from azureturn.gateway.site import SpentUnits

#: A peer that is not heard for so many of its reports counts as unheard.
_UNHEARD_REPORTS = 7
#: Least time between two reports, however urgent.
URGENT_INTERVAL_MS = 20
#: VMs up to which each reports to every other at the shortest interval; beyond it the interval
#: grows with their number, so that a VM's reports a second stay the same.
_FREQUENT_VMS = 16
#: What a peer said of its queue counts for this long.
_WAITING_AGE_MS = 250
#: Of one peer's queue so many requests count.
_WAITING_LIMIT = 4
#: Deadlines that differ by less are equal.
_EQUAL_DEADLINE_MS = 50
#: A peer that is not heard for this long is taken to be gone for good.
GONE_MS = 20_000
#: Bounds of how much another VM is thought to use, as a multiple of this one's use.
_USE_RATIO_BOUNDS = (0.33, 3.0)
#: For this long after a start, registered VMs that were never heard count as unheard.
_REGISTERED_COUNT_MS = 10_000


@dataclass(frozen=True)
class WorkReport:
    """What a peer has outstanding at one upstream."""

    requests: int
    pending_tokens: int


@dataclass(frozen=True)
class WaitingReport:
    """The most urgent tier that waits for upstreams of a service at a peer."""

    tier_rank: int
    requests: int
    #: Until the first of them misses its objective; negative where it has.
    deadline_in_ms: int


@dataclass(frozen=True)
class VersionCount:
    """Answers of one version of a service, as one VM saw them."""

    answers: int = 0
    failures: int = 0
    time_ms: int = 0


@dataclass(frozen=True)
class MoveReport:
    """How far a peer thinks that a move has come."""

    version: str
    elapsed_ms: int
    condemned: bool


@dataclass(frozen=True)
class PeerReport:
    """One VM's report of itself."""

    vm: str
    host: str
    #: Unlike that of any other process of this VM.
    boot: int
    sequence: int
    leaving: bool
    view_revision: int
    work: dict[str, WorkReport]
    #: What the organisations used at the VM in the last window.
    spent: dict[str, SpentUnits]
    prompts: tuple[SentPrompt, ...]
    #: By service and version.
    versions: dict[tuple[str, str], VersionCount]
    moves: dict[str, MoveReport]
    #: Hosts of other VMs by name.
    peers: dict[str, str]
    #: It lacks processor time and steps back.
    strained: bool = False
    availability_zone: str = ""
    #: By service.
    waiting: dict[str, WaitingReport] = field(default_factory=dict)

    def with_strained(self, strained: bool) -> "PeerReport":
        """Return a copy that says whether the VM is strained."""
        return changed(self, strained=strained)

    def is_newer_than(self, other: "PeerReport") -> bool:
        """Return whether the same process made the other report before, or at the same time."""
        return self.boot == other.boot and self.sequence >= other.sequence


@dataclass(frozen=True)
class Peer:
    """A peer's latest report and when it came."""

    report: PeerReport
    heard_at_ms: int
    #: What this VM itself had used in its window then.
    own_units: int = 0

    #: How often it reports.
    interval_ms: int = 100

    def is_heard(self, now_ms: int) -> bool:
        """Return whether what it says is fresh."""
        return now_ms - self.heard_at_ms <= _UNHEARD_REPORTS * self.interval_ms


class PeerTable(Table[str, Peer]):
    """Peers by name, with their work summed by upstream."""

    def __init__(self) -> None:
        super().__init__()
        self._work: dict[str, WorkReport] = {}
        self.own_name = ""
        #: This process, unlike any other of this VM.
        self.own_boot = 0
        self.started_at_ms = 0
        #: The same moment by the time of day.
        self.started_unix_ms = 0
        #: VMs that the store names, this one included.
        self.registered: frozenset[str] = frozenset()

    def work_at(self, upstream: str) -> WorkReport:
        """Return what all heard peers have outstanding at an upstream."""
        return self._work.get(upstream, _NO_WORK)

    def heard(self, now_ms: int) -> list[Peer]:
        """Return the peers that are heard at present."""
        return [peer for peer in self.rows() if peer.is_heard(now_ms)]

    def unix_ms(self, now_ms: int) -> int:
        """Return the time of day; it does not jump while this process runs."""
        return self.started_unix_ms + now_ms - self.started_at_ms

    def heard_names(self, now_ms: int) -> frozenset[str]:
        """Return the names of the VMs that are heard, this one included."""
        return frozenset({self.own_name, *(peer.report.vm for peer in self.heard(now_ms))})

    def vms(self, now_ms: int) -> int:
        """Return how many VMs there are, heard or not, this one included."""
        known = set(self._rows)
        if now_ms - self.started_at_ms < _REGISTERED_COUNT_MS:
            known |= self.registered
        return len(known - {self.own_name}) + 1

    def interval_ms(self, shortest_ms: int) -> int:
        """Return how often a VM of a site of this size reports."""
        return int(shortest_ms * max(1.0, (len(self) + 1) / _FREQUENT_VMS))

    def silent_zones(self, now_ms: int) -> frozenset[str]:
        """Return the availability zones of which VMs are known and none is heard."""
        zones = {peer.report.availability_zone for peer in self.rows()}
        heard = {peer.report.availability_zone for peer in self.heard(now_ms)}
        return frozenset(zones - heard)

    def vms_outside(self, zones: Container[str], now_ms: int) -> int:
        """Return how many VMs there are, without those that are unheard in these zones."""
        left_out = sum(
            not peer.is_heard(now_ms) and peer.report.availability_zone in zones
            for peer in self.rows()
        )
        return self.vms(now_ms) - left_out

    def heard_use(self, own_units: int, now_ms: int) -> float:
        """Return the share of all use that is due to VMs that are heard, this one included.

        What an unheard VM used is compared with what this one used when it was last heard, so
        that both parts of a divided site come to the same division. A VM that was never heard
        is thought to use as much as this one.
        """
        heard = 1.0
        unheard = float(self.vms(now_ms) - 1 - len(self))
        for peer in self.rows():
            used = sum(spent.units for spent in peer.report.spent.values())
            if peer.is_heard(now_ms):
                heard += _use_ratio(used, own_units)
            else:
                unheard += _use_ratio(used, peer.own_units)
        return heard / (heard + max(0.0, unheard))

    def waiting_before(self, service: str, tier_rank: int, deadline_ms: int, now_ms: int) -> int:
        """Return how many requests of peers come before one that waits here.

        A peer that has no work at upstreams may not reach them, and is not waited for.
        """
        found = 0
        for peer in self.rows():
            told = peer.report.waiting.get(service)
            if told is None or not peer.report.work:
                continue
            if now_ms - peer.heard_at_ms > _WAITING_AGE_MS:
                continue
            first_ms = peer.heard_at_ms + told.deadline_in_ms + _EQUAL_DEADLINE_MS
            if told.tier_rank < tier_rank:
                found += min(_WAITING_LIMIT, told.requests)
            elif told.tier_rank == tier_rank and first_ms < deadline_ms:
                found += 1
        return found

    def sum_work(self, now_ms: int) -> None:
        """Sum anew what the heard peers have outstanding, and forget peers that are gone."""
        for name in [n for n, peer in self.items() if now_ms - peer.heard_at_ms > GONE_MS]:
            self.remove(name)
        self._work = _summed(peer.report.work for peer in self.heard(now_ms))

    def add_work(self, before: PeerReport | None, after: PeerReport) -> None:
        """Take one peer's newer report into the sums."""
        for upstream, work in (before.work if before else {}).items():
            _add(self._work, upstream, -work.requests, -work.pending_tokens)
        for upstream, work in after.work.items():
            _add(self._work, upstream, work.requests, work.pending_tokens)


_NO_WORK = WorkReport(0, 0)


def _use_ratio(used: int, own_units: int) -> float:
    low, high = _USE_RATIO_BOUNDS
    return min(high, max(low, (used + 1) / (own_units + 1)))


def _add(sums: dict[str, WorkReport], upstream: str, requests: int, tokens: int) -> None:
    work = sums.get(upstream, _NO_WORK)
    sums[upstream] = WorkReport(
        max(0, work.requests + requests), max(0, work.pending_tokens + tokens)
    )


def _summed(reports: Iterable[dict[str, WorkReport]]) -> dict[str, WorkReport]:
    sums: dict[str, WorkReport] = {}
    for one in reports:
        for upstream, work in one.items():
            _add(sums, upstream, work.requests, work.pending_tokens)
    return sums
