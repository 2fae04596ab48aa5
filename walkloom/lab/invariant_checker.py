"""Checks the balancers' invariants on the traffic that stub servers and stub discovery observe. No I/O.

Stub servers report every attempt; stub discovery reports every notification that a server drains or was
removed. The rules are the platform's, with slack for the delays of real sockets. All times are ms of the
laboratory's clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_ATTEMPTS = 3  # of one request; the platform's value
DRAIN_GRACE_MS = 500.0  # how long attempts may still reach a draining server; the platform's value
SLACK_MS = 50.0  # for scheduling and socket delays between a decision and the server
MAX_NOTICE_SPREAD_MS = 6000.0  # all watchers are notified of a change within this time after the first
MAX_RECORDED_VIOLATIONS = 100  # further ones are only counted: one cause can break a rule in every request


@dataclass(slots=True)
class Attempt:
    """One request line received by a stub server."""

    server: str
    started_at_ms: float
    ended_at_ms: float | None = None
    outcome: str = ""  # the first word of the answer, or "reset", or "left" if the client closed first


class UnreadyNotice(NamedTuple):
    """The first and last time that discovery notified a watcher that a server is no longer ready."""

    first_ms: float
    last_ms: float


@dataclass
class InvariantChecker:
    """Records attempts and checks the rules on them.

    A request has at most three attempts, never two at once, and none at a server whose drain was notified
    longer ago than the drain grace.
    """

    attempts: dict[str, list[Attempt]] = field(default_factory=dict)  # by request id
    outcomes: Counter[str] = field(default_factory=Counter)
    # the first MAX_RECORDED_VIOLATIONS; `violation_count` counts all
    violations: list[str] = field(default_factory=list)
    violation_count: int = 0
    _unready_notices: dict[str, UnreadyNotice] = field(default_factory=dict)

    def record_violation(self, description: str) -> None:
        """Count a violation, and keep its description if it is one of the first."""
        self.violation_count += 1
        if len(self.violations) < MAX_RECORDED_VIOLATIONS:
            self.violations.append(description)

    def watcher_notified(self, server: str, is_ready: bool, now_ms: float) -> None:
        """Record that discovery has notified a watcher of a server's state."""
        if is_ready:
            self._unready_notices.pop(server, None)
            return
        notice = self._unready_notices.get(server)
        first_ms = notice.first_ms if notice else now_ms
        # All watchers have been notified by then. A later notification is a repeated one, to a watcher that
        # polls the list again.
        self._unready_notices[server] = UnreadyNotice(first_ms, min(now_ms, first_ms + MAX_NOTICE_SPREAD_MS))

    def attempt_started(
        self, server: str, request_id: str, now_ms: float, is_adopted: bool = False
    ) -> Attempt:
        """Record a request line that a server has received, and check the rules on it.

        `is_adopted`: the connection was established earlier (`at=` on the wire), so a draining server may
        still receive it.
        """
        attempt = Attempt(server, now_ms)
        earlier = self.attempts.setdefault(request_id, [])
        if any(other.ended_at_ms is None for other in earlier):
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
        notice = self._unready_notices.get(server)
        if notice is None or now_ms <= notice.last_ms + DRAIN_GRACE_MS + SLACK_MS:
            return
        late_ms = now_ms - notice.last_ms
        self.record_violation(
            f"attempt at {server} {late_ms:.0f} ms after notice of its drain: id {request_id}"
        )

    def attempt_ended(self, attempt: Attempt, outcome: str, now_ms: float) -> None:
        """Record the outcome of an attempt; outcomes after the first are ignored."""
        if attempt.ended_at_ms is None:
            attempt.ended_at_ms = now_ms
            attempt.outcome = outcome
            self.outcomes[outcome] += 1
