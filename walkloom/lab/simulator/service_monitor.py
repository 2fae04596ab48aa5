"""Samples of the service that clients get."""

from __future__ import annotations

import numpy as np

from walkloom.lab.settings import CLASSES
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelClient, ModelServer
from walkloom.lab.simulator.request_lifecycle import RequestLifecycle
from walkloom.lab.simulator.result import Result
from walkloom.lab.simulator.server_pool import ServerPool

SAMPLE_INTERVAL_MS = 250.0  # well below the shortest fault of an experiment


class ServiceMonitor:
    """Compares, at fixed intervals, the connections that are served with those that are wanted."""

    def __init__(
        self, queue: EventQueue, servers: ServerPool, requests: RequestLifecycle, result: Result
    ) -> None:
        self.queue = queue
        self.servers = servers
        self.requests = requests
        self._result = result
        self._wanted = 0.0
        self._served = 0.0
        self._load_variations: list[float] = []

    def start(self) -> None:
        """Schedule the first sample."""
        self.queue.schedule(self.queue.now_ms + SAMPLE_INTERVAL_MS, self.sample)

    def sample(self) -> None:
        """Take one sample, and schedule the next."""
        wanted = sum(_priority_weight(client) for client in self.requests.waiting_or_connected)
        served = 0.0
        loads = []
        for server in self.servers.servers.values():
            if not server.is_up or server.is_draining:
                continue
            loads.append(self.servers.utilization(server))
            weight = sum(_priority_weight(client) for client in server.clients.values())
            served += weight * self.timely_share(server)
        self._record(wanted, served, loads)
        self.start()

    def _record(self, wanted: float, served: float, loads: list[float]) -> None:
        self._wanted += wanted
        self._served += served
        if wanted:
            self._result.worst_sample_share = min(self._result.worst_sample_share, served / wanted)
        self._result.peak_load = max(self._result.peak_load, max(loads, default=0.0))
        if loads and (mean := float(np.mean(loads))) > 0:
            self._load_variations.append(float(np.std(loads)) / mean)

    def timely_share(self, server: ModelServer) -> float:
        """Return the share of messages that a server answers in time."""
        return min(1.0, 1.0 / server.load) if server.load > 0 else 1.0

    def finish(self) -> None:
        """Write the figures over all samples into the result."""
        self._result.served_share = self._served / self._wanted if self._wanted else 1.0
        if self._load_variations:
            self._result.load_variation = float(np.mean(self._load_variations))


def _priority_weight(client: ModelClient) -> float:
    return CLASSES[client.request_class].priority_weight
