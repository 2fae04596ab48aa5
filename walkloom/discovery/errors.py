"""Errors of endpoint discovery.

DiscoveryError
├── MalformedEndpointListError    the response is not an endpoint list
├── ConnectTimeoutError           discovery does not accept a connection
├── ConnectRefusedError           nothing listens at discovery's address
├── ResponseStatusError           the response has another status than 200
├── ResponseTooLargeError         the body exceeds the limit
├── ResponseIncompleteError       the connection ended or broke before the response was complete
├── CallStalledError              no response came in the time that a call may take
└── UnsolicitedResponseError      bytes followed the response that no call asked for

Their texts are the `error` of the log event `discovery_failed`.
"""

from __future__ import annotations


class DiscoveryError(Exception):
    """A call to discovery that brought no endpoint list; the text says why."""


class MalformedEndpointListError(DiscoveryError):
    """A response that is not an endpoint list, or has no entry that can be used."""

    def __init__(self, problem: Exception) -> None:
        super().__init__(f"malformed: {problem!r}")
        self.problem = problem


class ConnectTimeoutError(DiscoveryError):
    """Discovery did not accept a connection in time."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__("does not accept")
        self.host = host
        self.port = port


class ConnectRefusedError(DiscoveryError):
    """Nothing listens at discovery's address."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__("connection refused")
        self.host = host
        self.port = port


class ResponseStatusError(DiscoveryError):
    """Discovery answered with another HTTP status than 200."""

    def __init__(self, status_code: int) -> None:
        super().__init__(f"status {status_code}")
        self.status_code = status_code


class ResponseTooLargeError(DiscoveryError):
    """The body of a response exceeds the limit."""

    def __init__(self, received_bytes: int) -> None:
        super().__init__("too large")
        self.received_bytes = received_bytes


class ResponseIncompleteError(DiscoveryError):
    """The connection ended or broke before the response was complete.

    received_bytes: what had come of the response, its head included.
    """

    def __init__(self, received_bytes: int, reason: str = "closed") -> None:
        super().__init__(reason)
        self.received_bytes = received_bytes


class CallStalledError(DiscoveryError):
    """No response came in the time that a call may take."""

    def __init__(self) -> None:
        super().__init__("stalled")


class UnsolicitedResponseError(DiscoveryError):
    """Bytes followed a response that no call asked for."""

    def __init__(self, data: bytes) -> None:
        super().__init__("an answer to no call")
        self.data = data
