"""What a user configures: the classes of requests, and the limits of one client.

The field names are public: users write them as keywords. `ClassPolicy` has the terms that the rest of the
library uses as properties beside them.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from walkloom.client.errors import InvalidArgumentError

MAX_ATTEMPTS = 3  # more would multiply the load of a fleet that fails; the retry budget bounds the rest
MAX_REQUEST_TIMEOUT_MS = 600_000.0  # ten minutes: nobody waits longer for a set-up
MAX_PORT = 65_535
_CLASS_NAME = re.compile(r"[a-z0-9][A-Za-z0-9_.-]{0,63}")


@dataclass(frozen=True, slots=True)
class ClassPolicy:
    """One class of requests, named as the balancers' settings name it.

    Raises InvalidArgumentError for values out of range.
    """

    name: str
    aim_ms: float  # latency objective: a session is to be established within this
    give_up_ms: float  # timeout of a request over all its attempts
    tries: int = 3  # most attempts of a request, 1 to MAX_ATTEMPTS
    worth: float = 1.0  # priority weight: a class with a higher weight goes first

    def __post_init__(self) -> None:
        if not _CLASS_NAME.fullmatch(self.name):
            message = f"class name {self.name!r}: letters, digits, _ . and - only"
            raise InvalidArgumentError("name", self.name, message)
        owner = f"class {self.name}"
        _require(self, owner, "aim_ms", 0 < self.aim_ms <= self.give_up_ms, "over 0, up to give_up_ms")
        _require(self, owner, "give_up_ms", self.give_up_ms <= MAX_REQUEST_TIMEOUT_MS, "at most 600,000")
        _require(self, owner, "tries", 1 <= self.tries <= MAX_ATTEMPTS, "1 to 3")
        _require(self, owner, "worth", self.worth > 0, "over 0")

    @property
    def latency_objective_ms(self) -> float:
        """Time within which a session is to be established (the field `aim_ms`)."""
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
        """Weight by which classes go first (the field `worth`)."""
        return self.worth


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one client; durations in milliseconds.

    Raises InvalidArgumentError for values out of range.
    """

    sessions: int = 10_000  # most sessions, established or not
    setups: int = 64  # most attempts in flight
    lines_out: int = 256  # unanswered lines of a session before `send` waits
    bytes_out: int = 65_536  # unwritten bytes of a session before `send` waits
    lines_in: int = 256  # lines of a session not yet received before its socket is no longer read
    connect_ms: float = 300.0  # connect timeout
    least_ms: float = 10.0  # assumed duration of an attempt until one of the class has succeeded
    retry_share: float = 0.1  # retries allowed for each success of the last ten seconds
    retry_reserve: int = 10  # retries allowed beside those, in any ten seconds
    backoff_ms: float = 50.0  # the first backoff is drawn from 0 to this; it doubles with each attempt
    backoff_most_ms: float = 2_000.0  # upper bound of that doubling
    silence_ms: float = 7_000.0  # a line unanswered for this long breaks the session
    returns_per_s: float = 100.0  # pace of reconnects after a drain ...
    return_first_ms: float = 1_000.0  # ... from a moment drawn from 0 to this ...
    return_window_ms: float = 20_000.0  # ... and faster if they would take longer than this
    return_for_ms: float = 60_000.0  # a session that cannot reconnect for this long ends

    def __post_init__(self) -> None:
        for name in ("sessions", "setups", "lines_out", "bytes_out", "lines_in"):
            _require(self, "limits", name, getattr(self, name) >= 1, "at least 1")
        for name in ("connect_ms", "least_ms", "backoff_ms", "silence_ms", "returns_per_s"):
            _require(self, "limits", name, getattr(self, name) > 0, "over 0")
        for name in ("return_first_ms", "return_window_ms", "return_for_ms", "retry_reserve"):
            _require(self, "limits", name, getattr(self, name) >= 0, "0 or more")
        _require(self, "limits", "retry_share", 0 <= self.retry_share <= 1, "0 to 1")
        _require(
            self, "limits", "backoff_most_ms", self.backoff_most_ms >= self.backoff_ms, "at least backoff_ms"
        )


def _require(settings: ClassPolicy | Limits, owner: str, name: str, valid: bool, rule: str) -> None:
    if not valid:
        raise InvalidArgumentError(name, getattr(settings, name), f"{owner}: {name} must be {rule}")


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port` or `[v6]:port` into host and port.

    Raises InvalidArgumentError for any other text.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise InvalidArgumentError("address", text, f"not host:port: {text!r}")
    return host, int(port)
