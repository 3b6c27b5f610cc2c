"""What the core knows of claims: the right to run a call that is not idempotent."""

from dataclasses import dataclass, replace
from enum import StrEnum


@dataclass(frozen=True)
class ClaimHolder:
    """The process that holds a claim, and where to ask it."""

    vm: str
    boot_id: str
    host: str
    peer_port: int


class ClaimState(StrEnum):
    """What a claim's holder has written of the call."""

    #: It may run, may be running, or ended without the end being written.
    HELD = "held"
    #: The upstream answered it, whatever the status.
    RAN = "ran"
    #: It was sent and no whole answer came.
    UNKNOWN = "unknown"
    #: It was never sent and never will be under this claim: another may replace the claim.
    RELEASED = "released"


@dataclass(frozen=True)
class ClaimOutcome:
    """What became of a call, as it is kept beside its claim."""

    state: ClaimState = ClaimState.HELD
    #: HTTP status of the upstream's answer; 0 without one.
    status: int = 0
    content_type: str = ""
    upstream: str = ""
    body: bytes = b""
    #: Whether ``body`` is all of the answer's body; long bodies are not kept.
    body_kept: bool = False

    def without_body(self) -> "ClaimOutcome":
        """Return a copy that takes little room."""
        return replace(self, body=b"", body_kept=False)


@dataclass(frozen=True)
class Claim:
    """The right to run one call, given to one process; compare-and-swap makes it unique."""

    holder: ClaimHolder
    #: Unique among all claims ever made: the holder's boot id and a counter.
    nonce: str
    body_digest: str
    #: When the request arrived, in ms since 1970 by the holder's clock.
    claimed_at_ms: int
    #: When the caller made the key, in ms since 1970; the arrival where it did not say.
    issued_at_ms: int
    outcome: ClaimOutcome = ClaimOutcome()

    def with_outcome(self, outcome: ClaimOutcome) -> "Claim":
        """Return a copy that tells what became of the call."""
        return replace(self, outcome=outcome)


class ClaimResult(StrEnum):
    """How seeking the right to run a call ended."""

    OURS = "ours"
    #: Another process, or an earlier request of this one, has the right.
    FOREIGN = "foreign"
    #: The key was claimed before with another body.
    REUSED = "reused"
    #: The key is older than what the segment still remembers.
    EXPIRED = "expired"
    #: The service gave no answer in time; this request will not be sent.
    UNAVAILABLE = "unavailable"
    #: There is no room for another claim.
    FULL = "full"
    #: No claim is needed: the upstream itself ignores a key that it has seen.
    WAIVED = "waived"
