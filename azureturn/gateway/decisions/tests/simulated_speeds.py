"""A simulated site for tests of placement: many VMs, and upstreams of different speed.

Upstreams have slots and a short queue of their own, and reject what does not fit. VMs send reports
at the interval of a site of their number, at times that are not aligned.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from azureturn.framework import Action, Refuse, Tick
from azureturn.gateway.decisions import (
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    PeerReportReceived,
    RequestClosed,
    RequestReceived,
    ReturnLastResult,
    SendAttempt,
    SendReport,
)
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    ENGINE,
    STATUS_ROUTE,
    STREAM_ROUTE,
    GatewayCoreHarness,
    request,
    upstream,
    view,
)
from azureturn.gateway.settings import GatewayPolicy
from azureturn.gateway.site import Prompt, PromptPart

_TICK_MS = 50
_MESSAGE_MS = 3
_START_SPREAD_MS = 500
_PLAIN_ANSWER_MS = (30.0, 60.0)
_MS_PER_TOKEN = 3.8
_PREFILL_TOKENS_PER_MS = 100.0
_FIRST_EVENT_MS = 50.0


@dataclass(eq=False)
class _Job:
    vm: int
    request_id: str
    arrived_at_ms: float
    prompt_tokens: int
    answer_tokens: int


@dataclass
class SimulatedUpstream:
    """An upstream that runs as many requests as it has slots, and keeps a few waiting."""

    name: str
    slots: int
    queue_limit: int
    #: Time that it takes, as a multiple of the usual one.
    slowdown: float = 1.0
    #: Increase of that time with each request beyond ``knee``.
    growth: float = 0.0
    knee: int = 1_000
    running: int = 0
    waiting: deque[_Job] = field(default_factory=deque)
    busy_ms: float = 0.0
    arrivals: int = 0
    rejections: int = 0
    answer_tokens: int = 0

    @property
    def current_slowdown(self) -> float:
        """Return the slowdown with the requests that are running."""
        return self.slowdown * (1.0 + self.growth * max(0, self.running - self.knee))


class SpeedSite:
    """Runs the cores of several VMs with upstreams of one service, on one simulated clock."""

    def __init__(
        self,
        *,
        vm_count: int,
        upstreams: list[SimulatedUpstream],
        is_plain: bool = False,
        shares_speeds: bool = False,
        seed: int = 1,
    ) -> None:
        self._shares_speeds = shares_speeds
        self.random = random.Random(seed)
        self.now_ms = 1_000
        self.upstreams = {row.name: row for row in upstreams}
        self._is_plain = is_plain
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._jobs: dict[str, _Job] = {}
        self.sent = 0
        self.results: Counter[str] = Counter()
        #: Probability that a report is lost on its way to a peer.
        self.lost_share = 0.0
        self.latencies_ms: list[float] = []
        self.vms = [self._new_vm(number) for number in range(vm_count)]
        for number in range(vm_count):
            self._after(self.random.uniform(0, _START_SPREAD_MS), self._ticking(number))

    @property
    def rejected_share(self) -> float:
        """Return the share of dispatches that upstreams rejected."""
        rows = self.upstreams.values()
        arrivals = sum(row.arrivals for row in rows)
        return sum(row.rejections for row in rows) / max(1, arrivals)

    def reset_counts(self) -> None:
        """Count from now on."""
        self.results.clear()
        self.latencies_ms.clear()
        for row in self.upstreams.values():
            row.arrivals = row.rejections = row.answer_tokens = 0
            row.busy_ms = 0.0

    def play(
        self,
        duration_ms: int,
        rate_per_s: float,
        prompt: Callable[[random.Random], tuple[int, int]] | None = None,
    ) -> None:
        """Send requests at random moments and VMs; ``prompt`` draws prompt and answer tokens."""
        ends_at_ms = self.now_ms + duration_ms
        at_ms = float(self.now_ms)
        while (at_ms := at_ms + self.random.expovariate(rate_per_s / 1_000)) < ends_at_ms:
            self._run_until(at_ms)
            tokens = prompt(self.random) if prompt else (500, 100)
            self._submit(self.random.randrange(len(self.vms)), *tokens)
        self._run_until(ends_at_ms)

    def restart_vm(self, number: int) -> None:
        """Replace a VM's process by one that has learned nothing."""
        self.vms[number] = self._new_vm(number)

    def _new_vm(self, number: int) -> GatewayCoreHarness:
        service = "desk" if self._is_plain else "models"
        registered = [upstream(row.name, service, slots=row.slots) for row in self._rows()]
        return GatewayCoreHarness(
            view(*registered),
            vm_name=f"vm-{number}",
            now_ms=self.now_ms,
            seed=self.random.getrandbits(32),
            policy=GatewayPolicy(shares_speeds=self._shares_speeds),
        )

    def _rows(self) -> list[SimulatedUpstream]:
        return list(self.upstreams.values())

    def _run_until(self, at_ms: float) -> None:
        while self._scheduled and self._scheduled[0][0] <= at_ms:
            due_ms, _, callback = heapq.heappop(self._scheduled)
            self.now_ms = int(due_ms)
            callback()
        self.now_ms = int(at_ms)

    def _after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._scheduled, (self.now_ms + delay_ms, self._count, callback))

    def _ticking(self, number: int) -> Callable[[], None]:
        def tick() -> None:
            self._handle(number, Tick())
            self._after(_TICK_MS, tick)

        return tick

    def _submit(self, vm: int, prompt_tokens: int, answer_tokens: int) -> None:
        self.sent += 1
        request_id = f"r-{self.sent}"
        self._jobs[request_id] = _Job(vm, request_id, self.now_ms, prompt_tokens, answer_tokens)
        prompt = None
        if not self._is_plain:
            parts = (PromptPart(f"own-{request_id}", prompt_tokens),)
            prompt = Prompt("m", prompt_tokens, 4 * answer_tokens, answer_tokens, parts)
        route = STATUS_ROUTE if self._is_plain else STREAM_ROUTE
        received = request(request_id, route, arrived_at_ms=self.now_ms, prompt=prompt)
        self._handle(vm, RequestReceived(received))

    def _handle(self, number: int, event: object) -> None:
        for action in self.vms[number].handle_event(event, at_ms=self.now_ms):  # type: ignore[arg-type]
            self._carry_out(number, action)

    def _carry_out(self, number: int, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._after(_MESSAGE_MS, self._arriving(action.request_id, action.upstream.name))
        elif isinstance(action, SendReport):
            for peer in range(len(self.vms)):
                if peer != number and self.random.random() >= self.lost_share:
                    received = PeerReportReceived(action.report)
                    self._after(_MESSAGE_MS, lambda to=peer, what=received: self._handle(to, what))
        elif isinstance(action, Refuse | ReturnLastResult):
            kind = action.kind.value if isinstance(action, Refuse) else "last result"
            self.results[kind] += 1
            self._after(0, lambda: self._handle(number, RequestClosed(action.request_id)))

    def _arriving(self, request_id: str, name: str) -> Callable[[], None]:
        return lambda: self._arrive(self._jobs[request_id], self.upstreams[name])

    def _arrive(self, job: _Job, row: SimulatedUpstream) -> None:
        row.arrivals += 1
        if row.running < row.slots:
            self._start(job, row)
        elif len(row.waiting) < row.queue_limit:
            row.waiting.append(job)
        else:
            row.rejections += 1
            rejected = AttemptEnded(job.request_id, AttemptResult.REJECTED, answering_ms=0)
            self._after(_MESSAGE_MS, lambda: self._handle(job.vm, rejected))

    def _start(self, job: _Job, row: SimulatedUpstream) -> None:
        row.running += 1
        slowdown = row.current_slowdown
        if self._is_plain:
            first_event_ms = 0.0
            answer_ms = self.random.uniform(*_PLAIN_ANSWER_MS) * slowdown
        else:
            prefill_ms = job.prompt_tokens / _PREFILL_TOKENS_PER_MS
            first_event_ms = (prefill_ms + _FIRST_EVENT_MS) * slowdown
            answer_ms = job.answer_tokens * _MS_PER_TOKEN * slowdown
            first = FirstEventReceived(job.request_id)
            self._after(first_event_ms, lambda: self._on_first_event(job, first))
        row.busy_ms += first_event_ms + answer_ms
        row.answer_tokens += job.answer_tokens
        self._after(first_event_ms + answer_ms, lambda: self._end(job, row, answer_ms))

    def _on_first_event(self, job: _Job, first: FirstEventReceived) -> None:
        self.latencies_ms.append(self.now_ms - job.arrived_at_ms)
        self._handle(job.vm, first)

    def _end(self, job: _Job, row: SimulatedUpstream, answer_ms: float) -> None:
        row.running -= 1
        if row.waiting:
            self._start(row.waiting.popleft(), row)
        took_ms = self.now_ms - job.arrived_at_ms
        route = STATUS_ROUTE if self._is_plain else STREAM_ROUTE
        self.results["answered" if took_ms <= route.timeout_ms else "timed out"] += 1
        if self._is_plain:
            self.latencies_ms.append(took_ms)
        events = 0 if self._is_plain else 1 + max(1, job.answer_tokens // ENGINE.tokens_per_event)
        ended = AttemptEnded(
            job.request_id,
            AttemptResult.ANSWERED,
            event_count=events,
            streamed_ms=int(answer_ms) if events else 0,
            answering_ms=0,
        )
        self._handle(job.vm, ended)
        self._handle(job.vm, RequestClosed(job.request_id))
