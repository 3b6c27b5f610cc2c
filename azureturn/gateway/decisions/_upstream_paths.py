"""Whether this VM hears anything from upstreams over its own connections to them."""

from azureturn.framework import Table

#: So many upstreams that fail one after another, with no response from any in between, show that
#: the failure is this VM's own: upstreams seldom fail together.
ISOLATING_FAILURES = 3


class UpstreamPathTable(Table[str, int]):
    """Upstreams that failed since one last responded over a direct connection, and when.

    They are keyed by name. An upstream fails if it cannot be connected, or does not respond to a
    probe.
    """

    def __init__(self) -> None:
        super().__init__()
        self._heard_at_ms = 0
        self._unanswered_since_ms: int | None = None

    def record_heard(self, now_ms: int) -> None:
        """Record that an upstream responded."""
        self._heard_at_ms = now_ms
        self._unanswered_since_ms = None
        self._rows.clear()

    def record_unanswered(self, sent_at_ms: int) -> None:
        """Record that a request sent at that time has had no response."""
        since_ms = max(sent_at_ms, self._heard_at_ms)
        if self._unanswered_since_ms is None or since_ms < self._unanswered_since_ms:
            self._unanswered_since_ms = since_ms

    def heard_ago_ms(self, now_ms: int) -> int:
        """Return the time since an upstream last responded."""
        return now_ms - self._heard_at_ms

    def silent_ms(self, now_ms: int) -> int:
        """Return for how long requests have been without any response; 0 if none is."""
        return 0 if self._unanswered_since_ms is None else now_ms - self._unanswered_since_ms

    def is_isolated(self, upstream_count: int) -> bool:
        """Return whether this VM is to be taken for cut off from all upstreams of the site."""
        return len(self) >= max(1, min(ISOLATING_FAILURES, upstream_count))
