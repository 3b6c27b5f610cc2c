"""Benchmark of control overhead by fleet size: bytes, processor time and memory.

Run by ``scripts/bench slopes``. Each quantity is measured at four or more sizes, fitted with a
straight line (ordinary least squares), and printed with the largest residual.
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
from benchmarks.gossip_simulation import TICK_MS, GossipSimulation, GossipVm

#: VMs in one availability zone at the target size: 550 VMs in 17 zones.
ZONE_VMS = 32
#: Upstreams that one VM sends to if each VM is assigned a subset of its zone's upstreams.
SUBSET_UPSTREAMS = 24
_US_PER_S = 1_000_000
_WARM_UP_MS = 5_000
_RUN_MS = 20_000
_STEP_MS = 1_000


@dataclass(frozen=True)
class Slope:
    """One quantity measured at several sizes, and the line fitted to it."""

    quantity: str
    unit: str
    size_unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    #: Largest absolute residual, in the quantity's unit.
    residual: float


def fit_line(
    quantity: str, unit: str, size_unit: str, sizes: Iterable[int], values: Iterable[float]
) -> Slope:
    """Fit a line to values by size."""
    sizes, values = tuple(sizes), tuple(values)
    regression = statistics.linear_regression(sizes, values)
    residual = max(
        abs(value - regression.slope * size - regression.intercept)
        for size, value in zip(sizes, values, strict=True)
    )
    return Slope(
        quantity, unit, size_unit, sizes, values, regression.slope, regression.intercept, residual
    )


@dataclass(frozen=True)
class GossipCost:
    """Cost of heartbeats per VM: mean and largest traffic, mean share of a core."""

    bytes_per_s: float
    largest_bytes_per_s: float
    processor_share: float


def gossip_cost(vms: int) -> GossipCost:
    """Measure the cost while every VM's work at its upstreams changes each second."""
    simulation = GossipSimulation(vms, max(1, round(vms / ZONE_VMS)), upstreams=SUBSET_UPSTREAMS)
    simulation.announce_peers()
    _run_with_changes(simulation, _WARM_UP_MS)
    for vm in simulation.members.values():
        vm.sent_bytes = vm.received_bytes = 0
        vm.processor_s = 0.0
    _run_with_changes(simulation, _RUN_MS)
    run_s = _RUN_MS / 1_000
    vm_rates = [(vm.sent_bytes + vm.received_bytes) / run_s for vm in simulation.members.values()]
    processor_s = statistics.fmean(vm.processor_s for vm in simulation.members.values())
    return GossipCost(statistics.fmean(vm_rates), max(vm_rates), processor_s / run_s)


def _run_with_changes(simulation: GossipSimulation, duration_ms: int) -> None:
    for _ in range(duration_ms // _STEP_MS):
        for vm in simulation.members.values():
            own_identity = vm.core.board.table(PeerTable).local_identity
            assert own_identity is not None
            gossip = vm.core.board.table(GossipTable)
            for number in range(SUBSET_UPSTREAMS):
                row_values = (simulation.random.randrange(50_000), simulation.random.randrange(16))
                key = f"engine-{number}"
                gossip.change_own(
                    own_identity, Topic.UPSTREAM_WORK, key, row_values, simulation.now_ms
                )
        simulation.run(_STEP_MS)


def shared_document(organisations: int, upstreams: int) -> dict[str, object]:
    """Return a document of shared settings of the given size."""
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


def measure_memory_bytes(factory: Callable[[], object]) -> float:
    """Return the memory that the result of ``factory`` uses, in bytes."""
    gc.collect()
    tracemalloc.start()
    result = factory()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return float(size_bytes)


def configuration_slopes() -> list[Slope]:
    """Measure size, decoding time and memory of the configuration by number of organisations."""
    sizes = (5, 500, 5_000, 22_000)
    documents = [shared_document(size, 12) for size in sizes]
    lengths = [len(json.dumps(document)) for document in documents]
    times_s = [_mean_time_s(partial(check_shared_settings, document)) for document in documents]
    memory_bytes = [
        measure_memory_bytes(partial(check_shared_settings, document)) for document in documents
    ]
    milliseconds = [1_000 * time_s for time_s in times_s]
    return [
        fit_line("configuration document", "bytes", "organisations", sizes, lengths),
        fit_line("configuration check", "ms", "organisations", sizes, milliseconds),
        fit_line("configuration in memory", "bytes", "organisations", sizes, memory_bytes),
    ]


def upstream_slopes() -> list[Slope]:
    """Measure the time of a tick and of a load report by number of upstreams."""
    sizes = (9, 100, 1_000, 6_100)
    tick_times_us: list[float] = []
    report_times_us: list[float] = []
    for size in sizes:
        core = GossipSimulation(1, 1, upstreams=size).members["vm-0"].core
        tick_times_us.append(
            _US_PER_S * _mean_time_s(partial(core.handle, Tick(), 0), repetitions=200)
        )
        report = LoadReported("engine-1", LoadReport(running=3))
        report_times_us.append(
            _US_PER_S * _mean_time_s(partial(core.handle, report, 0), repetitions=200)
        )
    return [
        fit_line("tick", "us", "upstreams", sizes, tick_times_us),
        fit_line("load report", "us", "upstreams", sizes, report_times_us),
    ]


def _mean_time_s(call: Callable[[], object], *, repetitions: int = 1) -> float:
    started_s = time.perf_counter()
    for _ in range(repetitions):
        call()
    return (time.perf_counter() - started_s) / repetitions


def gossip_slopes(sizes: tuple[int, ...]) -> list[Slope]:
    """Measure bytes, processor time and propagation time of heartbeats by number of VMs."""
    costs = [gossip_cost(size) for size in sizes]
    return [
        fit_line("heartbeats, mean", "bytes/s", "VMs", sizes, [cost.bytes_per_s for cost in costs]),
        fit_line(
            "heartbeats, largest",
            "bytes/s",
            "VMs",
            sizes,
            [cost.largest_bytes_per_s for cost in costs],
        ),
        fit_line(
            "heartbeats", "share of a core", "VMs", sizes, [cost.processor_share for cost in costs]
        ),
        fit_line(
            "leaving upstream known in its zone",
            "ms",
            "VMs",
            sizes,
            [propagation_ms(size, whole_fleet=False) for size in sizes],
        ),
        fit_line(
            "leaving upstream known in the fleet",
            "ms",
            "VMs",
            sizes,
            [propagation_ms(size, whole_fleet=True) for size in sizes],
        ),
    ]


def propagation_ms(vms: int, *, whole_fleet: bool) -> float:
    """Measure how long all VMs of the zone, or of the fleet, take to learn of a leaving upstream.

    Other gossip rows exhaust the byte budget during the measurement.
    """
    simulation = GossipSimulation(vms, max(1, round(vms / ZONE_VMS)), upstreams=SUBSET_UPSTREAMS)
    simulation.announce_peers()
    _run_with_changes(simulation, _WARM_UP_MS)
    began_ms = simulation.now_ms
    sender = simulation.members["vm-0"]
    simulation.perform(sender, sender.handle(UpstreamLeaving("engine-1", True), simulation.now_ms))
    observers = [vm for vm in simulation.members.values() if whole_fleet or vm.zone == sender.zone]
    while not all(_knows_leaving(vm) for vm in observers):
        simulation.run(TICK_MS)
    return simulation.now_ms - began_ms


def _knows_leaving(vm: GossipVm) -> bool:
    upstream = vm.core.board.table(UpstreamTable).get("engine-1")
    return upstream is not None and upstream.leaving


def main() -> None:
    """Measure and print every slope."""
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
