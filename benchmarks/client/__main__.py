"""The command line of the client library's benchmarks."""

from __future__ import annotations

import argparse
import logging
import multiprocessing
from concurrent.futures import ProcessPoolExecutor

import benchmarks.client
from benchmarks.client import deadlines, fleet_scenarios, many_sessions

SCENARIO_PROCESS_COUNT = 2  # behaviours that run at the same time


def main() -> None:
    """Run all benchmarks, or the one that `--only` names."""
    parser = argparse.ArgumentParser(
        description=benchmarks.client.__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parser.add_argument("--tries", type=int, default=100_000, help="attempts on irregular balancers")
    parser.add_argument("--sessions", type=int, default=5_000, help="established sessions in one process")
    parser.add_argument("--only", choices=[*fleet_scenarios.SCENARIOS, "deadlines", "sessions"])
    options = parser.parse_args()
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    for scenario in fleet_scenarios.SCENARIOS:
        if options.only in (None, scenario):
            print(_run_scenario(scenario), flush=True)
    if options.only in (None, "deadlines"):
        print(deadlines.format_report(_measure_deadlines(options.tries)), flush=True)
    if options.only in (None, "sessions"):
        print("\n".join(many_sessions.measure_sessions(options.sessions)))


def _run_scenario(scenario: str) -> str:
    behaviours = fleet_scenarios.BEHAVIOURS
    with ProcessPoolExecutor(SCENARIO_PROCESS_COUNT, multiprocessing.get_context("spawn")) as pool:
        records = list(pool.map(fleet_scenarios.run_scenario, behaviours, [scenario] * len(behaviours)))
    return "\n".join(fleet_scenarios.format_table(scenario, dict(zip(behaviours, records, strict=True))))


def _measure_deadlines(attempts: int) -> deadlines.DeadlineReport:
    attempts_per_process = attempts // deadlines.PROCESS_COUNT + 1
    with ProcessPoolExecutor(deadlines.PROCESS_COUNT, multiprocessing.get_context("spawn")) as pool:
        reports = list(
            pool.map(
                deadlines.run_attempts,
                [attempts_per_process] * deadlines.PROCESS_COUNT,
                range(deadlines.PROCESS_COUNT),
            )
        )
    return deadlines.merge_reports(reports)


if __name__ == "__main__":
    main()
