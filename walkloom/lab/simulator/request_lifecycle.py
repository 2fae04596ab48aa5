"""The requests of the model clients, from arrival to the end of the connection."""

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

MAX_FAILED_REQUESTS = 3  # in a row, after which a client gives up
RETRY_DELAY_MS = (200.0, 1000.0)  # of a client without a retry-after
RECONNECT_DELAY_MS = (61.0, 1700.0)  # of a client whose connection was migrated or broke
OVERDUE_MARGIN_MS = 0.001  # so that an answer in the last moment counts as in time


class RequestLifecycle:
    """Owns the open requests and the clients that still want a connection."""

    def __init__(
        self,
        queue: EventQueue,
        random: np.random.Generator,
        servers: ServerPool,
        balancers: BalancerPool,
        rules: RuleChecker,
        result: Result,
    ) -> None:
        self.waiting_or_connected = set[ModelClient]()
        self.request_count = 0
        self._queue = queue
        self._random = random
        self._servers = servers
        self._balancers = balancers
        self._rules = rules
        self._result = result
        self._open: dict[object, ModelClient] = {}  # by request id

    def open_client(self, request_id: object) -> ModelClient | None:
        """Return the client of a request that is open."""
        return self._open.get(request_id)

    def open_clients_of(self, balancer: int) -> list[ModelClient]:
        """Return the clients whose open request is at a balancer."""
        return [client for client in self._open.values() if client.balancer == balancer]

    # Requests

    def start_request(self, client: ModelClient) -> None:
        """Make a client's next request, unless it wants its connection no longer."""
        if self._queue.now_ms >= client.wanted_until_ms:
            self.waiting_or_connected.discard(client)
            return
        self._open_request(client, self._queue.now_ms + CLASSES[client.request_class].deadline_ms)
        overdue_ms = client.deadline_ms + ANSWER_GRACE_MS + OVERDUE_MARGIN_MS
        self._queue.schedule(overdue_ms, self._check_answered, client, client.request_id)
        request = Request(
            id=client.request_id,
            request_class=client.request_class,
            deadline=client.deadline_ms,
            tenant=client.tenant,
            load=client.load * 1000.0,
            is_retry=client.failed_requests > 0,
            is_reconnect=client.is_reconnect,
            affinity_group=client.affinity_group or None,
        )
        self._balancers.notify(client.balancer, request)

    def _open_request(self, client: ModelClient, deadline_ms: float) -> None:
        self.waiting_or_connected.add(client)
        self.request_count += 1
        balancer = self._balancers.choose(client)
        client.start_request(self.request_count, balancer, deadline_ms)
        self._open[client.request_id] = client

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
        """End a request without a connection: the client retries, or gives up for good."""
        if client.request_closed:
            self._rules.record_violation(f"request {client.request_id} was answered twice")
            return
        client.request_closed = True
        self._result.request_results[request_result] += 1
        self._open.pop(client.request_id, None)
        client.failed_requests += 1
        if client.failed_requests < MAX_FAILED_REQUESTS:
            delay_ms = retry_after_ms or float(self._random.uniform(*RETRY_DELAY_MS))
            self._queue.schedule(self._queue.now_ms + delay_ms, self.start_request, client)
        else:
            # it still wants its connection until then, and counts as not served
            self._queue.schedule(client.wanted_until_ms, self.waiting_or_connected.discard, client)

    # Established connections

    def connected(self, client: ModelClient, server: ModelServer) -> None:
        """Note that the attempt of a client's request has succeeded."""
        client.attempt_server = None
        client.connected_server = server
        self._servers.attach(server, client)
        self._result.request_results[RequestResult.ESTABLISHED] += 1

    def complete_when_done(self, client: ModelClient) -> None:
        """Schedule the ordinary end of a client's connection."""
        end_ms = max(client.wanted_until_ms, self._queue.now_ms)
        self._queue.schedule(end_ms, self._complete, client, client.request_id)

    def _complete(self, client: ModelClient, request_id: int) -> None:
        if client.request_id == request_id and client.connected_server is not None:
            self._disconnect(client, AttemptStatus.OK)
            self._open.pop(request_id, None)
            self.waiting_or_connected.discard(client)

    def adopt(self, client: ModelClient, server: ModelServer) -> None:
        """Give a balancer a connection that was established before the run."""
        self._open_request(client, client.wanted_until_ms)
        client.attempts = 1
        client.attempt_started_ms = self._queue.now_ms
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
        self.complete_when_done(client)

    def disconnect_and_reconnect(self, client: ModelClient, request_id: int, status: AttemptStatus) -> None:
        """End a request's connection, if it is established; its client reconnects after a moment."""
        if client.request_id != request_id or client.connected_server is None:
            return
        self._disconnect(client, status)
        self._open.pop(client.request_id, None)
        client.is_reconnect = True
        client.failed_requests = 0
        delay_ms = float(self._random.uniform(*RECONNECT_DELAY_MS))
        self._queue.schedule(self._queue.now_ms + delay_ms, self.start_request, client)

    def disconnect_all(self, server: ModelServer, status: AttemptStatus) -> None:
        """End all connections of a server; their clients reconnect."""
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
            elapsed_ms=self._queue.now_ms - client.attempt_started_ms,
            request_closed=True,
        )
        self._balancers.notify(client.balancer, ended)
