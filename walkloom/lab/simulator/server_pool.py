"""The model servers of a simulation."""

from __future__ import annotations

from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.experiment import Experiment
from walkloom.lab.simulator.models import ModelClient, ModelServer

SLOTS_PER_CAPACITY = 3  # so overload shows as a load above 1.0 long before a server runs out of slots


class ServerPool:
    """All servers of a run, those that are gone included."""

    def __init__(self, experiment: Experiment, queue: EventQueue) -> None:
        self.experiment = experiment
        self.queue = queue
        self.servers: dict[str, ModelServer] = {}

    def add(self, zone: int = 0, started_at_ms: float = 0.0) -> ModelServer:
        """Start one more server."""
        server = ModelServer(
            id=f"s-{len(self.servers)}",
            slots=self.experiment.server_capacity * SLOTS_PER_CAPACITY,
            zone=zone,
            started_at_ms=started_at_ms,
        )
        self.servers[server.id] = server
        return server

    def utilization(self, server: ModelServer) -> float:
        """Return the load of a server over its present capacity."""
        return server.load

    def load_report(self, server: ModelServer) -> tuple[float, float, float] | None:
        """Return setups a second, connections and load; None where the server does not answer."""
        if not server.is_up:
            return None
        return (0.0, float(len(server.clients)), server.load)

    def receive_attempt(self, server: ModelServer) -> bool:
        """Count an attempt that reached a server; False where the server hangs and never answers."""
        return True

    def attach(self, server: ModelServer, client: ModelClient) -> None:
        """Add a client's connection to a server."""
        server.clients[client.request_id] = client
        server.load += client.load

    def detach(self, server: ModelServer, client: ModelClient) -> None:
        """Remove a client's connection from a server."""
        del server.clients[client.request_id]
        if len(server.clients) < 2:
            # summed anew, so that rounding errors do not pile up
            server.load = sum(each.load for each in server.clients.values())
        else:
            server.load -= client.load
