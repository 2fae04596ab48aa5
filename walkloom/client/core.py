"""The core of one client: the interface that its driver calls. It does no I/O and reads no clock.

A driver reports each event (`connection_made`, `data_received`, ...) with the current time. It then calls
`poll`, carries out the returned commands, and calls `poll` again at `next_wake_at` or after the next event.
Two invariants hold: a session has at most one connection at a time (`Disconnect` of the old one precedes
`Connect` of the new one), and a request ends exactly once, through `RequestResults` or through `close`.

The components, each with its own state:

    AttemptScheduler      queued requests and attempts in flight
    AttemptHandler        the outcome of an attempt: success, retry or error of its request
    EstablishedSessions   lines on established connections, and the end of these connections
    ReconnectScheduler    sessions that lost their connection and wait to reconnect
    RequestResults        the one result of each request

Times are milliseconds of one monotonic clock. A time before the latest one is treated as the latest one.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random

from walkloom.client.attempt_scheduler import AttemptScheduler
from walkloom.client.attempts import AttemptHandler
from walkloom.client.balancer_pool import BalancerPool
from walkloom.client.commands import Command, Connect, Disconnect, Notify, Write
from walkloom.client.context import ClientContext
from walkloom.client.errors import Failed, InvalidArgumentError, TooMany
from walkloom.client.established import EstablishedSessions
from walkloom.client.metrics import Figures
from walkloom.client.reconnects import ReconnectScheduler
from walkloom.client.request_results import RequestResults
from walkloom.client.retry_budget import RetryBudget
from walkloom.client.session import Session, SessionState
from walkloom.client.settings import ClassPolicy, Limits
from walkloom.client.wire import SessionAttributes

__all__ = ["ClientCore", "Command", "Connect", "Disconnect", "Notify", "Write"]

MAX_ID = (1 << 64) - 1
MAX_EXPECTED_LOAD = 1e9  # ms of work per second; far above the load of any server


class ClientCore:
    """All sessions of one client.

    balancers: host and port of each. seed: of all random draws; None uses the system's entropy.
    Raises InvalidArgumentError for invalid settings.
    """

    def __init__(
        self,
        balancers: Sequence[tuple[str, int]],
        classes: Sequence[ClassPolicy],
        limits: Limits,
        seed: int | None = None,
    ) -> None:
        random = Random(seed)
        budget = RetryBudget(limits.retry_share, limits.retry_reserve)
        self.limits = limits
        self._context = ClientContext(limits, random, budget)
        self._pool = BalancerPool(balancers, random)
        if not classes or len({policy.name for policy in classes}) < len(classes):
            raise InvalidArgumentError("classes", classes, "a client needs at least one class, and each once")
        policies = sorted(classes, key=lambda policy: -policy.priority_weight)
        self._reconnects = ReconnectScheduler(self._context, policies)
        self._results = RequestResults(self._context, self._reconnects)
        self._established = EstablishedSessions(self._context, self._reconnects)
        self._scheduler = AttemptScheduler(self._context, policies, self._pool, self._results)
        self._attempts = AttemptHandler(
            self._context, self._pool, self._scheduler, self._results, self._established
        )
        self._last_session_id = 0
        self._now = -math.inf

    # Calls of the application

    def open(
        self,
        now: float,
        cls: str,
        *,
        tenant: str = "",
        group: int = 0,
        key: int = 0,
        load: float | None = None,
        returns: bool = True,
    ) -> Session:
        """Open a session and begin its first request now.

        Raises InvalidArgumentError for arguments out of range; Rejected, TimedOut or TooMany if the request
        cannot begin.
        """
        now = self._advance_clock(now)
        request_class = self._scheduler.classes.get(cls)
        if request_class is None:
            class_names = ", ".join(self._scheduler.classes)
            raise InvalidArgumentError(
                "cls", cls, f"no class {cls!r}; the classes of this client are {class_names}"
            )
        attributes = _checked_attributes(SessionAttributes(cls, tenant, key, group, load))
        if len(self._context.sessions) >= self.limits.sessions:
            raise TooMany(f"{self.limits.sessions} sessions are open, which is the limit")
        self._last_session_id += 1
        session = Session(self._last_session_id, request_class.policy, attributes, returns)
        self._context.sessions[session.session_id] = session
        self._scheduler.begin_request(session, now)
        if session.state is SessionState.CLOSED:
            assert session.error
            raise session.error
        return session

    def send(self, session: Session, line: str, now: float) -> None:
        """Send a line; call only while `may_send` is true.

        Raises InvalidArgumentError if the line is invalid.
        """
        self._established.send(session, line, self._advance_clock(now))

    def may_send(self, session: Session) -> bool:
        """Whether the session is established and has room for a line."""
        has_room = len(session.unanswered) < self.limits.lines_out and not session.write_blocked
        return session.state is SessionState.ESTABLISHED and has_room

    def wants_data(self, session: Session) -> bool:
        """Whether its socket should be read; bounds memory if the caller does not receive."""
        has_room = len(session.inbox) < self.limits.lines_in
        return session.state is not SessionState.ESTABLISHED or has_room

    @staticmethod
    def has_pending(session: Session) -> bool:
        """Whether `take_pending` has a line, an error or the end of the session for the caller."""
        return bool(session.inbox) or session.state is SessionState.CLOSED

    def take_pending(self, session: Session) -> str | None:
        """Return the next line for the caller; None if the server ended the session regularly.

        Call only while `has_pending` is true. Raises Interrupted at the position of the interruption among
        the lines, and the error that ended a closed session.
        """
        if session.inbox:
            item = session.inbox.popleft()
            if isinstance(item, str):
                return item
            raise item
        if session.error:
            raise session.error
        return None

    def close(self, session: Session, now: float) -> None:
        """End the session on behalf of its caller; does nothing if it is closed."""
        now = self._advance_clock(now)
        if session.state is SessionState.CLOSED:
            return
        if session.state in (SessionState.QUEUED, SessionState.CONNECTING):
            self._context.counters.abandoned += 1
        if session.state is SessionState.CONNECTING:
            self._scheduler.cancel_attempt(session)
        elif session.state is SessionState.ESTABLISHED:
            self._context.disconnect(session, flush=True)
        self._reconnects.end(session, now, Failed("the session was closed"))

    def figures(self) -> Figures:
        """Return counters and histograms since the client's start."""
        sessions = self._context.sessions.values()
        established = sum(session.state is SessionState.ESTABLISHED for session in sessions)
        return self._context.metrics.snapshot(len(sessions), established)

    # Connection events

    def connection_made(self, session: Session, connection_id: int, now: float) -> None:
        """Report that a connection is open."""
        now = self._advance_clock(now)
        if session.state is SessionState.CONNECTING and session.connection_id == connection_id:
            self._attempts.connection_made(session, now)

    def connect_failed(self, session: Session, connection_id: int, now: float, reason: str) -> None:
        """Report that a connection could not be opened."""
        now = self._advance_clock(now)
        if session.state is SessionState.CONNECTING and session.connection_id == connection_id:
            self._attempts.connection_failed(session, now, reason)

    def data_received(self, session: Session, connection_id: int, data: bytes, now: float) -> None:
        """Report bytes received from the peer."""
        now = self._advance_clock(now)
        if connection_id != session.connection_id:
            return
        if session.state is SessionState.CONNECTING:
            self._attempts.data_received(session, data, now)
        elif session.state is SessionState.ESTABLISHED:
            self._established.data_received(session, data, now)

    def connection_ended(self, session: Session, connection_id: int, now: float, reason: str = "") -> None:
        """Report that the peer ended the connection; reason: the error, empty for a regular end."""
        now = self._advance_clock(now)
        if connection_id != session.connection_id:
            return
        if session.state is SessionState.CONNECTING:
            reason = reason or "the balancer closed the connection without an answer"
            self._attempts.connection_failed(session, now, reason)
        elif session.state is SessionState.ESTABLISHED:
            self._established.connection_ended(session, now, reason)

    # Polling

    def poll(self, now: float) -> list[Command]:
        """Handle due timers, reconnects and attempts; return the commands for the driver, in order."""
        now = self._advance_clock(now)
        while (due_session := self._context.timers.pop_due(now)) is not None:
            self._timer_fired(due_session, now)
        while (session := self._next_reconnect(now)) is not None:
            self._scheduler.begin_request(session, now)
        self._scheduler.start_attempts(now)
        commands = self._context.commands
        self._context.commands = []
        return commands

    def next_wake_at(self) -> float:
        """Time of the next `poll` call if no event comes before it; infinite for never."""
        return min(
            self._context.timers.next_due_at(),
            self._reconnects.next_release_at(lambda name: self._scheduler.admitted_at(name, self._now)),
            self._scheduler.next_start_at(self._now),
        )

    def _timer_fired(self, session: Session, now: float) -> None:
        match session.state:
            case SessionState.CONNECTING:
                self._attempts.timer_fired(session, now)
            case SessionState.QUEUED:
                self._scheduler.timer_fired(session, now)
            case SessionState.ESTABLISHED:
                self._established.timer_fired(session, now)
            case SessionState.BACKING_OFF:
                self._reconnects.timer_fired(session, now)

    def _next_reconnect(self, now: float) -> Session | None:
        return self._reconnects.release(now, lambda name: self._scheduler.admits_reconnect(name, now))

    def _advance_clock(self, now: float) -> float:
        self._now = max(self._now, now)
        return self._now


def _checked_attributes(attributes: SessionAttributes) -> SessionAttributes:
    tenant = attributes.tenant
    if not all("!" <= character <= "~" and character not in ",=" for character in tenant):
        raise InvalidArgumentError(
            "tenant",
            tenant,
            f"tenant {tenant!r} must be printable ASCII without spaces, commas or equals signs",
        )
    for name, value in (("key", attributes.client_key), ("group", attributes.affinity_group)):
        if not 0 <= value <= MAX_ID:
            raise InvalidArgumentError(name, value, "key and group must fit in 64 bits")
    load = attributes.expected_load
    if load is not None and not (math.isfinite(load) and 0 <= load <= MAX_EXPECTED_LOAD):
        raise InvalidArgumentError("load", load, "load must be 0 to 1e9 ms of work per second")
    return attributes
