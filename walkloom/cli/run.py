"""The command `walkloom run`: serves like `python -m walkloom`, with the configuration as an option."""

from __future__ import annotations

import os
import sys

import click


@click.command("run")
@click.option(
    "--config",
    "path",
    type=click.Path(dir_okay=False),
    help="Configuration file; default: the file that GW_CONFIG names.",
)
def command(path: str | None) -> None:
    """Serve as one balancer until SIGTERM; SIGHUP reloads the configuration (docs/oncall.md)."""
    from walkloom.__main__ import serve

    if path:
        os.environ["GW_CONFIG"] = path
    sys.exit(serve())
