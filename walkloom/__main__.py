"""One real balancer: python -m walkloom. It reads the configuration and handles signals."""

from __future__ import annotations

import logging
import signal
import sys
from collections.abc import AsyncIterator
from importlib.util import find_spec
from pathlib import Path

import trio

from walkloom import config
from walkloom.discovery.watcher import EndpointWatcher
from walkloom.frontends.quic import settings as quic_settings
from walkloom.frontends.quic.settings import QuicConfig
from walkloom.server import BalancerServer

log = logging.getLogger("walkloom")
QUIC_FILE = Path("deploy/quic.toml")  # an operator's; without it the second frontend is off


async def run(conf: config.Config, quic: QuicConfig | None, early: list[int]) -> None:
    """early: SIGHUPs that came before the receiver stood."""
    with trio.open_signal_receiver(signal.SIGHUP, signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            server: BalancerServer = await nursery.start(BalancerServer.serve, conf, quic)
            if early:
                reload(conf, server.watcher)
            stop = trio.Event()
            nursery.start_soon(heed, signals, conf, server.watcher, stop)
            await stop.wait()
            await server.shut_down()
            nursery.cancel_scope.cancel()
    log.info("left")


async def heed(
    signals: AsyncIterator[int], conf: config.Config, watcher: EndpointWatcher, stop: trio.Event
) -> None:
    """Takes signals to the end: one that nobody took would end the program as its receiver closes, with a
    status of its own."""
    async for number in signals:
        if number == signal.SIGHUP:
            reload(conf, watcher)
        else:
            stop.set()


def reload(conf: config.Config, watcher: EndpointWatcher) -> None:
    """SIGHUP: the watch moves to the discovery that the file names now; all else waits for a restart."""
    try:
        new = config.load()
    except (
        config.ConfigError
    ) as error:  # guards against a file that is missing or half written: the old holds
        log.error("reload-unusable error=%r", str(error))
        return
    log.info(
        "reload discovery=%s:%d restart-for=%s", *new.discovery, ",".join(conf.fixed_changes(new)) or "-"
    )
    watcher.change_discovery(new.discovery)


def main() -> int:
    """With words: the command line. Without: what the platform starts, and nothing of the command line
    loads."""
    if len(sys.argv) == 1:
        return serve()
    if not find_spec("click"):
        print("walkloom: the command line needs requirements-lab.txt", file=sys.stderr)
        return 2
    from walkloom import cli

    cli.main(prog_name="walkloom")
    return 0


def serve() -> int:
    # guards against a SIGHUP before the receiver stands or after it is gone, which would end the program, and
    # against a file that was replaced after it was read; until here the shell that runs this has it ignored
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        conf = config.load()
        quic = quic_settings.load(QUIC_FILE, conf.names)
        if quic and not find_spec("cryptography"):
            raise config.ConfigError(f"{QUIC_FILE} needs requirements-quic.txt")
    except config.ConfigError as error:
        log.error("config-unusable error=%r", str(error))
        return 2
    status = 0
    try:
        trio.run(run, conf, quic, early)
    except* config.ConfigError as errors:  # found only once it was to be used
        cause: BaseException = errors
        while isinstance(cause, BaseExceptionGroup):
            cause = cause.exceptions[0]
        log.error("config-unusable error=%r", str(cause))
        status = 2
    return status


if __name__ == "__main__":
    sys.exit(main())
