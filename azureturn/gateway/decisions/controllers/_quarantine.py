"""Puts requests that end upstreams into quarantine, on all VMs and across restarts."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogQuarantineChange, WriteQuarantineRecord
from azureturn.gateway.decisions._crash_analysis import find_crashing_traits
from azureturn.gateway.decisions._crashes import CrashTable
from azureturn.gateway.decisions._events import (
    PeerReportReceived,
    ReportRequested,
    TraitsQuarantined,
    ViewChanged,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._quarantine import QuarantineTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import QuarantinedTraits, QuarantineRecord

#: A crash is taken into account after this multiple of the report interval, so that peers have had
#: time to report that they got answers to the suspected requests.
_REPORT_INTERVALS = 2.5
#: Additional delay of a write for each live VM whose name sorts before this VM's.
_STAGGER_MS = 400
_WRITE_RETRY_MS = 900


@gateway_controller("quarantine")
class QuarantineController(GatewayController):
    """Judges the crashes that all VMs have seen, and shares the result by reports and the store.

    A quarantined trait is released as soon as a request with it is answered.
    """

    reads = (ViewTable, PeerTable, CrashTable)
    writes = (QuarantineTable,)
    after = ("views", "reports", "crashes")

    #: Since when the store lacks a quarantine that this VM has; 0 if it lacks none.
    _unrecorded_since_ms = 0
    _write_requested_at_ms = 0

    @on(ViewChanged)
    def _on_view(self, event: ViewChanged, context: Context) -> None:
        record = self.board.read(ViewTable).current().quarantine_record
        for quarantined in record.quarantined if record else ():
            self._add(quarantined, "store", context)

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        if event.report.vm != self.settings.vm.name:
            for quarantined in event.report.quarantined:
                self._add(quarantined, event.report.vm, context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        crashes = self.board.read(CrashTable)
        quarantine = self.board.write(QuarantineTable)
        if not len(crashes) and not len(quarantine):
            return
        quarantine.remove_expired(self._unix_ms(context))
        self._release_cleared(context)
        for traits in self._find_new(context):
            quarantined = QuarantinedTraits(traits, self._unix_ms(context))
            self._add(quarantined, "this VM", context)
        self._write_record(context)

    def _find_new(self, context: Context) -> list[frozenset[str]]:
        peers = self.board.read(PeerTable)
        interval_ms = peers.interval_ms(self.settings.limits.report_interval_ms)
        settled_at_ms = context.now_ms - _REPORT_INTERVALS * interval_ms
        crashes = self.board.read(CrashTable)
        return find_crashing_traits(
            crashes.rows(),
            [quarantined.traits for quarantined in self.board.read(QuarantineTable).rows()],
            crashes.is_cleared,
            settled_at_ms=settled_at_ms,
        )

    def _add(self, quarantined: QuarantinedTraits, source: str, context: Context) -> None:
        """Put traits into quarantine, without those that have been cleared since."""
        suspected = self._uncleared(quarantined, context)
        remaining = QuarantinedTraits(suspected, quarantined.since_unix_ms)
        if not self.board.write(QuarantineTable).add(remaining, self._unix_ms(context)):
            return
        self._log(suspected, source, "in quarantine", context)
        context.post(TraitsQuarantined(suspected))
        context.post(ReportRequested())

    def _release_cleared(self, context: Context) -> None:
        """Release quarantined traits with which requests have been answered since."""
        quarantine = self.board.write(QuarantineTable)
        for quarantined in list(quarantine.rows()):
            suspected = self._uncleared(quarantined, context)
            if suspected == quarantined.traits:
                continue
            quarantine.remove(quarantined.traits)
            self._log(quarantined.traits - suspected, "this VM", "cleared", context)
            remaining = QuarantinedTraits(suspected, quarantined.since_unix_ms)
            self._add(remaining, "this VM", context)

    def _uncleared(self, quarantined: QuarantinedTraits, context: Context) -> frozenset[str]:
        crashes = self.board.read(CrashTable)
        since_ms = context.now_ms - (self._unix_ms(context) - quarantined.since_unix_ms)
        return frozenset(
            trait for trait in quarantined.traits if not crashes.is_cleared(trait, since_ms)
        )

    def _write_record(self, context: Context) -> None:
        """Write the record if it differs from this VM's quarantine; VMs wait in turn."""
        view = self.board.read(ViewTable).current()
        record = QuarantineRecord(tuple(self.board.read(QuarantineTable).rows()))
        stored = view.quarantine_record or QuarantineRecord(())
        if not view.revision or stored.trait_sets == record.trait_sets:
            self._unrecorded_since_ms = 0
            return
        now_ms = context.now_ms
        if not self._unrecorded_since_ms:
            self._unrecorded_since_ms = now_ms
        turn_ms = self.board.read(PeerTable).vms_ahead(now_ms) * _STAGGER_MS
        if now_ms - self._unrecorded_since_ms < turn_ms:
            return
        if now_ms - self._write_requested_at_ms < _WRITE_RETRY_MS:
            return
        self._write_requested_at_ms = now_ms
        context.act(WriteQuarantineRecord(record, view.quarantine_record_revision))

    def _log(self, traits: frozenset[str], source: str, outcome: str, context: Context) -> None:
        runs = {
            crash.run
            for crash in self.board.read(CrashTable).rows()
            if any(traits <= suspect.traits for suspect in crash.suspects)
        }
        context.act(LogQuarantineChange(traits, source, len(runs), outcome))

    def _unix_ms(self, context: Context) -> int:
        return self.board.read(PeerTable).unix_ms(context.now_ms)
