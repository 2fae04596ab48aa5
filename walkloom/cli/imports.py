"""The command `walkloom import`: converts Apache balancer and mod_jk worker files to an endpoint list."""

from __future__ import annotations

import sys

import click

_HELP = (
    "Print the servers of FILES in the form of the configuration key `known`; "
    "settings that could not be converted are listed on standard error."
)


@click.command("import", help=_HELP)
@click.argument("files", nargs=-1, required=True, type=click.Path())
def command(files: tuple[str, ...]) -> None:
    """Import the files, and exit with the importer's exit code."""
    from walkloom.importers.parser import main

    sys.exit(main(list(files)))
