"""The core's state of a request."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.core._claim_segments import call_digest
from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.settings import UpstreamKind

#: Number of prompt tokens in one block of ``Request.prefix_digests``.
PREFIX_BLOCK_TOKENS = 204


class RequestStage(StrEnum):
    """Processing stage of a request."""

    QUEUED = "queued"
    #: Removed from the queue while it is offered to peers.
    OFFERED = "offered"
    #: An upstream is chosen and a claim is requested.
    CLAIMING = "claiming"
    DISPATCHED = "dispatched"


@dataclass(frozen=True)
class Request:
    """One request as used for decisions; its body stays outside the core, with the adapters."""

    request_id: str
    organisation: str
    route: str
    #: Rank of the request's tier; 0 is the most urgent.
    tier_rank: int
    #: Model or plain service that is requested.
    target: str
    kind: UpstreamKind
    arrived_at_ms: int
    deadline_ms: int
    idempotent: bool = True
    idempotency_key: str = ""
    #: Digest of method, path and body; a repeated key with another digest is refused.
    body_digest: str = ""
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    #: Digests of the prompt's leading blocks, shortest prefix first.
    prefix_digests: tuple[str, ...] = ()
    upstream_deduplicates: bool = False
    #: When the request arrived, in ms since 1970.
    arrived_unix_ms: int = 0
    #: When the caller issued its key, in ms since 1970; 0 if not given.
    key_issued_at_ms: int = 0
    #: Nonce of the ticket with which the request was sent; this process issued the ticket.
    ticket_nonce: str = ""
    #: Until when this process accepts the ticket, by the clock of this process.
    ticket_expires_at_ms: int = 0
    #: Nonce of a claim on the key whose holder has declared that it will never run the call.
    released_nonce: str = ""
    #: Nonce under which this process requests or holds the claim.
    claim_nonce: str = ""
    stage: RequestStage = RequestStage.QUEUED
    #: Name of the chosen upstream; empty before placement.
    upstream: str = ""
    #: Model version that must answer; empty if the upstream chooses.
    version: str = ""
    dispatched_at_ms: int = 0
    output_tokens: int = 0
    #: Times of the first token and of the latest progress; 0 before that.
    first_token_at_ms: int = 0
    progressed_at_ms: int = 0
    #: Prompt tokens that the upstream was expected to have cached when it was chosen.
    expected_cached_tokens: int = 0
    #: When the request was first kept queued to wait for a particular upstream; 0 before that.
    deferred_at_ms: int = 0
    #: Whether the request was offered to peers, which happens at most once.
    offered: bool = False
    #: How often the request was requeued after a failed connection.
    requeues: int = 0
    offered_at_ms: int = 0

    def with_stage(self, stage: RequestStage) -> "Request":
        """Return a copy at another stage."""
        return changed(self, stage=stage)

    def with_claim_nonce(self, nonce: str) -> "Request":
        """Return a copy with the nonce of the claim or ticket under which it runs."""
        return changed(self, claim_nonce=nonce)

    def with_released_nonce(self, nonce: str) -> "Request":
        """Return a copy, reset to its state on arrival, that may replace a released claim."""
        stage = RequestStage.QUEUED
        return changed(self, released_nonce=nonce, claim_nonce="", stage=stage, upstream="")

    def with_placement(
        self, upstream: str, *, now_ms: int, expected_cached_tokens: int = 0
    ) -> "Request":
        """Return a copy that is placed on an upstream."""
        return changed(
            self,
            upstream=upstream,
            dispatched_at_ms=now_ms,
            expected_cached_tokens=expected_cached_tokens,
        )

    def with_progress(self, output_tokens: int, *, now_ms: int) -> "Request":
        """Return a copy whose answer has delivered this many tokens so far."""
        return changed(
            self,
            output_tokens=output_tokens,
            first_token_at_ms=self.first_token_at_ms or now_ms,
            progressed_at_ms=now_ms,
        )

    def with_expected_output(self, tokens: int) -> "Request":
        """Return a copy with this expected number of output tokens."""
        return changed(self, expected_output_tokens=tokens)

    def with_deferral(self, now_ms: int) -> "Request":
        """Return a copy that was kept queued to wait for a particular upstream."""
        return changed(self, deferred_at_ms=now_ms)

    def with_requeue(self) -> "Request":
        """Return a copy that is requeued, since no byte of it was sent."""
        return changed(
            self,
            stage=RequestStage.QUEUED,
            upstream="",
            version="",
            dispatched_at_ms=0,
            requeues=self.requeues + 1,
        )

    def with_offer(self, *, now_ms: int) -> "Request":
        """Return a copy that is being offered to peers."""
        return changed(self, stage=RequestStage.OFFERED, offered=True, offered_at_ms=now_ms)

    def with_version(self, version: str) -> "Request":
        """Return a copy that must be answered by this model version."""
        return changed(self, version=version)


class RequestTable(Table[str, Request]):
    """Requests in progress on this VM, by request id."""

    def __init__(self) -> None:
        super().__init__()
        #: The requests that are being offered to peers, by request id.
        self.offered: dict[str, Request] = {}

    def put(self, key: str, row: Request) -> None:
        """Insert or replace a request."""
        super().put(key, row)
        if row.stage is RequestStage.OFFERED:
            self.offered[key] = row
        else:
            self.offered.pop(key, None)

    def remove(self, key: str) -> Request | None:
        """Remove a request and return it."""
        self.offered.pop(key, None)
        return super().remove(key)


def call_digest_of(request: Request) -> str:
    """Return the digest that identifies a request's call."""
    if request.ticket_nonce:
        return call_digest(request.organisation, "ticket", request.ticket_nonce)
    return call_digest(request.organisation, "key", request.idempotency_key)
