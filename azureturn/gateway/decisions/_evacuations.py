"""Availability zones that operators have taken out of service.

Load: all upstreams of a zone must get nothing more within seconds, while their share of the
requests goes to the other zones, and may have become cold when the zone returns. An order is a
document of the store, and so part of every VM's view: VMs that cannot reach the store learn of it
with the views that they fetch from peers, and an order stays in force while the store is down.
"""

from azureturn.gateway.site import SiteView

#: How long an order stays in force that is missing in a store that has come back from a copy,
#: unless it is written and removed again. The copy may be older than the order.
_KEPT_MS = 600_000


class EvacuatedZones:
    """Orders in force: those of the current view, and those that a restored store lacks."""

    def __init__(self) -> None:
        #: When orders end that the store lacks, by zone.
        self._kept_until_ms: dict[str, int] = {}

    def record_view(self, before: SiteView, after: SiteView, now_ms: int) -> None:
        """Record that a view has replaced another one.

        >>> zones = EvacuatedZones()
        >>> zones.record_view(SiteView(), SiteView(), 0)
        >>> zones.zones(SiteView(), 0)
        frozenset()
        """
        if before.revision and after.era > before.era:
            for zone in before.evacuated_zones:
                self._kept_until_ms[zone] = now_ms + _KEPT_MS
        for zone in after.evacuated_zones & self._kept_until_ms.keys():
            del self._kept_until_ms[zone]

    def zones(self, view: SiteView, now_ms: int) -> frozenset[str]:
        """Return the zones with an order in force."""
        if not self._kept_until_ms:
            return view.evacuated_zones
        kept = [zone for zone, until_ms in self._kept_until_ms.items() if now_ms < until_ms]
        return view.evacuated_zones.union(kept)
