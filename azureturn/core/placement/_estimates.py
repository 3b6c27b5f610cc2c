"""What a request would take on one upstream, by what is known now."""

from collections.abc import Sequence
from dataclasses import dataclass

from azureturn.core._requests import Request
from azureturn.core._upstreams import Upstream
from azureturn.core.placement._prefixes import PrefixTable
from azureturn.core.placement._speeds import LearnedSpeed, SpeedTable

#: Prompt tokens that cost an engine as much as one token of an answer.
PREFILL_TOKENS_PER_DECODE_TOKEN = 8


@dataclass(frozen=True)
class Candidate:
    """An upstream that could be given a request, and the estimates for it."""

    upstream: Upstream
    #: Requests there by now, from all VMs.
    requests: float
    #: Prompt tokens that it is thought to hold already.
    held_tokens: int
    #: Time that the rest of the prompt takes.
    prefill_ms: float
    #: Time from now to the end of the answer.
    finish_ms: float
    #: Requests there, counted by the time that each token takes.
    load: float

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.upstream.settings.name


class Estimator:
    """Makes candidates of upstreams."""

    def __init__(self, speeds: SpeedTable, prefixes: PrefixTable) -> None:
        self._speeds = speeds
        self._prefixes = prefixes

    def candidates(
        self, request: Request, upstreams: Sequence[Upstream], now_ms: int
    ) -> list[Candidate]:
        """Return a candidate for each upstream."""
        return [self.candidate(request, upstream, now_ms) for upstream in upstreams]

    def candidate(self, request: Request, upstream: Upstream, now_ms: int) -> Candidate:
        """Return the estimates for one upstream."""
        speed = self._speeds.of(upstream)
        requests = upstream.estimated_requests(now_ms)
        held_tokens = self._held_tokens(request, upstream)
        pace_ms = speed.pace_ms(upstream.settings, now_ms)
        own_prefill_ms = prefill_ms(request, held_tokens, speed)
        finish_ms = (
            max(0.0, upstream.prefill_until_ms - now_ms)
            + own_prefill_ms
            + self._slot_wait_ms(request, upstream, requests, pace_ms)
            + request.expected_output_tokens * pace_ms
        )
        load = (1 + requests) * pace_ms
        return Candidate(upstream, requests, held_tokens, own_prefill_ms, finish_ms, load)

    def _held_tokens(self, request: Request, upstream: Upstream) -> int:
        if not request.prefix_digests:
            return 0
        record = self._prefixes.get(upstream.settings.name)
        return 0 if record is None else record.held_tokens(request.prefix_digests)

    @staticmethod
    def _slot_wait_ms(
        request: Request, upstream: Upstream, requests: float, pace_ms: float
    ) -> float:
        """Return the wait for a slot, if each running answer is as long as this one."""
        slots = upstream.settings.slots
        over = max(0.0, requests + 1 - slots)
        return over / slots * request.expected_output_tokens * pace_ms


def prefill_ms(request: Request, held_tokens: int, speed: LearnedSpeed) -> float:
    """Return the time that the part of the prompt takes which is not held."""
    return max(0, request.prompt_tokens - held_tokens) * speed.prefill_ms_per_token


def work_tokens(request: Request) -> int:
    """Return a request's work, in tokens of an answer."""
    return request.expected_output_tokens + request.prompt_tokens // PREFILL_TOKENS_PER_DECODE_TOKEN
