"""Tables that several controllers share."""

from azureturn.framework import RequestQueue, Table
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.site import RegisteredUpstream, SiteView

#: Upstreams that the store no longer names after an outage are kept this long from its return;
#: those that live have then registered again.
_LAPSED_MS = 2_300


class ViewTable(Table[str, SiteView]):
    """Holds the one view that this VM decides by."""

    _CURRENT = "current"

    def __init__(self) -> None:
        super().__init__()
        self._lapsed: dict[str, RegisteredUpstream] = {}
        self._lapsed_until_ms = 0

    def current(self) -> SiteView:
        """Return the view; it is empty until the store or a peer was heard."""
        return self.get(self._CURRENT) or SiteView()

    def accept(self, view: SiteView, *, now_ms: int) -> bool:
        """Take a view if its revision is higher than the present one's."""
        before = self.current()
        if view.revision <= before.revision:
            return False
        self.put(self._CURRENT, view)
        if now_ms < self._lapsed_until_ms:
            self._lapsed.update(
                (name, one)
                for name, one in before.upstreams.items()
                if name not in view.upstreams and not one.is_leaving
            )
        return True

    def note_regained(self, now_ms: int) -> None:
        """Note that the store answers again after an outage in which entries may have lapsed."""
        self._lapsed.clear()
        self._lapsed_until_ms = now_ms + _LAPSED_MS

    def serving(self, service: str, now_ms: int) -> list[RegisteredUpstream]:
        """Return a service's upstreams that may get new work."""
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
    """One queue for each service."""

    def of(self, service: str) -> "RequestQueue[GatewayRequest]":
        """Return the queue of a service, made when first asked for."""
        queue = self.get(service)
        if queue is None:
            queue = RequestQueue()
            self.put(service, queue)
        return queue
