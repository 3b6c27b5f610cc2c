"""What each organisation may still use, counted over all VMs in a sliding window.

Every VM counts what it let pass in the window and hears from each peer what that peer let pass in
its own. A peer that falls silent is thought to have stopped, so that what it last said slides out
of the window; in exchange the VMs that hear each other use only their share of the limit. Parts of
a divided site together so pass no more than the whole limit.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from azureturn.core import Table
from azureturn.gateway.settings import AllotmentBounds
from azureturn.gateway.site import Allotment, Organisation

_MS_PER_S = 1_000.0
#: Parts of the bounds' margins that are used; the rest covers what peers have not said yet.
_OVERSHOOT_SHARE = 0.4
_SLACK_SHARE = 0.3
#: What peers let pass for so long before now they have not said yet.
_UNSAID_MS = 60
#: Span over which it is measured how fast this VM lets requests pass.
_RATE_SPAN_MS = 1_000
#: Peers are told at once of what passes while less than this part of the bound is left.
_URGENT_PART = 0.4
#: Organisations that one report tells of, those that used most first; a datagram has to hold them.
_TOLD_LIMIT = 500
#: For so long after a restart nothing of what was forgotten is thought to leave the window: most
#: of it may have been used just before.
_HELD_MS = 2_500
#: Time after a restart in which the callers' demand is measured, and the part of this VM's share
#: that they are thought to have used until then.
_OBSERVED_MS = 1_000
_UNKNOWN_SHARE = 0.9


@dataclass(frozen=True)
class PeerUse:
    """What a peer said that an organisation used in its window."""

    units: int
    said_at_ms: int


@dataclass(frozen=True)
class AllotmentLeft:
    """What an organisation may still use."""

    units: float
    #: So little that peers have to be told at once of what passes.
    is_urgent: bool


class AllotmentWindow:
    """One organisation's use of the last window, on this VM and on its peers."""

    def __init__(self) -> None:
        self._passed: deque[tuple[int, int]] = deque()
        self._own_units = 0
        self._peers: dict[str, PeerUse] = {}
        #: What callers have asked for since this process began.
        self.offered_units = 0
        #: What this VM's earlier process is thought to have let pass.
        self.forgotten_units = 0.0

    def own_units(self, now_ms: int, window_ms: int) -> int:
        """Return what this VM let pass in the window."""
        while self._passed and self._passed[0][0] <= now_ms - window_ms:
            self._own_units -= self._passed.popleft()[1]
        return self._own_units

    def lately_units(self, now_ms: int) -> int:
        """Return what this VM let pass in the last span over which its rate is measured."""
        units = 0
        for passed_at_ms, one in reversed(self._passed):
            if passed_at_ms <= now_ms - _RATE_SPAN_MS:
                break
            units += one
        return units

    def peers_units(self, now_ms: int, window_ms: int) -> float:
        """Return what the peers let pass in the window, as far as they said."""
        return sum(
            use.units * max(0.0, 1.0 - (now_ms - use.said_at_ms) / window_ms)
            for use in self._peers.values()
        )

    def note_passed(self, units: int, now_ms: int) -> None:
        """Count a request that is let pass, or with fewer than no units one that was not sent."""
        self._passed.append((now_ms, units))
        self._own_units += units

    def note_peer(self, vm: str, units: int, now_ms: int) -> None:
        """Take in what a peer says of its window."""
        self._peers[vm] = PeerUse(units, now_ms)


class AllotmentTable(Table[str, AllotmentWindow]):
    """Windows by organisation."""

    def __init__(self) -> None:
        super().__init__()
        #: When this process began, if an earlier one of this VM may have let requests pass.
        self.restarted_at_ms: int | None = None

    def of(self, organisation: str) -> AllotmentWindow:
        """Return an organisation's window, made when first asked for."""
        window = self.get(organisation)
        if window is None:
            window = AllotmentWindow()
            self.put(organisation, window)
        return window

    def left(
        self,
        organisation: str,
        allotment: Allotment,
        bounds: AllotmentBounds,
        *,
        units: int,
        heard_share: float,
        vms: int,
        now_ms: int,
    ) -> "AllotmentLeft":
        """Return the units that this VM may still let pass now, where some are asked for.

        Peers are thought to have let pass as much as this VM since they last said.
        """
        window = self.of(organisation)
        window.offered_units += units
        bound = _bound(allotment, bounds)
        used = window.own_units(now_ms, bounds.window_ms)
        used_by_peers = window.peers_units(now_ms, bounds.window_ms)
        rate = window.lately_units(now_ms) / _RATE_SPAN_MS
        unsaid = rate * _UNSAID_MS * max(0.0, heard_share * vms - 1)
        window.forgotten_units = self._forgotten_units(window, bound / vms, bounds, now_ms)
        left = bound * heard_share - used - used_by_peers - unsaid - window.forgotten_units
        if window.forgotten_units:
            # Nothing is known well enough to let a large request pass beyond what is left.
            left -= units
        return AllotmentLeft(left, is_urgent=left < _URGENT_PART * bound)

    def told(
        self,
        organisations: Iterable[Organisation],
        bounds: AllotmentBounds,
        *,
        vms: int,
        now_ms: int,
    ) -> dict[str, int]:
        """Return what peers are told that this VM let pass, its earlier process included.

        Organisations that have not called since a restart count too: all VMs may have restarted,
        and then nobody else knows what they used.
        """
        found: dict[str, int] = {}
        for one in organisations:
            if one.allotment.rate_per_s <= 0:
                continue
            if self.restarted_at_ms is None and one.name not in self:
                continue
            window = self.of(one.name)
            share = _bound(one.allotment, bounds) / vms
            window.forgotten_units = self._forgotten_units(window, share, bounds, now_ms)
            own_units = window.own_units(now_ms, bounds.window_ms)
            if units := own_units + int(window.forgotten_units):
                found[one.name] = units
        if len(found) <= _TOLD_LIMIT:
            return found
        largest = sorted(found.items(), key=lambda item: item[1], reverse=True)
        return dict(largest[:_TOLD_LIMIT])

    def own_units(self, now_ms: int, window_ms: int) -> int:
        """Return what this VM let pass in the window for all organisations."""
        return sum(window.own_units(now_ms, window_ms) for window in self.rows())

    def _forgotten_units(
        self, window: AllotmentWindow, share: float, bounds: AllotmentBounds, now_ms: int
    ) -> float:
        """Return what an earlier process is thought to have let pass in the window.

        Callers are thought to have asked for as much before the restart as after it.
        """
        if self.restarted_at_ms is None:
            return 0.0
        passed_ms = now_ms - self.restarted_at_ms
        rate = window.offered_units / max(1, passed_ms)
        asked = min(share, rate * bounds.window_ms)
        if passed_ms < _OBSERVED_MS:
            # Callers have not shown yet how much they ask for.
            asked = max(asked, _UNKNOWN_SHARE * share)
        left_ms = bounds.window_ms - passed_ms
        return asked * min(1.0, max(0.0, left_ms / (bounds.window_ms - _HELD_MS)))


def _bound(allotment: Allotment, bounds: AllotmentBounds) -> float:
    """Return what all VMs together let pass in a window."""
    limit = allotment.rate_per_s * bounds.window_ms / _MS_PER_S + allotment.burst
    return limit * (1.0 + _OVERSHOOT_SHARE * bounds.overshoot) + _SLACK_SHARE * bounds.slack
