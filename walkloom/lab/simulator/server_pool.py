"""The simulated servers of a run."""

from __future__ import annotations

from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.experiment import Experiment
from walkloom.lab.simulator.models import ModelClient, ModelServer

# A server accepts three times the connections that fully load it, so that overload shows as a load above 1.0
# long before the server is at its connection limit.
CONNECTION_LIMIT_PER_CAPACITY = 3


class ServerPool:
    """All servers of a run, including those that have drained or crashed."""

    def __init__(self, experiment: Experiment, queue: EventQueue) -> None:
        self.experiment = experiment
        self.queue = queue
        self.servers: dict[str, ModelServer] = {}

    def add(self, zone: int = 0, started_at_ms: float = 0.0) -> ModelServer:
        """Start another server."""
        server = ModelServer(
            id=f"s-{len(self.servers)}",
            connection_limit=self.experiment.server_capacity * CONNECTION_LIMIT_PER_CAPACITY,
            zone=zone,
            started_at_ms=started_at_ms,
        )
        self.servers[server.id] = server
        return server

    def utilization(self, server: ModelServer) -> float:
        """Return the load of a server over its current capacity.

        Both are shares of the full capacity. Here every server always has its full capacity; a subclass may
        reduce it.
        """
        return server.load

    def load_report(self, server: ModelServer) -> tuple[float, float, float] | None:
        """Return setups per second, connections and load; None if the server does not answer."""
        if not server.is_up:
            return None
        return (0.0, float(len(server.clients)), server.load)

    def receive_attempt(self, server: ModelServer) -> bool:
        """Handle the arrival of an attempt; return False if the server hangs and never answers.

        Only servers of a subclass can hang.
        """
        return True

    def attach(self, server: ModelServer, client: ModelClient) -> None:
        """Add a client's connection to a server."""
        server.clients[client.request_id] = client
        server.load += client.load

    def detach(self, server: ModelServer, client: ModelClient) -> None:
        """Remove a client's connection from a server."""
        del server.clients[client.request_id]
        if len(server.clients) < 2:
            # recomputed from the sum, so that rounding errors do not accumulate
            server.load = sum(each.load for each in server.clients.values())
        else:
            server.load -= client.load
