"""Events: the input of the policy, handled one at a time, each with the time of its handling."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, TypeAlias

from walkloom.messages.identifiers import AffinityGroup, ClientKey, EndpointId, RequestId


class Lifecycle(IntEnum):
    """The state of an endpoint in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """What an update of the endpoint list contains."""

    INCREMENTAL = 0  # only the endpoints that changed
    SNAPSHOT = 1  # all endpoints
    CACHED = 2  # all endpoints, from this balancer's cache; may be out of date
    FAILED = 3  # nothing: the list could not be fetched


class ListFailure(IntEnum):
    """What a failed call for the endpoint list shows about discovery."""

    # Nothing: discovery may be silent, overloaded or broken, and may notify others of changes that this
    # balancer misses.
    UNANSWERED = 0
    # It refused at once: it is down, so no process is notified of a change.
    UNREACHABLE = 1
    # It refused after a delay: it has more calls than it can answer.
    OVERLOADED = 2


class AttemptStatus(IntEnum):
    """How an attempt or a poll ended.

    The values in NEVER_RAN prove that the endpoint did not execute the request.
    """

    ERROR = 0
    OK = 1
    AT_CAPACITY = 2
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    CONNECTION_RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


# After these a request may be sent again, even if it is not idempotent.
NEVER_RAN = (AttemptStatus.AT_CAPACITY, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)


class SignalKind(IntEnum):
    """What a signal about an open connection measures."""

    LOAD = 1  # the load of the connection, ms of work per second
    MESSAGE_DELAY = 2  # the time that a message takes at its endpoint, ms


class Endpoint(NamedTuple):
    """One entry of the endpoint list."""

    # Stays the same when the endpoint restarts.
    id: EndpointId

    # Index of its zone; a zone that the settings do not name gets a further index.
    zone: int = 0

    # Index of its machine type; a type that the settings do not name gets a further index.
    machine_type: int = 0

    # Number of its cell, the scope in which repeated requests may be deduplicated.
    cell: int = 0

    # Whether it accepts connections.
    lifecycle: Lifecycle = Lifecycle.READY

    # Its capacity, relative to the other endpoints.
    capacity_weight: float = 1.0

    # Time of its last start, ms; 0: long ago.
    started_at: float = 0.0


class EndpointListUpdate(NamedTuple):
    """The endpoint list, or the changes in it."""

    # What `endpoints` contains.
    kind: UpdateKind

    # Without duplicates; the order has no meaning. Empty when FAILED.
    endpoints: tuple[Endpoint, ...] = ()

    # The latest time at which discovery wrote the update, ms; None: not known from the wire.
    confirmed_at: float | None = None

    # Duration of the call beyond the time that discovery was asked to hold it open, ms; 0: not known.
    call_ms: float = 0.0

    # FAILED only: what the failure shows about discovery.
    failure: ListFailure = ListFailure.UNANSWERED

    # FAILED only: discovery itself ended a watch. It is down now, or it ended the watch alone; the watch may
    # have been silent since the previous answer.
    ended_watch: bool = False


class DiscoveryChanged(NamedTuple):
    """The configuration was reloaded; the endpoint list comes from the discovery that it names."""


class Request(NamedTuple):
    """A client's request for a connection; it must get exactly one final answer before its deadline."""

    # Unique at this balancer.
    id: RequestId

    # Index in Settings.request_classes.
    request_class: int

    # Absolute time before which the final answer must be given, ms.
    deadline: float

    # Index in Settings.tenant_quotas.
    tenant: int = 0

    # Identifies the client; None: not known.
    client_key: ClientKey = None

    # The affinity group, whose connections share work; None: no group.
    affinity_group: AffinityGroup = None

    # The usual load of the connection, ms of work per second; None: not known.
    load: float | None = None

    # The client sent the same request before and got a final answer.
    is_retry: bool = False

    # Its packets belong to a connection that is already established at some endpoint.
    is_established: bool = False

    # The client reconnects after its connection ended.
    is_reconnect: bool = False

    # The client's own id of the request, the same if it sends the request again; None: not known.
    idempotency_key: str | None = None


class ConnectionAdopted(NamedTuple):
    """A connection that was already open through this balancer when the policy started.

    Attempt 0 is established, and the client needs no answer.
    """

    # The request that the client sent.
    request: Request

    # The endpoint that holds the connection.
    endpoint_id: EndpointId


class AttemptEstablished(NamedTuple):
    """The endpoint accepted the connection; the client has its final answer."""

    # The request that was attempted.
    request_id: RequestId

    # Number of the attempt, from 0 for each request.
    attempt: int

    # The endpoint that holds the connection.
    endpoint_id: EndpointId

    # From the start of the attempt, ms.
    elapsed_ms: float


class ConnectionSignal(NamedTuple):
    """A measurement of an open connection."""

    # The request that the connection belongs to.
    request_id: RequestId

    # Number of the established attempt, from 0 for each request.
    attempt: int

    # The endpoint that holds the connection.
    endpoint_id: EndpointId

    # A SignalKind; other numbers are ignored.
    kind: int

    # In the unit of the kind.
    value: float


class AttemptEnded(NamedTuple):
    """The end of an attempt or of the connection that it established."""

    # The request that was attempted.
    request_id: RequestId

    # Number of the attempt, from 0 for each request.
    attempt: int

    # The endpoint that it was sent to.
    endpoint_id: EndpointId

    # The result.
    status: AttemptStatus

    # From the start of the attempt, ms.
    elapsed_ms: float

    # True: the request has ended as well and needs no further answer.
    request_closed: bool = False

    # The endpoint's load report, fields in the order of the settings; empty: none received.
    load_report: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client disconnected before its final answer."""

    # The request that the client abandoned.
    request_id: RequestId


class ShutdownStarted(NamedTuple):
    """The balancer is shutting down.

    No further attempt is started, and each request without a running attempt gets its final answer.
    """


class TimerFired(NamedTuple):
    """A timer that the policy started has fired."""

    # The token of its StartTimer action.
    token: int


class LoadReportReceived(NamedTuple):
    """The answer to a PollLoadReport."""

    # The endpoint that was polled.
    endpoint_id: EndpointId

    # The result of the poll.
    status: AttemptStatus

    # From the start of the poll to its answer, ms.
    elapsed_ms: float

    # The endpoint's load report, fields in the order of the settings; empty: it has none yet.
    load_report: tuple[float, ...] = ()


Event: TypeAlias = (
    EndpointListUpdate
    | DiscoveryChanged
    | Request
    | ConnectionAdopted
    | AttemptEstablished
    | ConnectionSignal
    | AttemptEnded
    | ClientDisconnected
    | ShutdownStarted
    | TimerFired
    | LoadReportReceived
)
