"""The simulated servers of a release."""

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
    """A load report of a server, and when it was measured (Unix time)."""

    measured_at_ms: float
    connections: float
    load: float


@dataclass(eq=False, slots=True)
class RolloutServerState:
    """The state of a server in a release, in addition to `ModelServer`."""

    # number of connections by affinity group; groups without connections are absent
    group_connections: Counter[int] = field(default_factory=Counter)
    load_reports: list[LoadReport] = field(default_factory=list)
    recent_attempt_times_ms: list[float] = field(default_factory=list)
    # time that the server needs for its queued work
    backlog_s: float = 0.0
    is_hung: bool = False


class RolloutServerPool(ServerPool):
    """Servers that start cold, need capacity for each affinity group, report load late and may hang."""

    def __init__(
        self,
        experiment: Rollout,
        queue: EventQueue,
        settings: Settings,
        rules: RuleChecker,
        result: RolloutResult,
    ) -> None:
        super().__init__(experiment, queue)
        self.server_states: dict[str, RolloutServerState] = {}
        self._rollout = experiment
        self._settings = settings
        self._rules = rules
        self._result = result

    def add(self, zone: int = 0, started_at_ms: float = 0.0) -> ModelServer:
        """Start another server; it is cold if a start time is given."""
        server = super().add(zone, started_at_ms)
        self.server_states[server.id] = RolloutServerState()
        return server

    def server_group_pairs(self) -> int:
        """Return the number of pairs of a server and a group that has connections there."""
        return sum(len(state.group_connections) for state in self.server_states.values())

    def attach(self, server: ModelServer, client: ModelClient) -> None:
        """Add a client's connection to a server and to its affinity group there."""
        super().attach(server, client)
        if client.affinity_group:
            self.server_states[server.id].group_connections[client.affinity_group] += 1

    def detach(self, server: ModelServer, client: ModelClient) -> None:
        """Remove a client's connection from a server and from its affinity group there."""
        super().detach(server, client)
        group_connections = self.server_states[server.id].group_connections
        if client.affinity_group:
            group_connections[client.affinity_group] -= 1
            if not group_connections[client.affinity_group]:
                del group_connections[client.affinity_group]

    def utilization(self, server: ModelServer) -> float:
        """Return the load of a server, including the cost of its groups, over its current capacity."""
        group_count = len(self.server_states[server.id].group_connections)
        group_load = self._rollout.group_cost * group_count / self._rollout.server_capacity
        return (server.load + group_load) / self.capacity_share(server)

    def capacity_share(self, server: ModelServer) -> float:
        """Return the share of full capacity that a server has; it grows linearly after a cold start."""
        if not server.started_at_ms:
            return 1.0
        age_ms = self.queue.now_ms - server.started_at_ms
        min_share = self._settings.slow_start_min_capacity
        return min(min_share + (1.0 - min_share) * age_ms / self._settings.slow_start_ms, 1.0)

    def load_report(self, server: ModelServer) -> tuple[float, float, float] | None:
        """Return the newest report that is at least `load_report_delay_ms` old.

        All three values are 0 if there is no such report. Returns None if the server does not answer.
        """
        state = self.server_states[server.id]
        if not server.is_up or state.is_hung:
            return None
        cutoff_at_ms = self.queue.now_ms - self._rollout.load_report_delay_ms
        available = [report for report in state.load_reports if report.measured_at_ms <= cutoff_at_ms]
        if not available:
            return (0.0, 0.0, 0.0)
        return (0.0, available[-1].connections, available[-1].load)

    def receive_attempt(self, server: ModelServer) -> bool:
        """Count an attempt; too many within one window overload a cold server and violate rule 4.

        Returns False if the server hangs and never answers.
        """
        state = self.server_states[server.id]
        now_ms = self.queue.now_ms
        if server.started_at_ms and now_ms - server.started_at_ms < self._settings.slow_start_ms:
            window_ms = self._settings.cold_overload_window_ms
            recent = [time_ms for time_ms in state.recent_attempt_times_ms if time_ms > now_ms - window_ms]
            state.recent_attempt_times_ms = [*recent, now_ms]
            self._check_cold_server(server, len(state.recent_attempt_times_ms))
        return not state.is_hung

    def _check_cold_server(self, server: ModelServer, attempts: int) -> None:
        window_ms = self._settings.cold_overload_window_ms
        allowed_attempts = (
            self._settings.cold_overload_factor
            * self._rollout.server_capacity
            / self._settings.slow_start_ms
            * window_ms
            * self.capacity_share(server)
        )
        # arrivals are random, so three standard deviations and three more attempts are tolerated
        overload_ratio = attempts / (allowed_attempts + 3 * allowed_attempts**0.5 + 3)
        self._result.cold_server_peak = max(self._result.cold_server_peak, overload_ratio)
        if overload_ratio > 1.0:
            self._rules.record_violation(
                f"{server.id} is overloaded: {attempts} attempts within {window_ms:.0f} ms"
            )
