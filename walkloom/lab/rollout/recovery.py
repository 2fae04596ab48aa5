"""Simulates servers that crash and come back cold, in steady traffic and under a burst of clients.

It measures what the recovering servers get from all balancers together: the most in one window over what
overloads them (rule 4), and their share of the new connections in their slow start.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from walkloom.lab.rollout.experiment import Rollout, RolloutResult
from walkloom.lab.rollout.server_pool import RolloutServerPool
from walkloom.lab.rollout.simulator import RolloutSimulator
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelClient, ModelServer
from walkloom.lab.simulator.rule_checker import RuleChecker
from walkloom.messages import Lifecycle, Settings
from walkloom.state import EndpointState
from walkloom.state.endpoint_pool import EndpointPool

GROUP_RANKING_SIZE = 24  # endpoints that balancers rank for a group


@dataclass(frozen=True, slots=True)
class Recovery(Rollout):
    """Servers that come back cold, and a burst of clients. Times are ms since the start of the run."""

    zone_count: int = 1
    replaced_share: float = 0.0
    restarts_balancers: bool = False
    hung_share: float = 0.0
    # number of servers that crash, and when; when they come back under their ids
    recovering_servers: int = 1
    crash_at_ms: float = 1000.0
    restart_at_ms: float = 4000.0
    # clients that come within `burst_duration_ms`; with groups, each recovering server is the first choice of
    # one of them
    burst_clients: int = 0
    burst_has_groups: bool = True
    burst_at_ms: float = 6000.0
    burst_duration_ms: float = 1700.0
    # slow start
    slow_start_min_capacity: float = 0.13
    slow_start_ms: float = 23_000.0
    cold_overload_factor: float = 2.5
    cold_overload_window_ms: float = 3000.0
    load_reports: bool = True


@dataclass
class RecoveryResult(RolloutResult):
    """The measurements of a recovery."""

    # attempts at the recovering servers in their slow start
    cold_server_attempts: int = 0
    # those that they would get if each attempt were at a server in proportion to its present capacity
    cold_server_fair_attempts: float = 0.0

    @property
    def cold_server_share(self) -> float:
        """What the recovering servers got of the attempts that their capacity would give them."""
        return self.cold_server_attempts / max(self.cold_server_fair_attempts, 1e-9)


class RecoveryServerPool(RolloutServerPool):
    """Servers of which some come back cold; counts what these get in their slow start."""

    def __init__(
        self,
        experiment: Recovery,
        queue: EventQueue,
        settings: Settings,
        rules: RuleChecker,
        result: RecoveryResult,
    ) -> None:
        super().__init__(experiment, queue, settings, rules, result)
        self._recovery_result = result

    def receive_attempt(self, server: ModelServer) -> bool:
        """Count an attempt at any server, and what the cold ones would get of it by their capacity."""
        up = [each for each in self.servers.values() if each.is_up and not each.is_draining]
        shares = {each.id: self.capacity_share(each) for each in up}
        cold_share = sum(share for share in shares.values() if share < 1.0)
        self._recovery_result.cold_server_fair_attempts += cold_share / max(sum(shares.values()), 1.0)
        self._recovery_result.cold_server_attempts += shares.get(server.id, 1.0) < 1.0
        return super().receive_attempt(server)


class RecoverySimulator(RolloutSimulator):
    """A run of one recovery."""

    experiment: Recovery
    result: RecoveryResult

    def _make_result(self) -> RecoveryResult:
        return RecoveryResult()

    def _make_servers(self) -> RecoveryServerPool:
        servers = RecoveryServerPool(self.experiment, self.queue, self.settings, self.rules, self.result)
        for n in range(self.experiment.server_count):
            servers.add(zone=n % self.experiment.zone_count)
        return servers

    def _make_settings(self) -> Settings:
        return replace(
            super()._make_settings(),
            slow_start_min_capacity=self.experiment.slow_start_min_capacity,
            slow_start_ms=self.experiment.slow_start_ms,
            cold_overload_factor=self.experiment.cold_overload_factor,
            cold_overload_window_ms=self.experiment.cold_overload_window_ms,
            load_reports_available=self.experiment.load_reports,
        )

    def _draw_clients(self) -> Iterator[tuple[float, ModelClient]]:
        yield from super()._draw_clients()
        groups = [self._find_group(server) for server in self._recovering_servers()]
        for n in range(self.experiment.burst_clients):
            arrives_at_ms = self.start_time_ms + self.experiment.burst_at_ms
            arrives_at_ms += float(self.random.uniform(0.0, self.experiment.burst_duration_ms))
            client = ModelClient(
                request_class=0,
                tenant=0,
                load=1.0 / self.experiment.server_capacity,
                wanted_until_ms=self.end_time_ms,
                zone=int(self.random.integers(self.experiment.zone_count)),
            )
            if self.experiment.burst_has_groups:
                client.affinity_group = groups[n % len(groups)]
            yield arrives_at_ms, client

    def _recovering_servers(self) -> list[ModelServer]:
        return list(self.servers.servers.values())[: self.experiment.recovering_servers]

    def _find_group(self, server: ModelServer) -> int:
        """Return an affinity group that is used by no other client and that ranks the server first."""
        pool = EndpointPool(
            [
                EndpointState.from_list(each.endpoint())
                for each in self.servers.servers.values()
                if each.zone == server.zone
            ]
        )
        group = 1 + self.experiment.group_count
        while pool.ranked_for(group, GROUP_RANKING_SIZE)[0].id != server.id:
            group += 1
        return group

    def _schedule_faults(self) -> None:
        for server in self._recovering_servers():
            self.queue.schedule(self.start_time_ms + self.experiment.crash_at_ms, self._crash, server)
            self.queue.schedule(self.start_time_ms + self.experiment.restart_at_ms, self._restart, server)

    def _restart(self, server: ModelServer) -> None:
        server.is_up = True
        server.started_at_ms = self.queue.now_ms
        self.announce_lifecycle(server, Lifecycle.READY)


def run(experiment: Recovery) -> RecoveryResult:
    """Run one recovery in this process."""
    simulator = RecoverySimulator(experiment)
    simulator.run()
    return simulator.result
