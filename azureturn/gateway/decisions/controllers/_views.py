"""Replaces this VM's view by newer ones, and updates the tables that depend on it."""

from azureturn.framework import Context, Tick, on
from azureturn.gateway.decisions._actions import LogRetainedUpstreams
from azureturn.gateway.decisions._events import (
    GatewayStarted,
    PeerReportReceived,
    PlacementRequested,
    StoreLost,
    StoreReached,
    ViewChanged,
)
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._prefix_cache import PrefixCacheTable
from azureturn.gateway.decisions._tables import GatewayQueueTable, ViewTable
from azureturn.gateway.decisions._upstream_state import UpstreamStateTable
from azureturn.gateway.decisions.controllers._registry import (
    GatewayController,
    gateway_controller,
)
from azureturn.gateway.site import era_of

#: Time after the return of the store in which upstreams that run have renewed registrations that
#: lapsed during an outage.
_RENEWAL_MS = 2_000
#: How long before the end of its drain an upstream that has left must have got its last request.
_DRAIN_MARGIN_MS = 200
#: Number of upstreams that are no longer registered but whose state is retained, in case they
#: register again.
_REMOVED_UPSTREAMS_LIMIT = 32


@gateway_controller("views")
class ViewController(GatewayController):
    """Accepts views of increasing revision only, so that an outdated one never takes effect."""

    reads = (GatewayQueueTable,)
    writes = (ViewTable, PeerTable, UpstreamStateTable, PrefixCacheTable)

    #: Duration of the latest outage of the store.
    _outage_ms = 0

    @on(GatewayStarted)
    def _on_gateway_started(self, event: GatewayStarted, context: Context) -> None:
        peers = self.board.write(PeerTable)
        peers.own_name = event.vm
        peers.own_boot = context.random.getrandbits(62)
        peers.started_at_ms = context.now_ms
        peers.started_unix_ms = event.unix_ms

    @on(StoreReached)
    def _on_store_reached(self, event: StoreReached, context: Context) -> None:
        views = self.board.write(ViewTable)
        views.record_store_reached(context.now_ms)
        self._outage_ms = event.outage_ms
        if event.outage_ms:
            self._retain_lapsed(context)

    def _retain_lapsed(self, context: Context) -> None:
        # A missing upstream may also have left, so it is used for no longer than it drains.
        retention_ms = min(_RENEWAL_MS, self.settings.bounds.drain_ms - _DRAIN_MARGIN_MS)
        self.board.write(ViewTable).retain_lapsed(context.now_ms + retention_ms)

    @on(StoreLost)
    def _on_store_lost(self, event: StoreLost, context: Context) -> None:
        self.board.write(ViewTable).record_store_lost()

    @on(PeerReportReceived)
    def _on_peer_report(self, event: PeerReportReceived, context: Context) -> None:
        """Note whether the peer knows better, and drop upstreams that are not registered.

        They are dropped if the store has answered the peer for long.

        Either only this VM was out of the store's reach, so that no registration lapsed, or all
        that did have been renewed since.
        """
        views = self.board.write(ViewTable)
        is_in_contact = event.report.store_contact_ms is not None
        if is_in_contact and not views.is_older_than(event.report.configuration_version):
            views.confirmed_by_peer_at_ms = context.now_ms
        if not views.retains_lapsed(context.now_ms):
            return
        if era_of(event.report.view_revision) < views.current().era:
            # The peer has not noticed yet that the store came back from a copy.
            return
        if (event.report.store_contact_ms or 0) >= _RENEWAL_MS:
            dropped = views.drop_lapsed(context.now_ms)
            if dropped:
                names = tuple(sorted(dropped))
                context.act(LogRetainedUpstreams(names, self._outage_ms, "dropped"))

    @on(Tick)
    def _on_tick(self, event: Tick, context: Context) -> None:
        """Drop the state of upstreams that are not registered and run no request of this VM."""
        upstreams = self.board.read(ViewTable).current().upstreams
        states = self.board.write(UpstreamStateTable)
        removed = [
            name for name, state in states.items() if name not in upstreams and not state.requests
        ]
        if len(removed) <= _REMOVED_UPSTREAMS_LIMIT:
            return
        for name in removed:
            states.remove(name)
        self.board.write(PrefixCacheTable).keep_only(upstreams)

    @on(ViewChanged)
    def _on_view_changed(self, event: ViewChanged, context: Context) -> None:
        views = self.board.write(ViewTable)
        if views.current().revision and event.view.era > views.current().era:
            views.record_store_restored(context.now_ms)
            self._retain_lapsed(context)
        retained_before = views.retained_names(context.now_ms)
        if not views.accept(event.view, now_ms=context.now_ms):
            return
        retained = views.retained_names(context.now_ms) - retained_before
        if retained:
            names = tuple(sorted(retained))
            context.act(LogRetainedUpstreams(names, self._outage_ms, "retained"))
        self.board.write(PeerTable).registered_vms = frozenset(event.view.vms)
        for service, queue in self.board.read(GatewayQueueTable).items():
            if len(queue):
                context.post(PlacementRequested(service))
