"""Samples the service that clients get."""

from __future__ import annotations

import numpy as np

from walkloom.lab.settings import CLASSES
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelClient, ModelServer
from walkloom.lab.simulator.request_lifecycle import RequestLifecycle
from walkloom.lab.simulator.result import Result
from walkloom.lab.simulator.server_pool import ServerPool

SAMPLE_INTERVAL_MS = 250.0  # well below the duration of the shortest fault


class ServiceMonitor:
    """Compares at fixed intervals the connections that are served with those that clients want."""

    def __init__(
        self, queue: EventQueue, servers: ServerPool, requests: RequestLifecycle, result: Result
    ) -> None:
        self.queue = queue
        self.servers = servers
        self.requests = requests
        self._result = result
        self._wanted_weight = 0.0
        self._served_weight = 0.0
        self._load_variations: list[float] = []

    def schedule_sample(self) -> None:
        """Schedule the next sample."""
        self.queue.schedule(self.queue.now_ms + SAMPLE_INTERVAL_MS, self.take_sample)

    def take_sample(self) -> None:
        """Take one sample, and schedule the next."""
        wanted_weight = sum(_priority_weight(client) for client in self.requests.active_clients)
        served_weight = 0.0
        loads = []
        for server in self.servers.servers.values():
            if not server.is_up or server.is_draining:
                continue
            loads.append(self.servers.utilization(server))
            weight = sum(_priority_weight(client) for client in server.clients.values())
            served_weight += weight * self.timely_share(server)
        self._record_sample(wanted_weight, served_weight, loads)
        self.schedule_sample()

    def _record_sample(self, wanted_weight: float, served_weight: float, loads: list[float]) -> None:
        self._wanted_weight += wanted_weight
        self._served_weight += served_weight
        if wanted_weight:
            self._result.worst_sample_share = min(
                self._result.worst_sample_share, served_weight / wanted_weight
            )
        self._result.peak_load = max(self._result.peak_load, max(loads, default=0.0))
        if loads and (mean := float(np.mean(loads))) > 0:
            self._load_variations.append(float(np.std(loads)) / mean)

    def timely_share(self, server: ModelServer) -> float:
        """Return the share of messages, from 0 to 1, that a server answers in time."""
        return min(1.0, 1.0 / server.load) if server.load > 0 else 1.0

    def record_averages(self) -> None:
        """Write the averages over all samples into the result."""
        self._result.served_share = self._served_weight / self._wanted_weight if self._wanted_weight else 1.0
        if self._load_variations:
            self._result.load_variation = float(np.mean(self._load_variations))


def _priority_weight(client: ModelClient) -> float:
    return CLASSES[client.request_class].priority_weight
