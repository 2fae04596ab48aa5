"""Errors of endpoint discovery.

DiscoveryError
├── MalformedEndpointListError    the response is not an endpoint list
├── ConnectTimeoutError           discovery does not accept a connection
├── ConnectRefusedError           nothing listens at discovery's address
├── ResponseStatusError           the status of the response is not 200
├── ResponseTooLargeError         the body exceeds the limit
├── ResponseIncompleteError       the connection ended or broke before the response was complete
├── CallStalledError              no response came within the time limit of a call
└── UnsolicitedResponseError      further bytes followed the response

Their texts are written to the field `error` of the log event `discovery_failed`.
"""

from __future__ import annotations


class DiscoveryError(Exception):
    """A call to discovery that returned no endpoint list; the text is the reason."""


class MalformedEndpointListError(DiscoveryError):
    """A response that is not an endpoint list, or whose entries are all invalid."""

    def __init__(self, problem: Exception) -> None:
        super().__init__(f"malformed: {problem!r}")
        self.problem = problem


class ConnectTimeoutError(DiscoveryError):
    """Discovery did not accept a connection in time."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__("connection not accepted in time")
        self.host = host
        self.port = port


class ConnectRefusedError(DiscoveryError):
    """Nothing listens at discovery's address."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__("connection refused")
        self.host = host
        self.port = port


class ResponseStatusError(DiscoveryError):
    """Discovery answered with an HTTP status other than 200."""

    def __init__(self, status_code: int) -> None:
        super().__init__(f"status {status_code}")
        self.status_code = status_code


class ResponseTooLargeError(DiscoveryError):
    """The body of a response exceeds the limit."""

    def __init__(self, received_bytes: int) -> None:
        super().__init__("response body too large")
        self.received_bytes = received_bytes


class ResponseIncompleteError(DiscoveryError):
    """The connection ended or broke before the response was complete.

    received_bytes: length of the part that was received, its head included.
    """

    def __init__(self, received_bytes: int, reason: str = "closed") -> None:
        super().__init__(reason)
        self.received_bytes = received_bytes


class CallStalledError(DiscoveryError):
    """No response came within the time limit of a call."""

    def __init__(self) -> None:
        super().__init__("stalled")


class UnsolicitedResponseError(DiscoveryError):
    """Further bytes followed a response, although no call was in progress."""

    def __init__(self, data: bytes) -> None:
        super().__init__("unexpected data after the response")
        self.data = data
