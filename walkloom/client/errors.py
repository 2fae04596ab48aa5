"""The exceptions of the client library.

    ClientError
    +-- Rejected        a balancer, or the admission gate of the request's class, rejected the request
    +-- TimedOut        the request's deadline leaves no time for another attempt
    +-- Failed          the request failed, or the session ended with an error
    +-- TooMany         the session limit of the client is reached
    +-- Interrupted     an established session lost its connection with lines unanswered
    +-- ProtocolError   the peer does not speak the line protocol

    ValueError
    +-- InvalidArgumentError   a setting or an argument is out of range

Messages are meant for people, not for parsing. `Refused` is the former name of `Rejected`, kept for one
release.
"""

from __future__ import annotations


class ClientError(Exception):
    """Base class of the errors of the library, except InvalidArgumentError."""


class Rejected(ClientError):
    """A balancer, or the admission gate after an earlier rejection, rejected the request.

    Attributes:
        retry_after: milliseconds to wait before a retry, counted from the raise; 0.0 if no wait is needed.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__(f"rejected; retry after {retry_after:.0f} ms" if retry_after else "rejected")
        self.retry_after = retry_after


Refused = Rejected


class TimedOut(ClientError):
    """The deadline of the request has passed, or is too close for another attempt to finish."""


class Failed(ClientError):
    """The request failed, or the session ended with an error; the message gives the reason."""


class TooMany(ClientError):
    """The client already holds `Limits.sessions` sessions."""


class Interrupted(ClientError):
    """An established session was migrated or lost its connection while lines were unanswered.

    `receive` raises it once; call `receive` again to continue. The server may have processed the unanswered
    lines; the library never sends them again.

    Attributes:
        unanswered: the unanswered lines, oldest first, as passed to `send`.
        why: "moved" for a migration, otherwise the error.
        over: whether the session ends here (`open(..., returns=False)`) instead of reconnecting.
    """

    def __init__(self, unanswered: tuple[str, ...], why: str, over: bool = False) -> None:
        super().__init__(f"{why}; {len(unanswered)} lines have no answer")
        self.unanswered = unanswered
        self.why = why
        self.over = over


class InvalidArgumentError(ValueError):
    """A setting or an argument is out of range; raised before it has any effect.

    Attributes:
        name: name of the setting or the argument.
        value: the invalid value.
    """

    def __init__(self, name: str, value: object, message: str) -> None:
        super().__init__(message)
        self.name = name
        self.value = value


class ProtocolError(ClientError):
    """The peer sent bytes that no balancer sends: a line that is too long, or not text."""
