"""What servers that come back cold get, in the simulator: `python -m benchmarks.cold_recovery [SEEDS]`.

Prints for each case the most attempts in one window over what overloads a cold server, and its share: its
attempts over those that its present capacity would give it.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from dataclasses import replace
from multiprocessing import Pool
from statistics import mean

from walkloom.lab.rollout.recovery import Recovery, RecoveryResult, run

DEFAULT_SEEDS = 16
PROCESSES = 4
# Servers that 68 connections fill and that warm up slowly; a list is that of a small fleet.
SLOW = Recovery(
    server_count=10,
    balancer_count=30,
    server_capacity=68,
    duration_s=27.0,
    mean_lifetime_s=35.0,
    connection_rate_per_server=0.0,
    initial_connections=200,
    group_count=64,
    group_cost=0.0,
)
SLOW_FLEET = replace(SLOW, server_count=60, balancer_count=200, initial_connections=700)
# Servers that 32 connections fill and that warm up quickly.
QUICK = replace(
    SLOW,
    server_capacity=32,
    slow_start_min_capacity=0.37,
    slow_start_ms=7700.0,
    cold_overload_factor=4.0,
    cold_overload_window_ms=1000.0,
    duration_s=12.0,
    burst_duration_ms=900.0,
)
STEADY = replace(SLOW, connection_rate_per_server=0.97, initial_connections=340)
STEADY_FLEET = replace(STEADY, server_count=60, balancer_count=200, initial_connections=2040, group_count=300)
FULL_FLEET = replace(
    STEADY_FLEET, connection_rate_per_server=1.17, initial_connections=2450, recovering_servers=18
)
CASES = {
    "quiet, one group, 30 balancers": replace(SLOW, burst_clients=60),
    "quiet, one group, 200 balancers": replace(SLOW_FLEET, burst_clients=60),
    "quiet, 400 clients of one group, 200 balancers": replace(SLOW_FLEET, burst_clients=400),
    "late, one group, 200 balancers": replace(SLOW_FLEET, burst_clients=60, burst_at_ms=22_000.0),
    "late, 400 clients of one group, 200 balancers": replace(
        SLOW_FLEET, burst_clients=400, burst_at_ms=22_000.0
    ),
    "long, 300 clients of one group": replace(SLOW, burst_clients=300, burst_duration_ms=9000.0),
    "quick servers, one group, 200 balancers": replace(
        QUICK, server_count=60, balancer_count=200, burst_clients=60, burst_at_ms=10_500.0
    ),
    "quick servers, 200 clients of one group": replace(QUICK, burst_clients=200, burst_at_ms=10_500.0),
    "no groups, 30 balancers": replace(SLOW, burst_clients=200, burst_has_groups=False, group_count=0),
    "three balancers, late": replace(STEADY, balancer_count=3, burst_clients=300, burst_at_ms=20_000.0),
    "no load reports, late": replace(STEADY, load_reports=False, burst_clients=300, burst_at_ms=20_000.0),
    "steady, groups, 30 balancers": STEADY,
    "steady, no groups, 30 balancers": replace(STEADY, group_count=0),
    "steady, groups, 200 balancers": STEADY_FLEET,
    "steady, no groups, 200 balancers": replace(STEADY_FLEET, group_count=0),
    "three in ten cold, groups, 200 balancers": FULL_FLEET,
    "overload, no groups, 200 balancers": replace(
        STEADY_FLEET, group_count=0, connection_rate_per_server=2.33, initial_connections=4900
    ),
}


def main() -> None:
    """Play all cases with the seeds 1 to SEEDS and print one row for each."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    print("| case | overload: mean, most | runs overloaded | share | served |\n|---|---|---|---|---|")
    with Pool(PROCESSES) as pool:
        for name, experiment in CASES.items():
            results = pool.map(run, [replace(experiment, seed=seed) for seed in range(1, seeds + 1)])
            print(f"| {name} | {_figures(results)} |", flush=True)


def _figures(results: Iterable[RecoveryResult]) -> str:
    runs = list(results)
    peaks = [result.cold_server_peak for result in runs]
    attempts = sum(result.cold_server_attempts for result in runs)
    fair_attempts = sum(result.cold_server_fair_attempts for result in runs)
    overloaded = sum(bool(result.violations) for result in runs)
    served = mean(result.served_share for result in runs)
    return (
        f"{mean(peaks):.2f}, {max(peaks):.2f} | {overloaded} of {len(runs)} | "
        f"{attempts / fair_attempts:.2f} | {served:.3f}"
    )


if __name__ == "__main__":
    main()
