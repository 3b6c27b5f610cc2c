"""Prompts whose parts are combined to few segments, with equal leading segments."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azureturn.gateway.site import PromptPart, combine_parts, prefixes_of

#: More segments than any list of parts that fits into the headers may give.
_MAX_SEGMENTS = 128

_PARTS = st.lists(
    st.builds(PromptPart, st.text("abcdef", min_size=1, max_size=4), st.integers(0, 3_000)),
    max_size=60,
).map(tuple)


@pytest.mark.parametrize("tokens", [0, 1, 7, 16, 500])
def test_a_prompt_has_few_segments_however_many_parts_are_listed(tokens: int) -> None:
    parts = tuple(PromptPart(f"{number:x}", tokens) for number in range(4_000))
    segments = combine_parts(parts)
    assert len(segments) <= _MAX_SEGMENTS
    assert sum(segment.tokens for segment in segments) == 4_000 * tokens


@given(_PARTS)
def test_combined_parts_stay_as_they_are(parts: tuple[PromptPart, ...]) -> None:
    segments = combine_parts(parts)
    assert combine_parts(segments) == segments


@given(_PARTS, _PARTS, _PARTS)
def test_prompts_with_equal_leading_parts_have_equal_leading_prefixes(
    shared: tuple[PromptPart, ...], first: tuple[PromptPart, ...], second: tuple[PromptPart, ...]
) -> None:
    shared_tokens = sum(part.tokens for part in shared)
    one = prefixes_of("m", combine_parts(shared + first))
    other = prefixes_of("m", combine_parts(shared + second))
    common = 0
    for left, right in zip(one, other, strict=False):
        if left != right:
            break
        common += left.segment_tokens
    # Only the segment in which the shared parts end may differ.
    assert common >= shared_tokens - shared_tokens / 16 - 1


def test_large_parts_are_segments_of_their_own() -> None:
    parts = (PromptPart("a", 60), PromptPart("b", 6_550), PromptPart("c", 628))
    assert combine_parts(parts) == parts


def test_prefixes_of_other_models_differ() -> None:
    segments = (PromptPart("a", 60),)
    assert prefixes_of("m", segments) != prefixes_of("n", segments)
