"""What a balancer knows of one request."""

from __future__ import annotations

from dataclasses import dataclass, field

from walkloom.messages import AffinityGroup, EndpointId, Lifecycle, Request, RequestClass, RequestId
from walkloom.state.endpoint import EndpointState


@dataclass(eq=False, slots=True)
class RequestState:
    """A request that this balancer owes an answer for, or whose connection it holds. Times: ms."""

    request: Request
    request_class: RequestClass
    # Of the request, for those who read them often.
    id: RequestId = field(init=False)
    deadline: float = field(init=False)
    affinity_group: AffinityGroup = field(init=False)

    # Attempts begun, and when the newest of them was.
    attempts: int = 0
    sent_at: float = 0.0
    # Where the attempt that is out, or the connection, is; None: no attempt is out.
    endpoint: EndpointState | None = None
    # The load that is counted there, relative to the mean.
    load: float = 0.0
    # Where attempts went.
    tried: set[EndpointId] = field(default_factory=set)

    is_established: bool = False
    # Its attempt tries an ejected endpoint.
    is_trial: bool = False
    # The client has left; only the end of its attempt is still to come.
    is_over: bool = False

    # Seed of the sample of endpoints that it may use; 0: none was drawn yet.
    sample_seed: float = 0.0
    # Load reports: rounds of polls, the endpoints that are waited for, and until when.
    poll_rounds: int = 0
    awaited_reports: set[EndpointId] = field(default_factory=set)
    awaited_until: float = 0.0

    # The first attempt that may have run: when it was sent (-1: there was none), and where if that matters.
    may_have_run_at: float = -1.0
    may_have_run_on: EndpointState | None = None

    def __post_init__(self) -> None:
        self.id = self.request.id
        self.deadline = self.request.deadline
        self.affinity_group = self.request.affinity_group

    def is_on_draining(self) -> bool:
        """Whether its connection stands at an endpoint that drains."""
        endpoint = self.endpoint
        return self.is_established and endpoint is not None and endpoint.lifecycle is Lifecycle.DRAINING

    def cost_at(self, endpoint: EndpointState) -> float:
        """What its connection adds there: connections of one group share their work."""
        return self.load / endpoint.connections_by_group.get(self.affinity_group, 1)
