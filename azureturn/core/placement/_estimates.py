"""Estimates of what a request would cost on each upstream."""

from collections.abc import Sequence
from dataclasses import dataclass

from azureturn.core._requests import Request
from azureturn.core._upstreams import Upstream
from azureturn.core.placement._prefixes import PrefixTable
from azureturn.core.placement._speeds import LearnedSpeed, SpeedTable

#: Number of prompt tokens that cost an engine as much as one output token.
PREFILL_TOKENS_PER_DECODE_TOKEN = 8


@dataclass(frozen=True)
class Candidate:
    """An upstream that could serve a request, with the estimates for that request."""

    upstream: Upstream
    #: Estimated requests in progress at the upstream, from all VMs.
    requests: float
    #: Prompt tokens that are probably in the upstream's prefix cache.
    cached_tokens: int
    #: Time to prefill the prompt tokens that are not cached.
    prefill_ms: float
    #: Time from now until the answer is complete.
    finish_ms: float
    #: Requests at the upstream, including this one, times the current time per output token in ms.
    load: float

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.upstream.settings.name


class Estimator:
    """Builds candidates from upstreams, learned speeds and prefix cache estimates."""

    def __init__(self, speeds: SpeedTable, prefixes: PrefixTable) -> None:
        self._speeds = speeds
        self._prefixes = prefixes

    def candidates(
        self, request: Request, upstreams: Sequence[Upstream], now_ms: int
    ) -> list[Candidate]:
        """Return one candidate per upstream."""
        return [self.candidate(request, upstream, now_ms) for upstream in upstreams]

    def candidate(self, request: Request, upstream: Upstream, now_ms: int) -> Candidate:
        """Return the candidate for one upstream."""
        speed = self._speeds.of(upstream)
        requests = upstream.estimated_requests(now_ms)
        cached_tokens = self._cached_tokens(request, upstream)
        current_decode_ms_per_token = speed.current_decode_ms_per_token(upstream.settings, now_ms)
        own_prefill_ms = prefill_ms(request, cached_tokens, speed)
        finish_ms = (
            max(0.0, upstream.prefill_until_ms - now_ms)
            + own_prefill_ms
            + self._slot_wait_ms(request, upstream, requests, current_decode_ms_per_token)
            + request.expected_output_tokens * current_decode_ms_per_token
        )
        load = (1 + requests) * current_decode_ms_per_token
        return Candidate(upstream, requests, cached_tokens, own_prefill_ms, finish_ms, load)

    def _cached_tokens(self, request: Request, upstream: Upstream) -> int:
        if not request.prefix_digests:
            return 0
        cache = self._prefixes.get(upstream.settings.name)
        return 0 if cache is None else cache.cached_tokens(request.prefix_digests)

    @staticmethod
    def _slot_wait_ms(
        request: Request, upstream: Upstream, requests: float, current_decode_ms_per_token: float
    ) -> float:
        """Return the wait for a slot, assuming answers of the same length as this request's.

        A slot is one place in the upstream's batch, the requests that it computes concurrently.
        """
        slots = upstream.settings.slots
        excess = max(0.0, requests + 1 - slots)
        return excess / slots * request.expected_output_tokens * current_decode_ms_per_token


def prefill_ms(request: Request, cached_tokens: int, speed: LearnedSpeed) -> float:
    """Return the time to prefill (compute) the part of the prompt that is not cached."""
    return max(0, request.prompt_tokens - cached_tokens) * speed.prefill_ms_per_token


def work_tokens(request: Request) -> int:
    """Return the work of a request, in equivalent output tokens."""
    return request.expected_output_tokens + request.prompt_tokens // PREFILL_TOKENS_PER_DECODE_TOKEN
