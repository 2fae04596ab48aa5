"""One session, from its first request to its end: the state machine, and the lines of a connection that
stands.

    WAITING  a request wants a try: its turn, its back-off or its class's hold is not over
    TRYING   one try is out, until `try_until`
    UP       the connection stands
    AWAY     it was moved or broke, and waits for its place among those that come back
    OVER     nothing more happens

WAITING -> TRYING -> UP | WAITING | AWAY | OVER;  UP -> AWAY | OVER;  AWAY -> WAITING | OVER. A request is
what
leads from WAITING to one result: UP, or an error. The client's core (core.py) decides when a session moves
on;
this file owns what a session holds, and does no I/O.
"""

from __future__ import annotations

import math
from collections import deque
from enum import Enum

from walkloom.client.balancer_pool import Target
from walkloom.client.errors import ClientError, Interrupted
from walkloom.client.settings import ClassPolicy
from walkloom.client.wire import About, Bad, Busy, LineBuffer, Up, answer

MOVED = "moved"


class State(Enum):
    WAITING = "waiting"
    TRYING = "trying"
    UP = "up"
    AWAY = "away"
    OVER = "over"


class Session:
    """What the core knows of one session. Drivers read `state`, `may_send`, `wants_data`, `receipt`,
    `load`."""

    __slots__ = (
        "about",
        "alarm",
        "alarm_at",
        "asked",
        "away_since",
        "began",
        "buffer",
        "clogged",
        "conn",
        "error",
        "inbox",
        "load",
        "not_before",
        "number",
        "opened",
        "paid",
        "policy",
        "queued",
        "receipt",
        "returns",
        "rounds",
        "said_bye",
        "state",
        "target",
        "tries",
        "try_began",
        "try_until",
        "unanswered",
        "until",
    )

    def __init__(self, number: int, policy: ClassPolicy, about: About, returns: bool) -> None:
        self.number, self.policy, self.about, self.returns = number, policy, about, returns
        self.state = State.WAITING
        # the request
        self.began = self.until = 0.0  # ms; its give-up time
        self.tries = 0
        self.asked: tuple[Target, ...] = ()
        self.not_before = 0.0  # its back-off
        self.queued = False  # stands in its class's queue
        self.paid = False  # a retry was taken from the budget and has not begun
        self.opened = False  # the session has been up before: this request is a return
        # the try
        self.conn = 0  # number of the newest connection: what an older one brings is passed over
        self.target: Target | None = None
        self.try_began = self.try_until = 0.0
        # the return
        self.away_since = -math.inf  # never away
        self.rounds = 0  # requests of this return that failed
        # the connection
        self.buffer = LineBuffer()
        self.receipt = ""
        self.load: float | None = None  # as the server told it last
        self.said_bye = False
        self.clogged = False  # the driver has more unwritten than it may
        self.inbox: deque[str | Interrupted] = deque()
        self.unanswered: deque[tuple[float, str]] = deque()  # when sent, and the line; the oldest first
        self.error: ClientError | None = None  # why it is OVER
        # its one alarm
        self.alarm, self.alarm_at = 0, math.inf

    @property
    def name(self) -> str:
        return f"{self.about.cls}/{self.number}"

    def request(self, now: float, until: float) -> None:
        """A request begins: the first one, or that of a return."""
        self.state = State.WAITING
        self.began, self.until, self.not_before = now, until, now
        self.tries, self.asked = 0, ()

    def trying(self, target: Target, now: float, until: float) -> None:
        self.state, self.target = State.TRYING, target
        self.conn += 1
        self.tries += 1
        self.try_began, self.try_until = now, until
        self.paid = False
        self.buffer, self.said_bye, self.clogged = LineBuffer(), False, False

    def answered(self, data: bytes, now: float) -> Up | Busy | Bad | None:
        """What the bytes say while a try is out; None while the line is not whole. ProtocolError as
        `feed`."""
        lines = self.buffer.feed(data)
        if not lines:
            return None
        result = answer(lines[0])
        if isinstance(result, Up):
            self.state, self.receipt, self.opened = State.UP, result.receipt, True
            self.rounds = 0
            self.lines(lines[1:], now)
        return result

    def lines(self, lines: list[str], now: float) -> list[float]:
        """Lines of a connection that stands; the delays of those that were answers, in ms.

        The connection is over at MOVE, whatever comes after it: then the state is AWAY.
        """
        delays = []
        for line in lines:
            if line == "MOVE":
                self.state = State.AWAY
                break
            self.said_bye = line == "BYE" or line.startswith("BYE ")
            if self.said_bye:
                continue
            if line.startswith("LOAD "):
                self._load(line[5:])
                continue
            if self.unanswered:
                delays.append(now - self.unanswered.popleft()[0])
            self.inbox.append(line)
        return delays

    def _load(self, text: str) -> None:
        try:
            load = float(text)
        except ValueError:
            return
        if math.isfinite(load):
            self.load = load

    def interrupted(self, why: str, over: bool) -> None:
        """Tells the caller what has no answer; a connection that owed none and comes back is not worth a
        word."""
        if self.unanswered or over:
            self.inbox.append(Interrupted(tuple(line for _, line in self.unanswered), why, over))
            self.unanswered.clear()

    def oldest(self) -> float:
        """When the oldest line without an answer was sent; infinite where there is none."""
        return self.unanswered[0][0] if self.unanswered else math.inf
