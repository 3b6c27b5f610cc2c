"""Simulates a batching model engine without I/O, for the stand-in process and the benchmarks."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from typing import NamedTuple

#: Latest admissions kept.
MAX_ADMISSIONS = 1_000


@dataclass(frozen=True)
class EngineSpeed:
    """Speed and capacity of one engine."""

    slots: int = 16
    prefill_tokens_per_s: float = 8_000.0
    #: Time of a step apart from its sequences and prefill.
    step_base_ms: float = 12.0
    #: Added to a step for each sequence that decodes.
    step_per_sequence_ms: float = 0.3
    #: Maximum of prompt tokens prefilled in one step, over all sequences.
    prefill_chunk_tokens: int = 512
    #: Capacity of the prefix cache.
    cache_tokens: int = 60_000
    block_tokens: int = 64
    #: Multiplies the time of every step.
    slow_down: float = 1.0


@dataclass(frozen=True)
class Job:
    """One request: its prompt as block digests, and the lengths of prompt and answer."""

    request_id: str
    prompt_tokens: int
    output_tokens: int
    #: Digests of the full blocks of the prompt; each covers the prompt up to the block's end.
    blocks: tuple[str, ...] = ()


class DecodedToken(NamedTuple):
    """One token decoded for one sequence."""

    request_id: str
    #: Number of the token in the answer, from 1.
    token: int
    finished: bool


class Admission(NamedTuple):
    """The admission of a sequence to the batch."""

    job: Job
    #: Prompt tokens found in the prefix cache.
    cached_tokens: int


@dataclass
class _Running:
    job: Job
    prefill_left: int
    tokens: int = 0


@dataclass
class EngineCounters:
    """Counts since the engine started."""

    prefill_computed_tokens: int = 0
    prefill_cached_tokens: int = 0
    output_tokens: int = 0
    finished: int = 0
    cancelled: int = 0


@dataclass
class EngineSimulator:
    """Simulates continuous batching with chunked prefill and an LRU prefix cache."""

    speed: EngineSpeed = field(default_factory=EngineSpeed)
    counters: EngineCounters = field(default_factory=EngineCounters)
    #: End of the current step; None when idle.
    step_ends_ms: float | None = None
    #: Latest admissions; the reader removes them.
    admissions: deque[Admission] = field(default_factory=lambda: deque(maxlen=MAX_ADMISSIONS))
    _waiting: deque[Job] = field(default_factory=deque)
    _running: dict[str, _Running] = field(default_factory=dict)
    _cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _planned_prefill: list[tuple[str, int]] = field(default_factory=list)
    _planned_decode: list[str] = field(default_factory=list)

    @property
    def running(self) -> int:
        """Return the number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of sequences waiting for a slot."""
        return len(self._waiting)

    @property
    def queued_tokens(self) -> int:
        """Return the prompt and output tokens left to process, running and waiting."""
        left = sum(
            one.prefill_left + one.job.output_tokens - one.tokens for one in self._running.values()
        )
        return left + sum(job.prompt_tokens + job.output_tokens for job in self._waiting)

    def cached_blocks(self) -> tuple[str, ...]:
        """Return the digests in the prefix cache, least recently used first."""
        return tuple(self._cache)

    def cached_prefix_tokens(self, job: Job) -> int:
        """Return how many of a prompt's leading tokens are in the prefix cache."""
        found = 0
        for digest in job.blocks:
            if digest not in self._cache:
                break
            found += 1
        return found * self.speed.block_tokens

    def prefill_left(self, request_id: str) -> int:
        """Return the prompt tokens left to prefill of a sequence in the batch, else 0."""
        one = self._running.get(request_id)
        return 0 if one is None else one.prefill_left

    def set_slow_down(self, factor: float) -> None:
        """Multiply the time of every step from the next one on by ``factor``."""
        self.speed = replace(self.speed, slow_down=factor)

    def submit(self, job: Job, now_ms: float) -> None:
        """Queue a sequence until a slot is free."""
        self._waiting.append(job)
        if self.step_ends_ms is None:
            self._plan_step(now_ms)

    def cancel(self, request_id: str) -> bool:
        """Remove a sequence and return whether it was waiting or running."""
        for job in self._waiting:
            if job.request_id == request_id:
                self._waiting.remove(job)
                self.counters.cancelled += 1
                return True
        if self._running.pop(request_id, None) is None:
            return False
        self.counters.cancelled += 1
        return True

    def advance(self, now_ms: float) -> list[DecodedToken]:
        """Run every step that ends by ``now_ms`` and return the decoded tokens."""
        progress: list[DecodedToken] = []
        while self.step_ends_ms is not None and self.step_ends_ms <= now_ms:
            ended_ms = self.step_ends_ms
            progress.extend(self._finish_step())
            self._plan_step(ended_ms)
        return progress

    def _plan_step(self, now_ms: float) -> None:
        self._admit()
        self._planned_prefill = []
        self._planned_decode = []
        budget = self.speed.prefill_chunk_tokens
        for one in self._running.values():
            if one.prefill_left == 0:
                self._planned_decode.append(one.job.request_id)
            elif budget > 0:
                amount = min(budget, one.prefill_left)
                budget -= amount
                self._planned_prefill.append((one.job.request_id, amount))
        if not self._running:
            self.step_ends_ms = None
            return
        prefill_tokens = self.speed.prefill_chunk_tokens - budget
        step_ms = (
            self.speed.step_base_ms
            + self.speed.step_per_sequence_ms * len(self._planned_decode)
            + 1_000.0 * prefill_tokens / self.speed.prefill_tokens_per_s
        )
        self.step_ends_ms = now_ms + step_ms * self.speed.slow_down

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.speed.slots:
            job = self._waiting.popleft()
            cached = min(self._cached_tokens(job), job.prompt_tokens - 1)
            cached = max(0, cached)
            self.counters.prefill_cached_tokens += cached
            self.admissions.append(Admission(job, cached))
            self._running[job.request_id] = _Running(job, max(1, job.prompt_tokens - cached))

    def _cached_tokens(self, job: Job) -> int:
        found = self.cached_prefix_tokens(job)
        for digest in job.blocks[: found // self.speed.block_tokens]:
            self._cache.move_to_end(digest)
        return found

    def _finish_step(self) -> list[DecodedToken]:
        progress: list[DecodedToken] = []
        for request_id, amount in self._planned_prefill:
            one = self._running.get(request_id)
            if one is None:
                continue
            self.counters.prefill_computed_tokens += amount
            one.prefill_left -= amount
            if one.prefill_left == 0:
                self._cache_blocks(one.job)
        for request_id in self._planned_decode:
            one = self._running.get(request_id)
            if one is not None:
                progress.append(self._decode(one))
        return progress

    def _decode(self, one: _Running) -> DecodedToken:
        one.tokens += 1
        self.counters.output_tokens += 1
        finished = one.tokens >= one.job.output_tokens
        if finished:
            self.counters.finished += 1
            del self._running[one.job.request_id]
        return DecodedToken(one.job.request_id, one.tokens, finished)

    def _cache_blocks(self, job: Job) -> None:
        for digest in job.blocks:
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        while len(self._cache) * self.speed.block_tokens > self.speed.cache_tokens:
            self._cache.popitem(last=False)
