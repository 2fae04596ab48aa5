"""The state of one session, from its first request to its end, and the lines of its connection. No I/O.

    QUEUED       a request waits for an attempt: for its turn, its backoff or the admission gate of its class
    CONNECTING   one attempt is in flight, until `attempt_deadline`
    ESTABLISHED  the session has its connection
    BACKING_OFF  the connection was migrated or lost, and the session waits to reconnect
    CLOSED       final

    QUEUED      -> CONNECTING | BACKING_OFF | CLOSED
    CONNECTING  -> ESTABLISHED | QUEUED | BACKING_OFF | CLOSED
    ESTABLISHED -> BACKING_OFF | CLOSED
    BACKING_OFF -> QUEUED | CLOSED

A request leads from QUEUED to one result: ESTABLISHED, or an error. The other modules of the core decide
when a session changes its state; this module holds the data. Times are ms of the client's clock.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from walkloom.client.balancer_pool import Balancer
from walkloom.client.errors import ClientError, Interrupted
from walkloom.client.settings import ClassPolicy
from walkloom.client.wire import (
    MIGRATE_LINE,
    Answer,
    EstablishedAnswer,
    LineBuffer,
    SessionAttributes,
    is_goodbye,
    parse_answer,
    parse_load_report,
)

MIGRATED = "moved"  # `Interrupted.why` of a migration


class SessionState(Enum):
    """The states of a session; see the module's docstring."""

    QUEUED = "queued"
    CONNECTING = "connecting"
    ESTABLISHED = "established"
    BACKING_OFF = "backing off"
    CLOSED = "closed"


class UnansweredLine(NamedTuple):
    """A line of the caller that the server has not answered yet."""

    sent_at: float
    line: str


@dataclass(slots=True, eq=False, repr=False)
class Session:
    """The core's state of one session.

    Drivers read `state`, `receipt` and `load`, and set `write_blocked`.
    """

    session_id: int
    policy: ClassPolicy
    attributes: SessionAttributes
    reconnects: bool  # whether it reconnects automatically
    state: SessionState = SessionState.QUEUED
    error: ClientError | None = None  # why it is CLOSED; None if the server ended it regularly

    # the request
    request_started_at: float = 0.0
    request_deadline: float = 0.0
    attempts: int = 0
    attempted_balancers: tuple[Balancer, ...] = ()
    not_before: float = 0.0  # end of its backoff
    is_queued: bool = False  # whether its entry in the queue of its class is valid
    has_reserved_retry: bool = False  # whether it holds a retry of the budget that has not started

    # the attempt
    connection_id: int = 0  # of the newest connection; events of an older one are ignored
    balancer: Balancer | None = None
    attempt_started_at: float = 0.0
    attempt_deadline: float = 0.0

    # the reconnect
    was_established: bool = False  # a request of such a session is a reconnect
    reconnecting_since: float = -math.inf  # -infinity: it never lost a connection
    failed_reconnects: int = 0  # requests of this reconnect that failed

    # the connection
    line_buffer: LineBuffer = field(default_factory=LineBuffer)
    receipt: str = ""
    load: float | None = None  # latest load report of the server
    goodbye_received: bool = False
    write_blocked: bool = False  # the driver holds `Limits.bytes_out` unwritten bytes
    inbox: deque[str | Interrupted] = field(default_factory=deque)
    unanswered: deque[UnansweredLine] = field(default_factory=deque)  # oldest first

    # the timer
    timer_id: int = 0
    timer_due_at: float = math.inf

    @property
    def name(self) -> str:
        """The name of the session in log events."""
        return f"{self.attributes.request_class}/{self.session_id}"

    def begin_request(self, now: float, deadline: float) -> None:
        """Begin the first request, or the request of a reconnect."""
        self.state = SessionState.QUEUED
        self.request_started_at = now
        self.request_deadline = deadline
        self.not_before = now
        self.attempts = 0
        self.attempted_balancers = ()

    def begin_attempt(self, balancer: Balancer, now: float, deadline: float) -> None:
        """Begin an attempt on a new connection."""
        self.state = SessionState.CONNECTING
        self.balancer = balancer
        self.connection_id += 1
        self.attempts += 1
        self.attempt_started_at = now
        self.attempt_deadline = deadline
        self.has_reserved_retry = False
        self.line_buffer = LineBuffer()
        self.goodbye_received = False
        self.write_blocked = False

    def receive_answer(self, data: bytes, now: float) -> Answer | None:
        """Process bytes received during an attempt; return None while the answer is incomplete.

        Raises ProtocolError like `LineBuffer.feed`.
        """
        lines = self.line_buffer.feed(data)
        if not lines:
            return None
        answer = parse_answer(lines[0])
        if isinstance(answer, EstablishedAnswer):
            self.state = SessionState.ESTABLISHED
            self.receipt = answer.receipt
            self.was_established = True
            self.failed_reconnects = 0
            self.receive_lines(lines[1:], now)
        return answer

    def receive_lines(self, lines: list[str], now: float) -> list[float]:
        """Process lines of an established connection; return the delays of the answers among them, in ms.

        A migration sets the state to BACKING_OFF; lines after it are ignored.
        """
        delays_ms = []
        for line in lines:
            if line == MIGRATE_LINE:
                self.state = SessionState.BACKING_OFF
                break
            self.goodbye_received = is_goodbye(line)
            if self.goodbye_received:
                continue
            report = parse_load_report(line)
            if report is not None:
                self._record_load(report)
                continue
            if self.unanswered:
                delays_ms.append(now - self.unanswered.popleft().sent_at)
            self.inbox.append(line)
        return delays_ms

    def _record_load(self, text: str) -> None:
        try:
            load = float(text)
        except ValueError:
            return
        if math.isfinite(load):
            self.load = load

    def interrupt(self, reason: str, *, is_final: bool) -> None:
        """Report the unanswered lines to the caller by an Interrupted in the inbox.

        Nothing is reported if no line is unanswered and the session reconnects.
        """
        if self.unanswered or is_final:
            lines = tuple(unanswered.line for unanswered in self.unanswered)
            self.inbox.append(Interrupted(lines, reason, is_final))
            self.unanswered.clear()

    def oldest_unanswered_at(self) -> float:
        """Return when the oldest unanswered line was sent; infinite if there is none."""
        return self.unanswered[0].sent_at if self.unanswered else math.inf
