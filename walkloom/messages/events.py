"""Events: what the policy takes in, one at a time, each with the time at which it is handled."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, TypeAlias

from walkloom.messages.identifiers import AffinityGroup, ClientKey, EndpointId, RequestId


class Lifecycle(IntEnum):
    """What the endpoint list says of an endpoint."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """What an update of the endpoint list holds."""

    INCREMENTAL = 0  # the endpoints that changed
    SNAPSHOT = 1  # all endpoints
    CACHED = 2  # all endpoints, as this balancer had them last; may be old
    FAILED = 3  # nothing: the list could not be had


class ListFailure(IntEnum):
    """What a call that brought no endpoint list tells of discovery."""

    # Nothing: it may be silent, crowded, or broken, and tell others what this balancer misses.
    UNANSWERED = 0
    # It refused at once: it is down, so that nobody learns of a change.
    UNREACHABLE = 1
    # It refused after a while: it has more calls than it can answer.
    OVERLOADED = 2


class AttemptStatus(IntEnum):
    """How an attempt or a poll ended.

    Those in NEVER_RAN prove that the endpoint did nothing for the request.
    """

    ERROR = 0
    OK = 1
    AT_CAPACITY = 2
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    CONNECTION_RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


# After these a request may be sent again whatever its idempotency.
NEVER_RAN = (AttemptStatus.AT_CAPACITY, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)


class SignalKind(IntEnum):
    """What a signal of an open connection tells."""

    LOAD = 1  # the connection's load, ms of work a second
    MESSAGE_DELAY = 2  # what a message takes at its endpoint, ms


class Endpoint(NamedTuple):
    """One line of the endpoint list."""

    # The same over restarts of the endpoint.
    id: EndpointId

    # Index of its zone; one that the settings do not name counts as one more.
    zone: int = 0

    # Index of its machine type; one that the settings do not name counts as one more.
    machine_type: int = 0

    # Number of its cell, within which repeats may be dropped.
    cell: int = 0

    # Whether it takes connections.
    lifecycle: Lifecycle = Lifecycle.READY

    # Its capacity, relative to that of the others.
    capacity_weight: float = 1.0

    # Time of its last start, ms; 0: long ago.
    started_at: float = 0.0


class EndpointListUpdate(NamedTuple):
    """The endpoint list or what changed in it."""

    # What `endpoints` holds.
    kind: UpdateKind

    # Without repeats, in no order that matters; empty when FAILED.
    endpoints: tuple[Endpoint, ...] = ()

    # When discovery wrote it at the latest, ms; None: the wire does not tell.
    confirmed_at: float | None = None

    # What the call took beyond the time that discovery was asked to hold it, ms; 0: not known.
    call_ms: float = 0.0

    # FAILED only: what that tells.
    failure: ListFailure = ListFailure.UNANSWERED

    # FAILED only: until when a watch was open over a sound connection, ms; None: there was none.
    watched_until: float | None = None


class Request(NamedTuple):
    """A client's try; one final answer is owed before the deadline."""

    # Unique at this balancer.
    id: RequestId

    # Index in Settings.request_classes.
    request_class: int

    # Absolute time before which the final answer is owed, ms.
    deadline: float

    # Index in Settings.tenant_quotas.
    tenant: int = 0

    # The client; None: not known.
    client_key: ClientKey = None

    # The group whose connections share work; None: none.
    affinity_group: AffinityGroup = None

    # The connection's usual load, ms of work a second; None: not known.
    load: float | None = None

    # The client tried the same before and got a final answer.
    is_retry: bool = False

    # Its packets belong to a connection that stands at some endpoint already.
    is_established: bool = False

    # The client comes back after its connection ended.
    is_reconnect: bool = False


class ConnectionAdopted(NamedTuple):
    """A connection that stood through this balancer at its start: attempt 0 is made, no answer is owed."""

    # What the client asked for.
    request: Request

    # Where it stands.
    endpoint_id: EndpointId


class AttemptEstablished(NamedTuple):
    """The endpoint has taken the connection; the client's final answer is given."""

    # The request that the attempt is for.
    request_id: RequestId

    # Number of the attempt, from 0 for each request.
    attempt: int

    # Where it stands.
    endpoint_id: EndpointId

    # From the start of the attempt, ms.
    elapsed_ms: float


class ConnectionSignal(NamedTuple):
    """News of an open connection."""

    # The request whose connection it is.
    request_id: RequestId

    # Number of the attempt that stands, from 0 for each request.
    attempt: int

    # Where it stands.
    endpoint_id: EndpointId

    # A SignalKind; other numbers may come and are ignored.
    kind: int

    # In the unit that the kind names.
    value: float


class AttemptEnded(NamedTuple):
    """How an attempt or the connection that it set up ended."""

    # The request that the attempt was for.
    request_id: RequestId

    # Number of the attempt, from 0 for each request.
    attempt: int

    # Where it was sent.
    endpoint_id: EndpointId

    # How it ended.
    status: AttemptStatus

    # From the start of the attempt, ms.
    elapsed_ms: float

    # True: the request is over too, and nothing more is owed for it.
    request_closed: bool = False

    # The endpoint's figures, in the order of the settings; empty: none came.
    load_report: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client left before its final answer."""

    # The request that it no longer waits for.
    request_id: RequestId


class ShutdownStarted(NamedTuple):
    """The balancer ends: no further attempt, and every request with none out gets its final answer."""


class TimerFired(NamedTuple):
    """A timer that the policy started is due."""

    # As in its StartTimer.
    token: int


class LoadReportReceived(NamedTuple):
    """The answer to a PollLoadReport."""

    # Who was asked.
    endpoint_id: EndpointId

    # How the poll ended.
    status: AttemptStatus

    # From the question to the answer, ms.
    elapsed_ms: float

    # The endpoint's figures, in the order of the settings; empty: it has none yet.
    load_report: tuple[float, ...] = ()


Event: TypeAlias = (
    EndpointListUpdate
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
