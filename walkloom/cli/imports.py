"""The command `walkloom import`: Apache's balancer and mod_jk's worker files as a list of servers."""

from __future__ import annotations

import sys

import click

_HELP = (
    "Print the servers of FILES in the form of `known`; "
    "what could not be carried over goes to standard error."
)


@click.command("import", help=_HELP)
@click.argument("files", nargs=-1, required=True, type=click.Path())
def command(files: tuple[str, ...]) -> None:
    """Import the files, and exit with the importer's code."""
    from walkloom.importers.parser import main

    sys.exit(main(list(files)))
