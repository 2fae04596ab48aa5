"""The command `walkloom run`: the same as the platform starts, with the file named by a word."""

from __future__ import annotations

import os
import sys

import click


@click.command("run")
@click.option(
    "--config", "path", type=click.Path(dir_okay=False), help="The configuration; else GW_CONFIG names it."
)
def command(path: str | None) -> None:
    """Serve as one balancer until SIGTERM; SIGHUP reads the file again (docs/oncall.md)."""
    from walkloom.__main__ import serve

    if path:
        os.environ["GW_CONFIG"] = path
    sys.exit(serve())
