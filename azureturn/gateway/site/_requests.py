"""What callers say of a request, what upstreams are told, and what they answer."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, which other prompts may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """A prompt by its size and its parts, without its text."""

    model: str
    prompt_tokens: int
    #: Most tokens that the answer may have.
    answer_limit_tokens: int
    #: The caller's own estimate of the answer; 0 where it gives none.
    expected_answer_tokens: int = 0
    #: In order; the last part is the request's or its session's own.
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True)
class CallerFacts:
    """What the headers of a caller's request say."""

    request_id: str
    #: How long the caller waits; None where it does not say.
    patience_ms: int | None
    #: The key that the caller shows; empty for none.
    key: str
    prompt: Prompt | None
    #: Number of the last event that the caller has; None for a stream from its start.
    last_event_number: int | None


@dataclass(frozen=True)
class AttemptHeaders:
    """What this system itself tells an upstream of one attempt."""

    #: The only upstream that may run it.
    upstream: str
    organisation: str
    #: How long the upstream may work on it.
    time_left_ms: int
    #: Events from the next number on are wanted; None for all.
    last_event_number: int | None


@dataclass(frozen=True)
class AnswerFacts:
    """What the headers of an upstream's answer say."""

    #: The request that it answers; empty where it names none.
    request_id: str
    #: The upstream did not run the request and never will.
    not_run: bool
    #: It bears the upstream's seal.
    is_sealed: bool
