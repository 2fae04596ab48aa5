"""One balancer: connects its parts and runs them.

It handles no signals, so several balancers can run in one process; `__main__` handles signals for a process
with a single balancer.

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
from walkloom.shutdown import NEW_CONNECTIONS_END_AFTER_S, ShutdownSchedule
from walkloom.transport.descriptor_limit import DescriptorLimit

log = logging.getLogger("walkloom")

# How often a shutdown checks whether the last request has ended; short compared with the margins of the
# schedule.
IDLE_CHECK_INTERVAL_S = 0.05


class BalancerServer:
    """One balancer, from its start to its graceful shutdown.

    Public attributes:

    - conf: the configuration at the start.
    - engine: the engine of this balancer.
    - watcher: the watch on discovery.
    - address: the address to listen on; once it serves, with the actual port.
    """

    def __init__(self, conf: Config) -> None:
        """Create the parts; must be called inside a trio run."""
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
        # Set by `run`; `shut_down` starts the migration in it.
        self._nursery: trio.Nursery

    @classmethod
    async def serve(
        cls, conf: Config, quic: QuicConfig | None, task_status: trio.TaskStatus[BalancerServer]
    ) -> None:
        """Create a balancer and run it until cancelled; `task_status` receives it once it listens.

        quic: the settings of the QUIC frontend; None: the frontend is off.

        Raises ConfigError, within an exception group, if the address `listen` cannot be used.
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
            # Must finish before the balancer listens. Discovery counts its changes as known to a process from
            # its start, but the cached list may be older, and a client could be placed on an endpoint that
            # has since drained.
            await self.watcher.wait_until_ready()
            listeners = await nursery.start(accept, self._frontend, self.conf.listen)
            self.address = listeners[0].socket.getsockname()[:2]
            if quic:
                await self._start_quic(quic)
            log.info("listening name=%s address=%s:%d", self.conf.name, *self.address)
            task_status.started(self)

    async def _start_quic(self, quic: QuicConfig) -> None:
        # Imported only here: it needs a library that the line frontend does not use.
        from walkloom.frontends.quic.frontend import QuicFrontend

        await self._nursery.start(QuicFrontend(self.engine, quic).run)
        log.info("quic_listening address=%s:%d", *quic.listen)

    async def shut_down(self) -> None:
        """Shut down gracefully, following `ShutdownSchedule`; return when no client is left.

        The balancer keeps serving for a while, then migrates the open connections and answers the remaining
        requests. Its tasks are still running on return; the caller cancels them.
        """
        log.info("shutdown_started")
        self.watcher.report_calls()
        started_at = trio.current_time()
        schedule = ShutdownSchedule.for_longest_deadline(self.conf.longest)
        self._nursery.start_soon(
            self.engine.migrate_connections, schedule.migration_starts_after_s, schedule.migration_duration_s
        )
        with trio.move_on_after(schedule.final_answers_after_s):
            # Even if nothing is open, because new client connections keep arriving for a while.
            await trio.sleep(NEW_CONNECTIONS_END_AFTER_S)
            while not self.engine.idle:
                await trio.sleep(IDLE_CHECK_INTERVAL_S)
        # The policy must shut down first: a connection that is ended below asks it for the final answer.
        self.engine.shut_down()
        await self._frontend.connection_shutdown.shut_down(started_at + schedule.process_ends_after_s)
