"""One real balancer: python -m walkloom. It wires the parts together and handles signals."""

from __future__ import annotations

import logging
import signal
import sys
from importlib.util import find_spec
from pathlib import Path

import trio

from walkloom import config
from walkloom.core import Core
from walkloom.net.accept import accept
from walkloom.net.budget import Budget
from walkloom.net.probe import Prober
from walkloom.net.resolver import Resolver
from walkloom.net.rpc import Front
from walkloom.quic import settings as quic_settings
from walkloom.quic.settings import QuicConfig

log = logging.getLogger("walkloom")
# On a planned stop open RPCs move as late as is safe: another balancer may be starting meanwhile
LEAVE_WAIT_S, LEAVE_OVER_S, LEAVE_END_S = 2.0, 0.9, 0.4  # moves start, last; our end, before SIGKILL
LEAVE_FRESH_S = 0.5  # new channels may still come after SIGTERM
QUIC_FILE = Path("deploy/quic.toml")  # an operator's; without it the second front is off
KILL_S = 0.7  # SIGKILL comes so long after the longest deadline


async def run(conf: config.Config, quic: QuicConfig | None) -> None:
    core = Core(conf.settings, conf.seed)
    resolver = Resolver(core, conf.discovery, conf.names)
    resolver.known(conf.known)
    budget = Budget(conf.sockets)
    front = Front(core, resolver, conf.names, conf.connect_timeout, conf.longest, budget)
    with trio.open_signal_receiver(signal.SIGHUP, signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(core.keep_time)
            nursery.start_soon(core.keep_pulse)
            nursery.start_soon(resolver.run)
            nursery.start_soon(Prober(core, resolver, conf.fields, budget.probes).run)
            await nursery.start(accept, front, conf.listen)
            if quic:
                from walkloom.quic.front import (
                    QuicFront,  # needs a library that the platform's front does without
                )

                await nursery.start(QuicFront(core, quic).run)
                log.info("quic-listening address=%s:%d", *quic.listen)
            log.info("listening name=%s address=%s:%d", conf.name, *conf.listen)
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                reload(conf, resolver)
            log.info("leaving")
            nursery.start_soon(core.leave, LEAVE_WAIT_S, LEAVE_OVER_S)
            with trio.move_on_after(max(conf.longest / 1000.0, 3.0) + KILL_S - LEAVE_END_S):
                await trio.sleep(LEAVE_FRESH_S)  # new channels keep coming for a while
                while not core.idle:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
    log.info("left")


def reload(conf: config.Config, resolver: Resolver) -> None:
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
    resolver.move(new.discovery)


def main() -> int:
    # guards against a SIGHUP before the receiver stands or after it is gone, which would end the program
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        conf = config.load()
        quic = quic_settings.load(QUIC_FILE, conf.names)
        if quic and not find_spec("cryptography"):
            raise config.ConfigError(f"{QUIC_FILE} needs requirements-quic.txt")
    except config.ConfigError as error:
        log.error("config-unusable error=%r", str(error))
        return 2
    trio.run(run, conf, quic)
    return 0


if __name__ == "__main__":
    sys.exit(main())
