"""Estimate of the prompt prefixes that an upstream has cached, from the prompts sent to it.

An engine need not prefill the leading parts of a prompt that it still has in memory from an earlier
prompt.
"""

from collections import OrderedDict, deque
from collections.abc import Container, Iterable
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.site import (
    PromptPart,
    PromptPrefix,
    RegisteredUpstream,
    UpstreamRun,
    combine_parts,
    prefix_keys,
)

#: Share of an engine's memory available to cached prefixes; running requests use the rest.
_PREFIX_CACHE_SHARE = 0.6
#: Maximum number of prefixes in all estimates together; each takes up about 250 bytes.
ENTRY_LIMIT = 60_000
#: Maximum number of prompts in one report, and of segments in all of them, so that it fits into a
#: datagram.
_REPORTED_PROMPTS = 40
_REPORTED_SEGMENTS = 1_500


@dataclass(frozen=True)
class SentPrompt:
    """A prompt that a VM sent to an upstream, as it reports it to its peers."""

    upstream: str
    model: str
    segments: tuple[PromptPart, ...]


class PrefixCacheEstimate:
    """The prefixes sent to one run of an upstream, in the order of their last use.

    A run is the time between a start of the upstream's process and its end; the cache is empty at
    its start.
    """

    def __init__(self, run: UpstreamRun, capacity_tokens: int) -> None:
        self.run = run
        self._capacity_tokens = capacity_tokens * _PREFIX_CACHE_SHARE
        self._total_tokens = 0
        #: Tokens of the last segment of each prefix, by the prefix's key.
        self._tokens_by_prefix: OrderedDict[int, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._tokens_by_prefix)

    def record_prompt(self, prefixes: tuple[PromptPrefix, ...]) -> None:
        """Record a sent prompt, and evict the least recently used prefixes beyond the capacity."""
        self._record([(prefix.key, prefix.segment_tokens) for prefix in prefixes])

    def record_segments(self, model: str, segments: tuple[PromptPart, ...]) -> None:
        """Record a sent prompt that is given by its segments."""
        keys = prefix_keys(model, segments)
        self._record(zip(keys, [segment.tokens for segment in segments], strict=True))

    def _record(self, prefixes: Iterable[tuple[int, int]]) -> None:
        tokens_by_prefix, total_tokens = self._tokens_by_prefix, self._total_tokens
        for key, tokens in prefixes:
            total_tokens += tokens - tokens_by_prefix.pop(key, 0)
            tokens_by_prefix[key] = tokens
        while total_tokens > self._capacity_tokens and tokens_by_prefix:
            total_tokens -= tokens_by_prefix.popitem(last=False)[1]
        self._total_tokens = total_tokens

    def limit_entries(self, limit: int) -> None:
        """Evict the least recently used prefixes beyond a number of them."""
        while len(self._tokens_by_prefix) > limit:
            self._evict_oldest()

    def cached_tokens(self, prefixes: tuple[PromptPrefix, ...]) -> int:
        """Return the number of leading tokens of a prompt that are expected to be cached."""
        cached = 0
        for prefix in prefixes:
            if prefix.key not in self._tokens_by_prefix:
                break
            cached += prefix.segment_tokens
        return cached

    def _evict_oldest(self) -> None:
        _, tokens = self._tokens_by_prefix.popitem(last=False)
        self._total_tokens -= tokens


class PrefixCacheTable(Table[str, PrefixCacheEstimate]):
    """Cache estimates, keyed by upstream name."""

    def __init__(self) -> None:
        super().__init__()
        #: Prompts that this VM has sent but not yet reported to its peers; the latest ones.
        self._unreported_prompts: deque[SentPrompt] = deque(maxlen=_REPORTED_PROMPTS)

    def of(self, run: UpstreamRun, capacity_tokens: int) -> PrefixCacheEstimate:
        """Return the estimate for a run of an upstream; a new run starts empty."""
        prefix_cache = self.get(run[0])
        if prefix_cache is None or prefix_cache.run != run:
            prefix_cache = PrefixCacheEstimate(run, capacity_tokens)
            self.put(run[0], prefix_cache)
            for estimate in self.rows():
                estimate.limit_entries(self._entries_each)
        return prefix_cache

    def of_each(
        self, upstreams: Iterable[RegisteredUpstream], capacity_tokens: int
    ) -> list[PrefixCacheEstimate]:
        """Return the estimates for upstreams, in their order."""
        rows = self._rows
        estimates = []
        for upstream in upstreams:
            estimate = rows.get(upstream.name)
            if estimate is None or estimate.run[1] != upstream.started_unix_ms:
                estimate = self.of(upstream.run, capacity_tokens)
            estimates.append(estimate)
        return estimates

    def record_prompt(self, run: UpstreamRun, prefixes: tuple[PromptPrefix, ...]) -> None:
        """Record a prompt that was sent to a run of an upstream, if there is an estimate for it."""
        prefix_cache = self.get(run[0])
        if prefix_cache is not None and prefix_cache.run == run:
            prefix_cache.record_prompt(prefixes)
            prefix_cache.limit_entries(self._entries_each)

    def record_reported(self, run: UpstreamRun, prompt: SentPrompt) -> None:
        """Record a prompt that a peer sent to a run of an upstream, if there is an estimate for it.

        Every VM does this for each prompt that any VM sends.
        """
        prefix_cache = self._rows.get(run[0])
        if prefix_cache is not None and prefix_cache.run == run:
            # An earlier build reports all parts of a prompt.
            prefix_cache.record_segments(prompt.model, combine_parts(prompt.segments))
            prefix_cache.limit_entries(self._entries_each)

    def keep_only(self, upstreams: Container[str]) -> None:
        """Remove the estimates for all other upstreams."""
        for name in [name for name, _ in self.items() if name not in upstreams]:
            self.remove(name)

    def add_unreported(self, prompt: SentPrompt) -> None:
        """Keep a prompt for the next report."""
        self._unreported_prompts.append(prompt)

    def take_unreported(self) -> tuple[SentPrompt, ...]:
        """Return the latest prompts that fit into a report, and forget all that were kept."""
        taken: list[SentPrompt] = []
        segments = 0
        while self._unreported_prompts:
            prompt = self._unreported_prompts.pop()
            segments += len(prompt.segments)
            if segments > _REPORTED_SEGMENTS:
                break
            taken.append(prompt)
        self._unreported_prompts.clear()
        return tuple(reversed(taken))

    @property
    def _entries_each(self) -> int:
        return ENTRY_LIMIT // len(self._rows)
