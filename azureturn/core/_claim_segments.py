"""Claim segments: many claims stored in one value of the key-value service to share its writes.

A call is assigned to a segment by a digest of its organisation and idempotency key. The digest is
cryptographic, since a caller chooses the key and must not be able to collide with another
organisation's claim. ``SEGMENT_COUNT`` is part of the segment keys and not a setting: two VMs with
different counts would look for the same claim in different places.

Claims are removed from a segment after the retention time. A removal raises the segment's floor,
in the same compare-and-swap, to the latest time at which a removed key was issued. A request whose
key was issued at or before the floor and that has no claim in the segment is answered
``outcome_unknown`` and never run, since it may be a duplicate of a removed call. This does not
depend on correct clocks: a fast clock removes claims early, which loses an answer but never causes
a second run. A key without a time of issue counts as issued when its request arrived, so a
duplicate that arrives after the retention time is not recognised and runs. A caller that may repeat
a call after that time must therefore send the time of issue with the key.
"""

import base64
import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from azureturn.core._claims import Claim, ClaimHolder, ClaimOutcome, ClaimState
from azureturn.errors import AzureturnError, ErrorKind

#: Not configurable, see the module docstring. Fewer segments batch writes better; more segments
#: have space for more claims.
SEGMENT_COUNT = 32
#: The platform's key-value service accepts values of up to 1 MiB.
SEGMENT_LIMIT_BYTES = 1 << 20
#: Above this size the bodies of all answers are removed from a segment.
BODIES_LIMIT_BYTES = 1 << 19
#: Longest answer body that is stored with its claim.
STORED_BODY_LIMIT_BYTES = 2_048
_DIGEST_BYTES = 16
#: Upper bounds of the encoded size of a claim without its strings and body, and of a segment
#: without claims.
_CLAIM_OVERHEAD_BYTES = 140
_SEGMENT_OVERHEAD_BYTES = 4_096


def call_digest(organisation: str, kind: str, key: str) -> str:
    """Return the digest that identifies a call; ``kind`` separates caller keys from tickets."""
    text = "\0".join((organisation, kind, key))
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def segment_of(digest: str) -> int:
    """Return the number of the segment that holds a call's claim."""
    return int(digest[:8], 16) % SEGMENT_COUNT


def segment_key(number: int, *, scope: str = "all") -> str:
    """Return a segment's key in the key-value service.

    ``scope`` names the region whose VMs share the segment. A duplicate must reach the same scope,
    so the scope may only be derived from data sent with the call.

    >>> segment_key(7)
    'claims/all/32/07'
    """
    return f"claims/{scope}/{SEGMENT_COUNT}/{number:02d}"


def _size_bound_bytes(claim: Claim) -> int:
    outcome = claim.outcome
    names = len(claim.nonce) + len(claim.body_digest) + len(outcome.content_type)
    return _CLAIM_OVERHEAD_BYTES + names + len(outcome.upstream) + len(outcome.body) * 4 // 3


@dataclass(frozen=True)
class ClaimSegment:
    """The claims of one segment at one revision."""

    claims: Mapping[str, Claim] = field(default_factory=dict)
    #: Claims on keys issued at or before this time, in ms since 1970, may have been removed.
    floor_ms: int = 0
    #: Upper bound of the encoded size.
    size_bytes: int = _SEGMENT_OVERHEAD_BYTES

    def with_claims(self, changed: Mapping[str, Claim]) -> "ClaimSegment":
        """Return a copy with claims inserted or replaced."""
        size_bytes = self.size_bytes + sum(_size_bound_bytes(claim) for claim in changed.values())
        for digest in changed:
            old = self.claims.get(digest)
            size_bytes -= 0 if old is None else _size_bound_bytes(old)
        return replace(self, claims={**self.claims, **changed}, size_bytes=size_bytes)

    def without_expired(self, before_ms: int) -> "ClaimSegment":
        """Return a copy without the claims made before ``before_ms``, with the floor raised."""
        expired = [claim for claim in self.claims.values() if claim.claimed_at_ms < before_ms]
        if not expired:
            return self
        remaining = {
            digest: claim
            for digest, claim in self.claims.items()
            if claim.claimed_at_ms >= before_ms
        }
        floor_ms = max(self.floor_ms, *(claim.issued_at_ms for claim in expired))
        size_bytes = self.size_bytes - sum(_size_bound_bytes(claim) for claim in expired)
        return ClaimSegment(remaining, floor_ms, size_bytes)

    def without_bodies(self) -> "ClaimSegment":
        """Return a copy without the bodies of answers."""
        changed = {
            digest: claim.with_outcome(claim.outcome.without_body())
            for digest, claim in self.claims.items()
            if claim.outcome.body
        }
        return self.with_claims(changed)

    def within_limit(self) -> bool:
        """Return whether the service accepts a value of this size."""
        return self.size_bytes <= SEGMENT_LIMIT_BYTES

    @classmethod
    def from_bytes(cls, value: bytes) -> "ClaimSegment":
        """Decode a segment.

        Raises ``AzureturnError`` on a malformed value, which must not be read as an empty segment.
        """
        try:
            document = json.loads(value)
            holders = [ClaimHolder(*row) for row in document["holders"]]
            claims = {key: _decode_claim(row, holders) for key, row in document["claims"].items()}
            floor_ms = int(document["floor_ms"])
        except (ValueError, TypeError, KeyError, IndexError, RecursionError) as error:
            raise AzureturnError(ErrorKind.INTERNAL, "malformed claim segment") from error
        return cls(floor_ms=floor_ms).with_claims(claims)

    def to_bytes(self) -> bytes:
        """Encode the segment; each holder is written once and referenced by index."""
        holder_numbers: dict[ClaimHolder, int] = {}
        rows = {key: _encode_claim(claim, holder_numbers) for key, claim in self.claims.items()}
        holders = [
            [holder.vm, holder.boot_id, holder.host, holder.peer_port] for holder in holder_numbers
        ]
        document = {"floor_ms": self.floor_ms, "holders": holders, "claims": rows}
        return json.dumps(document, separators=(",", ":")).encode()


def _encode_claim(claim: Claim, holder_numbers: dict[ClaimHolder, int]) -> list[Any]:
    number = holder_numbers.setdefault(claim.holder, len(holder_numbers))
    row: list[Any] = [number, claim.nonce, claim.body_digest]
    row += [claim.claimed_at_ms, claim.issued_at_ms]
    outcome = claim.outcome
    if outcome.state is not ClaimState.HELD:
        row += [outcome.state.value, outcome.status, outcome.content_type, outcome.upstream]
        row += [base64.b64encode(outcome.body).decode(), outcome.body_kept]
    return row


def _decode_claim(row: list[Any], holders: list[ClaimHolder]) -> Claim:
    number, nonce, body_digest, claimed_at_ms, issued_at_ms, *rest = row
    claim = Claim(holders[number], str(nonce), str(body_digest), claimed_at_ms, issued_at_ms)
    if not rest:
        return claim
    state, status, content_type, upstream, body, body_kept = rest
    outcome = ClaimOutcome(
        ClaimState(state),
        status,
        content_type,
        upstream,
        base64.b64decode(body, validate=True),
        body_kept,
    )
    return claim.with_outcome(outcome)


def stored_outcome(outcome: ClaimOutcome) -> ClaimOutcome:
    """Return the outcome as stored in a segment: a body above the size limit is left out."""
    if len(outcome.body) > STORED_BODY_LIMIT_BYTES:
        return outcome.without_body()
    return outcome
