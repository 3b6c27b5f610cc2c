"""Work that a request causes at an upstream.

Handles load in which prompts and answers differ in length by orders of magnitude, so that the
number of requests says little about how long an upstream, or a queue, is busy with them.
"""

from dataclasses import dataclass

from azureturn.gateway.decisions._requests import GatewayRequest
from azureturn.gateway.settings import EnginePolicy

#: Bound of estimates, so that an absurd number in a request cannot displace all others.
_MAX_TOKENS = 10_000_000


@dataclass(frozen=True)
class RequestWork:
    """What an upstream has to do for a request; no tokens for one without a prompt."""

    #: Prompt tokens that the upstream has to prefill.
    prefill_tokens: int
    #: Tokens that it is expected to generate.
    answer_tokens: float
    engine: EnginePolicy

    @property
    def prefill_ms(self) -> float:
        """Return the duration of the prefill at the configured speed."""
        return self.prefill_tokens / self.engine.prefill_tokens_per_ms

    @property
    def answer_ms(self) -> float:
        """Return the time to generate the answer at the configured speed."""
        return self.answer_tokens * self.engine.ms_per_token

    def first_event_ms(self, slowdown: float) -> float:
        """Return the expected time to the first event at an upstream of this slowdown."""
        return (self.prefill_ms + self.engine.first_event_ms) * slowdown

    def duration_ms(self, slowdown: float) -> float:
        """Return the expected duration at an upstream that is ``slowdown`` times slower.

        It never is 0, as no request is free of work.
        """
        return self.first_event_ms(slowdown) + self.answer_ms * slowdown


def request_work(
    request: GatewayRequest, engine_policy: EnginePolicy, cached_tokens: int
) -> RequestWork:
    """Return the work of a request at an upstream that has cached part of its prompt.

    The length of the answer is the caller's estimate, or else the configured one, and at most the
    stated maximum.
    """
    prompt = request.prompt
    if prompt is None:
        return RequestWork(0, 0.0, engine_policy)
    answer_tokens = float(prompt.expected_answer_tokens)
    if answer_tokens <= 0:
        answer_tokens = engine_policy.answer_tokens
    if prompt.answer_limit_tokens > 0:
        answer_tokens = min(answer_tokens, prompt.answer_limit_tokens)
    prefill_tokens = max(0, prompt.prompt_tokens - max(0, cached_tokens))
    return RequestWork(
        min(_MAX_TOKENS, prefill_tokens), min(float(_MAX_TOKENS), answer_tokens), engine_policy
    )
