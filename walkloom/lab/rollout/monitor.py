"""Samples of the service during a release, and the overload of its servers."""

from __future__ import annotations

from walkloom.lab.rollout.experiment import RolloutResult
from walkloom.lab.rollout.server_pool import LoadReport, RolloutServerPool
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelServer
from walkloom.lab.simulator.request_lifecycle import RequestLifecycle
from walkloom.lab.simulator.service_monitor import SAMPLE_INTERVAL_MS, ServiceMonitor
from walkloom.messages import AttemptStatus

BACKLOG_LATE_S = 0.06  # of work, beyond which a server answers nothing in time
BACKLOG_SHED_S = 1.5  # of work, beyond which a server resets connections
SHED_TO_UTILIZATION = 0.9  # an overloaded server resets its heaviest connections down to it
KEPT_LOAD_REPORTS = 5  # samples, which cover more than the delay of a load report


class RolloutMonitor(ServiceMonitor):
    """Samples that also let the backlog of overloaded servers grow, until they reset connections."""

    def __init__(
        self, queue: EventQueue, servers: RolloutServerPool, requests: RequestLifecycle, result: RolloutResult
    ) -> None:
        super().__init__(queue, servers, requests, result)
        self._rollout_servers = servers
        self._rollout_result = result

    def sample(self) -> None:
        """Take one sample, the pairs of servers and groups included."""
        super().sample()
        self._rollout_result.server_group_pairs.append(self._rollout_servers.server_group_pairs())

    def timely_share(self, server: ModelServer) -> float:
        """Return 1.0 or 0.0: a server answers everything late while its backlog is long."""
        details = self._rollout_servers.details[server.id]
        utilization = self.servers.utilization(server)
        report = LoadReport(self.queue.now_ms, float(len(server.clients)), utilization)
        details.load_reports = [*details.load_reports[1 - KEPT_LOAD_REPORTS :], report]
        backlog_s = details.backlog_s + (utilization - 1.0) * SAMPLE_INTERVAL_MS / 1000.0
        details.backlog_s = max(backlog_s, 0.0)
        if details.backlog_s > BACKLOG_SHED_S:
            details.backlog_s = 0.0
            self._shed_load(server)
        return float(details.backlog_s <= BACKLOG_LATE_S and not details.is_hung)

    def _shed_load(self, server: ModelServer) -> None:
        heaviest_first = sorted(server.clients.values(), key=lambda client: client.load, reverse=True)
        for client in heaviest_first:
            if self.servers.utilization(server) < SHED_TO_UTILIZATION:
                break
            self._rollout_result.reset_count += 1
            self.requests.disconnect_and_reconnect(client, client.request_id, AttemptStatus.CONNECTION_RESET)
