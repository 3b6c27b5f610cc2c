"""Whether this VM hears anything from upstreams over its own connections to them."""

from azureturn.framework import Table
from azureturn.gateway.site import UpstreamRun


class UpstreamPathTable(Table[UpstreamRun, None]):
    """When an upstream last responded over a connection that no peer relays."""

    def __init__(self) -> None:
        super().__init__()
        self._heard_at_ms = 0

    def record_heard(self, now_ms: int) -> None:
        """Record that an upstream responded."""
        self._heard_at_ms = now_ms

    def silent_ms(self, now_ms: int) -> int:
        """Return the time since an upstream last responded."""
        return now_ms - self._heard_at_ms
