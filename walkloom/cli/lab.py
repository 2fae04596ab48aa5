"""walkloom lab ...: the laboratory's tools."""

from __future__ import annotations

import sys
from dataclasses import asdict
from pathlib import Path

import click

from walkloom.cli import Failure


@click.group("lab")
def command() -> None:
    """Measure what a balancer does. Everything stays on the addresses that you name."""


@command.command("load")
@click.argument("addresses", nargs=-1, required=True)
@click.option("-p", "--phase", "phases", multiple=True, required=True, metavar="RATE[-RATE]:SECONDS",
              help="New connections a second, and for how long; again for the next phase.")  # fmt: skip
@click.option("--life", default=10.0, show_default=True, help="Mean life of a connection, s.")
@click.option("--line-every", default=2.0, show_default=True, help="Seconds between two lines; 0: none.")
@click.option("--processes", default=1, show_default=True)
@click.option("--open-most", default=10_000, show_default=True, help="Most connections at a time.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write the figures there too.")
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
    """Open-loop load against ADDRESSES (host:port each): arrivals do not wait for answers.

    Delays count from the time at which something was to be sent. Exit code 1: the tool itself was too
    slow, and
    its figures say little of the balancer.
    """
    import orjson

    from walkloom.lab.load import Load, LoadError, Phase, Times, run

    try:
        asked = Load(addresses, tuple(map(Phase.parse, phases)), life, line_every, processes, open_most, seed)
    except LoadError as error:
        raise Failure(str(error)) from None
    report = run(asked)
    for name, figures in report.rows():
        click.echo(f"{name:<34} {figures}")
    if out:
        flat = {
            name: {f"p{p:g}": value.at(p) for p in (50, 90, 99, 99.9, 100)}
            if isinstance(value, Times)
            else value
            for name, value in vars(report).items()
        }
        Path(out).write_bytes(
            orjson.dumps({"load": asdict(asked), "report": flat}, option=orjson.OPT_INDENT_2)
        )
    if why := report.too_slow():
        click.echo(f"walkloom: not to be trusted: {why}", err=True)
        sys.exit(1)
