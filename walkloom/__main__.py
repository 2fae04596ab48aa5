"""Runs one balancer as a process: `python -m walkloom`.

Reads the configuration, handles signals by a reload or a graceful shutdown, and sets the exit status.

Exit statuses: 0 after a graceful shutdown; 2 if the configuration is invalid, a library for the command line
is missing, or the command line arguments are wrong.
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

# The operator's configuration file for the QUIC frontend; without it that frontend is off.
QUIC_FILE = Path("deploy/quic.toml")

# click and argparse use the same status for usage errors.
EXIT_USAGE_ERROR = 2


@dataclass(frozen=True, slots=True)
class _StartConfig:
    """All configuration that is read before the start."""

    balancer: Config

    # None: the QUIC frontend is off.
    quic: QuicConfig | None


async def run(conf: Config, quic: QuicConfig | None, early_sighups: list[int]) -> None:
    """Run one balancer until SIGTERM or SIGINT.

    early_sighups: the SIGHUPs that arrived before this function began to receive signals.
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

    This must keep running during a shutdown. When its receiver closes, trio raises again any signal that was
    not received, and that would end the process with the signal's exit status.
    """
    async for number in signals:
        if number == signal.SIGHUP:
            reload_config(conf, watcher)
        else:
            stop.set()


def reload_config(conf: Config, watcher: EndpointWatcher) -> None:
    """Read the configuration again and switch the watch to the discovery that it names.

    All other changes take effect only after a restart; the log names them. A missing or half-written file
    changes nothing.
    """
    try:
        new = config.load()
    except ConfigError as error:
        log.error("reload_failed error=%r", str(error))
        return
    restart_for = ",".join(conf.restart_only_changes(new)) or "-"
    log.info("configuration_reloaded discovery=%s:%d restart_for=%s", *new.discovery, restart_for)
    watcher.change_discovery(new.discovery)


def main() -> int:
    """Run the command line, or one balancer if there are no arguments; return the exit status.

    The platform starts the program without arguments; the command line modules are then not loaded.
    """
    if len(sys.argv) == 1:
        return serve()
    if not find_spec("click"):
        print("walkloom: the command line needs the packages in requirements-lab.txt", file=sys.stderr)
        return EXIT_USAGE_ERROR
    from walkloom import cli

    cli.main(prog_name="walkloom")
    return 0


def serve() -> int:
    """Run one balancer as this process until a signal ends it; return the exit status."""
    early_sighups = _collect_sighups()
    logging.basicConfig(handlers=[NonBlockingLogHandler(sys.stderr.fileno())], level=logging.INFO)
    try:
        start_config = _load_start_config()
    except ConfigError as error:
        log.error("configuration_invalid error=%r", str(error))
        return EXIT_USAGE_ERROR
    status = 0
    try:
        trio.run(run, start_config.balancer, start_config.quic, early_sighups)
    except* ConfigError as errors:
        # Errors that appear only at run time, such as an address that cannot be listened on.
        log.error("configuration_invalid error=%r", str(_first_error(errors)))
        status = EXIT_USAGE_ERROR
    return status


def _collect_sighups() -> list[int]:
    """Install a SIGHUP handler and return the list to which it appends each SIGHUP.

    Call this first. The default action would end the process on a SIGHUP that arrives before `run` receives
    signals or after it has stopped receiving them. Until this call, SIGHUP is ignored, as set by the shell
    that starts the process. The list also shows that the file was replaced after it was read.
    """
    sighups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _frame: sighups.append(number))
    return sighups


def _load_start_config() -> _StartConfig:
    """Read all configuration files; raises ConfigError."""
    balancer = replace(config.load(), known_age_s=process_start.age_s())
    quic = quic_settings.load(QUIC_FILE, balancer.names)
    if quic and not find_spec("cryptography"):
        raise ConfigError(f"{QUIC_FILE}: the QUIC frontend needs the packages in requirements-quic.txt")
    return _StartConfig(balancer, quic)


def _first_error(error: BaseException) -> BaseException:
    """Return the first error inside nested exception groups, such as trio's nurseries raise."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


if __name__ == "__main__":
    sys.exit(main())
