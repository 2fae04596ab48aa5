"""The balancers' invariants, checked on what really crossed the sockets of a laboratory. No I/O.

Stub servers report every attempt, stub discovery every notice that a server drains or is gone. The rules are
those of the platform, with the slack that real sockets need. All times are ms of the laboratory's clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_ATTEMPTS = 3  # the platform's value, for each request
DRAIN_GRACE_MS = 500.0  # the platform's value: attempts may reach a server so long after its drain
SLACK_MS = 50.0  # for scheduling and sockets between a decision and the server
MAX_NOTICE_MS = 6000.0  # all watchers know of a change so long after the first of them
MAX_RECORDED_VIOLATIONS = 100  # more are only counted: one cause can break a rule in every request


@dataclass(slots=True)
class Attempt:
    """One request line at a stub server."""

    server: str
    started_ms: float
    ended_ms: float | None = None
    outcome: str = ""  # the first word of the answer, or "reset", "left"


class UnreadyNotice(NamedTuple):
    """When watchers of discovery were notified that a server is no longer ready."""

    first_ms: float
    last_ms: float


@dataclass
class InvariantChecker:
    """At most three attempts for a request, never two at once, none at a server that has long drained."""

    attempts: dict[str, list[Attempt]] = field(default_factory=dict)  # by request id
    outcomes: Counter[str] = field(default_factory=Counter)
    # the first ones; `violation_count` has them all
    violations: list[str] = field(default_factory=list)
    violation_count: int = 0
    _unready: dict[str, UnreadyNotice] = field(default_factory=dict)

    def record_violation(self, description: str) -> None:
        """Add a violation."""
        self.violation_count += 1
        if len(self.violations) < MAX_RECORDED_VIOLATIONS:
            self.violations.append(description)

    def watcher_notified(self, server: str, is_ready: bool, now_ms: float) -> None:
        """Note that discovery has notified one more watcher of a server's state."""
        if is_ready:
            self._unready.pop(server, None)
            return
        notice = self._unready.get(server)
        first_ms = notice.first_ms if notice else now_ms
        # a watcher that polls the list again later is not notified for the first time
        self._unready[server] = UnreadyNotice(first_ms, min(now_ms, first_ms + MAX_NOTICE_MS))

    def attempt_started(
        self, server: str, request_id: str, now_ms: float, is_adopted: bool = False
    ) -> Attempt:
        """Check a request line that a server has received.

        `is_adopted`: the connection was established before (`at=` on the wire), so that a server that drains
        may still receive it.
        """
        attempt = Attempt(server, now_ms)
        earlier = self.attempts.setdefault(request_id, [])
        if any(other.ended_ms is None for other in earlier):
            self.record_violation(
                f"two attempts at once: id {request_id} at {server} and {earlier[-1].server}"
            )
        earlier.append(attempt)
        if len(earlier) > MAX_ATTEMPTS:
            self.record_violation(f"attempt {len(earlier)} of id {request_id}")
        if not is_adopted:
            self._check_drain_grace(server, request_id, now_ms)
        return attempt

    def _check_drain_grace(self, server: str, request_id: str, now_ms: float) -> None:
        notice = self._unready.get(server)
        if notice is None or now_ms <= notice.last_ms + DRAIN_GRACE_MS + SLACK_MS:
            return
        late_ms = now_ms - notice.last_ms
        self.record_violation(
            f"attempt at {server} {late_ms:.0f} ms after notice of its drain: id {request_id}"
        )

    def attempt_ended(self, attempt: Attempt, outcome: str, now_ms: float) -> None:
        """Note the outcome of an attempt; only the first one counts."""
        if attempt.ended_ms is None:
            attempt.ended_ms = now_ms
            attempt.outcome = outcome
            self.outcomes[outcome] += 1
