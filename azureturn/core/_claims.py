"""What the core knows of claims: the right to run a call that is not idempotent."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True)
class ClaimHolder:
    """The process that holds a claim, and where to ask it."""

    vm: str
    boot_id: str
    host: str
    peer_port: int


class ClaimResult(StrEnum):
    """How a claim on an idempotency key ended."""

    OURS = "ours"
    FOREIGN = "foreign"
    #: The key-value service gave no answer and the claim can still land.
    UNDECIDED = "undecided"
    UNAVAILABLE = "unavailable"
