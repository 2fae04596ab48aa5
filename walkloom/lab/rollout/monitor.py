"""Samples the service during a release, and simulates the overload of its servers."""

from __future__ import annotations

from walkloom.lab.rollout.experiment import RolloutResult
from walkloom.lab.rollout.server_pool import LoadReport, RolloutServerPool
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelServer
from walkloom.lab.simulator.request_lifecycle import RequestLifecycle
from walkloom.lab.simulator.service_monitor import SAMPLE_INTERVAL_MS, ServiceMonitor
from walkloom.messages import AttemptStatus

MAX_TIMELY_BACKLOG_S = 0.06  # with a longer backlog of work a server answers no message in time
MAX_BACKLOG_S = 1.5  # with a longer backlog of work a server sheds load: it resets connections
SHEDDING_TARGET_UTILIZATION = 0.9  # to which a server sheds load, its heaviest connections first
KEPT_LOAD_REPORTS = 5  # one per sample; together they must cover more than the delay of a load report


class RolloutMonitor(ServiceMonitor):
    """Also updates the backlog of each server at every sample; a server with too much backlog sheds load."""

    def __init__(
        self, queue: EventQueue, servers: RolloutServerPool, requests: RequestLifecycle, result: RolloutResult
    ) -> None:
        super().__init__(queue, servers, requests, result)
        self._rollout_servers = servers
        self._rollout_result = result

    def take_sample(self) -> None:
        """Take one sample, including the pairs of a server and a group, and schedule the next."""
        super().take_sample()
        self._rollout_result.server_group_pairs.append(self._rollout_servers.server_group_pairs())

    def timely_share(self, server: ModelServer) -> float:
        """Return 1.0, or 0.0 while the server hangs or its backlog delays all answers.

        Also records the server's load report of this sample and updates its backlog.
        """
        state = self._rollout_servers.server_states[server.id]
        utilization = self.servers.utilization(server)
        report = LoadReport(self.queue.now_ms, float(len(server.clients)), utilization)
        state.load_reports = [*state.load_reports[1 - KEPT_LOAD_REPORTS :], report]
        backlog_s = state.backlog_s + (utilization - 1.0) * SAMPLE_INTERVAL_MS / 1000.0
        state.backlog_s = max(backlog_s, 0.0)
        if state.backlog_s > MAX_BACKLOG_S:
            state.backlog_s = 0.0
            self._shed_load(server)
        return float(state.backlog_s <= MAX_TIMELY_BACKLOG_S and not state.is_hung)

    def _shed_load(self, server: ModelServer) -> None:
        heaviest_first = sorted(server.clients.values(), key=lambda client: client.load, reverse=True)
        for client in heaviest_first:
            if self.servers.utilization(server) < SHEDDING_TARGET_UTILIZATION:
                break
            self._rollout_result.reset_count += 1
            self.requests.disconnect_and_reconnect(client, client.request_id, AttemptStatus.CONNECTION_RESET)
