"""Benchmark of service-level records on a VM: memory, time per request, size of an answer.

Run by ``scripts/bench service_levels``. Every ring buffer is filled with three days of requests
from a number of organisations, so that the size limits are reached. Memory is measured with
``tracemalloc``.
"""

import argparse
import gc
import random
import sys
import time
import tracemalloc

from azureturn.daemon._operator_reports import window_struct
from azureturn.observability import HOUR_MS, MINUTE_MS, SliKey, SliRecorder
from azureturn.peers import encode_struct

ORGANISATION_COUNTS = (220, 2_200, 22_000)
ROUTES = 12
UPSTREAMS = 600
TIERS = 4
#: Requests in each time step; more than the number of distinct keys that a bucket keeps.
REQUESTS_PER_STEP = 900
MEAN_LATENCY_MS = 800.0
TIMED_REQUESTS = 20_000
#: Distinct keys among the timed requests.
TIMED_KEYS = 45
_HOURS = 72
_FINE_HOURS = 6
_START_UNIX_MS = 1_000_000 * HOUR_MS


def keys_of(organisations: int) -> list[SliKey]:
    """Return one key for each organisation, one in ten of them for failed requests."""
    return [
        SliKey(
            tier=f"tier-{number % TIERS}",
            organisation=f"organisation-{number}",
            route=f"route-{number % ROUTES}",
            upstream=f"upstream-{number % UPSTREAMS}",
            version="v1",
            error_kind="" if number % 10 else "upstream_failed",
        )
        for number in range(organisations)
    ]


def fill(recorder: SliRecorder, keys: list[SliKey], generator: random.Random) -> int:
    """Record three days of requests and return the time of the last step."""
    now_unix_ms = _START_UNIX_MS
    for hour in range(_HOURS):
        step_ms = MINUTE_MS if hour >= _HOURS - _FINE_HOURS else 10 * MINUTE_MS
        for offset_ms in range(0, HOUR_MS, step_ms):
            now_unix_ms = _START_UNIX_MS + hour * HOUR_MS + offset_ms
            for key in generator.choices(keys, k=REQUESTS_PER_STEP):
                latency_ms = generator.expovariate(1 / MEAN_LATENCY_MS)
                recorder.record(key, latency_ms=latency_ms, now_unix_ms=now_unix_ms)
    return now_unix_ms


def measure(organisations: int, seed: int) -> str:
    """Measure one number of organisations and return its table row."""
    keys = keys_of(organisations)
    tracemalloc.start()
    recorder = SliRecorder(started_at_unix_ms=_START_UNIX_MS)
    now_unix_ms = fill(recorder, keys, random.Random(seed))
    gc.collect()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_s = time.perf_counter()
    for number in range(TIMED_REQUESTS):
        recorder.record(
            keys[number % TIMED_KEYS], latency_ms=5 + number % 900, now_unix_ms=now_unix_ms
        )
    record_us = (time.perf_counter() - started_s) / TIMED_REQUESTS * 1e6
    started_s = time.perf_counter()
    window = recorder.window(_HOURS * HOUR_MS, now_unix_ms=now_unix_ms)
    window_ms = (time.perf_counter() - started_s) * 1e3
    answer_bytes = len(encode_struct(window_struct(_HOURS * HOUR_MS, window)))
    return (
        f"{organisations:>13} {memory_bytes / 1e6:>9.1f} {record_us:>10.1f} {window_ms:>10.1f} "
        f"{answer_bytes / 1e3:>9.1f}\n"
    )


def main() -> None:
    """Print the table, one row for each number of organisations."""
    parser = argparse.ArgumentParser(prog="scripts/bench service_levels")
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    sys.stdout.write("organisations memory MB  record us  window ms answer kB\n")
    for organisations in ORGANISATION_COUNTS:
        sys.stdout.write(measure(organisations, seed))


if __name__ == "__main__":
    main()
