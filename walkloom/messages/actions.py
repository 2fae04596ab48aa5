"""Actions: what the policy asks for, to be carried out in order."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, TypeAlias

from walkloom.messages.identifiers import EndpointId, RequestId


class AnswerReason(Enum):
    """Why a request gets its final answer from the balancer and not from an endpoint; for the log."""

    UNSPECIFIED = "unspecified"
    # The list names no endpoint that may be used.
    NO_ENDPOINT = "no_endpoint"
    # Discovery has not confirmed the list for so long that any endpoint may drain.
    LIST_EXPIRED = "list_expired"
    # All usable endpoints are full, paused or still cold.
    AT_CAPACITY = "at_capacity"
    # Too little of the request's time is left for one more attempt.
    DEADLINE = "deadline"
    # It has had as many attempts as are allowed.
    ATTEMPTS_USED = "attempts_used"
    # An attempt may have run, and one more is not harmless.
    NOT_REPEATABLE = "not_repeatable"
    # The balancer shuts down.
    SHUTDOWN = "shutdown"
    # No descriptor is left for the request's connections.
    NO_DESCRIPTOR = "no_descriptor"
    # The request line is in a form that no client sends, or something followed it too early.
    MALFORMED = "malformed"
    # A fault of this program.
    INTERNAL_ERROR = "internal_error"


class StartAttempt(NamedTuple):
    """Start the request's next attempt."""

    # The request that the attempt is for.
    request_id: RequestId

    # Where to send it.
    endpoint_id: EndpointId

    # It ends unless it stands after so long, ms; 0: until the client's deadline.
    timeout_ms: float = 0.0


class Reject(NamedTuple):
    """Give the final answer that the request was not served, and that trying again is harmless."""

    # The request that is answered.
    request_id: RequestId

    # The client is asked to come again after so long, ms; 0: nothing is said.
    retry_after_ms: float = 0.0

    # Why, for the log.
    reason: AnswerReason = AnswerReason.UNSPECIFIED


class Fail(NamedTuple):
    """Give the final answer that the request failed; nothing is promised of its effect."""

    # The request that is answered.
    request_id: RequestId

    # Why, for the log.
    reason: AnswerReason = AnswerReason.UNSPECIFIED


class StartTimer(NamedTuple):
    """Tell a TimerFired once a time has come; timers cannot be stopped."""

    # Absolute time, ms.
    fires_at: float

    # Comes back in the TimerFired.
    token: int


class PollLoadReport(NamedTuple):
    """Ask an endpoint for its load report; the answer, if one comes, is a LoadReportReceived."""

    # Whom to ask.
    endpoint_id: EndpointId


class WatchEndpointList(NamedTuple):
    """Follow the endpoint list from now on, what changed meanwhile first; each answer is an update."""

    # False: stop to follow it.
    enabled: bool = True


class MigrateConnection(NamedTuple):
    """End an open connection politely; its client comes again as a new request."""

    # The request whose connection it is.
    request_id: RequestId


class LogMessage(NamedTuple):
    """Write a line for the staff."""

    # Without the endpoint.
    text: str

    # The endpoint that it speaks of, for the caller to name; None: none.
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
