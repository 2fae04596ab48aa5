"""One balancer's parts, wired together; it knows no signal, so that several may stand in one process."""

from __future__ import annotations

import logging
from dataclasses import dataclass

import trio

from walkloom.config import Config
from walkloom.discovery.watcher import Resolver
from walkloom.engine.engine import Core
from walkloom.frontends.line.listener import accept
from walkloom.frontends.line.request_lifecycle import Front
from walkloom.frontends.quic.settings import QuicConfig
from walkloom.load_reports.poller import Prober
from walkloom.transport.descriptor_limit import Budget

log = logging.getLogger("walkloom")
KILL_S, KILL_LONGEST_S = 0.7, 3.0  # SIGKILL comes so long after the longest deadline; that counts as at most
FRESH_S = 0.5  # new channels come for so long after SIGTERM: 0.4 s, and the way here
OVER_S, SPARE_S = 0.9, 0.4  # moves last so long; between the last and our end, and from that to SIGKILL


@dataclass(frozen=True, slots=True)
class Leaving:
    """When things happen on a planned stop, in seconds after SIGTERM. Open RPCs move as late as is safe:
    another balancer may be starting meanwhile."""

    start: float  # moves begin, and new requests are refused
    over: float  # moves last
    end: float  # every RPC that is left gets its answer
    gone: float  # the process has ended

    @classmethod
    def of(cls, longest: float) -> Leaving:
        """longest: the longest deadline of the settings, ms."""
        kill = min(longest / 1000.0, KILL_LONGEST_S) + KILL_S
        spare = min(SPARE_S, kill / 5)
        last = kill - 2 * spare
        start = max(last - OVER_S, min(FRESH_S, last / 2))
        return cls(start, last - start, kill - spare, kill - spare / 2)


class Instance:
    def __init__(self, conf: Config) -> None:
        """Inside a trio run."""
        self.conf = conf
        self.core = Core(conf.settings, conf.seed)
        self.resolver = Resolver(self.core, conf.discovery, conf.names)
        self.resolver.known(conf.known)
        self.address = conf.listen  # with the port that the system gave, once it serves
        self._nursery: trio.Nursery
        self._front: Front

    @classmethod
    async def serve(
        cls, conf: Config, quic: QuicConfig | None, task_status: trio.TaskStatus[Instance]
    ) -> None:
        """Serves until cancelled; the instance is told once it listens."""
        self = cls(conf)
        budget = Budget(conf.sockets)
        self._front = front = Front(
            self.core, self.resolver, conf.names, conf.connect_timeout, conf.longest, budget
        )
        async with trio.open_nursery() as self._nursery:
            nursery = self._nursery
            nursery.start_soon(self.core.keep_time)
            nursery.start_soon(self.core.keep_pulse)
            nursery.start_soon(self.resolver.run)
            nursery.start_soon(Prober(self.core, self.resolver, conf.fields, budget.probes).run)
            await self.resolver.started()
            (listener, *_) = await nursery.start(accept, front, conf.listen)
            self.address = listener.socket.getsockname()[:2]
            if quic:
                # needs a library that the platform's front does without
                from walkloom.frontends.quic.front import QuicFront

                await nursery.start(QuicFront(self.core, quic).run)
                log.info("quic-listening address=%s:%d", *quic.listen)
            log.info("listening name=%s address=%s:%d", conf.name, *self.address)
            task_status.started(self)

    async def leave(self) -> None:
        """A planned stop: serves on for a while, moves what is open, and returns when nothing is left."""
        log.info("leaving")
        told_at, plan = trio.current_time(), Leaving.of(self.conf.longest)
        self._nursery.start_soon(self.core.leave, plan.start, plan.over)
        with trio.move_on_after(plan.end):
            await trio.sleep(FRESH_S)  # new channels keep coming for a while
            while not self.core.idle:
                await trio.sleep(0.05)
        self.core.stop()
        await self._front.finish.end(told_at + plan.gone)
