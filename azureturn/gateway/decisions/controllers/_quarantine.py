"""Puts prompts that end engines into quarantine, on all VMs and across restarts."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogQuarantineChange, WriteQuarantineRecord
from azureturn.gateway.decisions._crash_analysis import find_crashing_prompts
from azureturn.gateway.decisions._crashes import CrashTable
from azureturn.gateway.decisions._events import (
    PeerReportReceived,
    PromptQuarantined,
    ReportRequested,
    ViewChanged,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._quarantine import QuarantineTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import QuarantinedPrompt, QuarantineRecord

#: A crash is taken into account after this multiple of the report interval, so that peers have had
#: time to report that they got answers to the suspected prompts.
_REPORT_INTERVALS = 2.5
#: Additional delay of a write for each live VM whose name sorts before this VM's.
_STAGGER_MS = 400
_WRITE_RETRY_MS = 900


@gateway_controller("quarantine")
class QuarantineController(GatewayController):
    """Judges the crashes that all VMs have seen, and shares the result by reports and the store.

    A quarantined part is released as soon as a request with it is answered.
    """

    reads = (ViewTable, PeerTable, CrashTable)
    writes = (QuarantineTable,)
    after = ("views", "reports", "crashes")

    #: Since when the store lacks a prompt that this VM has in quarantine; 0 if it lacks none.
    _unrecorded_since_ms = 0
    _write_requested_at_ms = 0

    @on(ViewChanged)
    def _on_view(self, event: ViewChanged, context: Context) -> None:
        record = self.board.read(ViewTable).current().quarantine_record
        for prompt in record.prompts if record else ():
            self._add(prompt, "store", context)

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        if event.report.vm != self.settings.vm.name:
            for prompt in event.report.quarantined:
                self._add(prompt, event.report.vm, context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        crashes = self.board.read(CrashTable)
        quarantine = self.board.write(QuarantineTable)
        if not len(crashes) and not len(quarantine):
            return
        quarantine.remove_expired(self._unix_ms(context))
        self._release_cleared(context)
        for part_ids in self._find_new(context):
            prompt = QuarantinedPrompt(part_ids, self._unix_ms(context))
            self._add(prompt, "this VM", context)
        self._write_record(context)

    def _find_new(self, context: Context) -> list[frozenset[str]]:
        peers = self.board.read(PeerTable)
        interval_ms = peers.interval_ms(self.settings.limits.report_interval_ms)
        settled_at_ms = context.now_ms - _REPORT_INTERVALS * interval_ms
        crashes = self.board.read(CrashTable)
        return find_crashing_prompts(
            crashes.rows(),
            [prompt.part_ids for prompt in self.board.read(QuarantineTable).rows()],
            crashes.is_cleared,
            settled_at_ms=settled_at_ms,
        )

    def _add(self, prompt: QuarantinedPrompt, source: str, context: Context) -> None:
        """Put a prompt into quarantine, without the parts that have been cleared since."""
        suspected = self._uncleared(prompt, context)
        prompt = QuarantinedPrompt(suspected, prompt.since_unix_ms)
        if not self.board.write(QuarantineTable).add(prompt, self._unix_ms(context)):
            return
        self._log(suspected, source, "in quarantine", context)
        context.post(PromptQuarantined(suspected))
        context.post(ReportRequested())

    def _release_cleared(self, context: Context) -> None:
        """Release quarantined parts with which requests have been answered since."""
        quarantine = self.board.write(QuarantineTable)
        for prompt in list(quarantine.rows()):
            suspected = self._uncleared(prompt, context)
            if suspected == prompt.part_ids:
                continue
            quarantine.remove(prompt.part_ids)
            self._log(prompt.part_ids - suspected, "this VM", "cleared", context)
            self._add(QuarantinedPrompt(suspected, prompt.since_unix_ms), "this VM", context)

    def _uncleared(self, prompt: QuarantinedPrompt, context: Context) -> frozenset[str]:
        crashes = self.board.read(CrashTable)
        since_ms = context.now_ms - (self._unix_ms(context) - prompt.since_unix_ms)
        return frozenset(part for part in prompt.part_ids if not crashes.is_cleared(part, since_ms))

    def _write_record(self, context: Context) -> None:
        """Write the record if it differs from this VM's quarantine; VMs wait in turn."""
        view = self.board.read(ViewTable).current()
        record = QuarantineRecord(tuple(self.board.read(QuarantineTable).rows()))
        stored = view.quarantine_record or QuarantineRecord(())
        if not view.revision or stored.part_sets == record.part_sets:
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

    def _log(self, part_ids: frozenset[str], source: str, outcome: str, context: Context) -> None:
        runs = {
            crash.run
            for crash in self.board.read(CrashTable).rows()
            if any(part_ids <= prompt for prompt in crash.prompts)
        }
        context.act(LogQuarantineChange(part_ids, source, len(runs), outcome))

    def _unix_ms(self, context: Context) -> int:
        return self.board.read(PeerTable).unix_ms(context.now_ms)
