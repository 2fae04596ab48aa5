"""The state of one request."""

from __future__ import annotations

from dataclasses import dataclass, field

from walkloom.messages import AffinityGroup, EndpointId, Lifecycle, Request, RequestClass, RequestId
from walkloom.state.endpoint import EndpointState


@dataclass(eq=False, slots=True)
class RequestState:
    """A request that this balancer must answer or whose connection it holds. Times are ms."""

    request: Request
    request_class: RequestClass
    # Copied from the request, for faster access.
    id: RequestId = field(init=False)
    deadline: float = field(init=False)
    affinity_group: AffinityGroup = field(init=False)

    # Number of attempts started, and when the newest one was sent.
    attempts: int = 0
    sent_at: float = 0.0
    # Number of attempts that were not sent because the lease of the list expired while they connected.
    unsent_attempts: int = 0
    # Endpoint of the running attempt or of the connection; None: no attempt is running.
    endpoint: EndpointState | None = None
    # The load that is counted at that endpoint, relative to the mean.
    load: float = 0.0
    # Ids of the endpoints to which attempts were sent.
    attempted_endpoints: set[EndpointId] = field(default_factory=set)

    is_established: bool = False
    # Its attempt is a trial of an ejected endpoint.
    is_trial: bool = False
    # The client disconnected; only the end of the running attempt is pending.
    is_disconnected: bool = False

    # Seed of the random sample of endpoints that the request may use; 0: not yet drawn.
    sample_seed: float = 0.0
    # Number of requests of its affinity group that came here one after another, this one included.
    group_requests: int = 1
    # Random number from 0 to 1 that decides whether it may use a cold endpoint; -1: not yet drawn.
    cold_draw: float = -1.0
    # Polls of load reports: number of rounds, ids of the endpoints awaited, and when the wait ends.
    poll_rounds: int = 0
    awaited_reports: set[EndpointId] = field(default_factory=set)
    awaited_until: float = 0.0

    # The first attempt that may have run: when it was sent (-1: none), and its endpoint where that matters.
    may_have_run_at: float = -1.0
    may_have_run_on: EndpointState | None = None

    def __post_init__(self) -> None:
        self.id = self.request.id
        self.deadline = self.request.deadline
        self.affinity_group = self.request.affinity_group

    @property
    def sent_attempts(self) -> int:
        """Number of attempts that count towards the limit."""
        return self.attempts - self.unsent_attempts

    def forget_unsent_attempt(self, endpoint: EndpointState) -> None:
        """Make an attempt that was not sent count neither towards the limit nor against its endpoint."""
        self.unsent_attempts += 1
        self.attempted_endpoints.discard(endpoint.id)

    def is_on_draining_endpoint(self) -> bool:
        """Whether its connection is established at a draining endpoint."""
        endpoint = self.endpoint
        return self.is_established and endpoint is not None and endpoint.lifecycle is Lifecycle.DRAINING

    def load_share_at(self, endpoint: EndpointState) -> float:
        """Return its load at an endpoint, where connections of one affinity group share their work."""
        return self.load / endpoint.connections_by_group.get(self.affinity_group, 1)
