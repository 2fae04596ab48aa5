"""One balancer: wires its parts together and runs them.

It handles no signal, so that several balancers may run in one process; `__main__` does that for a process
with one.

The tasks of a balancer, all in one nursery: the engine's timers and latency monitor, the endpoint watcher,
the load report poller, and each frontend, which starts a task for each of its connections.
"""

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
from walkloom.shutdown import ACCEPT_S, ShutdownSchedule
from walkloom.transport.descriptor_limit import DescriptorLimit

log = logging.getLogger("walkloom")

# How often a shutdown looks whether the last request has ended; short against the margins of the schedule.
IDLE_CHECK_S = 0.05


class BalancerServer:
    """One balancer, from its start to its graceful shutdown.

    Attributes that others read:

    - conf: the configuration that it was started with.
    - engine: its engine.
    - watcher: its watch on discovery.
    - address: where it listens; once it serves, with the port that the system chose.
    """

    def __init__(self, conf: Config) -> None:
        """Create the parts; to be called inside a trio run."""
        self.conf = conf
        self.address = conf.listen
        self.engine = Engine(conf.settings, conf.seed)
        self.watcher = EndpointWatcher(self.engine, conf.discovery, conf.names)
        self.watcher.load_cached(conf.known, conf.known_age_s)
        descriptor_limit = DescriptorLimit(conf.sockets)
        self._frontend = LineFrontend(
            self.engine, self.watcher, conf.names, conf.connect_timeout, conf.longest, descriptor_limit
        )
        self._poller = LoadReportPoller(
            self.engine, self.watcher, conf.fields, descriptor_limit.load_report_connections
        )
        # Set by `run`; `shut_down` starts its migration there.
        self._nursery: trio.Nursery

    @classmethod
    async def serve(
        cls, conf: Config, quic: QuicConfig | None, task_status: trio.TaskStatus[BalancerServer]
    ) -> None:
        """Create a balancer and run it until cancelled; it is handed over once it listens.

        quic: the settings of the QUIC frontend; None: it is off.

        Raises ConfigError, within an exception group, where `listen` cannot be listened on.
        """
        await cls(conf).run(quic, task_status)

    async def run(self, quic: QuicConfig | None, task_status: trio.TaskStatus[BalancerServer]) -> None:
        """Run all tasks until cancelled; see `serve`."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.engine.run_timers)
            nursery.start_soon(self.engine.run_latency_monitor)
            nursery.start_soon(self.watcher.run)
            nursery.start_soon(self._poller.run)
            # Before it listens: discovery counts its changes as known to a process from its start, while the
            # cached list may be older, and a client could be placed on an endpoint that has since drained.
            await self.watcher.wait_until_ready()
            listeners = await nursery.start(accept, self._frontend, self.conf.listen)
            self.address = listeners[0].socket.getsockname()[:2]
            if quic:
                await self._start_quic(quic)
            log.info("listening name=%s address=%s:%d", self.conf.name, *self.address)
            task_status.started(self)

    async def _start_quic(self, quic: QuicConfig) -> None:
        # Imported only here: it needs a library that the line frontend does without.
        from walkloom.frontends.quic.frontend import QuicFrontend

        await self._nursery.start(QuicFrontend(self.engine, quic).run)
        log.info("quic_listening address=%s:%d", *quic.listen)

    async def shut_down(self) -> None:
        """Shut down gracefully, by the times of `ShutdownSchedule`; return when no client is left.

        The balancer serves on for a while, then migrates what is open, and answers what is left. Its tasks
        still run on return; the caller cancels them.
        """
        log.info("shutdown_started")
        self.watcher.report_calls()
        started_at = trio.current_time()
        schedule = ShutdownSchedule.of(self.conf.longest)
        self._nursery.start_soon(self.engine.migrate_connections, schedule.migrate_from, schedule.migrate_for)
        with trio.move_on_after(schedule.answer_by):
            # Also where nothing is open: new client connections keep coming for a while.
            await trio.sleep(ACCEPT_S)
            while not self.engine.idle:
                await trio.sleep(IDLE_CHECK_S)
        # The policy first: a connection that is cut short below asks it for its final answer.
        self.engine.shut_down()
        await self._frontend.connection_shutdown.shut_down(started_at + schedule.exit_by)
