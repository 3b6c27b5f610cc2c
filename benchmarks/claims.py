"""Benchmark of claims per write to the key-value service: ``python -m benchmarks.claims``.

A claim is the right of one process to run a call that may run at most once. Eight cores, the
decision logic of one VM each, share a simulated service that admits 400 writes per second and
answers after 3 ms, in simulated time. Each output line is a JSON object for one policy and one
offered rate. The baseline ``one_key_a_claim`` uses a separate write for each claim; writes beyond
the service's rate are refused.
"""

import argparse
import heapq
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from azureturn.core import (
    CallSettled,
    ClaimOutcome,
    ClaimSegment,
    ClaimState,
    Configuration,
    Core,
    Dispatch,
    ReadSegment,
    Request,
    RequestAnswered,
    RequestArrived,
    SegmentCallLost,
    SegmentChanged,
    SegmentRead,
    SegmentSwapped,
    Started,
    SwapSegment,
)
from azureturn.core.tests.claim_simulation import ORGANISATION, settings_of
from azureturn.framework import Event, Refuse, Tick
from azureturn.settings import UpstreamKind

VMS = 8
WRITES_PER_S = 400
BURST = 50
LATENCY_MS = 3
RUN_MS = 5_000
ANSWER_MS = 5
TICK_MS = 50
UNIX_START_MS = 1_700_000_000_000
RATES_PER_S = (10, 50, 200, 400, 1_000, 2_000)
_MS_PER_S = 1_000


@dataclass
class KeyValueService:
    """Model of the key-value service: compare-and-swap up to a rate limit, refusals beyond it."""

    #: Revision and content of each segment, by its number.
    values: dict[int, tuple[int, ClaimSegment]] = field(default_factory=dict)
    revision: int = 0
    writes: int = 0
    refused: int = 0
    conflicts: int = 0
    reads: int = 0
    _write_credit: float = BURST
    _refilled_at_ms: float = 0.0

    def admit_write(self, now_ms: float) -> bool:
        """Count a write and return whether the rate admits it."""
        refilled = (now_ms - self._refilled_at_ms) * WRITES_PER_S / _MS_PER_S
        self._write_credit = min(BURST, self._write_credit + refilled)
        self._refilled_at_ms = now_ms
        if self._write_credit < 1:
            self.refused += 1
            return False
        self._write_credit -= 1
        self.writes += 1
        return True

    def call(self, action: ReadSegment | SwapSegment, now_ms: float) -> Event:
        """Process a core's call and return the resulting event."""
        number, operation_id = action.segment, action.operation_id
        revision, content = self.values.get(number, (0, ClaimSegment()))
        if isinstance(action, ReadSegment):
            self.reads += 1
            return SegmentRead(number, operation_id, revision, content)
        if not self.admit_write(now_ms):
            return SegmentCallLost(number, operation_id)
        if revision != action.expected_revision:
            self.conflicts += 1
            return SegmentChanged(number, operation_id)
        self.revision += 1
        self.values[number] = (self.revision, action.content)
        return SegmentSwapped(number, operation_id, self.revision)


class Simulation:
    """Simulates cores and the service with a discrete-event loop."""

    def __init__(self, rate_per_s: int, seed: int) -> None:
        self.service = KeyValueService()
        self.latencies_ms: list[float] = []
        self.refused = 0
        self.arrived_at_ms: dict[str, float] = {}
        self._rate_per_s = rate_per_s
        self._random = random.Random(seed)
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.now_ms = 0.0
        #: Snapshot of the service's counts at the end of the arrivals.
        self.service_counts = self.service
        self._cores = [self._core(number) for number in range(VMS)]

    def _core(self, number: int) -> Core:
        settings = settings_of(f"vm-{number}")
        core = Core.from_settings(settings, seed=number)
        core.handle(Started(Configuration(0, settings.shared), f"boot-{number}"), 0)
        return core

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._sequence += 1
        heapq.heappush(self._scheduled, (self.now_ms + delay_ms, self._sequence, callback))

    def run(self) -> None:
        """Generate arrivals for ``RUN_MS``, then complete the requests in progress."""
        for number in range(VMS):
            self.schedule(TICK_MS * number / VMS, lambda number=number: self._tick(number))  # type: ignore[misc]
        self.schedule(0, self._arrive)
        self.schedule(RUN_MS, self._record_counts)
        while self._scheduled:
            self.now_ms, _, callback = heapq.heappop(self._scheduled)
            if self.now_ms > 2 * RUN_MS:
                return
            callback()

    def _record_counts(self) -> None:
        self.service_counts = replace(self.service)

    def _tick(self, number: int) -> None:
        self.submit(number, Tick())
        self.schedule(TICK_MS, lambda: self._tick(number))

    def _arrive(self) -> None:
        if self.now_ms > RUN_MS:
            return
        self.schedule(self._random.expovariate(self._rate_per_s / _MS_PER_S), self._arrive)
        request_id = f"r{len(self.arrived_at_ms)}"
        self.arrived_at_ms[request_id] = self.now_ms
        now_ms = int(self.now_ms)
        request = Request(
            request_id=request_id,
            organisation=ORGANISATION,
            route="deposit",
            tier_rank=0,
            target="bookings",
            kind=UpstreamKind.PLAIN_SERVICE,
            arrived_at_ms=now_ms,
            deadline_ms=now_ms + 10_000,
            idempotent=False,
            idempotency_key=request_id,
            body_digest="d" * 32,
            arrived_unix_ms=UNIX_START_MS + now_ms,
        )
        self.submit(self._random.randrange(VMS), RequestArrived(request))

    def submit(self, number: int, event: Event) -> None:
        """Pass an event to a core and execute the resulting actions."""
        for action in self._cores[number].handle(event, int(self.now_ms)):
            if isinstance(action, ReadSegment | SwapSegment):
                self.schedule(LATENCY_MS / 2, lambda action=action: self._serve(number, action))  # type: ignore[misc]
            elif isinstance(action, Dispatch):
                self._on_dispatch(number, action)
            elif isinstance(action, Refuse):
                self.refused += 1

    def _serve(self, number: int, action: ReadSegment | SwapSegment) -> None:
        event = self.service.call(action, self.now_ms)
        self.schedule(LATENCY_MS / 2, lambda: self.submit(number, event))

    def _on_dispatch(self, number: int, action: Dispatch) -> None:
        self.latencies_ms.append(self.now_ms - self.arrived_at_ms[action.request_id])
        outcome = ClaimOutcome(ClaimState.RAN, 200, "application/json", "bookings-1", b"{}", True)

        def end() -> None:
            self.submit(number, RequestAnswered(action.request_id))
            self.submit(number, CallSettled(action.claim_nonce, outcome))

        self.schedule(ANSWER_MS, end)


def run_baseline(rate_per_s: int, seed: int) -> tuple[list[float], KeyValueService, int]:
    """Return the baseline's latencies, its service, and the number of claims that arrived."""
    generator = random.Random(seed)
    service = KeyValueService()
    latencies_ms: list[float] = []
    now_ms = 0.0
    arrived_count = 0
    while now_ms <= RUN_MS:
        arrived_count += 1
        if service.admit_write(now_ms + LATENCY_MS / 2):
            latencies_ms.append(LATENCY_MS)
        now_ms += generator.expovariate(rate_per_s / _MS_PER_S)
    return latencies_ms, service, arrived_count


def _json_line(
    policy: str, rate_per_s: int, arrived: int, latencies_ms: list[float], service: KeyValueService
) -> str:
    sorted_ms = sorted(latencies_ms)
    seconds = RUN_MS / _MS_PER_S
    measures = {
        "policy": policy,
        "offered_per_s": rate_per_s,
        "claimed_per_s": round(len(sorted_ms) / seconds, 1),
        "claimed_share": round(len(sorted_ms) / arrived, 4),
        "writes_per_s": round(service.writes / seconds, 1),
        "claims_per_write": round(len(sorted_ms) / max(1, service.writes), 2),
        "conflicts": service.conflicts,
        "writes_refused": service.refused,
        "reads_per_s": round(service.reads / seconds, 1),
        "p50_ms": round(sorted_ms[len(sorted_ms) // 2], 1),
        "p99_ms": round(sorted_ms[len(sorted_ms) * 99 // 100], 1),
    }
    return json.dumps(measures)


def main() -> None:
    """Print one line for each policy and rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for rate_per_s in RATES_PER_S:
        latencies_ms, service, arrived = run_baseline(rate_per_s, seed)
        print(_json_line("one_key_a_claim", rate_per_s, arrived, latencies_ms, service), flush=True)
        simulation = Simulation(rate_per_s, seed)
        simulation.run()
        arrived = len(simulation.arrived_at_ms)
        latencies_ms, service = simulation.latencies_ms, simulation.service_counts
        print(_json_line("group_commit", rate_per_s, arrived, latencies_ms, service), flush=True)


if __name__ == "__main__":
    main()
