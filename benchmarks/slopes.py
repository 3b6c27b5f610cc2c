"""What control costs as the fleet grows: bytes, processor time and memory, with fitted slopes.

Run by ``scripts/bench slopes``. Each quantity is measured at four sizes or more, fitted by a
straight line (ordinary least squares), and shown with the line's largest residual.
"""

import argparse
import gc
import json
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from functools import partial

from azureturn.core import LoadReport, LoadReported, UpstreamLeaving, UpstreamTable
from azureturn.core.membership import GossipTable, PeerTable, Topic
from azureturn.framework import Tick
from azureturn.settings import check_shared_settings
from benchmarks.gossip_model import TICK_MS, GossipModel, GossipVm

#: VMs of one availability zone at the letter's size: 550 nodes in 17 zones.
ZONE_VMS = 32
#: Upstreams that one VM sends to, where each VM is given a subset of the zone's.
SUBSET_UPSTREAMS = 24
_US_PER_S = 1_000_000
_WARM_UP_MS = 5_000
_RUN_MS = 20_000
_STEP_MS = 1_000


@dataclass(frozen=True)
class Slope:
    """One quantity over sizes, and the line through it."""

    quantity: str
    unit: str
    size_unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    #: Largest distance of a value from the line, in the quantity's unit.
    residual: float


def fitted(
    quantity: str, unit: str, size_unit: str, sizes: Iterable[int], values: Iterable[float]
) -> Slope:
    """Return the line through values by size."""
    sizes, values = tuple(sizes), tuple(values)
    line = statistics.linear_regression(sizes, values)
    residual = max(
        abs(value - line.slope * size - line.intercept)
        for size, value in zip(sizes, values, strict=True)
    )
    return Slope(quantity, unit, size_unit, sizes, values, line.slope, line.intercept, residual)


@dataclass(frozen=True)
class GossipCost:
    """What heartbeats cost one VM on average."""

    bytes_per_s: float
    largest_bytes_per_s: float
    processor_share: float


def gossip_cost(vms: int) -> GossipCost:
    """Return the cost with every VM's work at its upstreams changing each second."""
    model = GossipModel(vms, max(1, round(vms / ZONE_VMS)), upstreams=SUBSET_UPSTREAMS)
    model.list_peers()
    _run_with_changes(model, _WARM_UP_MS)
    for vm in model.members.values():
        vm.sent_bytes = vm.received_bytes = 0
        vm.processor_s = 0.0
    _run_with_changes(model, _RUN_MS)
    run_s = _RUN_MS / 1_000
    each = [(vm.sent_bytes + vm.received_bytes) / run_s for vm in model.members.values()]
    processor_s = statistics.fmean(vm.processor_s for vm in model.members.values())
    return GossipCost(statistics.fmean(each), max(each), processor_s / run_s)


def _run_with_changes(model: GossipModel, duration_ms: int) -> None:
    for _ in range(duration_ms // _STEP_MS):
        for vm in model.members.values():
            own = vm.core.board.table(PeerTable).own
            assert own is not None
            gossip = vm.core.board.table(GossipTable)
            for number in range(SUBSET_UPSTREAMS):
                numbers = (model.random.randrange(50_000), model.random.randrange(16))
                key = f"engine-{number}"
                gossip.change_own(own, Topic.UPSTREAM_WORK, key, numbers, model.now_ms)
        model.run(_STEP_MS)


def shared_document(organisations: int, upstreams: int) -> dict[str, object]:
    """Return shared settings of a size."""
    return {
        "site": "slopes",
        "tiers": [{"name": "urgent", "rank": 0}],
        "organisations": [
            {"name": f"organisation-{number}", "token": f"token-of-organisation-{number}"}
            for number in range(organisations)
        ],
        "routes": [{"name": "chat", "tier": "urgent", "timeout_ms": 30_000, "target": "model"}],
        "upstreams": [
            {
                "name": f"engine-{number}",
                "kind": "model_engine",
                "availability_zone": "zone-a",
                "url": "http://127.0.0.1:9",
                "targets": ["model"],
            }
            for number in range(upstreams)
        ],
    }


def memory_bytes_of(make: Callable[[], object]) -> float:
    """Return the bytes that what ``make`` returns holds."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size_bytes)


def configuration_slopes() -> list[Slope]:
    """Return size, decoding time and memory of the configuration by organisations."""
    sizes = (5, 500, 5_000, 22_000)
    documents = [shared_document(size, 12) for size in sizes]
    lengths = [len(json.dumps(document)) for document in documents]
    times = [_seconds(partial(check_shared_settings, document)) for document in documents]
    held = [memory_bytes_of(partial(check_shared_settings, document)) for document in documents]
    milliseconds = [1_000 * seconds for seconds in times]
    return [
        fitted("configuration document", "bytes", "organisations", sizes, lengths),
        fitted("configuration check", "ms", "organisations", sizes, milliseconds),
        fitted("configuration in memory", "bytes", "organisations", sizes, held),
    ]


def upstream_slopes() -> list[Slope]:
    """Return the cost of a tick and of a load report by upstreams."""
    sizes = (9, 100, 1_000, 6_100)
    ticks: list[float] = []
    reports: list[float] = []
    for size in sizes:
        core = GossipModel(1, 1, upstreams=size).members["vm-0"].core
        ticks.append(_US_PER_S * _seconds(partial(core.handle, Tick(), 0), times=200))
        report = LoadReported("engine-1", LoadReport(running=3))
        reports.append(_US_PER_S * _seconds(partial(core.handle, report, 0), times=200))
    return [
        fitted("tick", "us", "upstreams", sizes, ticks),
        fitted("load report", "us", "upstreams", sizes, reports),
    ]


def _seconds(call: Callable[[], object], *, times: int = 1) -> float:
    began_s = time.perf_counter()
    for _ in range(times):
        call()
    return (time.perf_counter() - began_s) / times


def gossip_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Return bytes and processor time of heartbeats by VMs."""
    costs = [gossip_cost(size) for size in sizes]
    return [
        fitted("heartbeats, mean", "bytes/s", "VMs", sizes, [c.bytes_per_s for c in costs]),
        fitted(
            "heartbeats, largest", "bytes/s", "VMs", sizes, [c.largest_bytes_per_s for c in costs]
        ),
        fitted("heartbeats", "share of a core", "VMs", sizes, [c.processor_share for c in costs]),
        fitted(
            "leaving upstream known in its zone",
            "ms",
            "VMs",
            sizes,
            [spread_ms(size, whole_fleet=False) for size in sizes],
        ),
        fitted(
            "leaving upstream known in the fleet",
            "ms",
            "VMs",
            sizes,
            [spread_ms(size, whole_fleet=True) for size in sizes],
        ),
    ]


def spread_ms(vms: int, *, whole_fleet: bool) -> float:
    """Return how long a leaving upstream takes to be known in its zone, or in the fleet.

    The byte budget is used up by other rows all the while.
    """
    model = GossipModel(vms, max(1, round(vms / ZONE_VMS)), upstreams=SUBSET_UPSTREAMS)
    model.list_peers()
    _run_with_changes(model, _WARM_UP_MS)
    began_ms = model.now_ms
    first = model.members["vm-0"]
    model.perform(first, first.handle(UpstreamLeaving("engine-1", True), model.now_ms))
    meant = [vm for vm in model.members.values() if whole_fleet or vm.zone == first.zone]
    while not all(_sees_leaving(vm) for vm in meant):
        model.run(TICK_MS)
    return model.now_ms - began_ms


def _sees_leaving(vm: GossipVm) -> bool:
    upstream = vm.core.board.table(UpstreamTable).get("engine-1")
    return upstream is not None and upstream.leaving


def main() -> None:
    """Measure every slope and print it."""
    parser = argparse.ArgumentParser(prog="scripts/bench slopes")
    parser.add_argument("--vms", type=int, nargs="+", default=[8, 32, 128, 550])
    arguments = parser.parse_args()
    slopes = configuration_slopes() + upstream_slopes() + gossip_slopes(tuple(arguments.vms))
    for slope in slopes:
        sys.stdout.write(json.dumps(asdict(slope)) + "\n")
    for slope in slopes:
        points = "  ".join(
            f"{size}: {value:.4g}" for size, value in zip(slope.sizes, slope.values, strict=True)
        )
        sys.stdout.write(
            f"{slope.quantity} [{slope.unit}] by {slope.size_unit}: {points}; "
            f"{slope.intercept:.4g} + {slope.slope:.4g} a {slope.size_unit.rstrip('s')}, "
            f"residual {slope.residual:.3g}\n"
        )


if __name__ == "__main__":
    main()
