"""What the core knows of one request."""

from dataclasses import dataclass, replace
from enum import StrEnum

from azureturn.core._blackboard import Table
from azureturn.settings import UpstreamKind


class RequestStage(StrEnum):
    """How far a request has come."""

    QUEUED = "queued"
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
    stage: RequestStage = RequestStage.QUEUED
    #: Name of the upstream, once one is chosen.
    upstream: str = ""
    #: Version of the model that is to answer; empty where the upstream chooses.
    version: str = ""
    dispatched_at_ms: int = 0
    output_tokens: int = 0

    def with_stage(self, stage: RequestStage) -> "Request":
        """Return a copy at another stage."""
        return replace(self, stage=stage)

    def with_placement(self, upstream: str, *, now_ms: int) -> "Request":
        """Return a copy that is bound to an upstream."""
        return replace(self, upstream=upstream, dispatched_at_ms=now_ms)

    def with_version(self, version: str) -> "Request":
        """Return a copy that a certain version of the model is to answer."""
        return replace(self, version=version)


class RequestTable(Table[str, Request]):
    """Requests in progress on this VM, by request id."""
