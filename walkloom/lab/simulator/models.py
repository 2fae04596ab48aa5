"""The model server and the model client."""

from __future__ import annotations

from dataclasses import dataclass, field

from walkloom.messages import Endpoint, Lifecycle


@dataclass(eq=False, slots=True)
class ModelServer:
    """A server and the connections that it holds."""

    id: str
    slots: int
    zone: int = 0
    # Unix ms; 0.0: long ago
    started_at_ms: float = 0.0
    is_up: bool = True
    is_draining: bool = False
    is_failing: bool = False
    # setups are done one after another: when the last one accepted is done
    setups_done_ms: float = 0.0
    # sum of its clients' loads, 1.0: its whole capacity
    load: float = 0.0
    clients: dict[int, ModelClient] = field(default_factory=dict)  # by request id

    @property
    def lifecycle(self) -> Lifecycle:
        """The state that endpoint discovery lists."""
        if self.is_draining:
            return Lifecycle.DRAINING
        return Lifecycle.READY if self.is_up else Lifecycle.REMOVED

    def endpoint(self) -> Endpoint:
        """Return the line of the endpoint list."""
        return Endpoint(self.id, self.zone, lifecycle=self.lifecycle, started_at=self.started_at_ms)


@dataclass(eq=False, slots=True)
class ModelClient:
    """One connection that somebody wants, over all requests that are made for it."""

    request_class: int
    tenant: int
    load: float  # as a share of a server's capacity
    wanted_until_ms: float
    zone: int = 0
    affinity_group: int = 0  # 0: none
    # requests in a row that were rejected or failed
    failed_requests: int = 0
    is_reconnect: bool = False

    # The current request
    request_id: int = 0
    balancer: int = -1
    deadline_ms: float = 0.0
    attempts: int = 0
    attempt_started_ms: float = 0.0
    # the server of the attempt under way
    attempt_server: ModelServer | None = None
    # the server of the established connection
    connected_server: ModelServer | None = None
    request_closed: bool = False

    def start_request(self, request_id: int, balancer: int, deadline_ms: float) -> None:
        """Forget the previous request."""
        self.request_id = request_id
        self.balancer = balancer
        self.deadline_ms = deadline_ms
        self.attempts = 0
        self.attempt_server = None
        self.connected_server = None
        self.request_closed = False

    def is_attempting(self, request_id: int, attempt: int) -> bool:
        """Tell whether this attempt of this request is under way."""
        return (
            self.request_id == request_id
            and self.attempts == attempt
            and self.attempt_server is not None
            and not self.request_closed
        )
