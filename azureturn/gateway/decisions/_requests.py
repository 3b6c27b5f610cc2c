"""One caller's request on its way, as the decisions see it."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.settings import EnginePolicy
from azureturn.gateway.site import Prompt, Route

#: Part of a prompt's usual time that is added for what lies before it.
_START_MARGIN = 1.3
#: Share of its objective that even a request with a long prompt may wait.
_LEAST_WAIT_SHARE = 0.4


class Stage(StrEnum):
    """Where a request is."""

    QUEUED = "queued"
    SENT = "sent"


@dataclass(frozen=True)
class GatewayRequest:
    """A request and what has been tried with it; bodies and sockets stay with the adapters."""

    request_id: str
    organisation: str
    route: Route
    #: The service that this request goes to, of the route's.
    service: str
    #: 0 is the most urgent.
    urgency_rank: int
    arrived_at_ms: int
    #: When its objective is missed; the queue orders by it.
    deadline_ms: int
    #: When its final answer must be under way, whatever has become of it.
    ends_at_ms: int
    prompt: Prompt | None
    #: How long its caller will wait, as it said; None where it did not.
    patience_ms: int | None = None
    #: It will miss its objective.
    is_late: bool = False
    #: What it counts against its organisation's allotment.
    allotment_units: int = 0
    stage: Stage = Stage.QUEUED
    #: Name of the upstream that has it; empty while it waits.
    upstream: str = ""
    version: str = ""
    #: Attempts that an upstream ran or may have run.
    runs: int = 0
    #: Attempts that came back without having been run.
    returns: int = 0
    #: Upstreams that were tried.
    tried: tuple[str, ...] = ()
    sent_at_ms: int = 0
    #: When the first event of the latest attempt came; 0 before that.
    first_event_at_ms: int = 0
    #: Prompt tokens that the upstream has to work off, by estimate.
    pending_tokens: int = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether it may run more than once."""
        return self.route.may_repeat

    @property
    def tier_rank(self) -> int:
        """Return its tier in the queue: behind the equally urgent ones that are not late."""
        return 2 * self.urgency_rank + self.is_late

    def latest_start_ms(self, engine: EnginePolicy) -> int:
        """Return until when it has to be sent to meet its objective."""
        objective_ms = self.route.objective_ms
        if self.prompt is None:
            return self.deadline_ms
        prefill_ms = self.prompt.prompt_tokens / engine.prefill_tokens_per_ms
        needed_ms = _START_MARGIN * (prefill_ms + engine.first_event_ms)
        wait_ms = max(_LEAST_WAIT_SHARE * objective_ms, objective_ms - needed_ms)
        return self.deadline_ms - objective_ms + int(wait_ms)

    def with_waited(self, waited_ms: int) -> "GatewayRequest":
        """Return a copy whose caller had waited before it came here."""
        return changed(self, deadline_ms=self.deadline_ms - waited_ms)

    def with_late(self) -> "GatewayRequest":
        """Return a copy that goes behind those that may still meet their objective."""
        return changed(self, is_late=True)

    def with_sent(
        self, upstream: str, *, version: str, now_ms: int, pending_tokens: int
    ) -> "GatewayRequest":
        """Return a copy that an upstream has been given."""
        return changed(
            self,
            stage=Stage.SENT,
            upstream=upstream,
            version=version,
            sent_at_ms=now_ms,
            first_event_at_ms=0,
            pending_tokens=pending_tokens,
            tried=(*self.tried, upstream),
        )

    def with_first_event(self, now_ms: int) -> "GatewayRequest":
        """Return a copy whose prompt has been worked off."""
        return changed(self, first_event_at_ms=now_ms, pending_tokens=0)

    def with_return(self, *, ran: bool) -> "GatewayRequest":
        """Return a copy that waits again after an attempt that came to nothing."""
        return changed(
            self,
            stage=Stage.QUEUED,
            upstream="",
            pending_tokens=0,
            first_event_at_ms=0,
            runs=self.runs + (1 if ran else 0),
            returns=self.returns + (0 if ran else 1),
        )


class GatewayRequestTable(Table[str, GatewayRequest]):
    """Requests in progress on this VM, by id."""
