"""Which prompts' prefixes an upstream is likely to hold, from what was sent to it."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from azureturn.core._requests import PREFIX_BLOCK_TOKENS, Request
from azureturn.framework import Table

#: Prompt tokens that an upstream's cache is first thought to hold.
_FIRST_CAPACITY_TOKENS = 100_000
_LEAST_CAPACITY_TOKENS = 10_000
#: How much less is thought to be held after a prefix turned out to be forgotten.
_CAPACITY_CUT = 0.95
#: Leading blocks that decide where a prompt goes which was not seen before.
AFFINITY_BLOCKS = 4
#: Leading blocks of a sent prompt that peers are told, so that they know how much is held.
_TOLD_BLOCKS = 24
#: Sent prefixes that are kept for peers; older ones are dropped.
_UNTOLD_LIMIT = 256
#: Weight of a new prompt in a route's share of those that came before.
_REUSE_WEIGHT = 0.05
#: The share that is assumed until measured.
_FIRST_REUSE_SHARE = 0.5


class PrefixRecord:
    """The blocks that were sent to one upstream, the least recently used forgotten first."""

    def __init__(self) -> None:
        self._digests: OrderedDict[str, None] = OrderedDict()
        self._capacity_blocks = _FIRST_CAPACITY_TOKENS // PREFIX_BLOCK_TOKENS

    def note(self, digests: Sequence[str]) -> None:
        """Remember that a prompt with these blocks was sent."""
        for digest in reversed(digests):
            self._digests[digest] = None
            self._digests.move_to_end(digest)
        while len(self._digests) > self._capacity_blocks:
            self._digests.popitem(last=False)

    def held_tokens(self, digests: Sequence[str]) -> int:
        """Return how many leading tokens of a prompt the upstream is thought to hold.

        A digest covers all blocks before it and the first blocks are forgotten last, so the
        longest known one is found by bisection.
        """
        low, high = 0, len(digests)
        while low < high:
            middle = (low + high + 1) // 2
            if digests[middle - 1] in self._digests:
                low = middle
            else:
                high = middle - 1
        return low * PREFIX_BLOCK_TOKENS

    def note_forgotten(self) -> None:
        """Learn that the upstream did not hold what it was thought to."""
        least = _LEAST_CAPACITY_TOKENS // PREFIX_BLOCK_TOKENS
        self._capacity_blocks = max(least, int(self._capacity_blocks * _CAPACITY_CUT))


@dataclass(frozen=True)
class SentPrefix:
    """The leading blocks of a prompt that was new to an upstream, for peers to know."""

    upstream: str
    #: Digests of at most ``_TOLD_BLOCKS`` blocks.
    digests: tuple[str, ...]


class PrefixTable(Table[str, PrefixRecord]):
    """Records by upstream, and what of them peers have not been told."""

    def __init__(self) -> None:
        super().__init__()
        self._untold: deque[SentPrefix] = deque(maxlen=_UNTOLD_LIMIT)

    def of(self, upstream: str) -> PrefixRecord:
        """Return the record of an upstream, made when first asked for."""
        record = self.get(upstream)
        if record is None:
            record = PrefixRecord()
            self.put(upstream, record)
        return record

    def note_sent(self, upstream: str, digests: Sequence[str]) -> None:
        """Remember a prompt that this VM sent, and keep it for peers if it was new there."""
        record = self.of(upstream)
        leading = tuple(digests[:AFFINITY_BLOCKS])
        if record.held_tokens(leading) < len(leading) * PREFIX_BLOCK_TOKENS:
            self._untold.append(SentPrefix(upstream, tuple(digests[:_TOLD_BLOCKS])))
        record.note(digests)

    def take_untold(self, limit: int) -> list[SentPrefix]:
        """Take out what peers are to be told next, the latest first."""
        count = min(limit, len(self._untold))
        return [self._untold.pop() for _ in range(count)]


class PrefixReuseTable(Table[tuple[str, str], float]):
    """Share of prompts whose leading blocks had been sent before, by route and organisation."""

    def of(self, request: Request) -> float:
        """Return the share for a request's route and organisation; 0 for prompts too short."""
        if not request.prefix_digests:
            return 0.0
        share = self.get((request.route, request.organisation))
        return _FIRST_REUSE_SHARE if share is None else share

    def learn(self, request: Request, *, seen: bool) -> None:
        """Take one more prompt into the share."""
        share = self.of(request)
        change = _REUSE_WEIGHT * (float(seen) - share)
        self.put((request.route, request.organisation), share + change)


def affinity_key(request: Request) -> str:
    """Return what decides where a prompt goes when nobody is known to hold its prefix."""
    if not request.prefix_digests:
        return ""
    return request.prefix_digests[min(AFFINITY_BLOCKS, len(request.prefix_digests)) - 1]


def rendezvous_rank(key: str, upstream: str) -> int:
    """Return an upstream's rank for a key; the highest is preferred.

    Rendezvous hashing: D. G. Thaler and C. V. Ravishankar, "Using Name-Based Mappings to
    Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998. Every VM ranks alike,
    and an upstream that goes moves only the keys that it was first for.
    """
    return xxhash.xxh3_64_intdigest(f"{key}\0{upstream}".encode())
