"""Run the policy benchmark: ``scripts/bench policy --site burdekin --scenario burst``.

Standard output gets one JSON line for each run, standard error the table.
"""

import argparse
import json
import multiprocessing
import sys
from dataclasses import asdict

from benchmarks.policy._policies import POLICY_VARIANTS
from benchmarks.policy._report import RunRow, table
from benchmarks.policy._scenarios import SCENARIOS
from benchmarks.policy._simulation import Simulation
from benchmarks.policy._workload import SITES

_DEFAULT_SEEDS = 10
_DEFAULT_WORKERS = 3

_Job = tuple[str, str, str, int]


def _run(job: _Job) -> RunRow:
    site, scenario, policy, seed = job
    run = Simulation(SITES[site], SCENARIOS[scenario], POLICY_VARIANTS[policy], seed=seed)
    measures = run.run()
    measures["prefill_ratio"] = measures["prefill"] / max(1.0, measures["prefill_bound"])
    return RunRow(site, scenario, policy, seed, measures)


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="scripts/bench policy", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=_DEFAULT_SEEDS, help="number of seeds")
    parser.add_argument("--policy", action="append", choices=POLICY_VARIANTS)
    parser.add_argument("--scenario", action="append", choices=SCENARIOS)
    parser.add_argument("--site", action="append", choices=SITES)
    parser.add_argument("--workers", type=int, default=_DEFAULT_WORKERS)
    return parser.parse_args()


def main() -> None:
    """Run the cases selected on the command line."""
    arguments = _arguments()
    jobs = [
        (site, scenario, policy, seed)
        for site in arguments.site or SITES
        for scenario in arguments.scenario or SCENARIOS
        for policy in arguments.policy or POLICY_VARIANTS
        for seed in range(arguments.seed, arguments.seed + arguments.seeds)
    ]
    rows: list[RunRow] = []
    with multiprocessing.Pool(arguments.workers) as pool:
        for row in pool.imap(_run, jobs):
            rows.append(row)
            print(json.dumps(asdict(row)), flush=True)
    print(table(rows), file=sys.stderr)


if __name__ == "__main__":
    main()
