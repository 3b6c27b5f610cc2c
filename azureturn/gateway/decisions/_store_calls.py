"""When a VM calls the store, so that many VMs together make few calls.

Load pattern: on sites with 24 to 195 VMs each upstream renews its entry every second or so. If all
VMs watch the store, each of them makes several calls a second, and every call is charged.

A VM knows as of when its view has all changes: from its own calls, and from peers with the same
view that state when their own calls began. It calls the store before that becomes too long ago.
Watchers, a few VMs of each zone, call often, so that the others rarely have to.
"""

from dataclasses import dataclass

from azureturn.framework import Blackboard, Table
from azureturn.gateway.decisions._peer_report import PeerReport
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions._tables import ViewTable
from azureturn.gateway.decisions._view_lag import shares_store_calls
from azureturn.gateway.settings import GatewayBounds, GatewayVm
from azureturn.gateway.site import SiteView, era_of

#: With two, a zone that is cut off from the others still has one while the other restarts.
_WATCHERS_PER_ZONE = 2
#: Longest time from the start of a call that asks the store not to wait to its time-out, and a
#: margin for a process that is late.
_CALL_TIMEOUT_MS = 1_100
_MARGIN_MS = 300
_SHORTEST_WAIT_MS = 100
#: Entries may expire in an outage of the store that lasts longer. A VM that has not noticed it
#: would not retain them until they are renewed.
_OUTAGE_NOTICE_MS = 1_000
#: How long the smallest delay of a sender's reports is remembered. The clocks of two VMs drift
#: apart by some 10 ms in this time.
_CLOCK_WINDOW_MS = 120_000


@dataclass(frozen=True)
class StoreCallLimits:
    """Limits of a VM's own calls to the store, which follow from the operators' bounds.

    >>> from azureturn.gateway.decisions.tests.gateway_core_harness import BOUNDS
    >>> StoreCallLimits.from_bounds(BOUNDS)
    StoreCallLimits(known_age_ms=1000, call_interval_ms=6000, wait_ms=600)
    """

    #: Age of what is known of the store at which the VM calls it.
    known_age_ms: int
    #: Longest time between two calls of a VM that learns of all changes from peers, so that it
    #: states truthfully that it is in contact with the store.
    call_interval_ms: int
    #: How long such a call waits at the store for changes.
    wait_ms: int

    @classmethod
    def from_bounds(cls, bounds: GatewayBounds) -> "StoreCallLimits":
        """Return the limits by which the bounds are met without any peer.

        At least half of the smallest bound is left for the call. A connection that has gone
        silent is noticed within the contact time.
        """
        known_age_ms = min(_OUTAGE_NOTICE_MS, bounds.shortest_apply_ms // 2)
        wait_ms = bounds.contact_ms - known_age_ms - _CALL_TIMEOUT_MS - _MARGIN_MS
        wait_ms = max(_SHORTEST_WAIT_MS, min(known_age_ms, wait_ms))
        return cls(known_age_ms, 2 * bounds.contact_ms, wait_ms)


@dataclass(frozen=True)
class FollowerCall:
    """The next call of a VM that learns of changes from peers."""

    due_at_ms: int
    wait_ms: int


@dataclass(frozen=True)
class _Statement:
    """What a peer knew of the store, as of a time of this VM's clock."""

    view_digest: int
    known_at_ms: int


class SenderClock:
    """Tells how much longer a report of one process was on its way than its fastest one.

    >>> clock = SenderClock(boot=1)
    >>> [clock.delay_ms(sent, received) for sent, received in ((70, 9_000), (80, 9_001))]
    [None, 0]
    >>> clock.delay_ms(90, 12_000)
    2989
    """

    def __init__(self, boot: int) -> None:
        self.boot = boot
        self._window_began_at_ms = 0
        #: Smallest differences of both clocks in the present window and in the one before it.
        self._smallest_ms: tuple[int, ...] = ()

    def delay_ms(self, sent_at_ms: int, now_ms: int) -> int | None:
        """Return the delay of a report received now; None if no other one is known."""
        difference_ms = now_ms - sent_at_ms
        if not self._smallest_ms:
            self._window_began_at_ms = now_ms
            self._smallest_ms = (difference_ms,)
            return None
        latest_ms, *earlier_ms = self._smallest_ms
        if now_ms - self._window_began_at_ms > _CLOCK_WINDOW_MS:
            self._window_began_at_ms = now_ms
            self._smallest_ms = (difference_ms, latest_ms)
        else:
            self._smallest_ms = (min(latest_ms, difference_ms), *earlier_ms)
        return difference_ms - min(self._smallest_ms)


class StoreCallTable(Table[str, _Statement]):
    """As of when this VM's view has all changes; and peers' statements on views that differ."""

    def __init__(self) -> None:
        super().__init__()
        #: When the last call of this VM began that the store has answered; None before it.
        self.asked_at_ms: int | None = None
        #: The view has all changes as of then; None if it is not known.
        self.known_at_ms: int | None = None
        self._clocks: dict[str, SenderClock] = {}

    def record_answer(self, asked_at_ms: int) -> None:
        """Record that the view contains the store's answer to a call of this VM."""
        self.asked_at_ms = asked_at_ms
        self._record_known(asked_at_ms)

    def record_report(self, report: PeerReport, view: SiteView, now_ms: int) -> None:
        """Take note of what a peer knows of the store."""
        store = report.store
        if store is None or store.store_answered_ago_ms is None or store.sent_at_ms is None:
            return
        clock = self._clocks.get(report.vm)
        if clock is None or clock.boot != report.boot:
            clock = self._clocks[report.vm] = SenderClock(report.boot)
        delay_ms = clock.delay_ms(store.sent_at_ms, now_ms)
        if delay_ms is None:
            return
        known_at_ms = now_ms - delay_ms - max(0, store.store_answered_ago_ms)
        self.put(report.vm, _Statement(store.view_digest, known_at_ms))
        self.record_view(view)

    def record_view(self, view: SiteView) -> None:
        """Apply the peers' statements on this view, which is the current one."""
        for vm, statement in list(self.items()):
            if statement.view_digest == view.digest:
                self._record_known(statement.known_at_ms)
                self.remove(vm)

    def forget_except(self, vms: set[str]) -> None:
        """Forget the clocks and statements of VMs that are gone."""
        for vm in self._clocks.keys() - vms:
            del self._clocks[vm]
            self.remove(vm)

    def knows_all(self, limits: StoreCallLimits, now_ms: int) -> bool:
        """Return whether the view has all changes as of a time not too long ago."""
        known_at_ms = self.known_at_ms
        return known_at_ms is not None and now_ms - known_at_ms <= limits.known_age_ms

    def _record_known(self, known_at_ms: int) -> None:
        self.known_at_ms = max(known_at_ms, self.known_at_ms or known_at_ms)


def is_follower(peers: PeerTable, views: ViewTable, vm: GatewayVm, now_ms: int) -> bool:
    """Return whether this VM learns of changes of the store from peers.

    It does not on small sites, without contact with the store, or if it is a watcher: one of the
    first VMs of its zone that are live and have contact.
    """
    if not shares_store_calls(peers.vms(now_ms)) or views.store_contact_ms(now_ms) is None:
        return False
    ahead = 0
    for peer in peers.live_peers(now_ms):
        report = peer.report
        if report.availability_zone != vm.availability_zone or report.vm >= vm.name:
            continue
        # Earlier builds do not state what they know of the store.
        is_able = report.store is not None and report.store_contact_ms is not None
        ahead += is_able and not report.strained
    return ahead >= _WATCHERS_PER_ZONE


def next_follower_call(
    board: Blackboard, limits: StoreCallLimits, vm: GatewayVm, now_ms: int
) -> FollowerCall | None:
    """Return the next call to the store if this VM is a follower, else None."""
    peers, views = board.table(PeerTable), board.table(ViewTable)
    calls = board.table(StoreCallTable)
    if not is_follower(peers, views, vm, now_ms):
        return None
    if calls.known_at_ms is None or calls.asked_at_ms is None:
        return FollowerCall(now_ms, limits.wait_ms)
    era = views.current().era
    if any(era_of(peer.report.view_revision) > era for peer in peers.live_peers(now_ms)):
        # The store has come back from a copy, so this VM has to read it as a whole.
        return FollowerCall(now_ms, limits.wait_ms)
    due_at_ms = min(
        calls.known_at_ms + limits.known_age_ms, calls.asked_at_ms + limits.call_interval_ms
    )
    return FollowerCall(due_at_ms, limits.wait_ms)
