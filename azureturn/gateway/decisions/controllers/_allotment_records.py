"""Writes the organisations' usage to the store, where it survives a restart of all VMs."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogAllotmentRestore, WriteAllotmentRecord
from azureturn.gateway.decisions._allotments import AllotmentTable
from azureturn.gateway.decisions._events import ViewChanged
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._store_calls import is_follower
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import AllotmentRecord

#: Age at which the record is replaced: normally, and while an organisation is near its limit.
_INTERVAL_MS = 3_000
_URGENT_INTERVAL_MS = 1_000
#: Additional delay of a VM for each live VM whose name sorts before its own, so that usually only
#: one VM writes.
_STAGGER_MS = 400
_WRITE_RETRY_MS = 900


@gateway_controller("allotment_records")
class AllotmentRecordController(GatewayController):
    """Writes the allotment record from one VM; another VM takes over if that one fails."""

    reads = (ViewTable, PeerTable)
    writes = (AllotmentTable,)
    after = ("views", "admission", "reports")

    _first_view_seen = False
    _revision = 0
    _written_at_ms = 0
    _write_requested_at_ms = 0

    @on(ViewChanged)
    def _on_view(self, event: ViewChanged, context: Context) -> None:
        view = self.board.read(ViewTable).current()
        if view.allotment_record_revision != self._revision:
            self._revision = view.allotment_record_revision
            self._written_at_ms = context.now_ms
        if not self._first_view_seen:
            self._first_view_seen = True
            self._written_at_ms = context.now_ms
            self._restore(context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if not self._may_write(context.now_ms):
            return
        peers = self.board.read(PeerTable)
        processes = self.board.write(AllotmentTable).processes(
            (peers.own_name, peers.own_boot),
            self.settings.bounds.allotment.window_ms,
            context.now_ms,
        )
        if not processes:
            return
        self._write_requested_at_ms = context.now_ms
        record = AllotmentRecord(peers.unix_ms(context.now_ms), processes)
        context.act(WriteAllotmentRecord(record, self._revision))

    def _may_write(self, now_ms: int) -> bool:
        """Return whether this VM should write now; VMs wait in the order of their names."""
        if not self._first_view_seen or not len(self.board.read(AllotmentTable)):
            return False
        if now_ms - self._write_requested_at_ms < _WRITE_RETRY_MS:
            return False
        record_age_ms = now_ms - self._written_at_ms
        near_limit_at_ms = self.board.read(AllotmentTable).near_limit_at_ms
        is_near_limit = near_limit_at_ms is not None and now_ms - near_limit_at_ms < _INTERVAL_MS
        interval_ms = _URGENT_INTERVAL_MS if is_near_limit else _INTERVAL_MS
        if record_age_ms < interval_ms:
            return False
        if is_follower(
            self.board.read(PeerTable), self.board.read(ViewTable), self.settings.vm, now_ms
        ):
            # Peers do not pass the record on, so this VM does not know the latest one.
            return False
        vms_ahead = self.board.read(PeerTable).vms_ahead(now_ms)
        return record_age_ms >= interval_ms + vms_ahead * _STAGGER_MS

    def _restore(self, context: Context) -> None:
        """Restore the usage of this VM's previous process and of all other VMs."""
        vm = self.settings.vm
        if vm.is_first_start:
            return
        view = self.board.read(ViewTable).current()
        record = view.allotment_record
        table = self.board.write(AllotmentTable)
        unix_ms = self.board.read(PeerTable).unix_ms(context.now_ms)
        record_used = table.restore(record, unix_ms=unix_ms, now_ms=context.now_ms)
        if not record_used and vm.name in view.vms:
            table.restarted_at_ms = context.now_ms
        age_ms = unix_ms - record.written_unix_ms if record else -1
        processes = len(record.processes) if record else 0
        context.act(LogAllotmentRestore(processes, age_ms, record_used))
