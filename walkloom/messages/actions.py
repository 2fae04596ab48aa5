"""Actions: the output of the policy, to be carried out in order."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, TypeAlias

from walkloom.messages.identifiers import EndpointId, RequestId


class AnswerReason(Enum):
    """Why the balancer itself gave a request its final answer; for the log."""

    UNSPECIFIED = "unspecified"
    # The endpoint list has no usable endpoint.
    NO_ENDPOINT = "no_endpoint"
    # The list lease expired: any endpoint may have begun to drain since discovery last confirmed the list.
    LIST_EXPIRED = "list_expired"
    # All usable endpoints are at capacity, paused or cold.
    AT_CAPACITY = "at_capacity"
    # The deadline leaves too little time for another attempt.
    DEADLINE = "deadline"
    # The maximum number of attempts was made.
    ATTEMPTS_USED = "attempts_used"
    # An attempt may have run, and the request is not safe to repeat.
    NOT_REPEATABLE = "not_repeatable"
    # The balancer is shutting down.
    SHUTDOWN = "shutdown"
    # No file descriptor is left for the request's connections.
    NO_DESCRIPTOR = "no_descriptor"
    # The request line is invalid, or more data followed it before the answer.
    MALFORMED = "malformed"
    # A bug in the balancer.
    INTERNAL_ERROR = "internal_error"


class StartAttempt(NamedTuple):
    """Start the request's next attempt."""

    # The request to attempt.
    request_id: RequestId

    # The endpoint to send it to.
    endpoint_id: EndpointId

    # The attempt is abandoned if it is not established within this time, ms; 0: at the client's deadline.
    timeout_ms: float = 0.0


class Reject(NamedTuple):
    """Give the final answer that the request was not served and is safe to repeat."""

    # The request to answer.
    request_id: RequestId

    # The delay after which the client is asked to retry, ms; 0: the answer names none.
    retry_after_ms: float = 0.0

    # The reason, for the log.
    reason: AnswerReason = AnswerReason.UNSPECIFIED


class Fail(NamedTuple):
    """Give the final answer that the request failed; it may or may not have taken effect."""

    # The request to answer.
    request_id: RequestId

    # The reason, for the log.
    reason: AnswerReason = AnswerReason.UNSPECIFIED


class StartTimer(NamedTuple):
    """Request a TimerFired event at a given time; timers cannot be cancelled."""

    # Absolute time, ms.
    fires_at: float

    # Returned in the TimerFired event.
    token: int


class PollLoadReport(NamedTuple):
    """Poll an endpoint for its load report; the answer, if any, is a LoadReportReceived event."""

    # The endpoint to poll.
    endpoint_id: EndpointId


class WatchEndpointList(NamedTuple):
    """Watch the endpoint list, starting with the changes since the last update.

    Each answer is an EndpointListUpdate event.
    """

    # False: stop watching.
    enabled: bool = True


class MigrateConnection(NamedTuple):
    """End an open connection gracefully; its client reconnects with a new request."""

    # The request that the connection belongs to.
    request_id: RequestId


class LogMessage(NamedTuple):
    """Write a log line for operators."""

    # The text, without the name of the endpoint.
    text: str

    # The endpoint that the line is about; the caller adds its name. None: no endpoint.
    endpoint_id: EndpointId = None


Action: TypeAlias = (
    StartAttempt
    | Reject
    | Fail
    | StartTimer
    | PollLoadReport
    | WatchEndpointList
    | MigrateConnection
    | LogMessage
)
