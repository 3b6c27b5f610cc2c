"""Benchmark of the processor time per decision by number of replicas: ``scripts/bench decisions``.

One core handles arrivals and answers for one model with many replicas, and peers' reports of their
work. Each JSON line has the mean time to handle one request from its arrival to its answer (one
admission, one placement and one release), one peer's report, and one tick.
"""

import argparse
import json
import math
import time
from dataclasses import asdict, dataclass

from azureturn.core import (
    Configuration,
    Core,
    Dispatch,
    PeerWorkReported,
    Request,
    RequestAnswered,
    RequestArrived,
    Started,
)
from azureturn.framework import Tick
from azureturn.settings import (
    OrganisationSettings,
    PlatformSettings,
    RouteSettings,
    Settings,
    SharedSettings,
    TierSettings,
    UpstreamKind,
    UpstreamSettings,
    VmSettings,
)

#: Replicas, VMs and organisations: from the size of a current site to the target size.
_SIZES = ((9, 8, 5), (100, 16, 100), (600, 60, 1_000), (2_000, 180, 6_000), (6_100, 550, 22_000))
_MODELS = 8
_MAX_REPORTING_PEERS = 16
_MAX_IN_PROGRESS = 60
#: Mean time between two requests to one replica.
_ENGINE_INTERVAL_MS = 900
_US_PER_S = 1_000_000.0
_URL = "http://127.0.0.1:1"


@dataclass(frozen=True)
class Cost:
    """Measurements at one size."""

    replicas: int
    vms: int
    organisations: int
    request_us: float
    peer_report_us: float
    tick_us: float


def _settings(replicas: int, organisations: int) -> Settings:
    models = [f"model-{number}" for number in range(min(_MODELS, max(1, replicas // 9)))]
    shared = SharedSettings(
        site="size",
        tiers=(TierSettings("urgent", 0), TierSettings("deferrable", 1)),
        organisations=tuple(
            OrganisationSettings(f"organisation-{number}", f"organisation-token-{number}")
            for number in range(organisations)
        ),
        routes=tuple(RouteSettings(f"route-{model}", "urgent", 60_000, model) for model in models),
        upstreams=tuple(
            UpstreamSettings(
                name=f"engine-{number}",
                kind=UpstreamKind.MODEL_ENGINE,
                availability_zone="zone-a",
                url=_URL,
                targets=(models[number % len(models)],),
            )
            for number in range(replicas)
        ),
    )
    vm = VmSettings("vm-0", "zone-a", "127.0.0.1", 1, 1)
    return Settings(vm=vm, platform=PlatformSettings(_URL, _URL), shared=shared)


def _request(number: int, organisations: int, at_ms: int) -> Request:
    digests = [f"{number % 50}:{block}" for block in range(16)] + [f"own-{number}"]
    return Request(
        request_id=f"r{number}",
        organisation=f"organisation-{number % organisations}",
        route="route-model-0",
        tier_rank=0,
        target="model-0",
        kind=UpstreamKind.MODEL_ENGINE,
        arrived_at_ms=at_ms,
        deadline_ms=at_ms + 60_000,
        prompt_tokens=3_500,
        expected_output_tokens=200,
        prefix_digests=tuple(digests),
    )


def measure(replicas: int, vms: int, organisations: int, *, requests: int) -> Cost:
    """Measure the cost of decisions at one size."""
    settings = _settings(replicas, organisations)
    core = Core.from_settings(settings, seed=1)
    core.handle(Started(Configuration(0, settings.shared)), 0)
    interval_ms = max(1, _ENGINE_INTERVAL_MS // replicas)
    arrivals = [_request(number, organisations, number * interval_ms) for number in range(requests)]
    running: list[str] = []
    started_s = time.process_time()
    for request in arrivals:
        now_ms = request.arrived_at_ms
        actions = core.handle(RequestArrived(request), now_ms)
        running += [action.request_id for action in actions if isinstance(action, Dispatch)]
        if len(running) > _MAX_IN_PROGRESS:
            core.handle(RequestAnswered(running.pop(0), 3_500, 3_200, 200), now_ms)
    request_us = (time.process_time() - started_s) * _US_PER_S / requests
    report_us = _peer_report_us(core, replicas, vms, now_ms)
    return Cost(replicas, vms, organisations, request_us, report_us, _tick_us(core, now_ms))


def _peer_report_us(core: Core, replicas: int, vms: int, now_ms: int) -> float:
    peers = min(vms - 1, _MAX_REPORTING_PEERS)
    reports = [
        PeerWorkReported(f"vm-{1 + number % peers}", f"engine-{number % replicas}", now_ms, 3, 500)
        for number in range(2_000)
    ]
    started_s = time.process_time()
    for report in reports:
        core.handle(report, now_ms)
    return (time.process_time() - started_s) * _US_PER_S / len(reports)


def _tick_us(core: Core, now_ms: int) -> float:
    tick_count = 200
    started_s = time.process_time()
    for number in range(tick_count):
        core.handle(Tick(), now_ms + 50 * number)
    return (time.process_time() - started_s) * _US_PER_S / tick_count


def main() -> None:
    """Measure every size, and print the slope of cost over replicas on log-log scales."""
    parser = argparse.ArgumentParser(prog="scripts/bench decisions", description=__doc__)
    parser.add_argument("--requests", type=int, default=4_000)
    arguments = parser.parse_args()
    costs = [measure(*size, requests=arguments.requests) for size in _SIZES]
    for cost in costs:
        print(json.dumps(asdict(cost)))
    first, last = costs[0], costs[-1]
    log_ratio = math.log(last.replicas / first.replicas)
    slope = math.log(last.request_us / first.request_us) / log_ratio
    tick_slope = math.log(last.tick_us / first.tick_us) / log_ratio
    print(json.dumps({"request_exponent": slope, "tick_exponent": tick_slope}))


if __name__ == "__main__":
    main()
