"""What the core knows of the upstreams."""

from dataclasses import dataclass, replace

from azureturn.core._blackboard import Table
from azureturn.settings import UpstreamSettings


@dataclass(frozen=True)
class LoadReport:
    """What an upstream last said of its own load; it is old when it is read."""

    #: When the upstream took it, by this VM's clock.
    taken_at_ms: int = 0
    running: int = 0
    waiting: int = 0
    queued_tokens: int = 0
    #: The upstream says that it is leaving.
    leaving: bool = False


@dataclass(frozen=True)
class Upstream:
    """One upstream: its settings, what it reported, and what this VM has outstanding there."""

    settings: UpstreamSettings
    report: LoadReport = LoadReport()
    outstanding_requests: int = 0
    outstanding_tokens: int = 0
    #: Leaving or drained: it gets no new work.
    leaving: bool = False
    #: No new work before this time, after a failure to connect.
    closed_until_ms: int = 0

    def with_settings(self, settings: UpstreamSettings) -> "Upstream":
        """Return a copy that follows changed settings."""
        return replace(self, settings=settings)

    def with_report(self, report: LoadReport) -> "Upstream":
        """Return a copy with a newer load report."""
        return replace(self, report=report)

    def with_outstanding(self, *, requests: int, tokens: int) -> "Upstream":
        """Return a copy with these amounts added to what is outstanding."""
        return replace(
            self,
            outstanding_requests=max(0, self.outstanding_requests + requests),
            outstanding_tokens=max(0, self.outstanding_tokens + tokens),
        )

    def with_closed_until(self, closed_until_ms: int) -> "Upstream":
        """Return a copy that gets no new work before a time."""
        return replace(self, closed_until_ms=closed_until_ms)

    def with_leaving(self, leaving: bool) -> "Upstream":
        """Return a copy that is, or no longer is, leaving."""
        return replace(self, leaving=leaving)


class UpstreamTable(Table[str, Upstream]):
    """Upstreams by name."""

    def serving(self, target: str, now_ms: int) -> list[Upstream]:
        """Return the upstreams that may be given new work for ``target``."""
        return [
            upstream
            for upstream in self.rows()
            if target in upstream.settings.targets
            and not upstream.leaving
            and not upstream.settings.draining
            and upstream.closed_until_ms <= now_ms
        ]
