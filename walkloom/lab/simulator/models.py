"""The simulated server and the simulated client."""

from __future__ import annotations

from dataclasses import dataclass, field

from walkloom.messages import Endpoint, Lifecycle


@dataclass(eq=False, slots=True)
class ModelServer:
    """A server and its established connections."""

    id: str
    connection_limit: int
    zone: int = 0
    # Unix time; 0.0: long ago
    started_at_ms: float = 0.0
    is_up: bool = True
    is_draining: bool = False
    is_failing: bool = False
    # setups run one after another; this is when the last accepted one completes
    setups_done_at_ms: float = 0.0
    # sum of the loads of its clients; 1.0 is its full capacity
    load: float = 0.0
    clients: dict[int, ModelClient] = field(default_factory=dict)  # by request id

    @property
    def lifecycle(self) -> Lifecycle:
        """The lifecycle state that endpoint discovery lists."""
        if self.is_draining:
            return Lifecycle.DRAINING
        return Lifecycle.READY if self.is_up else Lifecycle.REMOVED

    def endpoint(self) -> Endpoint:
        """Return this server's entry in the endpoint list."""
        return Endpoint(self.id, self.zone, lifecycle=self.lifecycle, started_at=self.started_at_ms)


@dataclass(eq=False, slots=True)
class ModelClient:
    """A client that wants one connection: it requests it again after a rejection, failure or disconnect."""

    request_class: int
    tenant: int
    load: float  # as a share of a server's capacity
    wanted_until_ms: float
    zone: int = 0
    affinity_group: int = 0  # 0: none
    # consecutive requests that were rejected or failed
    failed_requests: int = 0
    is_reconnect: bool = False

    # The current request
    request_id: int = 0
    balancer: int = -1
    deadline_at_ms: float = 0.0
    # attempts started so far
    attempts: int = 0
    attempt_started_at_ms: float = 0.0
    # the server of the attempt in progress
    attempt_server: ModelServer | None = None
    # the server of the established connection
    connected_server: ModelServer | None = None
    request_closed: bool = False

    def start_request(self, request_id: int, balancer: int, deadline_at_ms: float) -> None:
        """Start a request, and reset the state of the previous one."""
        self.request_id = request_id
        self.balancer = balancer
        self.deadline_at_ms = deadline_at_ms
        self.attempts = 0
        self.attempt_server = None
        self.connected_server = None
        self.request_closed = False

    def is_attempting(self, request_id: int, attempt: int) -> bool:
        """Return whether this attempt of this request is in progress."""
        return (
            self.request_id == request_id
            and self.attempts == attempt
            and self.attempt_server is not None
            and not self.request_closed
        )
