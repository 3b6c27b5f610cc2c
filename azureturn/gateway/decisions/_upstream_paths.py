"""Whether this VM hears anything from upstreams over its own connections to them."""

from azureturn.framework import Table

#: So many upstreams that fail one after another, with no response from any in between, show that
#: the failure is this VM's own: upstreams seldom fail together.
ISOLATING_FAILURES = 3


class UpstreamPathTable(Table[str, int]):
    """Upstreams that could not be connected since one last responded directly, and when."""

    def __init__(self) -> None:
        super().__init__()
        self._heard_at_ms = 0

    def record_heard(self, now_ms: int) -> None:
        """Record that an upstream responded."""
        self._heard_at_ms = now_ms
        self._rows.clear()

    def silent_ms(self, now_ms: int) -> int:
        """Return the time since an upstream last responded."""
        return now_ms - self._heard_at_ms

    def is_isolated(self, upstream_count: int) -> bool:
        """Return whether this VM is to be taken for cut off from all upstreams of the site."""
        return len(self) >= max(1, min(ISOLATING_FAILURES, upstream_count))
