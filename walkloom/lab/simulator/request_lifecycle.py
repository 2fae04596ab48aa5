"""The requests of the simulated clients, from arrival to the end of the connection."""

from __future__ import annotations

import numpy as np

from walkloom.lab.settings import CLASSES
from walkloom.lab.simulator.balancer_pool import BalancerPool
from walkloom.lab.simulator.event_queue import EventQueue
from walkloom.lab.simulator.experiment import ANSWER_GRACE_MS
from walkloom.lab.simulator.models import ModelClient, ModelServer
from walkloom.lab.simulator.result import RequestResult, Result
from walkloom.lab.simulator.rule_checker import RuleChecker
from walkloom.lab.simulator.server_pool import ServerPool
from walkloom.messages import AttemptEnded, AttemptStatus, ConnectionAdopted, Request

MAX_FAILED_REQUESTS = 3  # consecutive rejected or failed requests, after which a client gives up
RETRY_DELAY_RANGE_MS = (200.0, 1000.0)  # of a client that received no retry-after
RECONNECT_DELAY_RANGE_MS = (61.0, 1700.0)  # of a client whose connection was migrated or broke
OVERDUE_MARGIN_MS = 0.001  # an answer at the very end of the grace counts as in time


class RequestLifecycle:
    """Owns the open requests, and the active clients: those that still want a connection or have it."""

    def __init__(
        self,
        queue: EventQueue,
        random: np.random.Generator,
        servers: ServerPool,
        balancers: BalancerPool,
        rules: RuleChecker,
        result: Result,
    ) -> None:
        self.active_clients = set[ModelClient]()
        self.request_count = 0
        self._queue = queue
        self._random = random
        self._servers = servers
        self._balancers = balancers
        self._rules = rules
        self._result = result
        self._open_clients: dict[object, ModelClient] = {}  # by request id

    def get_client(self, request_id: object) -> ModelClient | None:
        """Return the client of an open request; None if the request is not open."""
        return self._open_clients.get(request_id)

    def get_clients_at(self, balancer: int) -> list[ModelClient]:
        """Return the clients that have an open request at a balancer."""
        return [client for client in self._open_clients.values() if client.balancer == balancer]

    # Requests

    def start_request(self, client: ModelClient) -> None:
        """Send a client's next request, unless the client no longer wants its connection."""
        if self._queue.now_ms >= client.wanted_until_ms:
            self.active_clients.discard(client)
            return
        self._open_request(client, self._queue.now_ms + CLASSES[client.request_class].deadline_ms)
        overdue_at_ms = client.deadline_at_ms + ANSWER_GRACE_MS + OVERDUE_MARGIN_MS
        self._queue.schedule(overdue_at_ms, self._check_answered, client, client.request_id)
        request = Request(
            id=client.request_id,
            request_class=client.request_class,
            deadline=client.deadline_at_ms,
            tenant=client.tenant,
            load=client.load * 1000.0,
            is_retry=client.failed_requests > 0,
            is_reconnect=client.is_reconnect,
            affinity_group=client.affinity_group or None,
        )
        self._balancers.notify(client.balancer, request)

    def _open_request(self, client: ModelClient, deadline_at_ms: float) -> None:
        self.active_clients.add(client)
        self.request_count += 1
        balancer = self._balancers.choose_balancer(client)
        client.start_request(self.request_count, balancer, deadline_at_ms)
        self._open_clients[client.request_id] = client

    def _check_answered(self, client: ModelClient, request_id: int) -> None:
        is_open = client.request_id == request_id and not client.request_closed
        if is_open and client.connected_server is None:
            self._rules.record_violation(
                f"request {request_id} has no final answer {ANSWER_GRACE_MS:.0f} ms after its deadline"
            )
            self.close_request(client, RequestResult.UNANSWERED)

    def close_request(
        self, client: ModelClient, request_result: RequestResult, retry_after_ms: float = 0.0
    ) -> None:
        """Close a request without a connection: the client retries after a delay, or gives up for good.

        Records a violation if the request is already closed.
        """
        if client.request_closed:
            self._rules.record_violation(f"request {client.request_id} was answered twice")
            return
        client.request_closed = True
        self._result.request_results[request_result] += 1
        self._open_clients.pop(client.request_id, None)
        client.failed_requests += 1
        if client.failed_requests < MAX_FAILED_REQUESTS:
            delay_ms = retry_after_ms or float(self._random.uniform(*RETRY_DELAY_RANGE_MS))
            self._queue.schedule(self._queue.now_ms + delay_ms, self.start_request, client)
        else:
            # until then the client still wants a connection, and counts as not served
            self._queue.schedule(client.wanted_until_ms, self.active_clients.discard, client)

    # Established connections

    def record_connection(self, client: ModelClient, server: ModelServer) -> None:
        """Record that an attempt has established a client's connection."""
        client.attempt_server = None
        client.connected_server = server
        self._servers.attach(server, client)
        self._result.request_results[RequestResult.ESTABLISHED] += 1

    def schedule_completion(self, client: ModelClient) -> None:
        """Schedule the regular end of a client's connection."""
        ends_at_ms = max(client.wanted_until_ms, self._queue.now_ms)
        self._queue.schedule(ends_at_ms, self._complete, client, client.request_id)

    def _complete(self, client: ModelClient, request_id: int) -> None:
        if client.request_id == request_id and client.connected_server is not None:
            self._disconnect(client, AttemptStatus.OK)
            self._open_clients.pop(request_id, None)
            self.active_clients.discard(client)

    def adopt(self, client: ModelClient, server: ModelServer) -> None:
        """Let a balancer adopt a connection that was established before the run."""
        self._open_request(client, client.wanted_until_ms)
        client.attempts = 1
        client.attempt_started_at_ms = self._queue.now_ms
        client.connected_server = server
        self._servers.attach(server, client)
        request = Request(
            id=client.request_id,
            request_class=client.request_class,
            deadline=client.wanted_until_ms,
            tenant=client.tenant,
            affinity_group=client.affinity_group or None,
        )
        self._balancers.notify(client.balancer, ConnectionAdopted(request, server.id))
        self.schedule_completion(client)

    def disconnect_and_reconnect(self, client: ModelClient, request_id: int, status: AttemptStatus) -> None:
        """End a request's connection, if it is established; its client reconnects after a random delay."""
        if client.request_id != request_id or client.connected_server is None:
            return
        self._disconnect(client, status)
        self._open_clients.pop(client.request_id, None)
        client.is_reconnect = True
        client.failed_requests = 0
        delay_ms = float(self._random.uniform(*RECONNECT_DELAY_RANGE_MS))
        self._queue.schedule(self._queue.now_ms + delay_ms, self.start_request, client)

    def disconnect_all(self, server: ModelServer, status: AttemptStatus) -> None:
        """End all connections of a server; their clients reconnect after random delays."""
        for client in list(server.clients.values()):
            self.disconnect_and_reconnect(client, client.request_id, status)

    def _disconnect(self, client: ModelClient, status: AttemptStatus) -> None:
        server = client.connected_server
        assert server is not None
        self._servers.detach(server, client)
        client.connected_server = None
        client.request_closed = True
        ended = AttemptEnded(
            request_id=client.request_id,
            attempt=client.attempts - 1,
            endpoint_id=server.id,
            status=status,
            elapsed_ms=self._queue.now_ms - client.attempt_started_at_ms,
            request_closed=True,
        )
        self._balancers.notify(client.balancer, ended)
