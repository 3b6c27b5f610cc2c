"""What all VMs have seen of upstreams whose processes ended while they ran requests.

An upstream that ends breaks off all its answers at once, and only one of the requests may be the
cause. A request that the upstream may just have begun to run is a suspect. A trait of a request is
cleared if a request with it has been answered: it does not end upstreams.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.site import UpstreamRun

#: An upstream that breaks off several answers at once is probed once in this time.
_PROBE_INTERVAL_MS = 100
#: A request is a suspect if its answer had begun at most this long before the process ended.
SUSPECT_ANSWERING_MS = 500
#: A request is deemed answered, for the purpose of clearing, after answering for this long.
CLEARED_ANSWERING_MS = 2_000
#: How long a broken answer waits for the confirmation that the upstream's process has ended.
_CONFIRMATION_MS = 2_000
_RETENTION_MS = 600_000
_MAX_CRASHES = 128
_MAX_CLEARED_TRAITS = 4_096
#: Age up to which crashes and cleared traits are reported, and the maximum number of each.
_REPORTED_AGE_MS = 30_000
_MAX_REPORTED_CRASHES = 8
_MAX_REPORTED_SUSPECTS = 12
_MAX_REPORTED_TRAITS = 64


@dataclass(frozen=True)
class Suspect:
    """A request that an upstream may just have begun to run when its process ended."""

    #: Without prompt parts if the upstream had not begun to answer.
    traits: frozenset[str]
    #: Time from the sending of the request to the end of the process.
    sent_before_ms: int


@dataclass(frozen=True)
class Crash:
    """The end of an upstream's process, as one VM has seen it."""

    #: Name of the upstream and start time of the run that ended.
    run: UpstreamRun
    at_ms: int
    suspects: tuple[Suspect, ...]


@dataclass(frozen=True)
class CrashReport:
    """A crash as a VM reports it to its peers; VMs have no common clock."""

    run: UpstreamRun
    age_ms: int
    suspects: tuple[Suspect, ...]


class CrashTable(Table[tuple[str, UpstreamRun], Crash]):
    """Crashes keyed by the VM that has seen them and the run that ended; and cleared traits."""

    def __init__(self) -> None:
        super().__init__()
        self._probed_at_ms: dict[UpstreamRun, int] = {}
        #: Answers of this VM that broke off, while it is not known whether the process ended.
        self._unconfirmed: dict[UpstreamRun, Crash] = {}
        #: When a request with the trait was last seen to be answered, the oldest first.
        self._cleared_at_ms: OrderedDict[str, int] = OrderedDict()
        self._suspected_traits: frozenset[str] = frozenset()

    def take_probe(self, run: UpstreamRun, now_ms: int) -> bool:
        """Return whether a run is to be probed now, and if so record that it is."""
        oldest_ms = now_ms - _PROBE_INTERVAL_MS
        self._probed_at_ms = {
            probed: at_ms for probed, at_ms in self._probed_at_ms.items() if at_ms > oldest_ms
        }
        if run in self._probed_at_ms:
            return False
        self._probed_at_ms[run] = now_ms
        return True

    def record_broken(self, run: UpstreamRun, suspect: Suspect | None, now_ms: int) -> None:
        """Record a broken answer; ``suspect`` is None if the request cannot be the cause."""
        before = self._unconfirmed.get(run)
        if before is None or now_ms - before.at_ms > _CONFIRMATION_MS:
            before = Crash(run, now_ms, ())
        suspects = before.suspects if suspect is None else (*before.suspects, suspect)
        self._unconfirmed[run] = Crash(run, before.at_ms, suspects)

    def confirm(self, vm: str, run: UpstreamRun, now_ms: int) -> bool:
        """Record that a run has ended; return whether it had broken off answers to this VM."""
        crash = self._unconfirmed.pop(run, None)
        if crash is None or now_ms - crash.at_ms > _CONFIRMATION_MS:
            return False
        before = self.get((vm, run))
        suspects = crash.suspects if before is None else (*before.suspects, *crash.suspects)
        self._put_bounded(vm, Crash(run, crash.at_ms, suspects), now_ms)
        return True

    def record_report(self, vm: str, report: CrashReport, now_ms: int) -> None:
        """Record a crash that a peer has seen."""
        before = self.get((vm, report.run))
        if before is None or len(before.suspects) < len(report.suspects):
            crash = Crash(report.run, now_ms - report.age_ms, report.suspects)
            self._put_bounded(vm, crash, now_ms)

    def is_suspected(self, trait: str) -> bool:
        """Return whether a suspect of a known crash has the trait."""
        return trait in self._suspected_traits

    def record_cleared(self, traits: Iterable[str], at_ms: int) -> None:
        """Record that a request with these traits was answered."""
        for trait in traits:
            last_ms = self._cleared_at_ms.get(trait, at_ms)
            self._cleared_at_ms[trait] = max(last_ms, at_ms)
            self._cleared_at_ms.move_to_end(trait)
        while len(self._cleared_at_ms) > _MAX_CLEARED_TRAITS:
            self._cleared_at_ms.popitem(last=False)

    def is_cleared(self, trait: str, since_ms: int) -> bool:
        """Return whether a request with the trait was answered at ``since_ms`` or later."""
        cleared_at_ms = self._cleared_at_ms.get(trait)
        return cleared_at_ms is not None and cleared_at_ms >= since_ms

    def reported_crashes(self, vm: str, now_ms: int) -> tuple[CrashReport, ...]:
        """Return this VM's recent crashes for its report."""
        recent = [
            CrashReport(run, now_ms - crash.at_ms, crash.suspects[:_MAX_REPORTED_SUSPECTS])
            for (seen_by, run), crash in self.items()
            if seen_by == vm and now_ms - crash.at_ms <= _REPORTED_AGE_MS
        ]
        return tuple(recent[-_MAX_REPORTED_CRASHES:])

    def reported_cleared_ages_ms(
        self, quarantined_traits: frozenset[str], now_ms: int
    ) -> dict[str, int]:
        """Return the age of the clearing of each trait that is suspected or in quarantine."""
        suspected = quarantined_traits | self._suspected_traits
        ages_ms = {
            trait: now_ms - self._cleared_at_ms[trait]
            for trait in suspected & self._cleared_at_ms.keys()
        }
        recent = sorted(
            (age_ms, trait) for trait, age_ms in ages_ms.items() if age_ms <= _REPORTED_AGE_MS
        )
        return {trait: age_ms for age_ms, trait in recent[:_MAX_REPORTED_TRAITS]}

    def _put_bounded(self, vm: str, crash: Crash, now_ms: int) -> None:
        self.remove((vm, crash.run))
        self.put((vm, crash.run), crash)
        oldest_ms = now_ms - _RETENTION_MS
        expired = [key for key, row in self.items() if row.at_ms < oldest_ms]
        excess = len(self) - len(expired) - _MAX_CRASHES
        if excess > 0:
            expired += [key for key, _ in self.items() if key not in expired][:excess]
        for key in expired:
            self.remove(key)
        self._suspected_traits = frozenset[str]().union(
            *(suspect.traits for row in self.rows() for suspect in row.suspects)
        )
