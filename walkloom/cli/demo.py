"""walkloom demo: the laboratory's demonstration on a screen, or as plain lines."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from rich.console import RenderableType

    from walkloom.lab.demo import View


@click.command("demo")
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(4.0, 600.0))
@click.option("--plain", is_flag=True, help="A line a second, without a screen; so also where there is none.")
@click.option("--seed", default=1, show_default=True)
def command(seconds: float, plain: bool, seed: int) -> None:
    """Start discovery, five stand-in servers, two balancers and eighty viewers on loopback, and watch them.

    One server drains, one crashes and comes back. Exit code 1 if a rule was broken on the way.
    """
    import trio
    from rich.console import Console
    from rich.live import Live

    from walkloom.lab.demo import Demo, summary

    console = Console()
    if plain or not console.is_terminal:
        said = [-1]

        def line(view: View) -> None:
            if int(view.at_s) > said[0]:
                said[0] = int(view.at_s)
                click.echo(_line(view))

        last = trio.run(Demo(seconds, line, seed).run)
        for event in last.events:
            click.echo(event)
    else:
        with Live(console=console, refresh_per_second=4) as live:
            last = trio.run(Demo(seconds, lambda view: live.update(_screen(view)), seed).run)
    for text in summary(last):
        click.echo(text)
    sys.exit(1 if last.faults else 0)


def _line(view: View) -> str:
    servers = " ".join(f"{row.name}:{row.state}:{row.connections}" for row in view.rows)
    return f"{view.at_s:5.1f} s  standing {view.figures.standing:3d}  {servers}"


def _screen(view: View) -> RenderableType:
    from rich.console import Group
    from rich.progress_bar import ProgressBar
    from rich.table import Table
    from rich.text import Text

    colours = {"up": "green", "draining": "yellow", "crashed": "red", "cold": "cyan"}
    table = Table(title=f"walkloom demo, {view.at_s:.0f} of {view.of_s:.0f} s", title_justify="left")
    for name in ("server", "state", "connections", "load", "", "set-ups"):
        table.add_column(name, justify="left" if name in ("server", "state", "") else "right")
    for row in view.rows:
        bar = ProgressBar(total=1.0, completed=min(row.load, 1.0), width=24)
        state = Text(row.state, colours.get(row.state, ""))
        table.add_row(row.name, state, str(row.connections), f"{row.load:.2f}", bar, str(row.setups))
    n = view.figures.counters
    balancers = ", ".join(f"{name} {count}" for name, count in view.balancers)
    told = Text(
        f"standing {view.figures.standing} (balancers: {balancers}); rules broken {len(view.faults)}\n"
        f"up {n.up}, refused {n.refused}, failed {n.failed}, moved {n.moved}, came back {n.returned}"
    )
    return Group(table, told, *(Text(event, "dim") for event in view.events))
