"""One run: connects the models and schedules the faults of the experiment."""

from __future__ import annotations

import time
from collections.abc import Iterator

import numpy as np

from walkloom.lab.simulator.action_handler import ActionHandler
from walkloom.lab.simulator.attempts import AttemptModel
from walkloom.lab.simulator.balancer_pool import BalancerPool
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.experiment import Experiment, policy_settings
from walkloom.lab.simulator.models import ModelClient, ModelServer
from walkloom.lab.simulator.request_lifecycle import RequestLifecycle
from walkloom.lab.simulator.result import Result
from walkloom.lab.simulator.rule_checker import RuleChecker
from walkloom.lab.simulator.server_pool import ServerPool
from walkloom.lab.simulator.service_monitor import ServiceMonitor
from walkloom.lab.simulator.workload import draw_clients
from walkloom.messages import AttemptStatus, EndpointListUpdate, Lifecycle, Settings, UpdateKind

MAX_DISCOVERY_JITTER_MS = 50.0  # between the times at which two balancers are notified of one change
# Times of the faults, as shares of the run
DRAIN_TIME_SHARE = 1 / 3
CRASH_TIME_SHARE = 1 / 2
FAILURE_TIME_SHARE = 2 / 3
FAILURE_DURATION_DIVISOR = 6  # a failure lasts for the duration of the run divided by this


class Simulator:
    """A run of one experiment.

    A subclass can replace the models: it overrides the `_make_...` methods. `__init__` calls each of them
    once, in the order in which they are defined.
    """

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.random = np.random.default_rng(experiment.seed)
        self.queue = EventQueue()
        self.duration_ms = experiment.duration_s * 1000.0
        self.start_time_ms = self.queue.now_ms
        self.end_time_ms = self.start_time_ms + self.duration_ms
        self.result = self._make_result()
        self.settings = self._make_settings()
        self.rules = RuleChecker(experiment.balancer_count, self.queue, self.result)
        self.servers = self._make_servers()
        self.balancers = self._make_balancers()
        self.requests = RequestLifecycle(
            self.queue, self.random, self.servers, self.balancers, self.rules, self.result
        )
        attempts = AttemptModel(
            self.queue, self.random, self.servers, self.balancers, self.requests, self.rules, self.result
        )
        actions = ActionHandler(
            self.queue, self.servers, self.balancers, self.requests, attempts, self.result
        )
        self.balancers.on_action = actions.handle
        self.monitor = self._make_monitor()

    def _make_result(self) -> Result:
        return Result()

    def _make_settings(self) -> Settings:
        return policy_settings(self.experiment)

    def _make_servers(self) -> ServerPool:
        servers = ServerPool(self.experiment, self.queue)
        for _ in range(self.experiment.server_count):
            servers.add()
        return servers

    def _make_balancers(self) -> BalancerPool:
        return BalancerPool(
            self.settings, self.experiment.seed, self.queue, self.rules, self.result, self.random
        )

    def _make_monitor(self) -> ServiceMonitor:
        return ServiceMonitor(self.queue, self.servers, self.requests, self.result)

    def run(self) -> Result:
        """Simulate the whole run, and return its measurements."""
        started_at_s = time.perf_counter()
        self._send_initial_endpoint_lists()
        for arrives_at_ms, client in self._draw_clients():
            self.queue.schedule(arrives_at_ms, self.requests.start_request, client)
            self.result.connection_count += 1
        self._schedule_faults()
        self.monitor.schedule_sample()
        self.queue.run_until(self.end_time_ms)
        self.monitor.record_averages()
        started_requests = max(self.requests.request_count, 1)
        self.result.policy_cpu_us_per_request = self.balancers.policy_cpu_s / started_requests * 1e6
        self.result.wall_time_s = time.perf_counter() - started_at_s
        return self.result

    def _send_initial_endpoint_lists(self) -> None:
        endpoints = tuple(server.endpoint() for server in self.servers.servers.values())
        for balancer in range(len(self.balancers)):
            self.balancers.notify(balancer, EndpointListUpdate(UpdateKind.CACHED, endpoints))
            self.balancers.notify(balancer, EndpointListUpdate(UpdateKind.SNAPSHOT, endpoints))

    def _draw_clients(self) -> Iterator[tuple[float, ModelClient]]:
        return draw_clients(self.experiment, self.random)

    # Faults

    def _schedule_faults(self) -> None:
        servers = list(self.servers.servers.values())
        shuffled_servers = [servers[n] for n in self.random.permutation(len(servers))]
        for share, time_share, fault in (
            (self.experiment.drained_share, DRAIN_TIME_SHARE, self.drain),
            (self.experiment.crashed_share, CRASH_TIME_SHARE, self._crash),
            (self.experiment.failing_share, FAILURE_TIME_SHARE, self._fail),
        ):
            for _ in range(round(share * len(servers))):
                self.queue.schedule(
                    self.start_time_ms + self.duration_ms * time_share, fault, shuffled_servers.pop()
                )

    def announce_lifecycle(self, server: ModelServer, lifecycle: Lifecycle) -> None:
        """Let discovery notify all balancers of a server's new lifecycle state, after its delay."""
        endpoint = server.endpoint()._replace(lifecycle=lifecycle)
        update = EndpointListUpdate(UpdateKind.INCREMENTAL, (endpoint,))
        for balancer in range(len(self.balancers)):
            jitter_ms = float(self.random.uniform(0.0, MAX_DISCOVERY_JITTER_MS))
            notified_at_ms = self.queue.now_ms + (self.experiment.discovery_delay_ms + jitter_ms)
            self.queue.schedule(notified_at_ms, self.balancers.notify, balancer, update)

    def drain(self, server: ModelServer) -> None:
        """Shut a server down gracefully: it closes all connections at once, and its clients reconnect."""
        server.is_draining = True
        self.announce_lifecycle(server, Lifecycle.DRAINING)
        self.requests.disconnect_all(server, AttemptStatus.CANCELLED)

    def _crash(self, server: ModelServer) -> None:
        server.is_up = False
        self.announce_lifecycle(server, Lifecycle.REMOVED)
        self.requests.disconnect_all(server, AttemptStatus.CONNECTION_RESET)

    def _fail(self, server: ModelServer) -> None:
        server.is_failing = True
        recovers_at_ms = self.queue.now_ms + self.duration_ms / FAILURE_DURATION_DIVISOR
        self.queue.schedule(recovers_at_ms, self._recover, server)

    def _recover(self, server: ModelServer) -> None:
        server.is_failing = False
