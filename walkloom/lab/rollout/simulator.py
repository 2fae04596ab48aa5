"""One run of a release: connects the models and schedules the release."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import numpy as np

from walkloom.lab.rollout.balancer_pool import RolloutBalancerPool
from walkloom.lab.rollout.experiment import Rollout, RolloutResult
from walkloom.lab.rollout.monitor import RolloutMonitor
from walkloom.lab.rollout.server_pool import RolloutServerPool
from walkloom.lab.settings import CLASSES
from walkloom.lab.simulator.models import ModelClient, ModelServer
from walkloom.lab.simulator.result import RequestResult
from walkloom.lab.simulator.simulator import Simulator
from walkloom.lab.simulator.workload import draw_clients, draw_lifetimes_ms, draw_loads
from walkloom.messages import AttemptStatus, EndpointListUpdate, Lifecycle, Settings, UpdateKind

REPLACEMENT_DELAY_MS = 2500.0  # from the drain of a server to the start of the one that replaces it
HUNG_CONNECTION_TIMEOUT_MS = 4000.0  # after which a balancer resets the connections of a server that hangs
STEP_COUNT = 10  # servers are replaced, and balancers restarted, in this many steps
# Start times and intervals between steps, as shares of the run
REPLACEMENT_START_SHARE = 0.2
REPLACEMENT_STEP_SHARE = 0.04
RESTART_START_SHARE = 0.1
RESTART_STEP_SHARE = 0.06
HANG_TIME_SHARE = 0.1
MIGRATION_DELAY_MS = 2000.0  # from the start of a balancer's shutdown to the first migration
MIGRATION_SPREAD_MS = 900.0  # over which all its connections migrate, at uniformly random times
RESTART_DURATION_MS = 4000.0  # from the start of a balancer's shutdown to its new process


class RolloutSimulator(Simulator):
    """A run of one release."""

    experiment: Rollout
    result: RolloutResult
    servers: RolloutServerPool
    balancers: RolloutBalancerPool

    def __init__(self, experiment: Rollout) -> None:
        super().__init__(experiment)
        group_sizes = 1.0 / np.arange(1, experiment.group_count + 1)
        self._group_shares = group_sizes / group_sizes.sum()

    def _make_result(self) -> RolloutResult:
        return RolloutResult()

    def _make_settings(self) -> Settings:
        return replace(
            super()._make_settings(),
            zone_count=self.experiment.zone_count,
            affinity_groups=self.experiment.group_count > 0,
        )

    def _make_servers(self) -> RolloutServerPool:
        servers = RolloutServerPool(self.experiment, self.queue, self.settings, self.rules, self.result)
        for n in range(self.experiment.server_count):
            servers.add(zone=n % self.experiment.zone_count)
        return servers

    def _make_balancers(self) -> RolloutBalancerPool:
        return RolloutBalancerPool(
            self.settings, self.experiment.seed, self.queue, self.rules, self.result, self.random
        )

    def _make_monitor(self) -> RolloutMonitor:
        return RolloutMonitor(self.queue, self.servers, self.requests, self.result)

    # Clients

    def _draw_clients(self) -> Iterator[tuple[float, ModelClient]]:
        self._place_initial_connections()
        for arrives_at_ms, client in draw_clients(self.experiment, self.random):
            self._assign_zone_and_group(client)
            yield arrives_at_ms, client

    def _place_initial_connections(self) -> None:
        initial_clients = self._draw_initial_clients()
        initial_clients.sort(key=lambda client: client.affinity_group)
        servers = list(self.servers.servers.values())
        for n, client in enumerate(initial_clients):
            self.requests.adopt(client, servers[n * len(servers) // len(initial_clients)])

    def _draw_initial_clients(self) -> list[ModelClient]:
        count = self.experiment.initial_connections
        lifetimes_ms = draw_lifetimes_ms(self.experiment, self.random, count)
        loads = draw_loads(self.experiment, self.random, count)
        clients = []
        for n in range(count):
            client = ModelClient(
                request_class=n % len(CLASSES),
                tenant=0,
                load=float(loads[n]),
                wanted_until_ms=self.queue.now_ms + float(lifetimes_ms[n]),
            )
            self._assign_zone_and_group(client)
            clients.append(client)
        return clients

    def _assign_zone_and_group(self, client: ModelClient) -> None:
        client.zone = int(self.random.integers(self.experiment.zone_count))
        if self.experiment.group_count:
            group = int(self.random.choice(self.experiment.group_count, p=self._group_shares))
            client.affinity_group = 1 + group

    # The release

    def _schedule_faults(self) -> None:
        servers = list(self.servers.servers.values())
        shuffled_servers = [servers[n] for n in self.random.permutation(len(servers))]
        replaced_count = round(self.experiment.replaced_share * len(servers))
        for n in range(replaced_count):
            time_share = REPLACEMENT_START_SHARE + REPLACEMENT_STEP_SHARE * (STEP_COUNT * n // replaced_count)
            self.queue.schedule(
                self.start_time_ms + self.duration_ms * time_share, self._replace, shuffled_servers.pop()
            )
        for _ in range(round(self.experiment.hung_share * len(servers))):
            self.queue.schedule(
                self.start_time_ms + self.duration_ms * HANG_TIME_SHARE, self._hang, shuffled_servers.pop()
            )
        if self.experiment.restarts_balancers:
            self._schedule_restarts()

    def _schedule_restarts(self) -> None:
        balancer_count = len(self.balancers)
        for n, balancer in enumerate(self.random.permutation(balancer_count)):
            time_share = RESTART_START_SHARE + RESTART_STEP_SHARE * (STEP_COUNT * n // balancer_count)
            shutdown_at_ms = self.start_time_ms + self.duration_ms * time_share
            self.queue.schedule(shutdown_at_ms, self._shut_down_balancer, int(balancer))

    def _replace(self, server: ModelServer) -> None:
        self.drain(server)
        self.queue.schedule(self.queue.now_ms + REPLACEMENT_DELAY_MS, self._start_server, server.zone)

    def _start_server(self, zone: int) -> None:
        self.announce_lifecycle(self.servers.add(zone, self.queue.now_ms), Lifecycle.READY)

    def _hang(self, server: ModelServer) -> None:
        self.servers.server_states[server.id].is_hung = True
        resets_at_ms = self.queue.now_ms + HUNG_CONNECTION_TIMEOUT_MS
        for client in list(server.clients.values()):
            self._schedule_reconnect(resets_at_ms, client, AttemptStatus.CONNECTION_RESET)

    def _shut_down_balancer(self, balancer: int) -> None:
        """Stop new requests to a balancer, schedule the migration of its connections, and its restart."""
        self.balancers.shutting_down.add(balancer)
        now_ms = self.queue.now_ms
        for client in self.requests.get_clients_at(balancer):
            if client.connected_server is not None:
                spread_ms = float(self.random.uniform(0.0, MIGRATION_SPREAD_MS))
                migrates_at_ms = now_ms + (MIGRATION_DELAY_MS + spread_ms)
                self._schedule_reconnect(migrates_at_ms, client, AttemptStatus.CANCELLED)
        self.queue.schedule(now_ms + RESTART_DURATION_MS, self._restart_balancer, balancer)

    def _schedule_reconnect(self, time_ms: float, client: ModelClient, status: AttemptStatus) -> None:
        reconnect = self.requests.disconnect_and_reconnect
        self.queue.schedule(time_ms, reconnect, client, client.request_id, status)

    def _restart_balancer(self, balancer: int) -> None:
        for client in self.requests.get_clients_at(balancer):
            if client.connected_server is not None:
                self.requests.disconnect_and_reconnect(client, client.request_id, AttemptStatus.CANCELLED)
            elif not client.request_closed:
                self.requests.close_request(client, RequestResult.BALANCER_STOPPED)
        self.balancers.restart(balancer)
        self.balancers.shutting_down.discard(balancer)
        endpoints = tuple(server.endpoint() for server in self.servers.servers.values() if server.is_up)
        for kind in (UpdateKind.CACHED, UpdateKind.SNAPSHOT):
            self.balancers.notify(balancer, EndpointListUpdate(kind, endpoints))


def run(experiment: Rollout) -> RolloutResult:
    """Run one release in this process."""
    simulator = RolloutSimulator(experiment)
    simulator.run()
    return simulator.result
