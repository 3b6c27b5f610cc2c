"""Carries out the operators' move orders: shifts a service's requests to another version."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import WriteMoveStatus
from azureturn.gateway.decisions._events import ReportRequested, ViewChanged
from azureturn.gateway.decisions._moves import Move, MoveTable
from azureturn.gateway.decisions._peer_report import PeerReport
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions._version_comparison import compare_versions, slowdown_reason
from azureturn.gateway.decisions._version_counts import VersionCount
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import MoveOrder, MoveState, MoveStatus, SiteView, era_of

#: Additional delay of a VM's status write for each live VM whose name sorts before its own, so that
#: usually only one VM writes.
_STAGGER_MS = 500
_WRITE_RETRY_MS = 1_000


@gateway_controller("moves")
class MoveController(GatewayController):
    """Compares versions by the answers that all VMs have counted, and publishes move statuses.

    A conditional write to the store completes a move or rolls it back, so that it ends only once.
    """

    reads = (ViewTable, PeerTable)
    writes = (MoveTable,)
    after = ("views",)

    @on(ViewChanged)
    def _on_view(self, event: ViewChanged, context: Context) -> None:
        view = self.board.read(ViewTable).current()
        moves = self.board.write(MoveTable)
        for service, order in view.orders.items():
            revision = view.revision_of(MoveOrder, service)
            move = moves.get(service)
            if move is None or not move.is_ordered_by(order, revision):
                move = Move(service, order.version, order.duration_ms, revision, context.now_ms)
                moves.begin(move)
            moves.put(service, _with_status(move.with_order_revision(revision), view))
        for service, move in list(moves.items()):
            # After a return from a copy the order may be missing until it is written again.
            if service not in view.orders and era_of(move.order_revision) == view.era:
                moves.remove(service)

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        moves = self.board.write(MoveTable)
        for service, move in list(moves.items()):
            if not move.ended and not move.condemned:
                move = self._judged(move, context.now_ms)
                if move.condemned:
                    context.post(ReportRequested())
            state = self._target_state(move, context.now_ms)
            if self._may_write(move, state, context.now_ms):
                move = move.with_write_requested(context.now_ms)
                view = self.board.read(ViewTable).current()
                status = MoveStatus(service, move.version, state)
                revision = view.revision_of(MoveStatus, service)
                context.act(WriteMoveStatus(status, revision, move.condemned_reason))
            moves.put(service, move)

    def _target_state(self, move: Move, now_ms: int) -> MoveState:
        if move.ended:
            return MoveState.COMPLETE if move.completed else MoveState.ROLLED_BACK
        if move.condemned:
            return MoveState.ROLLED_BACK
        if move.is_due(now_ms) and self._has_upstreams(move):
            return MoveState.COMPLETE
        return MoveState.RUNNING

    def _may_write(self, move: Move, state: MoveState, now_ms: int) -> bool:
        """Return whether this VM should write now; VMs wait in the order of their names."""
        view = self.board.read(ViewTable).current()
        status = view.statuses.get(move.service)
        target = MoveStatus(move.service, move.version, state)
        if status == target and view.revision_of(MoveStatus, move.service) > move.order_revision:
            return False
        if move.service not in view.orders:
            # The operator has not written the order again yet.
            return False
        vms_ahead = self.board.read(PeerTable).vms_ahead(now_ms)
        since_ms = now_ms - max(move.write_requested_at_ms, move.began_at_ms)
        if move.write_requested_at_ms:
            return since_ms >= _WRITE_RETRY_MS + vms_ahead * _STAGGER_MS
        return since_ms >= vms_ahead * _STAGGER_MS

    def _judged(self, move: Move, now_ms: int) -> Move:
        """Return a move that follows from all VMs' answers so far."""
        exposure_share = self.settings.bounds.move.share
        peers = [report.routes for report in self._reports_on(move) if report.routes]
        own = self.board.read(MoveTable).reported_evidence(peers)
        is_side_by_side = move.share(now_ms, exposure_share) < 1.0
        comparison = compare_versions(
            move.service, move.version, [own, *peers], is_side_by_side=is_side_by_side
        )
        move = move.with_condemned(self._slowdown_reason(move) or comparison.regression)
        return move.with_suspected(comparison.is_suspected)

    def _reports_on(self, move: Move) -> list[PeerReport]:
        """Return the peers' reports, less those by an earlier or later order for the service."""
        reports = []
        for peer in self.board.read(PeerTable).rows():
            reported = peer.report.moves.get(move.service)
            if reported is None or move.is_of_order(reported.order_revision):
                reports.append(peer.report)
        return reports

    def _slowdown_reason(self, move: Move) -> str:
        counts: dict[bool, VersionCount] = {True: VersionCount(), False: VersionCount()}
        sources = [self.board.read(MoveTable).version_counts]
        sources += [report.versions for report in self._reports_on(move)]
        for version_counts in sources:
            for (service, version), count in version_counts.items():
                if service == move.service:
                    is_new = version == move.version
                    counts[is_new] = counts[is_new].plus(count)
        return slowdown_reason(counts[True], counts[False])

    def _has_upstreams(self, move: Move) -> bool:
        view = self.board.read(ViewTable).current()
        return any(
            upstream.service == move.service and upstream.version == move.version
            for upstream in view.upstreams.values()
        )


def _with_status(move: Move, view: SiteView) -> Move:
    status = view.statuses.get(move.service)
    if status is None or status.version != move.version or status.state is MoveState.RUNNING:
        return move
    if view.revision_of(MoveStatus, move.service) < move.order_revision:
        return move
    return move.with_end(completed=status.state is MoveState.COMPLETE)
