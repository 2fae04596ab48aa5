"""Every name of the program that the characterisation of the client's core uses, and the neutral words."""

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

LONGEST_LINE = MAX_LINE_BYTES
STATES = {
    SessionState.QUEUED: "waiting",
    SessionState.CONNECTING: "asking",
    SessionState.ESTABLISHED: "standing",
    SessionState.BACKING_OFF: "away",
    SessionState.CLOSED: "over",
}
BOUNDS = {
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
COUNTERS = (
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


def request_class(name: str, aim: float, patience: float, most: int, worth: float) -> ClassPolicy:
    """One class of requests."""
    return ClassPolicy(name, aim_ms=aim, give_up_ms=patience, tries=most, worth=worth)


def error_record(error: ClientError) -> tuple[object, ...]:
    """An error without its text."""
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


class Client:
    """The core under test; sessions and connections are told by their numbers."""

    def __init__(
        self,
        balancers: Sequence[tuple[str, int]],
        classes: Sequence[ClassPolicy],
        bounds: dict[str, Any],
        seed: int,
    ) -> None:
        limits = Limits(**{BOUNDS[word]: value for word, value in bounds.items()})
        self._core = ClientCore(balancers, classes, limits, seed)
        self._sessions: dict[int, Session] = {}

    def open(self, now: float, cls: str, returns: bool, about: tuple[str, int, int, float | None]) -> Any:
        """The number of a new session, or the record of what was raised."""
        tenant, group, key, load = about
        try:
            session = self._core.open(
                now, cls, tenant=tenant, group=group, key=key, load=load, returns=returns
            )
        except ClientError as error:
            return error_record(error)
        except ValueError:
            return ("invalid",)
        self._sessions[session.session_id] = session
        return session.session_id

    def poll(self, now: float) -> list[tuple[Any, ...]]:
        """The commands that are due: a word, the session, and the fields of that command."""
        return [self._command(command) for command in self._core.poll(now)]

    def _command(self, command: Command) -> tuple[Any, ...]:
        number = command.session.session_id
        match command:
            case Connect(_, connection, address):
                return ("dial", number, connection, *address)
            case Write(_, connection, data):
                return ("write", number, connection, data)
            case Disconnect(_, connection, gently):
                return ("hang", number, connection, gently)
            case Notify():
                return ("wake", number)

    def wake_at(self) -> float:
        """When the core wants to be polled."""
        return self._core.next_wake_at()

    def reached(self, number: int, connection: int, now: float) -> None:
        """A connection was made."""
        self._core.connection_made(self._sessions[number], connection, now)

    def unreached(self, number: int, connection: int, now: float) -> None:
        """A connection could not be made."""
        self._core.connect_failed(self._sessions[number], connection, now, "unreached")

    def heard(self, number: int, connection: int, data: bytes, now: float) -> None:
        """Bytes came from the other side."""
        self._core.data_received(self._sessions[number], connection, data, now)

    def ended(self, number: int, connection: int, now: float, why: str) -> None:
        """The other side ended the connection."""
        self._core.connection_ended(self._sessions[number], connection, now, why)

    def close(self, number: int, now: float) -> None:
        """The caller ends the session."""
        self._core.close(self._sessions[number], now)

    def send(self, number: int, line: str, now: float) -> bool:
        """Sends a line where it may go now."""
        if not self._core.may_send(self._sessions[number]):
            return False
        self._core.send(self._sessions[number], line, now)
        return True

    def clog(self, number: int, clogged: bool) -> None:
        """Whether the driver has more unwritten bytes of the session than it may."""
        self._sessions[number].write_blocked = clogged

    def take(self, number: int) -> object:
        """The next news of a session for its caller; None where there is none."""
        session = self._sessions[number]
        if not self._core.has_pending(session):
            return None
        try:
            line = self._core.take_pending(session)
        except ClientError as error:
            return error_record(error)
        return ("line", line) if line is not None else ("served",)

    def knows(self, number: int) -> bool:
        """Whether the session was handed to its caller."""
        return number in self._sessions

    def connection(self, number: int) -> int:
        """The number of the session's newest connection."""
        return self._sessions[number].connection_id

    def try_ends(self, number: int) -> float:
        """When the session's newest try is given up."""
        return self._sessions[number].attempt_deadline

    def is_over(self, number: int) -> bool:
        """Whether the session has ended."""
        return self._sessions[number].state is SessionState.CLOSED

    def state(self, number: int) -> tuple[object, ...]:
        """What can be seen of a session from outside."""
        session = self._sessions[number]
        may = (self._core.may_send(session), self._core.wants_data(session), self._core.has_pending(session))
        asked = (
            session.attempts,
            session.failed_reconnects,
            session.was_established,
            session.request_deadline,
            session.attempt_deadline,
        )
        return (STATES[session.state], session.receipt, session.load, len(session.inbox), *asked, *may)

    def figures(self) -> list[tuple[object, ...]]:
        """Counters and the spreads of set-ups and delays."""
        figures = self._core.figures()
        counters = tuple(getattr(figures.counters, name) for name in COUNTERS)
        records: list[tuple[object, ...]] = [("counted", *counters, figures.sessions, figures.established)]
        for word, spreads in (("setup", figures.setup_times), ("delay", figures.line_delays)):
            for cls, spread in spreads.items():
                values = (spread.count, spread.p50, spread.p90, spread.p99, spread.max)
                records.append((word, cls, *values))
        return records
