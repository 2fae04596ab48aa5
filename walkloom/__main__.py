"""One balancer as a process: `python -m walkloom`.

It reads the configuration, turns signals into a reload or a graceful shutdown, and sets the exit status.

Exit statuses: 0 after a graceful shutdown; 2 where the configuration cannot be used, or where the command
line lacks a library or its words are wrong.
"""

from __future__ import annotations

import logging
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from importlib.util import find_spec
from pathlib import Path

import trio

from walkloom import config, process_start
from walkloom.config import Config, ConfigError
from walkloom.discovery.watcher import EndpointWatcher
from walkloom.frontends.quic import settings as quic_settings
from walkloom.frontends.quic.settings import QuicConfig
from walkloom.log_output import NonBlockingLogHandler
from walkloom.server import BalancerServer

log = logging.getLogger("walkloom")

# The operator's file of the QUIC frontend; without it that frontend is off.
QUIC_FILE = Path("deploy/quic.toml")

# As click and argparse use it for wrong usage.
EXIT_UNUSABLE = 2


@dataclass(frozen=True, slots=True)
class _StartConfig:
    """All that is read before the start."""

    balancer: Config

    # None: the QUIC frontend is off.
    quic: QuicConfig | None


async def run(conf: Config, quic: QuicConfig | None, early_sighups: list[int]) -> None:
    """Run one balancer until SIGTERM or SIGINT.

    early_sighups: the SIGHUPs that came before this function receives signals.
    """
    with trio.open_signal_receiver(signal.SIGHUP, signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            server: BalancerServer = await nursery.start(BalancerServer.serve, conf, quic)
            if early_sighups:
                reload_config(conf, server.watcher)
            stop = trio.Event()
            nursery.start_soon(handle_signals, signals, conf, server.watcher, stop)
            await stop.wait()
            await server.shut_down()
            nursery.cancel_scope.cancel()
    log.info("shutdown_finished")


async def handle_signals(
    signals: AsyncIterator[int], conf: Config, watcher: EndpointWatcher, stop: trio.Event
) -> None:
    """Reload on SIGHUP and set `stop` on SIGTERM and SIGINT, until cancelled.

    It goes on during a shutdown: trio raises a signal that nobody received again as its receiver closes, and
    that would end the process with the signal's exit status.
    """
    async for number in signals:
        if number == signal.SIGHUP:
            reload_config(conf, watcher)
        else:
            stop.set()


def reload_config(conf: Config, watcher: EndpointWatcher) -> None:
    """Read the configuration again and move the watch to the discovery that it names.

    All other changes wait for a restart, and the log names them. A file that is missing or half written
    changes nothing.
    """
    try:
        new = config.load()
    except ConfigError as error:
        log.error("reload_failed error=%r", str(error))
        return
    restart_for = ",".join(conf.fixed_changes(new)) or "-"
    log.info("configuration_reloaded discovery=%s:%d restart_for=%s", *new.discovery, restart_for)
    watcher.change_discovery(new.discovery)


def main() -> int:
    """Run the command line, or without arguments one balancer; return the exit status.

    Without arguments, as the platform starts it, nothing of the command line is loaded.
    """
    if len(sys.argv) == 1:
        return serve()
    if not find_spec("click"):
        print("walkloom: the command line needs requirements-lab.txt", file=sys.stderr)
        return EXIT_UNUSABLE
    from walkloom import cli

    cli.main(prog_name="walkloom")
    return 0


def serve() -> int:
    """Run one balancer as this process until a signal ends it; return the exit status."""
    early_sighups = _collect_sighups()
    logging.basicConfig(handlers=[NonBlockingLogHandler(sys.stderr.fileno())], level=logging.INFO)
    try:
        start = _load_start_config()
    except ConfigError as error:
        log.error("configuration_invalid error=%r", str(error))
        return EXIT_UNUSABLE
    status = 0
    try:
        trio.run(run, start.balancer, start.quic, early_sighups)
    except* ConfigError as errors:
        # What shows only in use, such as an address that cannot be listened on.
        log.error("configuration_invalid error=%r", str(_first_error(errors)))
        status = EXIT_UNUSABLE
    return status


def _collect_sighups() -> list[int]:
    """Replace the default action of SIGHUP, and return the list to which those that come are added.

    To be called first. The default action would end the process on a SIGHUP before `run` receives signals or
    after it has ceased to. Before that the shell that starts the process has SIGHUP ignored. The list also
    shows that the file was replaced after it was read.
    """
    sighups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _frame: sighups.append(number))
    return sighups


def _load_start_config() -> _StartConfig:
    """Read all configuration files; raises ConfigError."""
    balancer = replace(config.load(), known_age_s=process_start.age_s())
    quic = quic_settings.load(QUIC_FILE, balancer.names)
    if quic and not find_spec("cryptography"):
        raise ConfigError(f"{QUIC_FILE} needs requirements-quic.txt")
    return _StartConfig(balancer, quic)


def _first_error(error: BaseException) -> BaseException:
    """Return the first error inside nested exception groups, which trio's nurseries raise."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


if __name__ == "__main__":
    sys.exit(main())
