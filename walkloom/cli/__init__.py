"""The command line: `walkloom`, or `python -m walkloom` with arguments.

`python -m walkloom` without arguments serves as a balancer and does not import this package.

Each command is a module of its own, imported only when the command is used. Exit codes: 0 success,
1 completed but a check failed, 2 unusable arguments or files (with a message of one line), 130 interrupted.
"""

from __future__ import annotations

from importlib import import_module
from importlib.metadata import PackageNotFoundError, version
from typing import NamedTuple

import click

EXIT_UNUSABLE_INPUT = 2


# `\b` tells click not to rewrap the paragraph that follows
_HELP = """\
walkloom places long-lived connections on servers.

\b
walkloom demo                          watch a small fleet on loopback
walkloom run --config config.json      serve as a balancer
walkloom lab load 127.0.0.1:9000 -p 50:10

Without arguments, `python -m walkloom` serves with the configuration file that GW_CONFIG names; the
platform starts balancers this way. Shell completion: eval "$(_WALKLOOM_COMPLETE=bash_source walkloom)"
(or zsh_source, fish_source).

Exit codes: 0 success, 1 completed but a check failed, 2 unusable arguments or files, 130 interrupted.
"""


class CommandEntry(NamedTuple):
    """A command that can be listed without importing its module."""

    module: str
    summary: str


_COMMANDS = {
    "run": CommandEntry("walkloom.cli.run", "Serve as one balancer, with the platform's configuration."),
    "demo": CommandEntry(
        "walkloom.cli.demo", "Watch a small fleet on loopback go through a drain and a crash."
    ),
    "import": CommandEntry(
        "walkloom.cli.imports", "Convert Apache balancer and mod_jk files to an endpoint list."
    ),
    "lab": CommandEntry("walkloom.cli.lab", "Laboratory tools: load generator, simulator and soak test."),
}


class UnusableInputError(click.ClickException):
    """Unusable arguments or files: a message of one line on standard error, exit code 2."""

    exit_code = EXIT_UNUSABLE_INPUT

    def show(self, file: object = None) -> None:
        """Print the message on standard error."""
        click.echo(f"walkloom: {self.message}", err=True)


class LazyGroup(click.Group):
    """A command group that imports the module of a command only when the command is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return [*_COMMANDS]

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command; returns None if there is none of that name."""
        if cmd_name not in _COMMANDS:
            return None
        command = import_module(_COMMANDS[cmd_name].module).command
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands with their summaries."""
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
