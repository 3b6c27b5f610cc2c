"""Claim segments and their encoding as values of the key-value service."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.core import (
    Claim,
    ClaimHolder,
    ClaimOutcome,
    ClaimSegment,
    ClaimState,
    call_digest,
    segment_of,
)
from azureturn.core._claim_segments import SEGMENT_COUNT
from azureturn.errors import AzureturnError

NAMES = st.text(max_size=20)
TIMES = st.integers(min_value=0, max_value=1 << 45)
HOLDERS = st.builds(ClaimHolder, NAMES, NAMES, NAMES, st.integers(0, 65_535))
OUTCOMES = st.builds(
    ClaimOutcome,
    st.sampled_from([ClaimState.RAN, ClaimState.UNKNOWN, ClaimState.RELEASED]),
    st.integers(100, 599),
    st.text(st.characters(max_codepoint=126, min_codepoint=32), max_size=20),
    st.text(st.characters(max_codepoint=126, min_codepoint=32), max_size=20),
    st.binary(max_size=300),
    st.booleans(),
)
PLAIN = st.text(st.characters(max_codepoint=126, min_codepoint=48), max_size=40)
CLAIMS = st.builds(
    Claim, HOLDERS, PLAIN, PLAIN, TIMES, TIMES, st.one_of(st.just(ClaimOutcome()), OUTCOMES)
)
SEGMENTS = st.dictionaries(st.integers(0, 1 << 60).map(lambda n: f"{n:032x}"), CLAIMS).map(
    lambda claims: ClaimSegment(floor_ms=7).with_claims(claims)
)


@given(SEGMENTS)
def test_a_segment_round_trips_through_its_encoding(segment: ClaimSegment) -> None:
    assert ClaimSegment.from_bytes(segment.to_bytes()) == segment


@given(st.one_of(st.binary(max_size=200), st.text(max_size=200).map(str.encode)))
def test_a_malformed_value_raises_and_is_never_an_empty_segment(value: bytes) -> None:
    with pytest.raises(AzureturnError):
        ClaimSegment.from_bytes(value)


def claim(number: int, *, body: bytes = b"") -> Claim:
    holder = ClaimHolder("vm-1", "0123456789abcdef", "10.0.0.1", 7_000)
    outcome = ClaimOutcome(ClaimState.RAN, 200, "application/json", "bookings-1", body, True)
    nonce = f"0123456789abcdef-{number}"
    return Claim(holder, nonce, "d" * 32, 1_700_000_000_000, 1_700_000_000_000, outcome)


@pytest.mark.parametrize("body", [b"", b"x" * 2_048])
def test_the_size_bound_is_never_below_the_encoded_size(body: bytes) -> None:
    claims = {call_digest("o", "key", str(n)): claim(n, body=body) for n in range(500)}
    segment = ClaimSegment().with_claims(claims)
    assert len(segment.to_bytes()) <= segment.size_bytes


def test_expiry_raises_the_floor_to_the_issue_time_of_removed_claims() -> None:
    old, new = claim(1), claim(2)
    segment = ClaimSegment().with_claims({"a": old, "b": new})
    assert segment.without_expired(old.claimed_at_ms) is segment
    expired = segment.without_expired(old.claimed_at_ms + 1)
    assert not expired.claims and expired.floor_ms == old.issued_at_ms
    assert expired.size_bytes == ClaimSegment().size_bytes


def test_organisations_and_kinds_of_key_never_share_a_claim() -> None:
    digests = {
        call_digest(organisation, kind, key)
        for organisation in ("a", "b")
        for kind in ("key", "ticket")
        for key in ("1", "2")
    }
    assert len(digests) == 8


def test_calls_are_distributed_over_all_segments() -> None:
    numbers = {segment_of(call_digest("a", "key", str(number))) for number in range(1_000)}
    assert numbers == set(range(SEGMENT_COUNT))
