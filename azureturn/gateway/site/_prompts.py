"""Size and parts of a prompt, and the prefixes of it that an engine may have cached."""

from dataclasses import dataclass
from functools import cached_property

import xxhash

#: Consecutive parts are combined until they have this share of all tokens before them. A prompt
#: then has some tens of segments at most, however many parts its caller lists, and the
#: estimate of what is cached of it errs by at most this share.
_MIN_SEGMENT_SHARE = 1 / 16


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt. Prompts with equal leading parts have a common prefix."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptPrefix:
    """The leading parts of a prompt up to the end of a segment."""

    #: Identifies the model and all parts of the prefix.
    key: int
    #: Tokens of the last segment.
    segment_tokens: int


@dataclass(frozen=True)
class Prompt:
    """Size and parts of a prompt, without its text."""

    model: str
    prompt_tokens: int
    #: Maximum number of tokens in the response.
    answer_limit_tokens: int
    #: The caller's estimate of the tokens in the response; 0 if it gives none.
    expected_answer_tokens: int = 0
    #: In the order of the prompt. The last part occurs only in this request or its session.
    parts: tuple[PromptPart, ...] = ()

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Return the ids of the parts, in the order of the prompt."""
        return tuple(part.part_id for part in self.parts)

    @property
    def shared_part_ids(self) -> frozenset[str]:
        """Return the ids of the parts that other prompts may contain too: all but the last."""
        return frozenset(part.part_id for part in self.parts[:-1])

    @cached_property
    def segments(self) -> tuple[PromptPart, ...]:
        """Return the parts, of which small ones are combined."""
        return combine_parts(self.parts)

    @cached_property
    def prefixes(self) -> tuple[PromptPrefix, ...]:
        """Return the prefixes up to the end of each segment, the shortest first."""
        return prefixes_of(self.model, self.segments)


def combine_parts(parts: tuple[PromptPart, ...]) -> tuple[PromptPart, ...]:
    """Return the segments of a prompt: its parts, of which small ones are combined.

    Where a segment ends depends only on the parts before, so that prompts with equal leading parts
    have equal leading segments. The segments of segments are the same again.

    >>> combine_parts((PromptPart("a", 640), PromptPart("b", 30), PromptPart("c", 30)))
    (PromptPart(part_id='a', tokens=640), PromptPart(part_id='bc48d6c3c749be1e', tokens=60))
    """
    if _are_segments(parts):
        return parts
    segments: list[PromptPart] = []
    tokens_before = 0
    pending: list[PromptPart] = []
    pending_tokens = 0
    for part in parts:
        pending.append(part)
        pending_tokens += part.tokens
        if pending_tokens >= max(1.0, tokens_before * _MIN_SEGMENT_SHARE):
            segments.append(_combined(pending, pending_tokens))
            tokens_before += pending_tokens
            pending, pending_tokens = [], 0
    if pending_tokens:
        segments.append(_combined(pending, pending_tokens))
    return tuple(segments)


def _are_segments(parts: tuple[PromptPart, ...]) -> bool:
    """Return whether each part is so large that it is not combined with others."""
    tokens_before = 0
    for part in parts:
        tokens = part.tokens
        if tokens < 1 or tokens < tokens_before * _MIN_SEGMENT_SHARE:
            return False
        tokens_before += tokens
    return True


def prefixes_of(model: str, segments: tuple[PromptPart, ...]) -> tuple[PromptPrefix, ...]:
    """Return the prefixes of a prompt up to the end of each segment, the shortest first."""
    keys = prefix_keys(model, segments)
    return tuple(
        PromptPrefix(key, segment.tokens) for key, segment in zip(keys, segments, strict=True)
    )


def prefix_keys(model: str, segments: tuple[PromptPart, ...]) -> list[int]:
    """Return the keys of the prefixes of a prompt, the shortest first."""
    digest = xxhash.xxh3_64_intdigest
    key = digest(model.encode())
    keys = []
    for segment in segments:
        key = digest(segment.part_id.encode(), seed=key)
        keys.append(key)
    return keys


def _combined(parts: list[PromptPart], tokens: int) -> PromptPart:
    if len(parts) == 1:
        return parts[0]
    ids = "\0".join(part.part_id for part in parts)
    return PromptPart(xxhash.xxh3_64_hexdigest(ids.encode()), tokens)
