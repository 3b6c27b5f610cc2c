"""Estimates which prompt prefixes each upstream has cached, from the prompts sent to it.

A prompt is divided into blocks of ``PREFIX_BLOCK_TOKENS`` tokens. The digest of a block covers the
block and everything before it, so it identifies a prefix of the prompt.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from azureturn.core._requests import PREFIX_BLOCK_TOKENS, Request
from azureturn.framework import Table

#: Initial estimate of the cache capacity of an upstream, in prompt tokens.
_INITIAL_CAPACITY_TOKENS = 100_000
#: Lower bound of the estimated capacity.
_MIN_CAPACITY_TOKENS = 10_000
#: Factor applied to the estimated capacity after an upstream turned out to have evicted a prefix.
_CAPACITY_DECAY = 0.95
#: Number of leading blocks that determine the placement of a prompt with a new prefix.
AFFINITY_BLOCKS = 4
#: Number of leading blocks of a sent prompt whose digests are published to peers, so that the
#: peers can estimate how much of a prompt is cached.
_PUBLISHED_BLOCKS = 24
#: Maximum number of sent prefixes waiting to be published to peers; the oldest are dropped.
_UNPUBLISHED_LIMIT = 256
#: Weight of a new prompt in the moving average of a route's share of repeated prefixes.
_REUSE_WEIGHT = 0.05
#: Share of repeated prefixes that is assumed until measured.
_INITIAL_REUSE_SHARE = 0.5


class PrefixCacheEstimate:
    """LRU model of one upstream's prefix cache, built from the blocks that were sent to it."""

    def __init__(self) -> None:
        self._digests: OrderedDict[str, None] = OrderedDict()
        self._capacity_blocks = _INITIAL_CAPACITY_TOKENS // PREFIX_BLOCK_TOKENS

    def record_prompt(self, digests: Sequence[str]) -> None:
        """Record that a prompt with these blocks was sent."""
        for digest in reversed(digests):
            self._digests[digest] = None
            self._digests.move_to_end(digest)
        while len(self._digests) > self._capacity_blocks:
            self._digests.popitem(last=False)

    def cached_tokens(self, digests: Sequence[str]) -> int:
        """Return the estimated number of leading prompt tokens in the upstream's cache.

        A digest covers all preceding blocks, and leading blocks are evicted last, so the longest
        cached prefix is found by bisection.
        """
        low, high = 0, len(digests)
        while low < high:
            middle = (low + high + 1) // 2
            if digests[middle - 1] in self._digests:
                low = middle
            else:
                high = middle - 1
        return low * PREFIX_BLOCK_TOKENS

    def record_eviction(self) -> None:
        """Lower the estimated capacity after an expected prefix was not cached."""
        min_blocks = _MIN_CAPACITY_TOKENS // PREFIX_BLOCK_TOKENS
        self._capacity_blocks = max(min_blocks, int(self._capacity_blocks * _CAPACITY_DECAY))


@dataclass(frozen=True)
class SentPrefix:
    """Leading blocks of a prompt that was new to an upstream, to be published to peers."""

    upstream: str
    #: Digests of at most ``_PUBLISHED_BLOCKS`` blocks.
    digests: tuple[str, ...]


class PrefixTable(Table[str, PrefixCacheEstimate]):
    """Cache estimates by upstream, and the sent prefixes not yet published to peers."""

    def __init__(self) -> None:
        super().__init__()
        self._unpublished: deque[SentPrefix] = deque(maxlen=_UNPUBLISHED_LIMIT)

    def of(self, upstream: str) -> PrefixCacheEstimate:
        """Return the cache estimate of an upstream, creating it on first use."""
        cache = self.get(upstream)
        if cache is None:
            cache = PrefixCacheEstimate()
            self.put(upstream, cache)
        return cache

    def record_sent_prompt(self, upstream: str, digests: Sequence[str]) -> None:
        """Record a prompt sent by this VM.

        If its prefix was new to the upstream, the prefix is queued to be published to peers.
        """
        cache = self.of(upstream)
        leading = tuple(digests[:AFFINITY_BLOCKS])
        if cache.cached_tokens(leading) < len(leading) * PREFIX_BLOCK_TOKENS:
            self._unpublished.append(SentPrefix(upstream, tuple(digests[:_PUBLISHED_BLOCKS])))
        cache.record_prompt(digests)

    def take_unpublished(self, limit: int) -> list[SentPrefix]:
        """Remove and return up to ``limit`` prefixes to publish to peers, latest first."""
        count = min(limit, len(self._unpublished))
        return [self._unpublished.pop() for _ in range(count)]


class PrefixReuseTable(Table[tuple[str, str], float]):
    """Share of the prompts whose leading blocks were sent before, by route and organisation."""

    def of(self, request: Request) -> float:
        """Return the share for a request's route and organisation; 0 if its prompt is too short."""
        if not request.prefix_digests:
            return 0.0
        share = self.get((request.route, request.organisation))
        return _INITIAL_REUSE_SHARE if share is None else share

    def learn(self, request: Request, *, seen: bool) -> None:
        """Add one prompt to the moving average; ``seen`` if its leading blocks were sent before."""
        share = self.of(request)
        change = _REUSE_WEIGHT * (float(seen) - share)
        self.put((request.route, request.organisation), share + change)


def affinity_key(request: Request) -> str:
    """Return the digest by which a prompt is hashed to an upstream; empty for a short prompt."""
    if not request.prefix_digests:
        return ""
    return request.prefix_digests[min(AFFINITY_BLOCKS, len(request.prefix_digests)) - 1]


def rendezvous_rank(key: str, upstream: str) -> int:
    """Return an upstream's rank for a key; the upstream with the highest rank is preferred.

    Rendezvous hashing: D. G. Thaler and C. V. Ravishankar, "Using Name-Based Mappings to
    Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998. Every VM computes
    the same ranks, and removing an upstream changes the upstream only of the keys for which it
    had the highest rank.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{upstream}".encode())
