"""The command line: `walkloom` or `python -m walkloom` with words. Without words nothing of this loads.

Each command is a module of its own, loaded when it is asked for. Exit codes: 0 done, 1 done and found
wanting, 2 unusable words or files (one line says why), 130 interrupted.
"""

from __future__ import annotations

from importlib import import_module
from importlib.metadata import PackageNotFoundError, version
from typing import NamedTuple

import click

EXIT_UNUSABLE_INPUT = 2


# `\b` is click's mark for a paragraph whose lines stay as they are
_HELP = """\
walkloom places long-lived connections on servers.

\b
walkloom demo                          see what it does
walkloom run --config config.json      serve
walkloom lab load 127.0.0.1:9000 -p 50:10

Without any word, `python -m walkloom` serves from the file that GW_CONFIG names: that is what the
platform starts. Completion for your shell: eval "$(_WALKLOOM_COMPLETE=bash_source walkloom)" (or
zsh, fish).

Exit codes: 0 done, 1 done and found wanting, 2 unusable words or files, 130 interrupted.
"""


class CommandEntry(NamedTuple):
    """A command that is listed without loading its module."""

    module: str
    summary: str


_COMMANDS = {
    "run": CommandEntry("walkloom.cli.run", "Serve as one balancer, from the platform's configuration."),
    "demo": CommandEntry(
        "walkloom.cli.demo", "Watch a small fleet live through a drain and a crash, on loopback."
    ),
    "import": CommandEntry(
        "walkloom.cli.imports", "Read Apache balancer and mod_jk files as a list of servers."
    ),
    "lab": CommandEntry("walkloom.cli.lab", "The laboratory's tools: load, and what follows."),
}


class UnusableInputError(click.ClickException):
    """Unusable input: one line on standard error, exit code 2."""

    exit_code = EXIT_UNUSABLE_INPUT

    def show(self, file: object = None) -> None:
        """Print the message on standard error."""
        click.echo(f"walkloom: {self.message}", err=True)


class LazyGroup(click.Group):
    """Commands by name; a module loads when its command runs, and not for the list of them."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return [*_COMMANDS]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Load a command; None where there is none of that name."""
        if cmd_name not in _COMMANDS:
            return None
        command = import_module(_COMMANDS[cmd_name].module).command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands from their summaries."""
        with formatter.section("Commands"):
            formatter.write_dl([(name, entry.summary) for name, entry in _COMMANDS.items()])


def _version() -> str:
    try:
        return version("walkloom")
    except PackageNotFoundError:
        return "from a checkout"


@click.group(cls=LazyGroup, help=_HELP, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="walkloom")
def main() -> None:
    """Run the command line."""
