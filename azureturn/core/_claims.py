"""Claims: the exclusive right of one process to run a call that is not idempotent.

A call is what a caller wants done once. It is identified by the organisation and the idempotency
key, or by a ticket, and may arrive in several requests, which are duplicates of each other. To run
a call is to send it to an upstream. A process writes its claim to the key-value service before it
runs the call, except for a call with a ticket and for an upstream that ignores repeated keys.
"""

from dataclasses import dataclass, replace
from enum import StrEnum


@dataclass(frozen=True)
class ClaimHolder:
    """The process that holds a claim, and its peer address."""

    vm: str
    #: Identifies one start of the process; unique among the processes of all VMs.
    boot_id: str
    host: str
    peer_port: int


class ClaimState(StrEnum):
    """State of a call as recorded by the holder of its claim."""

    #: The call may run, may be running, or has ended but its outcome is not yet written.
    HELD = "held"
    #: The upstream answered, with any status.
    RAN = "ran"
    #: The call was sent and no complete answer was received.
    UNKNOWN = "unknown"
    #: The call was not and will never be sent under this claim, so the claim may be replaced.
    RELEASED = "released"


@dataclass(frozen=True)
class ClaimOutcome:
    """The outcome of a call, as stored with its claim."""

    state: ClaimState = ClaimState.HELD
    #: HTTP status of the upstream's answer; 0 if there was none.
    status: int = 0
    content_type: str = ""
    upstream: str = ""
    body: bytes = b""
    #: Whether ``body`` is the complete body of the answer; long bodies are not stored.
    body_kept: bool = False

    def without_body(self) -> "ClaimOutcome":
        """Return a copy without the body."""
        return replace(self, body=b"", body_kept=False)


@dataclass(frozen=True)
class Claim:
    """The right of one process to run one call; compare-and-swap makes it exclusive."""

    holder: ClaimHolder
    #: Globally unique: the holder's boot id and a counter.
    nonce: str
    body_digest: str
    #: When the request arrived, in ms since 1970 by the holder's clock.
    claimed_at_ms: int
    #: When the caller issued the key, in ms since 1970; the time of arrival if not given.
    issued_at_ms: int
    outcome: ClaimOutcome = ClaimOutcome()

    def with_outcome(self, outcome: ClaimOutcome) -> "Claim":
        """Return a copy with an outcome."""
        return replace(self, outcome=outcome)


class ClaimResult(StrEnum):
    """Result of requesting the claim to a call."""

    OURS = "ours"
    #: Another process, or an earlier request of this process, holds the claim.
    FOREIGN = "foreign"
    #: The key was claimed before with a different body.
    REUSED = "reused"
    #: The key was issued at or before the segment's floor, so its claim may have been removed.
    EXPIRED = "expired"
    #: The key-value service did not answer in time; the request will not be sent.
    UNAVAILABLE = "unavailable"
    #: The segment or the table of held calls has no space for another claim.
    FULL = "full"
    #: No claim is needed, since the upstream itself ignores a repeated key.
    WAIVED = "waived"
