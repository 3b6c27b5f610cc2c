"""Estimate of the prompt prefixes that an upstream has cached, from the prompts sent to it.

An engine need not prefill the leading parts of a prompt that it still has in memory from an earlier
prompt.
"""

from collections import OrderedDict
from dataclasses import dataclass

from azureturn.framework import Table
from azureturn.gateway.site import Prompt, PromptPart, UpstreamRun

#: Share of an engine's memory available to cached prefixes; running requests use the rest.
_PREFIX_CACHE_SHARE = 0.6


@dataclass(frozen=True)
class SentPrompt:
    """A prompt that a VM sent to an upstream, as it reports it to its peers."""

    upstream: str
    model: str
    parts: tuple[PromptPart, ...]


class PrefixCacheEstimate:
    """The prompt parts sent to one run of an upstream, in the order of their last use.

    A run is the time between a start of the upstream's process and its end; the cache is empty at
    its start.
    """

    def __init__(self, run: UpstreamRun, capacity_tokens: int) -> None:
        self.run = run
        self._capacity_tokens = capacity_tokens * _PREFIX_CACHE_SHARE
        self._total_tokens = 0
        #: Tokens of each part, keyed by the model and the ids of all parts up to and including it.
        self._tokens_by_prefix: OrderedDict[tuple[str, ...], int] = OrderedDict()

    def record_prompt(self, model: str, parts: tuple[PromptPart, ...]) -> None:
        """Record a sent prompt, and evict the least recently used parts beyond the capacity."""
        prefix: tuple[str, ...] = (model,)
        for part in parts:
            prefix = (*prefix, part.part_id)
            self._total_tokens += part.tokens - self._tokens_by_prefix.pop(prefix, 0)
            self._tokens_by_prefix[prefix] = part.tokens
        while self._total_tokens > self._capacity_tokens and self._tokens_by_prefix:
            _, tokens = self._tokens_by_prefix.popitem(last=False)
            self._total_tokens -= tokens

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the number of leading tokens of a prompt that are expected to be cached."""
        prefix: tuple[str, ...] = (prompt.model,)
        cached = 0
        for part in prompt.parts:
            prefix = (*prefix, part.part_id)
            if prefix not in self._tokens_by_prefix:
                break
            cached += part.tokens
        return cached


class PrefixCacheTable(Table[str, PrefixCacheEstimate]):
    """Cache estimates, keyed by upstream name."""

    def __init__(self) -> None:
        super().__init__()
        #: Prompts that this VM has sent but not yet reported to its peers.
        self.unreported_prompts: list[SentPrompt] = []

    def of(self, run: UpstreamRun, capacity_tokens: int) -> PrefixCacheEstimate:
        """Return the estimate for a run of an upstream; a new run starts empty."""
        prefix_cache = self.get(run[0])
        if prefix_cache is None or prefix_cache.run != run:
            prefix_cache = PrefixCacheEstimate(run, capacity_tokens)
            self.put(run[0], prefix_cache)
        return prefix_cache
