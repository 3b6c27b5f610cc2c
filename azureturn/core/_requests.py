"""What the core knows of one request."""

from dataclasses import dataclass
from enum import StrEnum

from azureturn.core._claim_segments import call_digest
from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.settings import UpstreamKind

#: Prompt tokens to one block of ``Request.prefix_digests``.
PREFIX_BLOCK_TOKENS = 204


class RequestStage(StrEnum):
    """How far a request has come."""

    QUEUED = "queued"
    #: Out of the queue, while peers are asked to take it.
    OFFERED = "offered"
    #: An upstream is chosen and the right to run is being sought.
    CLAIMING = "claiming"
    DISPATCHED = "dispatched"


@dataclass(frozen=True)
class Request:
    """One request as the decisions see it; bodies stay with the adapters."""

    request_id: str
    organisation: str
    route: str
    tier_rank: int
    target: str
    kind: UpstreamKind
    arrived_at_ms: int
    deadline_ms: int
    idempotent: bool = True
    idempotency_key: str = ""
    #: Digest of method, path and body: a key that comes again with another is refused.
    body_digest: str = ""
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    #: Digests of the prompt's leading blocks, shortest prefix first.
    prefix_digests: tuple[str, ...] = ()
    upstream_deduplicates: bool = False
    #: When the request arrived, in ms since 1970.
    arrived_unix_ms: int = 0
    #: When the caller made its key, in ms since 1970; 0 where it did not say.
    key_issued_at_ms: int = 0
    #: Nonce of this process's own ticket that the request comes with.
    ticket_nonce: str = ""
    #: Until when this process honours that ticket, by its own clock.
    ticket_expires_at_ms: int = 0
    #: Nonce of a claim on the key whose holder said that it will never run.
    released_nonce: str = ""
    #: Nonce under which this process seeks or has the right to run the call.
    claim_nonce: str = ""
    stage: RequestStage = RequestStage.QUEUED
    #: Name of the upstream, once one is chosen.
    upstream: str = ""
    #: Version of the model that is to answer; empty where the upstream chooses.
    version: str = ""
    dispatched_at_ms: int = 0
    output_tokens: int = 0
    #: When the first token and the latest progress came; 0 before that.
    first_token_at_ms: int = 0
    progressed_at_ms: int = 0
    #: Prompt tokens that the upstream was expected to hold when it was chosen.
    expected_cached_tokens: int = 0
    #: When it was first left in the queue to wait for a certain upstream; 0 before that.
    passed_over_at_ms: int = 0
    #: Whether peers were asked to take it, which is done at most once.
    offered: bool = False
    #: How often it came back because an upstream could not be connected to.
    returns: int = 0
    offered_at_ms: int = 0

    def with_stage(self, stage: RequestStage) -> "Request":
        """Return a copy at another stage."""
        return changed(self, stage=stage)

    def with_claim_nonce(self, nonce: str) -> "Request":
        """Return a copy that is to run under a claim."""
        return changed(self, claim_nonce=nonce)

    def with_released_nonce(self, nonce: str) -> "Request":
        """Return a copy, as it arrived, that may replace a claim given up by its holder."""
        stage = RequestStage.QUEUED
        return changed(self, released_nonce=nonce, claim_nonce="", stage=stage, upstream="")

    def with_placement(
        self, upstream: str, *, now_ms: int, expected_cached_tokens: int = 0
    ) -> "Request":
        """Return a copy that is bound to an upstream."""
        return changed(
            self,
            upstream=upstream,
            dispatched_at_ms=now_ms,
            expected_cached_tokens=expected_cached_tokens,
        )

    def with_progress(self, output_tokens: int, *, now_ms: int) -> "Request":
        """Return a copy whose stream has brought this many tokens."""
        return changed(
            self,
            output_tokens=output_tokens,
            first_token_at_ms=self.first_token_at_ms or now_ms,
            progressed_at_ms=now_ms,
        )

    def with_expected_output(self, tokens: int) -> "Request":
        """Return a copy whose answer is expected to be this long."""
        return changed(self, expected_output_tokens=tokens)

    def with_passed_over(self, now_ms: int) -> "Request":
        """Return a copy that was left in the queue to wait for a certain upstream."""
        return changed(self, passed_over_at_ms=now_ms)

    def with_return(self) -> "Request":
        """Return a copy that waits again: no byte of it has left."""
        return changed(
            self,
            stage=RequestStage.QUEUED,
            upstream="",
            version="",
            dispatched_at_ms=0,
            returns=self.returns + 1,
        )

    def with_offer(self, *, now_ms: int) -> "Request":
        """Return a copy that peers are being asked to take."""
        return changed(self, stage=RequestStage.OFFERED, offered=True, offered_at_ms=now_ms)

    def with_version(self, version: str) -> "Request":
        """Return a copy that a certain version of the model is to answer."""
        return changed(self, version=version)


class RequestTable(Table[str, Request]):
    """Requests in progress on this VM, by request id."""

    def __init__(self) -> None:
        super().__init__()
        #: Those of the rows that peers are being asked to take.
        self.offered: dict[str, Request] = {}

    def put(self, key: str, row: Request) -> None:
        """Insert or replace a request."""
        super().put(key, row)
        if row.stage is RequestStage.OFFERED:
            self.offered[key] = row
        else:
            self.offered.pop(key, None)

    def remove(self, key: str) -> Request | None:
        """Take a request out."""
        self.offered.pop(key, None)
        return super().remove(key)


def digest_of(request: Request) -> str:
    """Return the name under which a request's call is claimed."""
    if request.ticket_nonce:
        return call_digest(request.organisation, "ticket", request.ticket_nonce)
    return call_digest(request.organisation, "key", request.idempotency_key)
