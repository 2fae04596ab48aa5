"""One balancer's parts, wired together; it knows no signal, so that several may stand in one process."""

from __future__ import annotations

import logging

import trio

from walkloom.config import Config
from walkloom.discovery.watcher import EndpointWatcher
from walkloom.engine.engine import Engine
from walkloom.frontends.line.listener import accept
from walkloom.frontends.line.request_lifecycle import LineFrontend
from walkloom.frontends.quic.settings import QuicConfig
from walkloom.load_reports.poller import LoadReportPoller
from walkloom.shutdown import FRESH_S, ShutdownSchedule
from walkloom.transport.descriptor_limit import DescriptorLimit

log = logging.getLogger("walkloom")


class BalancerServer:
    def __init__(self, conf: Config) -> None:
        """Inside a trio run."""
        self.conf = conf
        self.engine = Engine(conf.settings, conf.seed)
        self.watcher = EndpointWatcher(self.engine, conf.discovery, conf.names)
        self.watcher.load_cached(conf.known)
        self.address = conf.listen  # with the port that the system gave, once it serves
        self._nursery: trio.Nursery
        self._frontend: LineFrontend

    @classmethod
    async def serve(
        cls, conf: Config, quic: QuicConfig | None, task_status: trio.TaskStatus[BalancerServer]
    ) -> None:
        """Serves until cancelled; the server is handed over once it listens."""
        self = cls(conf)
        descriptor_limit = DescriptorLimit(conf.sockets)
        self._frontend = frontend = LineFrontend(
            self.engine, self.watcher, conf.names, conf.connect_timeout, conf.longest, descriptor_limit
        )
        async with trio.open_nursery() as self._nursery:
            nursery = self._nursery
            nursery.start_soon(self.engine.run_timers)
            nursery.start_soon(self.engine.run_latency_monitor)
            nursery.start_soon(self.watcher.run)
            most = descriptor_limit.load_report_connections
            nursery.start_soon(LoadReportPoller(self.engine, self.watcher, conf.fields, most).run)
            await self.watcher.wait_until_ready()
            (listener, *_) = await nursery.start(accept, frontend, conf.listen)
            self.address = listener.socket.getsockname()[:2]
            if quic:
                # needs a library that the platform's frontend does without
                from walkloom.frontends.quic.frontend import QuicFrontend

                await nursery.start(QuicFrontend(self.engine, quic).run)
                log.info("quic-listening address=%s:%d", *quic.listen)
            log.info("listening name=%s address=%s:%d", conf.name, *self.address)
            task_status.started(self)

    async def shut_down(self) -> None:
        """A planned stop: serves on for a while, moves what is open, and returns when nothing is left."""
        log.info("leaving")
        told_at, plan = trio.current_time(), ShutdownSchedule.of(self.conf.longest)
        self._nursery.start_soon(self.engine.migrate_connections, plan.migrate_from, plan.migrate_for)
        with trio.move_on_after(plan.answer_by):
            await trio.sleep(FRESH_S)  # new client connections keep coming for a while
            while not self.engine.idle:
                await trio.sleep(0.05)
        self.engine.shut_down()
        await self._frontend.connection_shutdown.shut_down(told_at + plan.exit_by)
