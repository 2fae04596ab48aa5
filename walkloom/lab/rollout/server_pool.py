"""The model servers of a release."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from walkloom.lab.rollout.experiment import Rollout, RolloutResult
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelClient, ModelServer
from walkloom.lab.simulator.rule_checker import RuleChecker
from walkloom.lab.simulator.server_pool import ServerPool
from walkloom.messages import Settings


class LoadReport(NamedTuple):
    """A load report of a server, and when it was measured."""

    time_ms: float
    connections: float
    load: float


@dataclass(eq=False, slots=True)
class ServerDetails:
    """What a server of a release has beside its connections."""

    # connections of each affinity group that it holds any of
    group_connections: Counter[int] = field(default_factory=Counter)
    load_reports: list[LoadReport] = field(default_factory=list)
    recent_attempts_ms: list[float] = field(default_factory=list)
    # seconds of work that wait
    backlog_s: float = 0.0
    is_hung: bool = False


class RolloutServerPool(ServerPool):
    """Servers that start cold, need capacity for each affinity group, report late and may hang."""

    def __init__(
        self,
        experiment: Rollout,
        queue: EventQueue,
        settings: Settings,
        rules: RuleChecker,
        result: RolloutResult,
    ) -> None:
        super().__init__(experiment, queue)
        self.details: dict[str, ServerDetails] = {}
        self._rollout = experiment
        self._settings = settings
        self._rules = rules
        self._result = result

    def add(self, zone: int = 0, started_at_ms: float = 0.0) -> ModelServer:
        """Start one more server; cold, if it has a start time."""
        server = super().add(zone, started_at_ms)
        self.details[server.id] = ServerDetails()
        return server

    def server_group_pairs(self) -> int:
        """Count the pairs of a server and a group that it holds connections of."""
        return sum(len(details.group_connections) for details in self.details.values())

    def attach(self, server: ModelServer, client: ModelClient) -> None:
        """Add a client's connection to a server and to its affinity group there."""
        super().attach(server, client)
        if client.affinity_group:
            self.details[server.id].group_connections[client.affinity_group] += 1

    def detach(self, server: ModelServer, client: ModelClient) -> None:
        """Remove a client's connection from a server and from its affinity group there."""
        super().detach(server, client)
        group_connections = self.details[server.id].group_connections
        if client.affinity_group:
            group_connections[client.affinity_group] -= 1
            if not group_connections[client.affinity_group]:
                del group_connections[client.affinity_group]

    def utilization(self, server: ModelServer) -> float:
        """Return the load of a server, the cost of its groups included, over its present capacity."""
        groups = len(self.details[server.id].group_connections)
        group_load = self._rollout.group_cost * groups / self._rollout.server_capacity
        return (server.load + group_load) / self._capacity_share(server)

    def _capacity_share(self, server: ModelServer) -> float:
        """Return the share of its full capacity that a server has: it grows evenly from a cold start."""
        if not server.started_at_ms:
            return 1.0
        age_ms = self.queue.now_ms - server.started_at_ms
        least = self._settings.slow_start_min_capacity
        return min(least + (1.0 - least) * age_ms / self._settings.slow_start_ms, 1.0)

    def load_report(self, server: ModelServer) -> tuple[float, float, float] | None:
        """Return the newest report that is old enough; None where the server does not answer."""
        details = self.details[server.id]
        if not server.is_up or details.is_hung:
            return None
        measured_by_ms = self.queue.now_ms - self._rollout.load_report_delay_ms
        available = [report for report in details.load_reports if report.time_ms <= measured_by_ms]
        if not available:
            return (0.0, 0.0, 0.0)
        return (0.0, available[-1].connections, available[-1].load)

    def receive_attempt(self, server: ModelServer) -> bool:
        """Count an attempt: too many of them within one window overload a cold server (rule 4)."""
        details = self.details[server.id]
        now_ms = self.queue.now_ms
        if server.started_at_ms and now_ms - server.started_at_ms < self._settings.slow_start_ms:
            window_ms = self._settings.cold_overload_window_ms
            recent = [time_ms for time_ms in details.recent_attempts_ms if time_ms > now_ms - window_ms]
            details.recent_attempts_ms = [*recent, now_ms]
            self._check_cold_server(server, len(details.recent_attempts_ms))
        return not details.is_hung

    def _check_cold_server(self, server: ModelServer, attempts: int) -> None:
        window_ms = self._settings.cold_overload_window_ms
        allowed = (
            self._settings.cold_overload_factor
            * self._rollout.server_capacity
            / self._settings.slow_start_ms
            * window_ms
            * self._capacity_share(server)
        )
        # arrivals are random: three standard deviations and three attempts more are allowed
        share = attempts / (allowed + 3 * allowed**0.5 + 3)
        self._result.cold_server_peak = max(self._result.cold_server_peak, share)
        if share > 1.0:
            self._rules.record_violation(
                f"{server.id} is overloaded: {attempts} attempts within {window_ms:.0f} ms"
            )
