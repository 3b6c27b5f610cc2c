"""Measures version moves: ``scripts/bench moves --seeds 100 --scenario bad_late``.

Each run is one move at one site: eight VMs' shipped move logic, exchanging evidence by the
shipped gossip within its budget of bytes, before a model of what becomes of single requests. A
version *shows itself* when the shipped test would reject it if all samples were in one place at
once. One JSON line a run goes to standard output, then one table.
"""

import argparse
import json
import math
import sys
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import asdict
from multiprocessing import Pool

from benchmarks.move_model import MoveModel, MoveResult
from benchmarks.move_outcomes import SITES

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
_Z = 1.96
_HEADINGS = ("scenario", "site", "policy", "runs", "measure", "result", "95% interval", "worst")


def wilson_interval(successes: int, trials: int) -> tuple[float, float]:
    """Return the 95% interval of a proportion (E. B. Wilson, 1927)."""
    if not trials:
        return 0.0, 1.0
    share = successes / trials
    spread = _Z * math.sqrt(share * (1 - share) / trials + _Z**2 / (4 * trials**2))
    scale = 1 + _Z**2 / trials
    middle = share + _Z**2 / (2 * trials)
    return max(0.0, (middle - spread) / scale), min(1.0, (middle + spread) / scale)


def mean_interval(values: Sequence[float]) -> tuple[float, float, float]:
    """Return a mean and its 95% interval by the normal approximation."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, mean, mean
    variance = sum((one - mean) ** 2 for one in values) / (len(values) - 1)
    half = _Z * math.sqrt(variance / len(values))
    return mean, mean - half, mean + half


def _run(arguments: tuple[str, str, str, int]) -> MoveResult:
    return MoveModel(*arguments).run()


def _proportion(
    results: Sequence[MoveResult], holds: Callable[[MoveResult], bool]
) -> tuple[str, str, str]:
    count = sum(holds(one) for one in results)
    low, high = wilson_interval(count, len(results))
    failed = [f"{one.site}:{one.seed}" for one in results if not holds(one)]
    shown = ", ".join(failed[:4]) if len(failed) < len(results) else ""
    return f"{count}/{len(results)}", f"{low:.1%} to {high:.1%}", shown


def _mean(results: Sequence[MoveResult], value: Callable[[MoveResult], float]) -> tuple[str, ...]:
    values = [value(one) for one in results]
    mean, low, high = mean_interval(values)
    return f"{mean:.4g}", f"{low:.4g} to {high:.4g}", f"{max(values):.4g}"


def _share_in_move(result: MoveResult) -> float:
    return result.new_requests_in_move / max(1, result.requests_in_move)


def _rows_of(results: Sequence[MoveResult]) -> list[tuple[str, ...]]:
    """Return the measures of one scenario, site and policy."""
    if not results[0].is_bad:
        done = _proportion(
            results, lambda one: one.moved_in_time and one.state in ("completed", "baking")
        )
        wrongly = _proportion(results, lambda one: one.state != "taken_back")
        moved = [one for one in results if one.moved_s]
        rows: list[tuple[str, ...]] = [
            ("completed by the deadline", *done),
            ("not wrongly taken back", *wrongly),
        ]
        if moved:
            rows.append(("time to all requests, s", *_mean(moved, lambda one: one.moved_s)))
        return rows
    taken = _proportion(results, lambda one: one.state == "taken_back")
    shown = [one for one in results if one.shown_s and one.taken_back_s]
    measured: list[tuple[str, ...]] = [
        ("taken back", *taken),
        ("share of the requests in the move", *_mean(results, _share_in_move)),
        ("requests 2 s after it showed", *_mean(results, lambda one: one.new_requests_late)),
        ("runs with none of those", *_proportion(results, lambda one: not one.new_requests_late)),
        ("requests over the stage's share", *_mean(results, lambda one: one.over_share)),
    ]
    if shown:
        lag = _mean(shown, lambda one: max(0.0, one.taken_back_s - one.shown_s))
        measured.append(("shown to taken back, s", *lag))
    return measured


def table_of(results: Sequence[MoveResult]) -> str:
    """Return the text table of all runs."""
    groups: dict[tuple[str, str, str], list[MoveResult]] = defaultdict(list)
    for one in results:
        groups[(one.scenario, one.site, one.policy)].append(one)
    lines: list[tuple[str, ...]] = [_HEADINGS]
    for (scenario, site, policy), group in sorted(groups.items()):
        for row in _rows_of(sorted(group, key=lambda one: one.seed)):
            lines.append((scenario, site, policy, str(len(group)), *row))
    widths = [max(len(line[column]) for line in lines) for column in range(len(_HEADINGS))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def main() -> int:
    """Run what the command line asks for."""
    parser = argparse.ArgumentParser(prog="scripts/bench moves", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="runs of each case")
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
    jobs = [
        (scenario, site, policy, seed)
        for scenario in scenarios
        for site in sites
        for policy in policies
        for seed in range(options.seed, options.seed + options.seeds)
    ]
    results = []
    with Pool(options.workers) as pool:
        for result in pool.imap_unordered(_run, jobs):
            print(json.dumps(asdict(result)), flush=True)
            results.append(result)
    print(table_of(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
