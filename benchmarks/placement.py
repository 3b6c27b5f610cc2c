"""Benchmark of the CPU time of the gateway's decisions: ``scripts/bench placement``.

The cores of many VMs serve a simulated site in an overload, with requests of several organisations
and tiers that wait, and the reports of all VMs to each other. Each JSON line has the CPU time of
one type of event by request that arrived, and by event. Events that a handler posts are counted
by their own type. The last line has the sum of all events.
"""

import argparse
import cProfile
import gc
import json
import pstats
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from azureturn.framework import Core
from azureturn.gateway.decisions import PeerReportReceived, RequestReceived
from azureturn.gateway.decisions._peers import PeerTable
from azureturn.gateway.decisions.tests.gateway_core_harness import (
    STREAM_ROUTE,
    GatewayCoreHarness,
    request,
)
from azureturn.gateway.decisions.tests.simulated_speeds import SimulatedUpstream, SpeedSite
from azureturn.gateway.site import Prompt, PromptPart

_ORGANISATIONS = 16
_TIERS = 3
#: Share of the requests that the first organisation sends.
_LARGE_SHARE = 0.3
#: Prompts begin with one of so many common parts, which engines may have cached.
_COMMON_PARTS = 40
#: Requests per second that an engine of the simulation serves, by slot.
_REQUESTS_PER_SLOT = 1.7
_ENGINE_QUEUE = 2
#: Time after which the load has filled the engines.
_WARM_UP_MS = 1_500
#: For how long the VMs have been running.
_RUNNING_MS = 60_000
_US_PER_NS = 1e-3


class _EventTimes:
    """CPU time and number of events by type."""

    def __init__(self) -> None:
        self.ns: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()

    def reset(self) -> None:
        """Count from now on."""
        self.ns.clear()
        self.counts.clear()

    def measure(self, core: Core) -> None:
        """Count the events of a core from now on."""
        for event_type, handlers in core._handlers.items():
            name = event_type.__name__
            handlers[:] = [self._timed(name, handler) for handler in handlers]
            handlers[0] = self._counted(name, handlers[0])

    def _timed(self, name: str, handler: Callable[..., None]) -> Callable[[Any, Any], None]:
        def timed(event: object, context: object) -> None:
            started_ns = time.process_time_ns()
            handler(event, context)
            self.ns[name] += time.process_time_ns() - started_ns

        return timed

    def _counted(self, name: str, handler: Callable[..., None]) -> Callable[[Any, Any], None]:
        def counted(event: object, context: object) -> None:
            self.counts[name] += 1
            handler(event, context)

        return counted


class _OverloadedSite(SpeedSite):
    """A site whose requests are of several organisations and tiers, with common prompt parts."""

    def __init__(self, times: _EventTimes, **fields: Any) -> None:
        self._times = times
        super().__init__(**fields)

    def _new_vm(self, number: int) -> GatewayCoreHarness:
        vm = super()._new_vm(number)
        # The VM is not taken for one that has just started and may not have heard of all others.
        vm.core.board.table(PeerTable).started_at_ms -= _RUNNING_MS
        self._times.measure(vm.core)
        return vm

    def _submit(self, vm: int, prompt_tokens: int, answer_tokens: int) -> None:
        # The simulation sends one kind of request; the replaced event has the same id.
        self._next_event = self._request_event(prompt_tokens, answer_tokens)
        super()._submit(vm, prompt_tokens, answer_tokens)

    def _handle(self, number: int, event: object) -> None:
        if isinstance(event, RequestReceived):
            event = self._next_event
        elif isinstance(event, PeerReportReceived):
            # Most reports are sent without the list of VMs, which the simulation leaves in.
            event = PeerReportReceived(event.report.without_peers())
        super()._handle(number, event)

    def _request_event(self, prompt_tokens: int, answer_tokens: int) -> RequestReceived:
        request_id = f"r-{self.sent + 1}"
        common = PromptPart(f"c-{self.random.randrange(_COMMON_PARTS)}", prompt_tokens // 2)
        own = PromptPart(f"own-{request_id}", prompt_tokens - prompt_tokens // 2)
        prompt = Prompt("m", prompt_tokens, 4 * answer_tokens, answer_tokens, (common, own))
        is_large = self.random.random() < _LARGE_SHARE
        organisation = 0 if is_large else self.random.randrange(_ORGANISATIONS)
        return RequestReceived(
            request(
                request_id,
                STREAM_ROUTE,
                arrived_at_ms=self.now_ms,
                prompt=prompt,
                organisation=f"organisation-{organisation}",
                urgency_rank=self.random.randrange(_TIERS),
            )
        )


def _tokens(generator: random.Random) -> tuple[int, int]:
    prompt_tokens = min(20_000, int(generator.lognormvariate(7, 1)))
    return prompt_tokens, min(1_500, max(10, int(generator.lognormvariate(4.6, 0.8))))


def main() -> None:
    """Play the overload, and print the CPU time by type of event."""
    parser = argparse.ArgumentParser(prog="scripts/bench placement", description=__doc__)
    parser.add_argument("--vms", type=int, default=73)
    parser.add_argument("--engines", type=int, default=56)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--load", type=float, default=1.5, help="as a share of the capacity")
    parser.add_argument("--duration-ms", type=int, default=2_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", action="store_true", help="print functions by their own time")
    arguments = parser.parse_args()
    times = _EventTimes()
    site = _OverloadedSite(
        times,
        vm_count=arguments.vms,
        upstreams=[
            SimulatedUpstream(f"u-{number}", arguments.slots, _ENGINE_QUEUE)
            for number in range(arguments.engines)
        ],
        seed=arguments.seed,
    )
    rate_per_s = arguments.load * arguments.engines * arguments.slots * _REQUESTS_PER_SLOT
    site.play(_WARM_UP_MS, rate_per_s, _tokens)
    # The garbage of 73 VMs in one process would be collected at the cost of random events.
    gc.collect()
    gc.disable()
    times.reset()
    site.reset_counts()
    profile = cProfile.Profile()
    if arguments.profile:
        profile.enable()
    site.play(arguments.duration_ms, rate_per_s, _tokens)
    profile.disable()
    requests = times.counts["RequestReceived"]
    for name, spent_ns in times.ns.most_common():
        events = times.counts[name]
        line = {
            "event": name,
            "us_per_request": round(spent_ns * _US_PER_NS / requests, 1),
            "us_per_event": round(spent_ns * _US_PER_NS / events, 1),
            "events": events,
        }
        print(json.dumps(line))
    total_us = round(sum(times.ns.values()) * _US_PER_NS / requests, 1)
    print(json.dumps({"requests": requests, "us_per_request": total_us, **site.results}))
    if arguments.profile:
        pstats.Stats(profile).sort_stats("tottime").print_stats(40)


if __name__ == "__main__":
    main()
