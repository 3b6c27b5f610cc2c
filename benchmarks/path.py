"""What azureturn adds to a stream: time by token, processor time and memory.

Run by ``scripts/bench path``. For each number of open streams the same load goes to the engines
directly and through daemons; engines stamp each event by the machine's monotonic clock, and the
load's own processes note when it arrives. Output: a JSON line for each run, then a table.
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
#: Time for all streams to open before anything is counted.
WARM_UP_S = 4.0
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_NS_PER_MS = 1_000_000
#: Pause between two calls of the plain service.
_CALL_PAUSE_S = 0.02


@dataclass(frozen=True)
class LoadPart:
    """What one process of the load is to do."""

    urls: tuple[str, ...]
    streams: int
    seconds: float
    #: A plain service's address that is called beside the streams, or an empty string.
    call_url: str = ""


@dataclass(frozen=True)
class RunResult:
    """What one run measured."""

    via: str
    streams: int
    daemons: int
    token_p50_ms: float
    token_p95_ms: float
    token_p99_ms: float
    #: Whole answers of a plain service, asked one after another beside the streams.
    call_p50_ms: float
    call_p99_ms: float
    tokens_per_s: float
    #: Of all daemons together, in cores.
    processor_cores: float
    processor_us_per_token: float
    memory_kb_per_stream: float


async def _stream(
    session: aiohttp.ClientSession, url: str, tokens: int, began_s: float, delays: list[float]
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
            if time.monotonic() >= began_s + WARM_UP_S:
                stamp = int(line[start + 11 :].split(b"}")[0])
                delays.append((now_ns - stamp) / _NS_PER_MS)


async def _call_in_turn(
    session: aiohttp.ClientSession, url: str, ends_at_s: float, times: list[float]
) -> None:
    await asyncio.sleep(WARM_UP_S)
    while time.monotonic() < ends_at_s:
        began_s = time.perf_counter()
        async with session.get(url, headers={"Authorization": f"Bearer {TOKEN}"}) as response:
            await response.read()
        times.append((time.perf_counter() - began_s) * 1_000)
        await asyncio.sleep(_CALL_PAUSE_S)


async def _run_part(part: LoadPart) -> tuple[list[float], list[float]]:
    delays: list[float] = []
    times: list[float] = []
    began_s = time.monotonic()
    tokens = int((part.seconds + WARM_UP_S) * TOKENS_PER_S)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=part.seconds * 3 + 30)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        tasks = [
            _stream(session, part.urls[number % len(part.urls)], tokens, began_s, delays)
            for number in range(part.streams)
        ]
        if part.call_url:
            ends_at_s = began_s + WARM_UP_S + part.seconds
            tasks.append(_call_in_turn(session, part.call_url, ends_at_s, times))
        await asyncio.gather(*tasks)
    return delays, times


def _run_part_in_process(part: LoadPart) -> tuple[list[float], list[float]]:
    return asyncio.run(_run_part(part))


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


def _processor_s(process_id: int) -> float:
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


def _resident_kb(process_id: int) -> int:
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def measure(site: Site, *, through: bool, streams: int, seconds: float) -> RunResult:
    """Return what one run measured, through the daemons or past them."""
    path = "/v1/chat/completions"
    names = site.vm_names if through else [f"engine-{n}" for n in range(1, ENGINES + 1)]
    urls = tuple(site.processes[name].url + path for name in names)
    caller = "vm-1" if through else "bookings-1"
    call_url = site.processes[caller].url + ("/routes/job-status/1" if through else "/jobs/1")
    processes = min(LOAD_PROCESSES, streams)
    shares = [streams // processes + (n < streams % processes) for n in range(processes)]
    ids = [handle.pid for name in site.vm_names if (handle := site.processes[name].handle)]
    before_kb = sum(map(_resident_kb, ids))
    with multiprocessing.get_context("spawn").Pool(processes + 1) as pool:
        parts = []
        for number, share in enumerate(shares):
            turned = urls[number % len(urls) :] + urls[: number % len(urls)]
            parts.append(LoadPart(turned, share, seconds))
        parts.append(LoadPart(urls, 0, seconds, call_url))
        running = pool.map_async(_run_part_in_process, parts)
        time.sleep(WARM_UP_S + 1)
        began_s, began_processor_s = time.monotonic(), sum(map(_processor_s, ids))
        time.sleep(seconds * 0.7)
        wall_s = time.monotonic() - began_s
        processor_s = sum(map(_processor_s, ids)) - began_processor_s
        during_kb = sum(map(_resident_kb, ids))
        results = running.get()
    delays = [delay for part_delays, _ in results for delay in part_delays]
    times = [took for _, part_times in results for took in part_times]
    tokens_per_s = len(delays) / seconds
    return RunResult(
        via="azureturn" if through else "direct",
        streams=streams,
        daemons=len(ids) if through else 0,
        token_p50_ms=_percentile(delays, 0.5),
        token_p95_ms=_percentile(delays, 0.95),
        token_p99_ms=_percentile(delays, 0.99),
        call_p50_ms=_percentile(times, 0.5),
        call_p99_ms=_percentile(times, 0.99),
        tokens_per_s=tokens_per_s,
        processor_cores=processor_s / wall_s if through else 0.0,
        processor_us_per_token=1e6 * processor_s / wall_s / tokens_per_s if through else 0.0,
        memory_kb_per_stream=max(0, during_kb - before_kb) / streams if through else 0.0,
    )


def new_site(daemons: int, streams: int) -> Site:
    """Return a site whose engines make tokens at the target's pace, whatever their number."""
    switches = {
        f"engine-{number}": {
            "stamps_events": True,
            "slots": 2_000,
            "step_base_ms": STEP_MS,
            "step_per_sequence_ms": 0.0,
        }
        for number in range(1, ENGINES + 1)
    }
    limits = {"caller_threads": streams // daemons + 60, "log_path": "/dev/null"}
    return Site(
        vms=daemons,
        zones=1,
        engines=ENGINES,
        services=1,
        switches=switches,
        daemon_settings=limits,
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
            for through in (False, True):
                result = measure(site, through=through, streams=streams, seconds=arguments.seconds)
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
