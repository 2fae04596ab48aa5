"""Attempts of balancers to establish a client's connection at a model server."""

from __future__ import annotations

import numpy as np

from walkloom.lab.simulator.balancer_pool import BalancerPool
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.models import ModelClient, ModelServer
from walkloom.lab.simulator.request_lifecycle import RequestLifecycle
from walkloom.lab.simulator.result import Result
from walkloom.lab.simulator.rule_checker import RuleChecker
from walkloom.lab.simulator.server_pool import ServerPool
from walkloom.messages import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ConnectionSignal,
    SignalKind,
    StartAttempt,
)

ONE_WAY_DELAY_MS = 0.5  # between any two machines
FAILING_ERROR_RATE = 0.9  # share of the setups that a failing server answers with an error


class AttemptModel:
    """Simulates each attempt: network delay, wait in the server's setup queue, and outcome."""

    def __init__(
        self,
        queue: EventQueue,
        random: np.random.Generator,
        servers: ServerPool,
        balancers: BalancerPool,
        requests: RequestLifecycle,
        rules: RuleChecker,
        result: Result,
    ) -> None:
        self._queue = queue
        self._random = random
        self._servers = servers
        self._balancers = balancers
        self._requests = requests
        self._rules = rules
        self._result = result

    def start(self, balancer: int, action: StartAttempt) -> None:
        """Start the attempt that a balancer requested, and schedule its timeout.

        Records a violation if the request is not open at this balancer.
        """
        now_ms = self._queue.now_ms
        client = self._requests.get_client(action.request_id)
        self._result.attempt_count += 1
        if client is None or client.request_closed or client.balancer != balancer:
            self._rules.record_violation(f"attempt for request {action.request_id}, which is not open there")
            return
        client.attempts += 1
        self._rules.check_attempt(balancer, client, action.endpoint_id)
        server = self._servers.servers[str(action.endpoint_id)]
        client.attempt_server = server
        client.attempt_started_at_ms = now_ms
        timeout_at_ms = client.deadline_at_ms
        if action.timeout_ms:
            timeout_at_ms = min(now_ms + action.timeout_ms, client.deadline_at_ms)
        attempt = (client, client.request_id, client.attempts)
        self._queue.schedule(timeout_at_ms, self._end, *attempt, AttemptStatus.TIMED_OUT)
        self._queue.schedule(now_ms + 2 * ONE_WAY_DELAY_MS, self._reach_server, *attempt, server)

    def _reach_server(self, client: ModelClient, request_id: int, attempt: int, server: ModelServer) -> None:
        if not client.is_attempting(request_id, attempt) or not self._servers.receive_attempt(server):
            return
        now_ms = self._queue.now_ms
        status = self._refusal_status(server)
        if status is not None:
            self._queue.schedule(now_ms + ONE_WAY_DELAY_MS, self._end, client, request_id, attempt, status)
            return
        # overload slows connection setups down as much as all other work of a server
        setup_ms = self._servers.experiment.setup_ms * max(server.load, 1.0)
        server.setups_done_at_ms = max(server.setups_done_at_ms, now_ms) + setup_ms
        answered_at_ms = server.setups_done_at_ms + ONE_WAY_DELAY_MS
        self._queue.schedule(answered_at_ms, self._establish, client, request_id, attempt, server)

    def _refusal_status(self, server: ModelServer) -> AttemptStatus | None:
        if not server.is_up:
            return AttemptStatus.CONNECT_FAILED
        if server.is_draining or len(server.clients) >= server.connection_limit:
            return AttemptStatus.AT_CAPACITY
        if server.is_failing and self._random.random() < FAILING_ERROR_RATE:
            return AttemptStatus.ERROR
        return None

    def _establish(self, client: ModelClient, request_id: int, attempt: int, server: ModelServer) -> None:
        if not client.is_attempting(request_id, attempt):
            return
        if not server.is_up or server.is_draining:
            self._end(client, request_id, attempt, AttemptStatus.CONNECTION_RESET)
            return
        self._requests.record_connection(client, server)
        established = AttemptEstablished(
            request_id=request_id,
            attempt=attempt - 1,
            endpoint_id=server.id,
            elapsed_ms=self._queue.now_ms - client.attempt_started_at_ms,
        )
        self._balancers.notify(client.balancer, established)
        # the balancer may have migrated the connection while it handled the event
        if client.connected_server is server:
            self._report_load(client, attempt, server)
            self._requests.schedule_completion(client)

    def _report_load(self, client: ModelClient, attempt: int, server: ModelServer) -> None:
        signal = ConnectionSignal(
            request_id=client.request_id,
            attempt=attempt - 1,
            endpoint_id=server.id,
            kind=SignalKind.LOAD,
            value=client.load * 1000.0,
        )
        self._balancers.notify(client.balancer, signal)

    def _end(self, client: ModelClient, request_id: int, attempt: int, status: AttemptStatus) -> None:
        server = client.attempt_server
        if server is None or not client.is_attempting(request_id, attempt):
            return
        client.attempt_server = None
        ended = AttemptEnded(
            request_id=request_id,
            attempt=attempt - 1,
            endpoint_id=server.id,
            status=status,
            elapsed_ms=self._queue.now_ms - client.attempt_started_at_ms,
        )
        self._balancers.notify(client.balancer, ended)
