"""Tables that several controllers share."""

from azureturn.core import RequestQueue, Table
from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.site import SiteView


class ViewTable(Table[str, SiteView]):
    """Holds the one view that this VM decides by."""

    _CURRENT = "current"

    def current(self) -> SiteView:
        """Return the view; it is empty until the store or a peer was heard."""
        return self.get(self._CURRENT) or SiteView()

    def accept(self, view: SiteView) -> bool:
        """Take a view if its revision is higher than the present one's."""
        if view.revision <= self.current().revision:
            return False
        self.put(self._CURRENT, view)
        return True


class GatewayQueueTable(Table[str, "RequestQueue[GatewayRequest]"]):
    """One queue for each service."""

    def of(self, service: str) -> "RequestQueue[GatewayRequest]":
        """Return the queue of a service, made when first asked for."""
        queue = self.get(service)
        if queue is None:
            queue = RequestQueue()
            self.put(service, queue)
        return queue
