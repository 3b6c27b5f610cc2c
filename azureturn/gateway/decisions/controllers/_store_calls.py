"""Keeps track of what is known of the store, and tells the peers of changes at once."""

from azureturn.framework import Context, on
from azureturn.gateway.decisions._actions import LogStoreRole
from azureturn.gateway.decisions._events import (
    PeerReportReceived,
    ReportRequested,
    StoreAnswered,
    ViewChanged,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._store_calls import StoreCallTable, is_follower
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions._view_lag import shares_store_calls
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)


@gateway_controller("store_calls")
class StoreCallController(GatewayController):
    """Maintains the table of store calls on sites where only some VMs watch the store."""

    reads = (ViewTable, PeerTable)
    writes = (StoreCallTable,)
    after = ("views",)

    #: Digest of the view that contained the last answer of the store.
    _answered_digest: int | None = None
    _watches = True

    @on(StoreAnswered)
    def _on_store_answered(self, event: StoreAnswered, context: Context) -> None:
        self.board.write(StoreCallTable).record_answer(event.asked_at_ms)
        if not self._shares_calls(context.now_ms):
            return
        self._log_role(context)
        digest = self.board.read(ViewTable).current().digest
        if digest != self._answered_digest:
            self._answered_digest = digest
            context.post(ReportRequested())

    @on(ViewChanged)
    def _on_view_changed(self, event: ViewChanged, context: Context) -> None:
        if self._shares_calls(context.now_ms):
            calls = self.board.write(StoreCallTable)
            calls.forget_except({name for name, _ in self.board.read(PeerTable).items()})
            calls.record_view(self.board.read(ViewTable).current())

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        report = event.report
        if report.store is not None and report.vm != self.settings.vm.name:
            view = self.board.read(ViewTable).current()
            self.board.write(StoreCallTable).record_report(report, view, context.now_ms)

    def _log_role(self, context: Context) -> None:
        peers = self.board.read(PeerTable)
        views = self.board.read(ViewTable)
        watches = not is_follower(peers, views, self.settings.vm, context.now_ms)
        if watches != self._watches:
            self._watches = watches
            context.act(LogStoreRole(watches, len(peers.live_peers(context.now_ms))))

    def _shares_calls(self, now_ms: int) -> bool:
        return shares_store_calls(self.board.read(PeerTable).vms(now_ms))
