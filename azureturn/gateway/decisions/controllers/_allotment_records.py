"""Keeps in the store what organisations have used, for a start of all VMs at once."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import TellRecall, WriteAllotmentRecord
from azureturn.gateway.decisions._allotments import AllotmentTable
from azureturn.gateway.decisions._events import ViewChanged
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import AllotmentRecord

#: How old the record becomes before it is written anew: usually, and while an organisation is
#: near its limit.
_INTERVAL_MS = 3_000
_URGENT_INTERVAL_MS = 1_000
#: A VM waits this much longer for each VM that goes before it.
_TURN_MS = 400
_ASK_AGAIN_MS = 900


@gateway_controller("allotment_records")
class AllotmentRecordController(GatewayController):
    """Lets one VM write the record; the others do where it stays away."""

    reads = (ViewTable, PeerTable)
    writes = (AllotmentTable,)
    after = ("views", "admission", "reports")

    _first_view_seen = False
    _revision = 0
    _written_at_ms = 0
    _asked_at_ms = 0

    @on(ViewChanged)
    def _on_view(self, event: ViewChanged, context: Context) -> None:
        view = self.board.read(ViewTable).current()
        if view.allotment_record_revision != self._revision:
            self._revision = view.allotment_record_revision
            self._written_at_ms = context.now_ms
        if not self._first_view_seen:
            self._first_view_seen = True
            self._written_at_ms = context.now_ms
            self._recall(context)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        if not self._is_turn(context.now_ms):
            return
        peers = self.board.read(PeerTable)
        processes = self.board.write(AllotmentTable).processes(
            (peers.own_name, peers.own_boot),
            self.settings.bounds.allotment.window_ms,
            context.now_ms,
        )
        if not processes:
            return
        self._asked_at_ms = context.now_ms
        record = AllotmentRecord(peers.unix_ms(context.now_ms), processes)
        context.act(WriteAllotmentRecord(record, self._revision))

    def _is_turn(self, now_ms: int) -> bool:
        """Return whether it is this VM's turn to write; the lowest name goes first."""
        if not self._first_view_seen or now_ms - self._asked_at_ms < _ASK_AGAIN_MS:
            return False
        waited_ms = now_ms - self._written_at_ms
        urgent_at_ms = self.board.read(AllotmentTable).urgent_at_ms
        is_urgent = urgent_at_ms is not None and now_ms - urgent_at_ms < _INTERVAL_MS
        interval_ms = _URGENT_INTERVAL_MS if is_urgent else _INTERVAL_MS
        if waited_ms < interval_ms:
            return False
        own = self.settings.vm.name
        before = sum(name < own for name in self.board.read(PeerTable).heard_names(now_ms))
        return waited_ms >= interval_ms + before * _TURN_MS

    def _recall(self, context: Context) -> None:
        """Take in what an earlier process of this VM, and all the others, let pass."""
        vm = self.settings.vm
        if vm.is_first_start:
            return
        view = self.board.read(ViewTable).current()
        record = view.allotment_record
        table = self.board.write(AllotmentTable)
        unix_ms = self.board.read(PeerTable).unix_ms(context.now_ms)
        relied_on = table.recall(record, unix_ms=unix_ms, now_ms=context.now_ms)
        if not relied_on and vm.name in view.vms:
            table.restarted_at_ms = context.now_ms
        age_ms = unix_ms - record.written_unix_ms if record else -1
        processes = len(record.processes) if record else 0
        context.act(TellRecall(processes, age_ms, relied_on))
