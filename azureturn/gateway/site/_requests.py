"""Information in the headers of requests, attempts and responses."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; other prompts may contain the same part."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Size and parts of a prompt, without its text."""

    model: str
    prompt_tokens: int
    #: Maximum number of tokens in the response.
    answer_limit_tokens: int
    #: The caller's estimate of the tokens in the response; 0 if it gives none.
    expected_answer_tokens: int = 0
    #: In order. The last part belongs to this request or its session alone.
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True)
class RequestFacts:
    """Information in the headers of a caller's request."""

    request_id: str
    #: How long the caller waits for the response; None if not stated.
    caller_timeout_ms: int | None
    #: Empty for none.
    api_key: str
    prompt: Prompt | None
    #: Number of the last event that the caller has received; None to start the stream from its
    #: beginning.
    last_event_number: int | None


@dataclass(frozen=True)
class AttemptHeaders:
    """Headers that the gateway itself adds to the request of one attempt."""

    #: The only upstream that may run the request.
    upstream: str
    organisation: str
    #: How long the upstream may work on the request.
    time_left_ms: int
    #: The stream is to continue after this event; None for all events.
    last_event_number: int | None


@dataclass(frozen=True)
class ResponseFacts:
    """Information in the headers of an upstream's response."""

    #: The request that the response belongs to; empty if it names none.
    request_id: str
    #: The upstream did not execute the request and will not execute it later.
    not_executed: bool
    #: The response carries the upstream's seal.
    is_sealed: bool
