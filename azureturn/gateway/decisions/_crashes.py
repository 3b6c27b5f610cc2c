"""What all VMs have seen of engines whose processes ended while they answered requests.

An engine that ends breaks off all its answers at once, and only one of the requests may be the
cause. A request whose answer had just begun is a suspect. A part of a prompt is cleared if a
request with it has been answered: it does not end engines.
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
_MAX_CLEARED_PARTS = 4_096
#: Age up to which crashes and cleared parts are reported, and the maximum number of each.
_REPORTED_AGE_MS = 30_000
_MAX_REPORTED_CRASHES = 8
_MAX_REPORTED_PROMPTS = 12
_MAX_REPORTED_PARTS = 64


@dataclass(frozen=True)
class Crash:
    """The end of an engine's process, as one VM has seen it."""

    #: Name of the engine and start time of the run that ended.
    run: UpstreamRun
    at_ms: int
    #: The part ids of each prompt that the engine had just begun to answer; it may be empty.
    prompts: tuple[frozenset[str], ...]


@dataclass(frozen=True)
class CrashReport:
    """A crash as a VM reports it to its peers; VMs have no common clock."""

    run: UpstreamRun
    age_ms: int
    prompts: tuple[frozenset[str], ...]


class CrashTable(Table[tuple[str, UpstreamRun], Crash]):
    """Crashes keyed by the VM that has seen them and the run that ended; and cleared parts."""

    def __init__(self) -> None:
        super().__init__()
        self._probed_at_ms: dict[UpstreamRun, int] = {}
        #: Answers of this VM that broke off, while it is not known whether the process ended.
        self._unconfirmed: dict[UpstreamRun, Crash] = {}
        #: When a request with the part was last seen to be answered, the oldest first.
        self._cleared_at_ms: OrderedDict[str, int] = OrderedDict()

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

    def record_broken(self, run: UpstreamRun, suspect: frozenset[str] | None, now_ms: int) -> None:
        """Record a broken answer; ``suspect`` has the parts of a prompt just begun to answer."""
        before = self._unconfirmed.get(run)
        if before is None or now_ms - before.at_ms > _CONFIRMATION_MS:
            before = Crash(run, now_ms, ())
        prompts = before.prompts if suspect is None else (*before.prompts, suspect)
        self._unconfirmed[run] = Crash(run, before.at_ms, prompts)

    def confirm(self, vm: str, run: UpstreamRun, now_ms: int) -> bool:
        """Record that a run has ended; return whether it had broken off answers to this VM."""
        crash = self._unconfirmed.pop(run, None)
        if crash is None or now_ms - crash.at_ms > _CONFIRMATION_MS:
            return False
        before = self.get((vm, run))
        prompts = crash.prompts if before is None else (*before.prompts, *crash.prompts)
        self._put_bounded(vm, Crash(run, crash.at_ms, prompts), now_ms)
        return True

    def record_report(self, vm: str, report: CrashReport, now_ms: int) -> None:
        """Record a crash that a peer has seen."""
        before = self.get((vm, report.run))
        if before is None or len(before.prompts) < len(report.prompts):
            self._put_bounded(vm, Crash(report.run, now_ms - report.age_ms, report.prompts), now_ms)

    def record_cleared(self, part_ids: Iterable[str], at_ms: int) -> None:
        """Record that a request with these parts was answered."""
        for part_id in part_ids:
            last_ms = self._cleared_at_ms.get(part_id, at_ms)
            self._cleared_at_ms[part_id] = max(last_ms, at_ms)
            self._cleared_at_ms.move_to_end(part_id)
        while len(self._cleared_at_ms) > _MAX_CLEARED_PARTS:
            self._cleared_at_ms.popitem(last=False)

    def is_cleared(self, part_id: str, since_ms: int) -> bool:
        """Return whether a request with the part was answered at ``since_ms`` or later."""
        cleared_at_ms = self._cleared_at_ms.get(part_id)
        return cleared_at_ms is not None and cleared_at_ms >= since_ms

    def reported_crashes(self, vm: str, now_ms: int) -> tuple[CrashReport, ...]:
        """Return this VM's recent crashes for its report."""
        recent = [
            CrashReport(run, now_ms - crash.at_ms, crash.prompts[:_MAX_REPORTED_PROMPTS])
            for (seen_by, run), crash in self.items()
            if seen_by == vm and now_ms - crash.at_ms <= _REPORTED_AGE_MS
        ]
        return tuple(recent[-_MAX_REPORTED_CRASHES:])

    def reported_cleared_ages_ms(
        self, quarantined_parts: frozenset[str], now_ms: int
    ) -> dict[str, int]:
        """Return the age of the clearing of each part that is suspected or in quarantine."""
        suspected = quarantined_parts.union(
            *(prompt for crash in self.rows() for prompt in crash.prompts)
        )
        ages_ms = {
            part_id: now_ms - self._cleared_at_ms[part_id]
            for part_id in suspected & self._cleared_at_ms.keys()
        }
        recent = sorted(
            (age_ms, part_id) for part_id, age_ms in ages_ms.items() if age_ms <= _REPORTED_AGE_MS
        )
        return {part_id: age_ms for age_ms, part_id in recent[:_MAX_REPORTED_PARTS]}

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
