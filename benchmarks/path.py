"""Benchmark of azureturn's overhead on streams: delay per token, processor time and memory.

Run by ``scripts/bench path``. For each number of open streams the same load is sent to the engines
directly and through daemons. Engines stamp each event with the machine's monotonic clock, and the
load processes record when it arrives. Output: a JSON line for each run, then a table.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import aiohttp

from standins.site import MODEL, TOKEN, Site

TOKENS_PER_S = 17
STEP_MS = 1_000 / TOKENS_PER_S
ENGINES = 4
LOAD_PROCESSES = 3
#: Time for all streams to open before measurements start.
WARM_UP_S = 4.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_NS_PER_MS = 1_000_000
#: Pause between two calls to the plain service.
_CALL_PAUSE_S = 0.02


@dataclass(frozen=True)
class LoadJob:
    """The load that one process generates."""

    urls: tuple[str, ...]
    streams: int
    seconds: float
    #: URL of a plain service to call while the streams are open, or an empty string.
    call_url: str = ""


@dataclass(frozen=True)
class RunResult:
    """Measurements of one run."""

    #: ``azureturn`` through daemons, or ``direct`` to the engines.
    via: str
    streams: int
    daemons: int
    #: Delay from the engine's sending of a token to its arrival at the load process.
    token_p50_ms: float
    token_p95_ms: float
    token_p99_ms: float
    #: Time of a complete call to a plain service, which is called sequentially while streams are
    #: open.
    call_p50_ms: float
    call_p99_ms: float
    tokens_per_s: float
    #: Total of all daemons, in cores.
    processor_cores: float
    processor_us_per_token: float
    memory_kb_per_stream: float


async def _stream(
    session: aiohttp.ClientSession, url: str, tokens: int, started_s: float, delays_ms: list[float]
) -> None:
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "wool"}],
    }
    headers = {"Authorization": f"Bearer {TOKEN}", "Azureturn-Timeout-Ms": "600000"}
    async with session.post(url, json=body, headers=headers) as response:
        async for line in response.content:
            now_ns = time.monotonic_ns()
            start = line.find(b'"sent_ns": ')
            if start < 0:
                continue
            if time.monotonic() >= started_s + WARM_UP_S:
                sent_ns = int(line[start + 11 :].split(b"}")[0])
                delays_ms.append((now_ns - sent_ns) / _NS_PER_MS)


async def _call_repeatedly(
    session: aiohttp.ClientSession, url: str, ends_at_s: float, call_times_ms: list[float]
) -> None:
    await asyncio.sleep(WARM_UP_S)
    while time.monotonic() < ends_at_s:
        started_s = time.perf_counter()
        async with session.get(url, headers={"Authorization": f"Bearer {TOKEN}"}) as response:
            await response.read()
        call_times_ms.append((time.perf_counter() - started_s) * 1_000)
        await asyncio.sleep(_CALL_PAUSE_S)


async def _run_job(job: LoadJob) -> tuple[list[float], list[float]]:
    delays_ms: list[float] = []
    call_times_ms: list[float] = []
    started_s = time.monotonic()
    tokens = int((job.seconds + WARM_UP_S) * TOKENS_PER_S)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=job.seconds * 3 + 30)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        tasks = [
            _stream(session, job.urls[number % len(job.urls)], tokens, started_s, delays_ms)
            for number in range(job.streams)
        ]
        if job.call_url:
            ends_at_s = started_s + WARM_UP_S + job.seconds
            tasks.append(_call_repeatedly(session, job.call_url, ends_at_s, call_times_ms))
        await asyncio.gather(*tasks)
    return delays_ms, call_times_ms


def _run_job_in_process(job: LoadJob) -> tuple[list[float], list[float]]:
    return asyncio.run(_run_job(job))


def _percentile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


def _processor_time_s(process_id: int) -> float:
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _resident_kb(process_id: int) -> int:
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def measure(site: Site, *, via_daemons: bool, streams: int, seconds: float) -> RunResult:
    """Measure one run, through the daemons or directly at the engines."""
    path = "/v1/chat/completions"
    names = (
        site.vm_names if via_daemons else [f"engine-{number}" for number in range(1, ENGINES + 1)]
    )
    urls = tuple(site.processes[name].url + path for name in names)
    caller = "vm-1" if via_daemons else "bookings-1"
    call_url = site.processes[caller].url + ("/routes/job-status/1" if via_daemons else "/jobs/1")
    processes = min(LOAD_PROCESSES, streams)
    stream_counts = [
        streams // processes + (number < streams % processes) for number in range(processes)
    ]
    process_ids = [handle.pid for name in site.vm_names if (handle := site.processes[name].handle)]
    before_kb = sum(map(_resident_kb, process_ids))
    with multiprocessing.get_context("spawn").Pool(processes + 1) as pool:
        jobs = []
        for number, stream_count in enumerate(stream_counts):
            rotated_urls = urls[number % len(urls) :] + urls[: number % len(urls)]
            jobs.append(LoadJob(rotated_urls, stream_count, seconds))
        jobs.append(LoadJob(urls, 0, seconds, call_url))
        pending_results = pool.map_async(_run_job_in_process, jobs)
        time.sleep(WARM_UP_S + 1)
        started_s, start_processor_s = time.monotonic(), sum(map(_processor_time_s, process_ids))
        time.sleep(seconds * 0.7)
        wall_s = time.monotonic() - started_s
        processor_s = sum(map(_processor_time_s, process_ids)) - start_processor_s
        during_kb = sum(map(_resident_kb, process_ids))
        results = pending_results.get()
    delays_ms = [delay_ms for job_delays_ms, _ in results for delay_ms in job_delays_ms]
    call_times_ms = [
        call_time_ms for _, job_call_times_ms in results for call_time_ms in job_call_times_ms
    ]
    tokens_per_s = len(delays_ms) / seconds
    return RunResult(
        via="azureturn" if via_daemons else "direct",
        streams=streams,
        daemons=len(process_ids) if via_daemons else 0,
        token_p50_ms=_percentile(delays_ms, 0.5),
        token_p95_ms=_percentile(delays_ms, 0.95),
        token_p99_ms=_percentile(delays_ms, 0.99),
        call_p50_ms=_percentile(call_times_ms, 0.5),
        call_p99_ms=_percentile(call_times_ms, 0.99),
        tokens_per_s=tokens_per_s,
        processor_cores=processor_s / wall_s if via_daemons else 0.0,
        processor_us_per_token=1e6 * processor_s / wall_s / tokens_per_s if via_daemons else 0.0,
        memory_kb_per_stream=max(0, during_kb - before_kb) / streams if via_daemons else 0.0,
    )


def new_site(daemons: int, streams: int) -> Site:
    """Return a site whose engines generate tokens at the target rate for any batch size."""
    switches = {
        f"engine-{number}": {
            "stamps_events": True,
            "slots": 2_000,
            "step_base_ms": STEP_MS,
            "step_per_sequence_ms": 0.0,
        }
        for number in range(1, ENGINES + 1)
    }
    daemon_limits = {"caller_threads": streams // daemons + 60, "log_path": "/dev/null"}
    return Site(
        vms=daemons,
        zones=1,
        engines=ENGINES,
        services=1,
        switches=switches,
        daemon_settings=daemon_limits,
        engine_settings={"slots": 2_000},
    )


def main() -> None:
    """Measure each number of streams, directly and through daemons."""
    parser = argparse.ArgumentParser(prog="scripts/bench path")
    parser.add_argument("--streams", type=int, nargs="+", default=[1, 50, 200, 860])
    parser.add_argument("--daemons", type=int, nargs="+", default=[1, 1, 1, 4])
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    rows: list[RunResult] = []
    for streams, daemons in zip(arguments.streams, arguments.daemons, strict=True):
        with new_site(daemons, streams) as site:
            for via_daemons in (False, True):
                result = measure(
                    site, via_daemons=via_daemons, streams=streams, seconds=arguments.seconds
                )
                rows.append(result)
                sys.stdout.write(json.dumps(asdict(result)) + "\n")
                sys.stdout.flush()
    for row in rows:
        sys.stdout.write(
            f"{row.via:>9} streams={row.streams:<4} daemons={row.daemons} "
            f"token ms p50={row.token_p50_ms:.2f} p95={row.token_p95_ms:.2f} "
            f"p99={row.token_p99_ms:.2f}  call ms p50={row.call_p50_ms:.1f} "
            f"p99={row.call_p99_ms:.1f}  tokens/s={row.tokens_per_s:.0f} "
            f"cores={row.processor_cores:.2f} us/token={row.processor_us_per_token:.0f} "
            f"kB/stream={row.memory_kb_per_stream:.0f}\n"
        )


if __name__ == "__main__":
    main()
