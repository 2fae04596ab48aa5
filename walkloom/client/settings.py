"""The settings of one client: the classes of requests, and the limits.

The field names are public: users pass them as keywords. `ClassPolicy` also has properties with the terms
that the rest of the library uses.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from walkloom.client.errors import InvalidArgumentError

MAX_ATTEMPTS = 3  # more would multiply the load on a failing fleet; the retry budget limits retries further
MAX_REQUEST_TIMEOUT_MS = 600_000.0  # ten minutes; no user waits longer for a set-up
MAX_PORT = 65_535
_CLASS_NAME = re.compile(r"[a-z0-9][A-Za-z0-9_.-]{0,63}")


@dataclass(frozen=True, slots=True)
class ClassPolicy:
    """One class of requests; its name is the one in the settings of the balancers.

    Raises InvalidArgumentError for values out of range.
    """

    name: str
    aim_ms: float  # latency objective: time within which a session should be established
    give_up_ms: float  # timeout of a request, over all its attempts
    tries: int = 3  # most attempts of a request, 1 to MAX_ATTEMPTS
    worth: float = 1.0  # priority weight; a class with a higher weight goes first

    def __post_init__(self) -> None:
        if not _CLASS_NAME.fullmatch(self.name):
            message = f"class name {self.name!r}: 1 to 64 letters, digits, _ . and -; first a-z or 0-9"
            raise InvalidArgumentError("name", self.name, message)
        subject = f"class {self.name}"
        _require(self, subject, "aim_ms", 0 < self.aim_ms <= self.give_up_ms, "over 0, at most give_up_ms")
        _require(self, subject, "give_up_ms", self.give_up_ms <= MAX_REQUEST_TIMEOUT_MS, "at most 600,000")
        _require(self, subject, "tries", 1 <= self.tries <= MAX_ATTEMPTS, "1 to 3")
        _require(self, subject, "worth", self.worth > 0, "over 0")

    @property
    def latency_objective_ms(self) -> float:
        """Time within which a session should be established (the field `aim_ms`)."""
        return self.aim_ms

    @property
    def request_timeout_ms(self) -> float:
        """Time after which a request ends, over all its attempts (the field `give_up_ms`)."""
        return self.give_up_ms

    @property
    def max_attempts(self) -> int:
        """Most attempts of a request (the field `tries`)."""
        return self.tries

    @property
    def priority_weight(self) -> float:
        """Weight by which classes are ordered, highest first (the field `worth`)."""
        return self.worth


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one client; durations in milliseconds.

    Raises InvalidArgumentError for values out of range.
    """

    sessions: int = 10_000  # most open sessions, established or not
    setups: int = 64  # most attempts in flight
    lines_out: int = 256  # unanswered lines of a session before `send` waits
    bytes_out: int = 65_536  # unwritten bytes of a session before `send` waits
    lines_in: int = 256  # lines that the caller has not received before the socket is no longer read
    connect_ms: float = 300.0  # connect timeout
    least_ms: float = 10.0  # assumed duration of an attempt until an attempt of the class has succeeded
    retry_share: float = 0.1  # retries allowed per success of the last ten seconds
    retry_reserve: int = 10  # retries allowed in addition, in any ten seconds
    backoff_ms: float = 50.0  # the first backoff is drawn from 0 to this; it doubles with each attempt
    backoff_most_ms: float = 2_000.0  # upper bound of that doubling
    silence_ms: float = 7_000.0  # timeout of the answer to a line; then the connection is closed
    returns_per_s: float = 100.0  # rate of reconnects after a drain
    return_first_ms: float = 1_000.0  # the first reconnect starts at a time drawn from 0 to this value
    return_window_ms: float = 20_000.0  # the rate rises if the reconnects would take longer than this
    return_for_ms: float = 60_000.0  # a session that has not reconnected within this time ends

    def __post_init__(self) -> None:
        for name in ("sessions", "setups", "lines_out", "bytes_out", "lines_in"):
            _require(self, "limits", name, getattr(self, name) >= 1, "at least 1")
        for name in ("connect_ms", "least_ms", "backoff_ms", "silence_ms", "returns_per_s"):
            _require(self, "limits", name, getattr(self, name) > 0, "over 0")
        for name in ("return_first_ms", "return_window_ms", "return_for_ms", "retry_reserve"):
            _require(self, "limits", name, getattr(self, name) >= 0, "at least 0")
        _require(self, "limits", "retry_share", 0 <= self.retry_share <= 1, "0 to 1")
        _require(
            self, "limits", "backoff_most_ms", self.backoff_most_ms >= self.backoff_ms, "at least backoff_ms"
        )


def _require(settings: ClassPolicy | Limits, subject: str, name: str, is_valid: bool, rule: str) -> None:
    if not is_valid:
        raise InvalidArgumentError(name, getattr(settings, name), f"{subject}: {name} must be {rule}")


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port` or `[v6]:port` into host and port.

    Raises InvalidArgumentError for any other text.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise InvalidArgumentError("address", text, f"not host:port: {text!r}")
    return host, int(port)
