"""The state of a caller's request, as far as the controllers need it."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.gateway.decisions._version_choice import VersionChoice
from azureturn.gateway.settings import EnginePolicy
from azureturn.gateway.site import (
    Prompt,
    RegisteredUpstream,
    Route,
    UpstreamRun,
    digest_trait,
)

#: Factor on the expected time to the first event, as a margin for work queued ahead.
_FIRST_EVENT_TIME_FACTOR = 1.3
#: Minimum share of its objective that a request may wait; it applies to a long prompt whose prefill
#: would use up the objective.
_MIN_WAIT_SHARE = 0.4


class Stage(StrEnum):
    """Stage of processing of a request."""

    QUEUED = "queued"
    SENT = "sent"


@dataclass(frozen=True)
class Relay:
    """A peer through which this VM connects to upstreams that it cannot reach itself."""

    vm: str
    host: str


@dataclass(frozen=True)
class TakeOverOffer:
    """An upstream that has room for a request whose own upstream is silent."""

    upstream: RegisteredUpstream
    relay: Relay | None
    version_choice: VersionChoice


@dataclass(frozen=True)
class GatewayRequest:
    """A request and its attempts; bodies and sockets are kept by the adapters.

    An attempt is one sending of the request to one upstream. The tier of a request is its class of
    urgency in the queue; the lower the rank of a tier, the earlier its requests are placed.
    """

    request_id: str
    organisation: str
    route: Route
    #: Service that the request goes to; one of the route's targets.
    service: str
    #: Urgency by route and organisation; 0 is the most urgent.
    urgency_rank: int
    arrived_at_ms: int
    #: Time at which its objective is missed; within a tier, an organisation's requests are queued
    #: in the order of their deadlines.
    deadline_ms: int
    #: Time limit of the request; no attempt continues beyond it.
    ends_at_ms: int
    prompt: Prompt | None
    #: Time-out stated by the caller; None if it stated none.
    caller_timeout_ms: int | None = None
    #: Digest of what the caller sent; requests with the same digest ask for the same. Empty if it
    #: was not computed.
    digest: str = ""
    #: Whether it is expected to miss its objective.
    is_late: bool = False
    #: Units charged to the organisation's allotment.
    allotment_units: int = 0
    #: When they were charged last; None if nothing limits the organisation.
    charged_at_ms: int | None = None
    #: Whether an ended attempt ran, or may have run, for that charge.
    is_charge_used: bool = False
    stage: Stage = Stage.QUEUED
    #: Name of the upstream that it was sent to; empty while it is queued.
    upstream: str = ""
    upstream_run: UpstreamRun = ("", 0)
    #: The peer that relays the current attempt, or the last one; None if it is direct.
    relay: Relay | None = None
    version: str = ""
    #: Number of ended attempts in which the upstream ran the request, or may have run it.
    run_attempts: int = 0
    #: Number of ended attempts in which the upstream did not run the request.
    unrun_attempts: int = 0
    #: Number of ended attempts in which no connection to the upstream could be opened.
    failed_connections: int = 0
    #: Names of the upstreams of all attempts so far.
    tried_upstreams: tuple[str, ...] = ()
    sent_at_ms: int = 0
    #: Time at which the first event of the current attempt was received; 0 before that.
    first_event_at_ms: int = 0
    #: Estimated prompt tokens that the upstream still has to prefill.
    pending_tokens: int = 0
    #: Level of the upstream's requests when it was sent, to which its time is attributed.
    level: int = 0
    #: Prompt tokens that the upstream had to prefill, as estimated when it was sent.
    prefill_tokens: int = 0
    #: Whether the upstream was expected to have a free slot when it was sent.
    found_slot: bool = True
    version_choice: VersionChoice = VersionChoice()

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.may_repeat

    @property
    def digest_traits(self) -> frozenset[str]:
        """Return the trait that only this request has, whenever it is sent; empty if unknown."""
        return frozenset({digest_trait(self.digest)}) if self.digest else frozenset()

    @property
    def traits(self) -> frozenset[str]:
        """Return what it may have in common with other requests: prompt parts and digest."""
        part_ids = self.prompt.shared_part_ids if self.prompt else frozenset()
        return part_ids | self.digest_traits

    @property
    def tier_rank(self) -> int:
        """Return the rank of its tier; a late request ranks behind others of equal urgency."""
        return 2 * self.urgency_rank + self.is_late

    def latest_start_ms(self, engine: EnginePolicy) -> int:
        """Return the latest time at which the request can be sent and still meet its objective."""
        objective_ms = self.route.objective_ms
        if self.prompt is None:
            return self.deadline_ms
        prefill_ms = self.prompt.prompt_tokens / engine.prefill_tokens_per_ms
        needed_ms = _FIRST_EVENT_TIME_FACTOR * (prefill_ms + engine.first_event_ms)
        wait_ms = max(_MIN_WAIT_SHARE * objective_ms, objective_ms - needed_ms)
        return self.deadline_ms - objective_ms + int(wait_ms)

    def expected_start(self, engine: EnginePolicy) -> float:
        """Return the expected time to the first event in ms; 1 for a request without a prompt."""
        if self.prompt is None:
            return 1.0
        return engine.first_event_ms + self.prefill_tokens / engine.prefill_tokens_per_ms

    def with_prior_wait(self, prior_wait_ms: int) -> "GatewayRequest":
        """Return a copy whose deadline is earlier by the caller's wait before this request."""
        return changed(self, deadline_ms=self.deadline_ms - prior_wait_ms)

    def with_charge(self, now_ms: int) -> "GatewayRequest":
        """Return a copy whose units are charged to the organisation's allotment."""
        return changed(self, charged_at_ms=now_ms, is_charge_used=False)

    def with_late(self) -> "GatewayRequest":
        """Return a copy that ranks behind requests that can still meet their objective."""
        return changed(self, is_late=True)

    def with_sent(
        self,
        upstream: RegisteredUpstream,
        relay: Relay | None,
        *,
        now_ms: int,
        pending_tokens: int,
        level: int = 0,
        found_slot: bool = True,
        version_choice: VersionChoice = VersionChoice(),  # noqa: B008
    ) -> "GatewayRequest":
        """Return a copy that has been sent to an upstream."""
        return changed(
            self,
            stage=Stage.SENT,
            upstream=upstream.name,
            upstream_run=upstream.run,
            relay=relay,
            version=upstream.version,
            sent_at_ms=now_ms,
            first_event_at_ms=0,
            pending_tokens=pending_tokens,
            prefill_tokens=pending_tokens,
            level=level,
            found_slot=found_slot,
            version_choice=version_choice,
            tried_upstreams=(*self.tried_upstreams, upstream.name),
        )

    def with_first_event(self, now_ms: int) -> "GatewayRequest":
        """Return a copy whose prompt has been prefilled."""
        return changed(self, first_event_at_ms=now_ms, pending_tokens=0)

    def with_requeued(self, *, ran: bool, connected: bool) -> "GatewayRequest":
        """Return a copy that is queued again after an unsuccessful attempt."""
        return changed(
            self,
            stage=Stage.QUEUED,
            upstream="",
            pending_tokens=0,
            first_event_at_ms=0,
            run_attempts=self.run_attempts + (1 if ran else 0),
            is_charge_used=self.is_charge_used or ran,
            unrun_attempts=self.unrun_attempts + (0 if ran else 1),
            failed_connections=self.failed_connections + (0 if connected else 1),
        )


class GatewayRequestTable(Table[str, GatewayRequest]):
    """Requests in progress on this VM, keyed by request id."""
