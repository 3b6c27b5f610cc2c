"""Tables that are shared by several controllers."""

from azureturn.framework import RequestQueue, Table
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.site import RegisteredUpstream, SiteView

#: How long after an outage of the store upstreams are retained whose registrations have lapsed;
#: by then those that are running have registered again.
_LAPSED_RETENTION_MS = 2_300


class ViewTable(Table[str, SiteView]):
    """Holds the current view of the site on this VM."""

    _CURRENT = "current"

    def __init__(self) -> None:
        super().__init__()
        self._lapsed: dict[str, RegisteredUpstream] = {}
        self._lapsed_until_ms = 0

    def current(self) -> SiteView:
        """Return the current view; it is empty until one is received from the store or a peer."""
        return self.get(self._CURRENT) or SiteView()

    def accept(self, view: SiteView, *, now_ms: int) -> bool:
        """Replace the view if the new one has a higher revision; return whether it was replaced."""
        previous = self.current()
        if view.revision <= previous.revision:
            return False
        self.put(self._CURRENT, view)
        if now_ms < self._lapsed_until_ms:
            self._lapsed.update(
                (name, one)
                for name, one in previous.upstreams.items()
                if name not in view.upstreams and not one.is_leaving
            )
        return True

    def record_store_recovery(self, now_ms: int) -> None:
        """Start to retain entries that may have lapsed during an outage of the store."""
        self._lapsed.clear()
        self._lapsed_until_ms = now_ms + _LAPSED_RETENTION_MS

    def serving_upstreams(self, service: str, now_ms: int) -> list[RegisteredUpstream]:
        """Return the upstreams of a service that may be given new work."""
        view = self.current()
        found = [
            one for one in view.upstreams.values() if one.service == service and not one.is_leaving
        ]
        if self._lapsed and now_ms < self._lapsed_until_ms:
            found.extend(
                one
                for name, one in self._lapsed.items()
                if one.service == service and name not in view.upstreams
            )
        return found


class GatewayQueueTable(Table[str, "RequestQueue[GatewayRequest]"]):
    """Request queues, keyed by service."""

    def of(self, service: str) -> "RequestQueue[GatewayRequest]":
        """Return the queue of a service, creating it on first use."""
        queue = self.get(service)
        if queue is None:
            queue = RequestQueue()
            self.put(service, queue)
        return queue
