"""The commands `walkloom lab ...`: the tools of the laboratory."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import click

from walkloom.cli import UnusableInputError

if TYPE_CHECKING:
    from walkloom.lab.simulator import Result

ROW_NAME_WIDTH = 34  # fits the longest row name of the load report, with a space or two
MAX_PRINTED_VIOLATIONS = 10  # one cause usually breaks a rule many times

SIMULATION_COLUMNS = (
    "servers",
    "balancers",
    "served",
    "worst 1/4 s",
    "refused",
    "moves",
    "peak load",
    "spread",
    "us a request",
    "simulated s a second",
    "faults",
)


@click.group("lab")
def command() -> None:
    """Measure and test balancers. Traffic goes only to the addresses given, or stays on this machine."""


@command.command("load")
@click.argument("addresses", nargs=-1, required=True)
@click.option(
    "-p",
    "--phase",
    "phases",
    multiple=True,
    required=True,
    metavar="RATE[-RATE]:SECONDS",
    help="New connections per second, and the duration; repeat the option for further phases.",
)
@click.option("--life", default=10.0, show_default=True, help="Mean lifetime of a connection, in seconds.")
@click.option(
    "--line-every",
    default=2.0,
    show_default=True,
    help="Seconds between two lines of a connection; 0: send none.",
)
@click.option("--processes", default=1, show_default=True)
@click.option("--open-most", default=10_000, show_default=True, help="Maximum number of open connections.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Also write the results to this file.")
def load(
    addresses: tuple[str, ...],
    phases: tuple[str, ...],
    life: float,
    line_every: float,
    processes: int,
    open_most: int,
    seed: int,
    out: str | None,
) -> None:
    """Generate open-loop load against ADDRESSES (host:port each): arrivals do not wait for answers.

    Delays are measured from the scheduled time of sending. Exit code 1: the tool itself was too slow, so its
    results do not reflect the balancer.
    """
    from walkloom.lab.load import LoadError, LoadOptions, Phase, run
    from walkloom.lab.load.json_file import write_json

    try:
        options = LoadOptions(
            addresses=addresses,
            phases=tuple(Phase.parse(text) for text in phases),
            mean_lifetime_s=life,
            line_interval_s=line_every,
            processes=processes,
            max_connections=open_most,
            seed=seed,
        )
    except LoadError as error:
        raise UnusableInputError(str(error)) from None
    report = run(options)
    for name, figures in report.rows():
        click.echo(f"{name:<{ROW_NAME_WIDTH}} {figures}")
    if out:
        write_json(Path(out), options, report)
    if reason := report.unreliability_reason():
        click.echo(f"walkloom: results are unreliable: {reason}", err=True)
        sys.exit(1)


@command.command("sim")
@click.option("--servers", multiple=True, default=(10,), show_default=True, type=click.IntRange(2, 20_000))
@click.option("--balancers", multiple=True, default=(3,), show_default=True, type=click.IntRange(1, 1000))
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(1.0, 3600.0))
@click.option("--rate", default=1.0, show_default=True, help="New connections per second for each server.")
@click.option("--seeds", default=1, show_default=True, type=click.IntRange(1, 1000))
@click.option("--processes", default=1, show_default=True, type=click.IntRange(1, 64))
def sim(
    servers: tuple[int, ...],
    balancers: tuple[int, ...],
    seconds: float,
    rate: float,
    seeds: int,
    processes: int,
) -> None:
    """Simulate large fleets with the real policy in virtual time; prints one row per size.

    Each row gives medians over the seeds. After a third of each run a tenth of the servers drains, at half
    one in twenty crashes, and at two thirds a tenth fails most set-ups for a while. Exit code 1: a rule was
    broken.
    """
    from walkloom.lab.simulator import Experiment, run_all

    sizes = [(server_count, balancer_count) for server_count in servers for balancer_count in balancers]
    experiments = [
        Experiment(*size, duration_s=seconds, connection_rate_per_server=rate, seed=seed)
        for size in sizes
        for seed in range(1, seeds + 1)
    ]
    results = run_all(experiments, processes)
    click.echo(_table_row(SIMULATION_COLUMNS))
    click.echo("|" + "---|" * len(SIMULATION_COLUMNS))
    for index, size in enumerate(sizes):
        size_results = results[index * seeds : (index + 1) * seeds]
        click.echo(_table_row([*map(str, size), *_simulation_figures(size_results, seconds)]))
    violations = [violation for result in results for violation in result.violations]
    for violation in violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"walkloom: {violation}", err=True)
    sys.exit(1 if violations else 0)


@command.command("soak")
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option(
    "--runs", default=1, show_default=True, type=click.IntRange(1, 1000), help="Number of consecutive seeds."
)
@click.option(
    "--parallel", default=2, show_default=True, type=click.IntRange(1, 16), help="Number of concurrent runs."
)
@click.option("--small", is_flag=True, help="Three processes and fewer requests per run, as in CI.")
@click.option(
    "--report", type=click.Path(file_okay=False), help="Write a timeline of each violation to this directory."
)
def soak(seed: int, runs: int, parallel: int, small: bool, report: str | None) -> None:
    """Run real balancers under seeded faults, checked against the records of the stand-ins.

    Prints a result for each seed. The same seed gives the same deployment, clients and faults. Exit code 1: a
    rule was broken.
    """
    from walkloom.lab.soak.campaign import run_seeds

    seeds = range(seed, seed + runs)
    folder = Path(report) if report else None
    violation_count = run_seeds(seeds, parallel=parallel, small=small, folder=folder, write_line=click.echo)
    sys.exit(1 if violation_count else 0)


def _table_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _simulation_figures(results: Sequence[Result], duration_s: float) -> list[str]:
    """Return the medians over the seeds of one size, in the order of SIMULATION_COLUMNS."""
    from statistics import median

    from walkloom.lab.simulator import RequestResult

    def share(count: int, result: Result) -> float:
        return count / max(result.connection_count, 1)

    return [
        f"{median(each.served_share for each in results):.3f}",
        f"{median(each.worst_sample_share for each in results):.3f}",
        f"{median(share(each.request_results[RequestResult.REJECTED], each) for each in results):.3f}",
        f"{median(share(each.migration_count, each) for each in results):.3f}",
        f"{median(each.peak_load for each in results):.2f}",
        f"{median(each.load_variation for each in results):.2f}",
        f"{median(each.policy_cpu_us_per_request for each in results):.0f}",
        f"{median(duration_s / each.wall_time_s for each in results):.2f}",
        f"{sum(each.violation_count for each in results)}",
    ]
