"""Carries out the actions that the balancers of a simulation return."""

from __future__ import annotations

from walkloom.lab.simulator.attempts import ONE_WAY_DELAY_MS, AttemptModel
from walkloom.lab.simulator.balancer_pool import BalancerPool
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelServer
from walkloom.lab.simulator.request_lifecycle import RequestLifecycle
from walkloom.lab.simulator.result import RequestResult, Result
from walkloom.lab.simulator.server_pool import ServerPool
from walkloom.messages import (
    Action,
    AttemptStatus,
    Fail,
    LoadReportReceived,
    MigrateConnection,
    PollLoadReport,
    Reject,
    StartAttempt,
    StartTimer,
    TimerFired,
)

MIN_TIMER_MS = 0.001  # a timer that is due at once must still advance the clock, or the run would not end


class ActionHandler:
    """Carries out actions; actions that have no effect in the simulation are ignored."""

    def __init__(
        self,
        queue: EventQueue,
        servers: ServerPool,
        balancers: BalancerPool,
        requests: RequestLifecycle,
        attempts: AttemptModel,
        result: Result,
    ) -> None:
        self._queue = queue
        self._servers = servers
        self._balancers = balancers
        self._requests = requests
        self._attempts = attempts
        self._result = result

    def handle(self, balancer: int, action: Action) -> None:
        """Carry out one action of a balancer."""
        match action:
            case StartAttempt():
                self._attempts.start(balancer, action)
            case Reject():
                if client := self._requests.get_client(action.request_id):
                    self._requests.close_request(client, RequestResult.REJECTED, action.retry_after_ms)
            case Fail():
                if client := self._requests.get_client(action.request_id):
                    self._requests.close_request(client, RequestResult.FAILED)
            case MigrateConnection():
                self._migrate(action)
            case StartTimer():
                fires_at_ms = max(action.fires_at, self._queue.now_ms + MIN_TIMER_MS)
                self._queue.schedule(fires_at_ms, self._balancers.notify, balancer, TimerFired(action.token))
            case PollLoadReport():
                self._poll_load_report(balancer, action)

    def _migrate(self, action: MigrateConnection) -> None:
        client = self._requests.get_client(action.request_id)
        if client is not None and client.connected_server is not None:
            self._result.migration_count += 1
            self._requests.disconnect_and_reconnect(client, client.request_id, AttemptStatus.CANCELLED)

    def _poll_load_report(self, balancer: int, action: PollLoadReport) -> None:
        self._result.load_report_polls += 1
        server = self._servers.servers[str(action.endpoint_id)]
        answered_at_ms = self._queue.now_ms + 2 * ONE_WAY_DELAY_MS
        self._queue.schedule(answered_at_ms, self._deliver_load_report, balancer, server)

    def _deliver_load_report(self, balancer: int, server: ModelServer) -> None:
        load_report = self._servers.load_report(server)
        if load_report is None:
            return
        received = LoadReportReceived(
            endpoint_id=server.id,
            status=AttemptStatus.OK,
            elapsed_ms=2 * ONE_WAY_DELAY_MS,
            load_report=load_report,
        )
        self._balancers.notify(balancer, received)
