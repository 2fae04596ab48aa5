"""Adapts the client's core to its characterisation: only this file uses names of the program.

The characterisation uses neutral words for states, limits, commands and errors, so a renaming in the program
does not change its digests.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from walkloom.client.commands import Command, Connect, Disconnect, Notify, Write
from walkloom.client.core import ClientCore
from walkloom.client.errors import (
    ClientError,
    Failed,
    Interrupted,
    ProtocolError,
    Rejected,
    TimedOut,
    TooMany,
)
from walkloom.client.session import MIGRATED, Session, SessionState
from walkloom.client.settings import ClassPolicy, Limits
from walkloom.client.wire import MAX_LINE_BYTES

LINE_LIMIT_BYTES = MAX_LINE_BYTES
STATES = {
    SessionState.QUEUED: "waiting",
    SessionState.CONNECTING: "asking",
    SessionState.ESTABLISHED: "standing",
    SessionState.BACKING_OFF: "away",
    SessionState.CLOSED: "over",
}
LIMIT_FIELDS = {
    "sessions": "sessions",
    "asking": "setups",
    "unanswered": "lines_out",
    "unread": "lines_in",
    "reach": "connect_ms",
    "least": "least_ms",
    "share": "retry_share",
    "reserve": "retry_reserve",
    "pause": "backoff_ms",
    "longest pause": "backoff_most_ms",
    "silence": "silence_ms",
    "pace": "returns_per_s",
    "first": "return_first_ms",
    "window": "return_window_ms",
    "patience": "return_for_ms",
}
COUNTER_FIELDS = (
    "requests",
    "established",
    "rejected",
    "timed_out",
    "failed",
    "abandoned",
    "attempts",
    "retries",
    "budget_exhausted",
    "gate_closures",
    "ejections",
    "migrated",
    "broken",
    "reconnected",
    "lost",
    "lines_sent",
    "lines_received",
    "max_late_ms",
)


def request_class(
    name: str, latency_objective_ms: float, timeout_ms: float, max_attempts: int, priority_weight: float
) -> ClassPolicy:
    """Return the settings of one request class."""
    return ClassPolicy(
        name, aim_ms=latency_objective_ms, give_up_ms=timeout_ms, tries=max_attempts, worth=priority_weight
    )


def error_record(error: ClientError) -> tuple[object, ...]:
    """Return the neutral record of an error, without its message."""
    match error:
        case Rejected():
            return ("refused", error.retry_after)
        case TimedOut():
            return ("late",)
        case TooMany():
            return ("full",)
        case Interrupted():
            return ("cut", error.unanswered, error.why == MIGRATED, error.over)
        case ProtocolError():
            return ("nonsense",)
        case Failed():
            return ("failed",)
    raise AssertionError(f"no neutral word for {error!r}")


class CoreAdapter:
    """The core under test; sessions and connections are identified by their numbers."""

    def __init__(
        self,
        balancers: Sequence[tuple[str, int]],
        classes: Sequence[ClassPolicy],
        limits: dict[str, Any],
        seed: int,
    ) -> None:
        core_limits = Limits(**{LIMIT_FIELDS[word]: value for word, value in limits.items()})
        self._core = ClientCore(balancers, classes, core_limits, seed)
        self._sessions: dict[int, Session] = {}

    def open(
        self, now: float, class_name: str, reconnects: bool, attributes: tuple[str, int, int, float | None]
    ) -> Any:
        """Open a session; return its number, or the record of the error that was raised.

        `attributes` are its tenant, group, key and load.
        """
        tenant, group, key, load = attributes
        try:
            session = self._core.open(
                now, class_name, tenant=tenant, group=group, key=key, load=load, returns=reconnects
            )
        except ClientError as error:
            return error_record(error)
        except ValueError:
            return ("invalid",)
        self._sessions[session.session_id] = session
        return session.session_id

    def poll(self, now: float) -> list[tuple[Any, ...]]:
        """Return the due commands, each as a neutral word, the session number and its fields."""
        return [self._command(command) for command in self._core.poll(now)]

    def _command(self, command: Command) -> tuple[Any, ...]:
        number = command.session.session_id
        match command:
            case Connect(_, connection, address):
                return ("dial", number, connection, *address)
            case Write(_, connection, data):
                return ("write", number, connection, data)
            case Disconnect(_, connection, is_graceful):
                return ("hang", number, connection, is_graceful)
            case Notify():
                return ("wake", number)

    def poll_due_at(self) -> float:
        """Return when the core wants to be polled next."""
        return self._core.next_wake_at()

    def connection_made(self, number: int, connection: int, now: float) -> None:
        """Notify the core that a connection was made."""
        self._core.connection_made(self._sessions[number], connection, now)

    def connect_failed(self, number: int, connection: int, now: float) -> None:
        """Notify the core that a connection attempt failed."""
        self._core.connect_failed(self._sessions[number], connection, now, "unreached")

    def data_received(self, number: int, connection: int, data: bytes, now: float) -> None:
        """Pass data from the balancer to the core."""
        self._core.data_received(self._sessions[number], connection, data, now)

    def connection_ended(self, number: int, connection: int, now: float, reason: str) -> None:
        """Notify the core that the balancer ended the connection."""
        self._core.connection_ended(self._sessions[number], connection, now, reason)

    def close(self, number: int, now: float) -> None:
        """Close the session on behalf of its caller."""
        self._core.close(self._sessions[number], now)

    def send(self, number: int, line: str, now: float) -> bool:
        """Send a line if the session may send now; return whether it did."""
        if not self._core.may_send(self._sessions[number]):
            return False
        self._core.send(self._sessions[number], line, now)
        return True

    def set_write_blocked(self, number: int, is_blocked: bool) -> None:
        """Set whether the driver holds more unwritten bytes of the session than allowed."""
        self._sessions[number].write_blocked = is_blocked

    def take_pending(self, number: int) -> object:
        """Return the next line, result or error for the caller of a session; None if there is none."""
        session = self._sessions[number]
        if not self._core.has_pending(session):
            return None
        try:
            line = self._core.take_pending(session)
        except ClientError as error:
            return error_record(error)
        return ("line", line) if line is not None else ("served",)

    def has_session(self, number: int) -> bool:
        """Return whether the session was returned to its caller."""
        return number in self._sessions

    def connection_of(self, number: int) -> int:
        """Return the number of the session's newest connection."""
        return self._sessions[number].connection_id

    def attempt_deadline(self, number: int) -> float:
        """Return when the session's newest attempt times out."""
        return self._sessions[number].attempt_deadline

    def is_closed(self, number: int) -> bool:
        """Return whether the session is closed."""
        return self._sessions[number].state is SessionState.CLOSED

    def state(self, number: int) -> tuple[object, ...]:
        """Return the visible state of a session."""
        session = self._sessions[number]
        permissions = (
            self._core.may_send(session),
            self._core.wants_data(session),
            self._core.has_pending(session),
        )
        request_state = (
            session.attempts,
            session.failed_reconnects,
            session.was_established,
            session.request_deadline,
            session.attempt_deadline,
        )
        return (
            STATES[session.state],
            session.receipt,
            session.load,
            len(session.inbox),
            *request_state,
            *permissions,
        )

    def figures(self) -> list[tuple[object, ...]]:
        """Return the counters, and the percentiles of set-up times and line delays."""
        figures = self._core.figures()
        counters = tuple(getattr(figures.counters, name) for name in COUNTER_FIELDS)
        records: list[tuple[object, ...]] = [("counted", *counters, figures.sessions, figures.established)]
        for word, spreads in (("setup", figures.setup_times), ("delay", figures.line_delays)):
            for class_name, spread in spreads.items():
                values = (spread.count, spread.p50, spread.p90, spread.p99, spread.max)
                records.append((word, class_name, *values))
        return records
