"""What a user sets: the classes of requests, and the bounds of one client."""

from __future__ import annotations

import re
from dataclasses import dataclass

_NAME = re.compile(r"[a-z0-9][A-Za-z0-9_.-]{0,63}")


@dataclass(frozen=True, slots=True)
class ClassPolicy:
    """One class of requests, named as the balancers' settings name it.

    aim_ms: a set-up is wanted within. give_up_ms: over all tries of a request. tries: most tries of a
    request,
    1 to 3. worth: of a second of service; a class of more worth goes first.
    """

    name: str
    aim_ms: float
    give_up_ms: float
    tries: int = 3
    worth: float = 1.0

    def __post_init__(self) -> None:
        if not _NAME.fullmatch(self.name):
            raise ValueError(f"class name {self.name!r}: letters, digits, _ . and - only")
        _check(f"class {self.name}", "aim_ms", 0 < self.aim_ms <= self.give_up_ms, "over 0, up to give_up_ms")
        _check(f"class {self.name}", "give_up_ms", self.give_up_ms <= 600_000, "at most 600,000")
        _check(f"class {self.name}", "tries", 1 <= self.tries <= 3, "1 to 3")
        _check(f"class {self.name}", "worth", self.worth > 0, "over 0")


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one client. Times in milliseconds."""

    sessions: int = 10_000  # most sessions, standing or on their way
    setups: int = 64  # most set-ups at a time
    lines_out: int = 256  # lines of a session without an answer, before `send` waits
    bytes_out: int = 65_536  # bytes of a session not yet written, before `send` waits
    lines_in: int = 256  # lines of a session not yet received, before its socket is no longer read
    connect_ms: float = 300.0  # a balancer that accepts no connection within this is not asked
    least_ms: float = 10.0  # with less time left no try is begun, where no set-up has been seen yet
    retry_share: float = 0.1  # retries allowed for each success of the last ten seconds
    retry_reserve: int = 10  # and beside those, in any ten seconds
    backoff_ms: float = 50.0  # first back-off is drawn from 0 to this; it doubles with each try
    backoff_most_ms: float = 2_000.0
    silence_ms: float = 7_000.0  # a line without an answer for so long: the session is broken
    returns_per_s: float = 100.0  # sessions that were sent away come back at this pace ...
    return_first_ms: float = 1_000.0  # ... from a moment drawn from 0 to this
    return_window_ms: float = 20_000.0  # ... and faster where they would take longer than this
    return_for_ms: float = 60_000.0  # a session that cannot come back for so long is over

    def __post_init__(self) -> None:
        for name in ("sessions", "setups", "lines_out", "bytes_out", "lines_in"):
            _check("limits", name, getattr(self, name) >= 1, "at least 1")
        for name in ("connect_ms", "least_ms", "backoff_ms", "silence_ms", "returns_per_s"):
            _check("limits", name, getattr(self, name) > 0, "over 0")
        for name in ("return_first_ms", "return_window_ms", "return_for_ms", "retry_reserve"):
            _check("limits", name, getattr(self, name) >= 0, "0 or more")
        _check("limits", "retry_share", 0 <= self.retry_share <= 1, "0 to 1")
        _check("limits", "backoff_most_ms", self.backoff_most_ms >= self.backoff_ms, "at least backoff_ms")


def _check(what: str, name: str, good: bool, rule: str) -> None:
    if not good:
        raise ValueError(f"{what}: {name} must be {rule}")


def address(text: str) -> tuple[str, int]:
    """`host:port`, or `[v6]:port`, as a pair; ValueError says what is wrong with another text."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"not host:port: {text!r}")
    return host, int(port)
