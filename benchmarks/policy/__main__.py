"""Run the benchmark of scheduling policies: ``scripts/bench policy --policy random --seeds 3``.

Every combination of site, scenario, policy and seed is one case, which is run once. A JSON line for
each run is printed on standard output, and a table of the means over seeds on standard error.
"""

import argparse
import json
import multiprocessing
import sys
from dataclasses import asdict

from benchmarks.policy._policies import POLICIES
from benchmarks.policy._report import RunRow, format_table
from benchmarks.policy._scenarios import SCENARIOS
from benchmarks.policy._simulation import Simulation
from benchmarks.policy._workload import SITES

_DEFAULT_SEEDS = 10
_DEFAULT_WORKERS = 3

_Case = tuple[str, str, str, int]


def _run(case: _Case) -> RunRow:
    site, scenario, policy, seed = case
    simulation = Simulation(SITES[site], SCENARIOS[scenario], POLICIES[policy], seed=seed)
    measures = simulation.run()
    # ``prefill_bound`` is the least number of prefill tokens that the requests need.
    measures["prefill_ratio"] = measures["prefill"] / max(1.0, measures["prefill_bound"])
    return RunRow(site, scenario, policy, seed, measures)


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="scripts/bench policy", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=_DEFAULT_SEEDS, help="number of seeds")
    parser.add_argument("--policy", action="append", choices=POLICIES)
    parser.add_argument("--scenario", action="append", choices=SCENARIOS)
    parser.add_argument("--site", action="append", choices=SITES)
    parser.add_argument("--workers", type=int, default=_DEFAULT_WORKERS)
    return parser.parse_args()


def main() -> None:
    """Run the cases selected on the command line."""
    arguments = _arguments()
    cases = [
        (site, scenario, policy, seed)
        for site in arguments.site or SITES
        for scenario in arguments.scenario or SCENARIOS
        for policy in arguments.policy or POLICIES
        for seed in range(arguments.seed, arguments.seed + arguments.seeds)
    ]
    rows: list[RunRow] = []
    with multiprocessing.Pool(arguments.workers) as pool:
        for row in pool.imap(_run, cases):
            rows.append(row)
            print(json.dumps(asdict(row)), flush=True)
    print(format_table(rows), file=sys.stderr)


if __name__ == "__main__":
    main()
