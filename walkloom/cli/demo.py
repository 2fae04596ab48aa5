"""The command `walkloom demo`: shows the demonstration on a live screen, or as plain lines."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from rich.console import RenderableType

    from walkloom.lab.demo import DemoView

SCREEN_REFRESH_PER_S = 4  # the rate of new views from the demonstration
LOAD_BAR_WIDTH = 24  # characters
STATE_COLOURS = {"up": "green", "draining": "yellow", "crashed": "red", "cold": "cyan"}


@click.command("demo")
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(4.0, 600.0))
@click.option(
    "--plain",
    is_flag=True,
    help="Print a line per second instead of a live screen; the default without a terminal.",
)
@click.option("--seed", default=1, show_default=True)
def command(seconds: float, plain: bool, seed: int) -> None:
    """Run discovery, five stub servers, two balancers and eighty clients on loopback, and watch them.

    One server drains; another crashes and restarts. Exit code 1 if a balancer broke a rule.
    """
    import trio
    from rich.console import Console
    from rich.live import Live

    from walkloom.lab.demo import Demo, summary

    console = Console()
    if plain or not console.is_terminal:
        printer = _LinePrinter()
        last_view = trio.run(Demo(seconds, printer.show, seed).run)
        for event in last_view.events:
            click.echo(event)
    else:
        with Live(console=console, refresh_per_second=SCREEN_REFRESH_PER_S) as live:
            last_view = trio.run(Demo(seconds, lambda view: live.update(render(view)), seed).run)
    for text in summary(last_view):
        click.echo(text)
    sys.exit(1 if last_view.violations else 0)


class _LinePrinter:
    """Prints one line per second of the demonstration."""

    def __init__(self) -> None:
        self._last_second = -1

    def show(self, view: DemoView) -> None:
        """Print a view, unless a line was already printed in the same second."""
        second = int(view.elapsed_s)
        if second > self._last_second:
            self._last_second = second
            click.echo(_line(view))


def _line(view: DemoView) -> str:
    servers = " ".join(f"{row.name}:{row.state}:{row.connections}" for row in view.servers)
    return f"{view.elapsed_s:5.1f} s  open sessions {view.figures.established:3d}  {servers}"


def render(view: DemoView) -> RenderableType:
    """Return a view as a table of servers, a summary of connections, and events."""
    from rich.console import Group
    from rich.text import Text

    counters = view.figures.counters
    balancers = ", ".join(f"{row.name} {row.open_requests}" for row in view.balancers)
    figures = Text(
        f"open sessions {view.figures.established} (balancers: {balancers}); "
        f"rule violations {len(view.violations)}\n"
        f"requests established {counters.established}, rejected {counters.rejected}, "
        f"failed {counters.failed}, migrated {counters.migrated}, reconnected {counters.reconnected}"
    )
    return Group(_server_table(view), figures, *(Text(event, "dim") for event in view.events))


def _server_table(view: DemoView) -> RenderableType:
    from rich.progress_bar import ProgressBar
    from rich.table import Table
    from rich.text import Text

    title = f"walkloom demo, {view.elapsed_s:.0f} of {view.duration_s:.0f} s"
    table = Table(title=title, title_justify="left")
    for name in ("server", "state", "connections", "load", "", "set-ups"):
        table.add_column(name, justify="left" if name in ("server", "state", "") else "right")
    for row in view.servers:
        bar = ProgressBar(total=1.0, completed=min(row.load, 1.0), width=LOAD_BAR_WIDTH)
        state = Text(row.state, STATE_COLOURS.get(row.state, ""))
        table.add_row(row.name, state, str(row.connections), f"{row.load:.2f}", bar, str(row.setup_count))
    return table
