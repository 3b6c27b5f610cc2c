"""Benchmark of version moves: ``scripts/bench moves --seeds 100 --scenario bad_late``.

A move shifts a model's requests from one version to another in stages. Each run is one move at one
site: the production move logic of eight VMs, and a model that draws the outcome of each request.
The VMs exchange evidence, that is, counts of requests and defects by version, by the production
gossip within its byte budget.
A bad version is *detectable* from the moment at which the production test would reject it if all
samples were available in one place without delay. Standard output gets one JSON line for each run,
then one table.
"""

import argparse
import json
import math
import sys
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import asdict
from multiprocessing import Pool

from benchmarks.move_outcomes import SITES
from benchmarks.move_simulation import MoveResult, MoveSimulation

SCENARIOS = (
    "good",
    "bad_at_once",
    "bad_late",
    "bad_under_load",
    "bad_on_one_route",
    "slow",
    "platform_down_good",
    "platform_down_bad",
)
_ALIASES = {"platform_down": ("platform_down_good", "platform_down_bad")}
POLICIES = ("judged", "clock")
_Z_95 = 1.96
_HEADINGS = ("scenario", "site", "policy", "runs", "measure", "result", "95% interval", "worst")


def wilson_interval(successes: int, trials: int) -> tuple[float, float]:
    """Return the 95% interval of a proportion (E. B. Wilson, 1927)."""
    if not trials:
        return 0.0, 1.0
    share = successes / trials
    margin = _Z_95 * math.sqrt(share * (1 - share) / trials + _Z_95**2 / (4 * trials**2))
    scale = 1 + _Z_95**2 / trials
    center = share + _Z_95**2 / (2 * trials)
    return max(0.0, (center - margin) / scale), min(1.0, (center + margin) / scale)


def mean_interval(values: Sequence[float]) -> tuple[float, float, float]:
    """Return a mean and its 95% interval by the normal approximation."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, mean, mean
    variance = sum((value - mean) ** 2 for value in values) / (len(values) - 1)
    half_width = _Z_95 * math.sqrt(variance / len(values))
    return mean, mean - half_width, mean + half_width


def _run(case: tuple[str, str, str, int]) -> MoveResult:
    return MoveSimulation(*case).run()


def _proportion(
    results: Sequence[MoveResult], condition: Callable[[MoveResult], bool]
) -> tuple[str, str, str]:
    count = sum(condition(result) for result in results)
    low, high = wilson_interval(count, len(results))
    failed = [f"{result.site}:{result.seed}" for result in results if not condition(result)]
    worst = ", ".join(failed[:4]) if len(failed) < len(results) else ""
    return f"{count}/{len(results)}", f"{low:.1%} to {high:.1%}", worst


def _mean(results: Sequence[MoveResult], value: Callable[[MoveResult], float]) -> tuple[str, ...]:
    values = [value(result) for result in results]
    mean, low, high = mean_interval(values)
    return f"{mean:.4g}", f"{low:.4g} to {high:.4g}", f"{max(values):.4g}"


def _share_in_move(result: MoveResult) -> float:
    return result.new_requests_in_move / max(1, result.requests_in_move)


def _measure_rows(results: Sequence[MoveResult]) -> list[tuple[str, ...]]:
    """Return the table rows for one scenario, site and policy."""
    if not results[0].is_bad:
        completed = _proportion(
            results, lambda result: result.moved_in_time and result.state in ("completed", "baking")
        )
        not_taken_back = _proportion(results, lambda result: result.state != "taken_back")
        moved = [result for result in results if result.moved_s]
        rows: list[tuple[str, ...]] = [
            ("completed by the deadline", *completed),
            ("not taken back by mistake", *not_taken_back),
        ]
        if moved:
            rows.append(("start to full share, s", *_mean(moved, lambda result: result.moved_s)))
        return rows
    taken_back = _proportion(results, lambda result: result.state == "taken_back")
    detected = [result for result in results if result.shown_s and result.taken_back_s]
    measured: list[tuple[str, ...]] = [
        ("taken back", *taken_back),
        ("new version's share of requests in the move", *_mean(results, _share_in_move)),
        (
            "requests over 2 s after detectable",
            *_mean(results, lambda result: result.new_requests_late),
        ),
        (
            "runs without such requests",
            *_proportion(results, lambda result: not result.new_requests_late),
        ),
        ("requests beyond the stage's share", *_mean(results, lambda result: result.over_share)),
    ]
    if detected:
        lag = _mean(detected, lambda result: max(0.0, result.taken_back_s - result.shown_s))
        measured.append(("detectable to taken back, s", *lag))
    return measured


def format_table(results: Sequence[MoveResult]) -> str:
    """Return a text table of all runs."""
    groups: dict[tuple[str, str, str], list[MoveResult]] = defaultdict(list)
    for result in results:
        groups[(result.scenario, result.site, result.policy)].append(result)
    lines: list[tuple[str, ...]] = [_HEADINGS]
    for (scenario, site, policy), group in sorted(groups.items()):
        for row in _measure_rows(sorted(group, key=lambda result: result.seed)):
            lines.append((scenario, site, policy, str(len(group)), *row))
    widths = [max(len(line[column]) for line in lines) for column in range(len(_HEADINGS))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def main() -> int:
    """Run the cases selected on the command line."""
    parser = argparse.ArgumentParser(prog="scripts/bench moves", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="number of runs of each case")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--scenario", choices=(*SCENARIOS, *_ALIASES, "all"), default="all")
    parser.add_argument("--site", choices=(*SITES, "both"), default="both")
    parser.add_argument("--policy", choices=(*POLICIES, "both"), default="both")
    parser.add_argument("--workers", type=int, default=2)
    options = parser.parse_args()
    scenarios: Sequence[str] = _ALIASES.get(options.scenario, (options.scenario,))
    scenarios = SCENARIOS if options.scenario == "all" else scenarios
    sites: Sequence[str] = tuple(SITES) if options.site == "both" else (options.site,)
    policies: Sequence[str] = POLICIES if options.policy == "both" else (options.policy,)
    cases = [
        (scenario, site, policy, seed)
        for scenario in scenarios
        for site in sites
        for policy in policies
        for seed in range(options.seed, options.seed + options.seeds)
    ]
    results = []
    with Pool(options.workers) as pool:
        for result in pool.imap_unordered(_run, cases):
            print(json.dumps(asdict(result)), flush=True)
            results.append(result)
    print(format_table(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
