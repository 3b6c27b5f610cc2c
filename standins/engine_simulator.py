"""Simulates a batching model engine without I/O, for the stand-in process and the benchmarks."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from typing import NamedTuple

#: Number of latest admissions that are kept.
MAX_ADMISSIONS = 1_000


@dataclass(frozen=True)
class EngineSpeed:
    """Speed and capacity of one engine."""

    #: Maximum number of sequences in the batch.
    slots: int = 16
    prefill_tokens_per_s: float = 8_000.0
    #: Constant part of a step's time, without its sequences and prefill.
    step_base_ms: float = 12.0
    #: Part of a step's time for each sequence that decodes a token.
    step_per_sequence_ms: float = 0.3
    #: Maximum number of prompt tokens prefilled in one step, over all sequences.
    prefill_chunk_tokens: int = 512
    #: Capacity of the prefix cache.
    cache_tokens: int = 60_000
    #: Size of a block of the prefix cache.
    block_tokens: int = 64
    #: Multiplies the time of every step.
    slow_down: float = 1.0


@dataclass(frozen=True)
class Job:
    """One request, processed as one sequence of the batch.

    It has the prompt as block digests, and the lengths of prompt and answer.
    """

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
class _RunningSequence:
    job: Job
    #: Prompt tokens left to prefill.
    prefill_left: int
    decoded_tokens: int = 0


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
    #: Latest admissions, which the caller removes after reading them.
    admissions: deque[Admission] = field(default_factory=lambda: deque(maxlen=MAX_ADMISSIONS))
    _waiting: deque[Job] = field(default_factory=deque)
    _running: dict[str, _RunningSequence] = field(default_factory=dict)
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
            sequence.prefill_left + sequence.job.output_tokens - sequence.decoded_tokens
            for sequence in self._running.values()
        )
        return left + sum(job.prompt_tokens + job.output_tokens for job in self._waiting)

    def cached_blocks(self) -> tuple[str, ...]:
        """Return the digests in the prefix cache, least recently used first."""
        return tuple(self._cache)

    def cached_prefix_tokens(self, job: Job) -> int:
        """Return how many of a prompt's leading tokens are in the prefix cache."""
        found_blocks = 0
        for digest in job.blocks:
            if digest not in self._cache:
                break
            found_blocks += 1
        return found_blocks * self.speed.block_tokens

    def prefill_left(self, request_id: str) -> int:
        """Return the prompt tokens left to prefill of a sequence in the batch, else 0."""
        sequence = self._running.get(request_id)
        return 0 if sequence is None else sequence.prefill_left

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
        prefill_budget = self.speed.prefill_chunk_tokens
        for sequence in self._running.values():
            if sequence.prefill_left == 0:
                self._planned_decode.append(sequence.job.request_id)
            elif prefill_budget > 0:
                amount = min(prefill_budget, sequence.prefill_left)
                prefill_budget -= amount
                self._planned_prefill.append((sequence.job.request_id, amount))
        if not self._running:
            self.step_ends_ms = None
            return
        prefill_tokens = self.speed.prefill_chunk_tokens - prefill_budget
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
            self._running[job.request_id] = _RunningSequence(
                job, max(1, job.prompt_tokens - cached)
            )

    def _cached_tokens(self, job: Job) -> int:
        cached_tokens = self.cached_prefix_tokens(job)
        for digest in job.blocks[: cached_tokens // self.speed.block_tokens]:
            self._cache.move_to_end(digest)
        return cached_tokens

    def _finish_step(self) -> list[DecodedToken]:
        progress: list[DecodedToken] = []
        for request_id, amount in self._planned_prefill:
            sequence = self._running.get(request_id)
            if sequence is None:
                continue
            self.counters.prefill_computed_tokens += amount
            sequence.prefill_left -= amount
            if sequence.prefill_left == 0:
                self._cache_blocks(sequence.job)
        for request_id in self._planned_decode:
            sequence = self._running.get(request_id)
            if sequence is not None:
                progress.append(self._decode(sequence))
        return progress

    def _decode(self, sequence: _RunningSequence) -> DecodedToken:
        sequence.decoded_tokens += 1
        self.counters.output_tokens += 1
        finished = sequence.decoded_tokens >= sequence.job.output_tokens
        if finished:
            self.counters.finished += 1
            del self._running[sequence.job.request_id]
        return DecodedToken(sequence.job.request_id, sequence.decoded_tokens, finished)

    def _cache_blocks(self, job: Job) -> None:
        for digest in job.blocks:
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        while len(self._cache) * self.speed.block_tokens > self.speed.cache_tokens:
            self._cache.popitem(last=False)
