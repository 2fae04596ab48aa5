"""The command line of the client's benchmark."""

from __future__ import annotations

import argparse
import logging
import multiprocessing
from concurrent.futures import ProcessPoolExecutor

import benchmarks.client
from benchmarks.client import deadlines, fleet_scenarios, many_sessions

SCENARIO_PROCESSES = 2  # behaviours played side by side


def main() -> None:
    """Run all parts, or the one that `--only` names."""
    parser = argparse.ArgumentParser(
        description=benchmarks.client.__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--tries", type=int, default=100_000, help="attempts against irregular balancers")
    parser.add_argument("--sessions", type=int, default=5_000, help="established sessions in one process")
    parser.add_argument("--only", choices=[*fleet_scenarios.SCENARIOS, "deadlines", "sessions"])
    options = parser.parse_args()
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    for scenario in fleet_scenarios.SCENARIOS:
        if options.only in (None, scenario):
            print(_scenario_table(scenario), flush=True)
    if options.only in (None, "deadlines"):
        print(deadlines.describe(_deadlines(options.tries)), flush=True)
    if options.only in (None, "sessions"):
        print("\n".join(many_sessions.play(options.sessions)))


def _scenario_table(scenario: str) -> str:
    behaviours = fleet_scenarios.BEHAVIOURS
    with ProcessPoolExecutor(SCENARIO_PROCESSES, multiprocessing.get_context("spawn")) as pool:
        records = list(pool.map(fleet_scenarios.play, behaviours, [scenario] * len(behaviours)))
    return "\n".join(fleet_scenarios.table(scenario, dict(zip(behaviours, records, strict=True))))


def _deadlines(attempts: int) -> deadlines.DeadlineReport:
    attempts_each = attempts // deadlines.PROCESSES + 1
    with ProcessPoolExecutor(deadlines.PROCESSES, multiprocessing.get_context("spawn")) as pool:
        parts = list(
            pool.map(deadlines.play, [attempts_each] * deadlines.PROCESSES, range(deadlines.PROCESSES))
        )
    return deadlines.merge(parts)


if __name__ == "__main__":
    main()
