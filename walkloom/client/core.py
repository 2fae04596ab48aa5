"""The core of one client: all its sessions, whose turn it is, and what to do next. No I/O, no clock.

How to think about it: a driver tells what happened (`connected`, `received`, ...) with the time, then calls
`poll`, does what the commands say, and calls again at `wake_at` or when something else happens. Two rules of
this file: a session has at most one connection at a time (`Hang` for the old one precedes `Dial` for the
new),
and a request ends once, by `_settle`, which nothing calls for a request that has ended.

Times are milliseconds of one monotonic clock; a step back is taken as no time at all.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from heapq import heapify, heappop, heappush
from random import Random
from typing import NamedTuple

from walkloom.client.admission import Gate
from walkloom.client.balancer_pool import Target, Targets
from walkloom.client.errors import ClientError, Failed, ProtocolError, Refused, TimedOut, TooMany
from walkloom.client.metrics import Figures, Seen
from walkloom.client.reconnect_pacer import Returns
from walkloom.client.retry_budget import RetryBudget
from walkloom.client.session import MOVED, Session, State
from walkloom.client.settings import ClassPolicy, Limits
from walkloom.client.wire import About, Bad, Busy, Up, encoded, opening

log = logging.getLogger("walkloom.client")
RECENT = 32  # set-ups of a class from which the time that one needs is taken
WAITS_OF_AIM = 2.0  # a first balancer is waited for so many aims, where another could be asked afterwards


class Dial(NamedTuple):
    """Connect; tell `connected` or `not_connected`. Given up by `Hang`, when its time is over."""

    session: Session
    conn: int
    address: tuple[str, int]


class Write(NamedTuple):
    session: Session
    conn: int
    data: bytes


class Hang(NamedTuple):
    """End the connection, or its making, at once; nothing of it is told any more. gently: after what is
    unwritten."""

    session: Session
    conn: int
    gently: bool = False


class Wake(NamedTuple):
    """Whoever waits for this session (its opening, a line, room to send) should look again."""

    session: Session


Command = Dial | Write | Hang | Wake


class Class:
    """One class of this client: its gate, those of its requests that wait for a turn, and what a set-up
    takes."""

    def __init__(self, policy: ClassPolicy, rng: Random, least_ms: float) -> None:
        self.policy, self.gate = policy, Gate(rng)
        self.ready: deque[Session] = deque()
        self.need = min(least_ms, policy.aim_ms)  # ms; with less left no try can be expected to finish
        self._recent: deque[float] = deque(maxlen=RECENT)

    def took(self, ms: float) -> None:
        """The lower quartile: a slow spell must not forbid tries that a fast set-up would save."""
        self._recent.append(ms)
        self.need = min(sorted(self._recent)[len(self._recent) // 4], self.policy.aim_ms)


class ClientCore:
    def __init__(
        self,
        balancers: Sequence[tuple[str, int]],
        classes: Sequence[ClassPolicy],
        limits: Limits,
        seed: int | None = None,
    ) -> None:
        """seed: of all that is drawn by chance; None: the system's."""
        self.limits = limits
        self._rng = Random(seed)
        self._targets = Targets(balancers, self._rng)
        ordered = sorted(classes, key=lambda c: -c.worth)
        self._classes = {c.name: Class(c, self._rng, limits.least_ms) for c in ordered}
        if not classes or len(self._classes) < len(classes):
            raise ValueError("a client needs at least one class, each once")
        self._budget = RetryBudget(limits.retry_share, limits.retry_reserve)
        self._returns = Returns[Session](
            {c.name: c.worth for c in ordered},
            limits.returns_per_s,
            limits.return_first_ms,
            limits.return_window_ms,
            self._rng,
        )
        self._seen = Seen()
        self._sessions: dict[int, Session] = {}  # that are not over
        self._alarms: list[tuple[float, int, int, Session]] = []
        self._commands: list[Command] = []
        self._out = 0  # tries that are out
        self._number = self._alarm = 0
        self._now = -math.inf

    # What the caller asks

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
        """A new session, whose first request begins now. Refused or TooMany where it can't."""
        now = self._clock(now)
        kind = self._classes.get(cls)
        if kind is None:
            raise ValueError(f"no class {cls!r}; this client has {', '.join(self._classes)}")
        about = _about(cls, tenant, key, group, load)
        if len(self._sessions) >= self.limits.sessions:
            raise TooMany(f"{self.limits.sessions} sessions are open")
        self._number += 1
        session = Session(self._number, kind.policy, about, returns)
        self._sessions[session.number] = session
        self._begin(session, now)
        if session.state is State.OVER:
            assert session.error
            raise session.error
        return session

    def send(self, session: Session, line: str, now: float) -> None:
        """Only while the session is UP and `may_send`; else the driver waits."""
        now = self._clock(now)
        data = encoded(line)
        session.unanswered.append((now, line))
        self._seen.counters.lines_sent += 1
        self._commands.append(Write(session, session.conn, data))
        if session.alarm_at > now + self.limits.silence_ms:
            self._set_alarm(session, now + self.limits.silence_ms)

    def may_send(self, session: Session) -> bool:
        room = len(session.unanswered) < self.limits.lines_out and not session.clogged
        return session.state is State.UP and room

    def wants_data(self, session: Session) -> bool:
        """Whether its socket should be read: guards the memory against a caller that does not receive."""
        return session.state is not State.UP or len(session.inbox) < self.limits.lines_in

    def take(self, session: Session) -> str | None:
        """The next line for the caller; Interrupted in its place among them; the error of a session that is
        over, or None where it was served to its end. Only while `has_news`."""
        if session.inbox:
            item = session.inbox.popleft()
            if isinstance(item, str):
                return item
            raise item
        if session.error:
            raise session.error
        return None

    @staticmethod
    def has_news(session: Session) -> bool:
        return bool(session.inbox) or session.state is State.OVER

    def close(self, session: Session, now: float) -> None:
        """The caller wants no more of it."""
        now = self._clock(now)
        if session.state is State.OVER:
            return
        if session.state in (State.WAITING, State.TRYING):
            self._seen.counters.abandoned += 1
        if session.state is State.TRYING:
            self._leave_try(session)
        elif session.state is State.UP:
            self._commands.append(Hang(session, session.conn, gently=True))
        self._over(session, Failed("the session was closed"))

    def figures(self) -> Figures:
        seen = self._seen
        return Figures(
            replace(seen.counters),
            len(self._sessions),
            sum(s.state is State.UP for s in self._sessions.values()),
            {cls: histogram.spread() for cls, histogram in seen.setup.items()},
            {cls: histogram.spread() for cls, histogram in seen.delay.items()},
        )

    # What happens to connections

    def connected(self, session: Session, conn: int, now: float) -> None:
        now = self._clock(now)
        if not self._is_trying(session, conn):
            return
        left = session.try_until - now
        if left < 1.0:  # the alarm is about to end it; a line now could not be answered
            return
        line = opening(
            session.about, self._rng.getrandbits(64), int(left), session.tries > 1, returned=session.opened
        )
        self._commands.append(Write(session, conn, line))
        self._set_alarm(session, session.try_until)

    def not_connected(self, session: Session, conn: int, now: float, why: str) -> None:
        now = self._clock(now)
        if self._is_trying(session, conn):
            self._lost_try(session, now, why)

    def received(self, session: Session, conn: int, data: bytes, now: float) -> None:
        now = self._clock(now)
        if conn != session.conn:
            return
        try:
            if session.state is State.TRYING:
                self._answer(session, data, now)
            elif session.state is State.UP:
                self._lines(session, session.buffer.feed(data), now)
        except ProtocolError as error:
            self._rubbish(session, error, now)

    def ended(self, session: Session, conn: int, now: float, why: str = "") -> None:
        """The other side ended its connection; why: what broke it, empty for an end in order."""
        now = self._clock(now)
        if conn != session.conn:
            return
        if session.state is State.TRYING:
            self._lost_try(session, now, why or "the balancer closed without an answer")
        elif session.state is State.UP:
            self._commands.append(Hang(session, conn))
            if session.said_bye and not why:
                if session.unanswered:
                    session.interrupted("the server ended the session", over=True)
                self._over(session, None)
            else:
                self._away(session, now, why or "the connection ended without a word")

    # What to do next

    def poll(self, now: float) -> list[Command]:
        """Does what is due, and hands over all that a driver has to do, in order."""
        now = self._clock(now)
        while self._alarms and self._alarms[0][0] <= now:
            _, _, alarm, session = heappop(self._alarms)
            if alarm == session.alarm:
                session.alarm_at = math.inf
                self._due(session, now)
        while (back := self._returns.release(now, lambda cls: self._may_return(cls, now))) is not None:
            self._begin(back, now)
        self._start(now)
        commands, self._commands = self._commands, []
        return commands

    def wake_at(self) -> float:
        """When `poll` should be called again if nothing happens; infinite: never."""
        while self._alarms and self._alarms[0][2] != self._alarms[0][3].alarm:
            heappop(self._alarms)
        due = self._targets.next_due()
        at = min(
            self._alarms[0][0] if self._alarms else math.inf,
            self._returns.next_at(lambda cls: self._held(cls, due)),
        )
        for kind in self._classes.values():
            if kind.ready:
                at = min(at, self._held(kind.policy.name, due))
        return at

    def _held(self, cls: str, due: float) -> float:
        """When those of a class that wait may go on, as far as the clock decides it."""
        gate = self._classes[cls].gate
        if gate.held_until > self._now:
            return gate.held_until
        if self._out >= self.limits.setups or not gate.admits(self._now):
            return math.inf  # a try that ends wakes them
        return self._now if self._targets.any(self._now) else due

    def _may_return(self, cls: str, now: float) -> bool:
        free = self._out < self.limits.setups and self._classes[cls].gate.admits(now)
        # one that waits already goes first: guards its give-up time against those that have not begun theirs
        return free and not self._classes[cls].ready and self._targets.any(now)

    # Requests and tries

    def _begin(self, session: Session, now: float) -> None:
        """A request: it ends by one `_settle`."""
        self._seen.counters.requests += 1
        session.request(now, now + session.policy.give_up_ms)
        self._wait(session, now)

    def _wait(self, session: Session, now: float) -> None:
        """The request waits for its turn, or ends here where that comes too late."""
        kind = self._classes[session.policy.name]
        session.state = State.WAITING
        if max(now, kind.gate.held_until, session.not_before) >= session.until - kind.need:
            if kind.gate.held_until > now:
                return self._settle(session, now, Refused(kind.gate.held_until - now))
            return self._settle(session, now, TimedOut(self._too_late(session)))
        if now < session.not_before:
            return self._set_alarm(session, session.not_before)
        session.queued = True
        kind.ready.append(session)
        self._set_alarm(session, session.until - kind.need)

    @staticmethod
    def _too_late(session: Session) -> str:
        return f"no answer within {session.policy.give_up_ms:.0f} ms, after {session.tries} tries"

    def _start(self, now: float) -> None:
        """Begins tries, the worthiest class first, while there is room and a balancer to ask."""
        for kind in self._classes.values():
            while kind.ready and self._out < self.limits.setups and kind.gate.admits(now):
                session = kind.ready[0]
                if not session.queued:  # it ended, or was closed, while it waited
                    kind.ready.popleft()
                    continue
                left = session.until - now
                risk = (
                    session.tries + 1 < session.policy.tries and left > WAITS_OF_AIM * session.policy.aim_ms
                )
                target = self._targets.choose(now, session, session.asked, risk)
                if target is None:
                    return  # for nobody: which balancers are in does not depend on who asks
                kind.ready.popleft()
                session.queued = False
                self._try(session, target, now)

    def _try(self, session: Session, target: Target, now: float) -> None:
        wait = session.until - now
        first = WAITS_OF_AIM * session.policy.aim_ms
        more = session.tries + 1 < session.policy.tries
        if more and wait - first > self._classes[session.policy.name].need and self._targets.others(target):
            wait = first
        session.trying(target, now, now + wait)
        self._out += 1
        self._classes[session.policy.name].gate.out += 1
        counters = self._seen.counters
        counters.tries += 1
        counters.retries += session.tries > 1 or session.rounds > 0
        self._commands.append(Dial(session, session.conn, target.address))
        self._set_alarm(session, min(now + self.limits.connect_ms, session.try_until))

    def _is_trying(self, session: Session, conn: int) -> bool:
        return session.state is State.TRYING and session.conn == conn

    def _leave_try(self, session: Session, told: bool = False) -> Target:
        """The try is over and its connection with it; told: the target's state is set by the caller."""
        target = session.target
        assert target
        if not told:
            self._targets.unknown(target, session)
        self._targets.ended(target)
        self._out -= 1
        self._classes[session.policy.name].gate.out -= 1
        session.asked = (*session.asked, target)
        session.target = None
        self._commands.append(Hang(session, session.conn))
        return target

    def _answer(self, session: Session, data: bytes, now: float) -> None:
        if now >= session.try_until:  # too late, whatever it is; and yet its balancer lives
            assert session.target
            self._targets.answered(session.target)
            return self._failed(session, now, "the answer came too late", self._leave_try(session, told=True))
        result = session.answered(data, now)
        if result is None:
            return
        target = session.target
        assert target
        if self._targets.answered(target):
            log.info("balancer-back address=%s:%d", *target.address)
        kind = self._classes[session.policy.name]
        match result:
            case Up():
                self._targets.ended(target)
                self._out -= 1
                kind.gate.out -= 1
                kind.gate.served(now)
                kind.took(now - session.try_began)
                self._budget.succeeded(now)
                session.target = None
                self._settle(session, now, None)
                if session.state is State.AWAY:  # UP and MOVE came together
                    self._moved(session, now)
            case Busy(retry_after):
                self._leave_try(session, told=True)
                self._refused(session, now, kind, retry_after)
            case Bad(line):
                self._leave_try(session, told=True)
                self._failed(session, now, f"the balancer answered {line!r}", target)

    def _refused(self, session: Session, now: float, kind: Class, retry_after: float | None) -> None:
        if kind.gate.refused(now, retry_after):
            self._seen.counters.held += 1
            log.info("class-held class=%s ms=%.0f", kind.policy.name, kind.gate.held_until - now)
            for other in list(kind.ready):  # what waits and cannot be in time any more hears so at once
                if other.queued and kind.gate.held_until + kind.need > other.until:
                    self._settle(other, now, Refused(kind.gate.held_until - now))
        error = Refused(max(kind.gate.held_until - now, 0.0))
        self._again(session, now, kind.gate.held_until, error)

    def _lost_try(self, session: Session, now: float, why: str) -> None:
        """The try brought no answer at all: that speaks against its balancer."""
        target = self._leave_try(session, told=True)
        if self._targets.failed(target, session, now):
            self._seen.counters.left_out += 1
            log.warning("balancer-out address=%s:%d why=%r", *target.address, why)
        self._failed(session, now, why, target)

    def _failed(self, session: Session, now: float, why: str, target: Target) -> None:
        most = self.limits.backoff_ms
        if not self._targets.others(target):
            most = min(most * 2.0 ** (session.tries - 1), self.limits.backoff_most_ms)
        self._again(session, now, now + self._rng.random() * most, Failed(why))

    def _again(self, session: Session, now: float, at: float, error: ClientError) -> None:
        """One more try of this request at that time, or its end with the error, at once."""
        need = self._classes[session.policy.name].need
        if now >= session.until:
            return self._settle(session, now, TimedOut(self._too_late(session)))
        if session.tries >= session.policy.tries or at + need > session.until:
            return self._settle(session, now, error)
        if not self._budget.take(now):
            self._seen.counters.no_budget += 1
            return self._settle(session, now, error)
        session.paid, session.not_before = True, at
        self._wait(session, now)

    def _settle(self, session: Session, now: float, error: ClientError | None, final: bool = False) -> None:
        """The one result of a request; final: a return is not tried again."""
        counters = self._seen.counters
        session.queued = False
        if session.paid:
            session.paid = False
            self._budget.give_back(now)
        match error:
            case None:
                counters.up += 1
                counters.returned += session.away_since > -math.inf
                self._seen.set_up(session.policy.name, now - session.began)
                self._set_alarm(session, math.inf)
            case Refused():
                counters.refused += 1
            case TimedOut():
                counters.timed_out += 1
            case _:
                counters.failed += 1
        if error is not None:
            log.debug("request-ended session=%s error=%r", session.name, str(error))
            if session.opened and not final and now - session.away_since < self.limits.return_for_ms:
                session.rounds += 1
                most = min(self.limits.backoff_ms * 2.0**session.rounds, self.limits.backoff_most_ms)
                self._absent(session, now + self._rng.random() * most)
            else:
                counters.lost += session.opened
                self._over(session, error)
        self._commands.append(Wake(session))

    # Connections that stand

    def _lines(self, session: Session, lines: list[str], now: float) -> None:
        if not lines:
            return
        before = len(session.inbox)
        for delay in session.lines(lines, now):
            self._seen.line(session.policy.name, delay)
        self._seen.counters.lines_received += len(session.inbox) - before
        if session.state is State.AWAY:
            self._moved(session, now)
        self._commands.append(Wake(session))

    def _moved(self, session: Session, now: float) -> None:
        self._commands.append(Hang(session, session.conn))
        self._away(session, now, MOVED)

    def _away(self, session: Session, now: float, why: str) -> None:
        """The connection is gone; the session comes back, or is over where it shall not."""
        if why == MOVED:
            self._seen.counters.moved += 1
        else:
            self._seen.counters.broken += 1
        log.debug("session-away session=%s why=%r unanswered=%d", session.name, why, len(session.unanswered))
        session.interrupted(why, over=not session.returns)
        if not session.returns:
            return self._over(session, None)
        session.away_since = now
        self._absent(session, now)

    def _absent(self, session: Session, at: float) -> None:
        """Among those that come back, from that time on."""
        session.state, session.not_before = State.AWAY, at
        self._set_alarm(session, at)
        self._commands.append(Wake(session))

    def _rubbish(self, session: Session, error: ProtocolError, now: float) -> None:
        """The balancer speaks something else: asking on would only bring more of it."""
        log.warning("session-rubbish session=%s error=%r", session.name, str(error))
        failed = Failed(str(error))
        if session.state is State.TRYING:
            self._leave_try(session)
            self._settle(session, now, failed, final=True)
        else:
            self._commands.append(Hang(session, session.conn))
            session.interrupted(str(error), over=False)
            self._seen.counters.broken += 1
            self._over(session, failed)

    def _over(self, session: Session, error: ClientError | None) -> None:
        if session.paid:
            session.paid = False
            self._budget.give_back(self._now)
        if session.state is State.AWAY:
            self._returns.discard(session.policy.name, session)
        session.state, session.error, session.queued = State.OVER, error, False
        session.unanswered.clear()
        self._sessions.pop(session.number, None)
        self._set_alarm(session, math.inf)
        self._commands.append(Wake(session))

    # Time

    def _due(self, session: Session, now: float) -> None:
        """Its alarm has come: what for, its state tells."""
        if session.state is State.TRYING:
            self._too_slow(session, now)
        elif session.state is State.WAITING:
            need = self._classes[session.policy.name].need
            if session.queued and now < session.until - need:  # set-ups have become faster since
                return self._set_alarm(session, session.until - need)
            session.queued = False
            self._wait(session, now)
        elif session.state is State.UP:
            since = session.oldest()
            if now - since >= self.limits.silence_ms:
                self._commands.append(Hang(session, session.conn))
                self._away(session, now, f"a line had no answer for {now - since:.0f} ms")
            else:
                self._set_alarm(session, since + self.limits.silence_ms)
        elif session.state is State.AWAY:
            self._come_back(session, now)

    def _too_slow(self, session: Session, now: float) -> None:
        if now < session.try_until:
            return self._lost_try(session, now, f"no connection within {self.limits.connect_ms:.0f} ms")
        counters = self._seen.counters
        counters.late_ms = max(counters.late_ms, now - session.try_until)
        if now - session.try_began >= session.policy.aim_ms:
            return self._lost_try(session, now, "no answer")
        # guards a sound balancer against blame for the little time that we left it
        target = self._leave_try(session)
        self._failed(session, now, "no answer in the little time left", target)

    def _come_back(self, session: Session, now: float) -> None:
        end = session.away_since + self.limits.return_for_ms
        if now >= end:
            self._seen.counters.lost += 1
            return self._over(
                session, Failed(f"could not come back within {self.limits.return_for_ms:.0f} ms")
            )
        # a round that asked somebody and failed makes the next one a retry, on the client's budget
        if session.rounds and session.tries and not self._budget.take(now):
            self._seen.counters.no_budget += 1
            most = min(self.limits.backoff_ms * 2.0**session.rounds, self.limits.backoff_most_ms)
            return self._set_alarm(session, min(now + most * (0.5 + self._rng.random() / 2.0), end))
        session.paid = bool(session.rounds and session.tries)
        self._returns.add(session.policy.name, session, now)
        self._set_alarm(session, end)

    def _set_alarm(self, session: Session, at: float) -> None:
        self._alarm += 1
        session.alarm, session.alarm_at = self._alarm, at
        if at < math.inf:
            heappush(self._alarms, (at, session.number, self._alarm, session))
        if len(self._alarms) > 4 * len(self._sessions) + 1024:  # guards the memory against alarms set anew
            self._alarms = [entry for entry in self._alarms if entry[2] == entry[3].alarm]
            heapify(self._alarms)

    def _clock(self, now: float) -> float:
        self._now = max(self._now, now)
        return self._now


def _about(cls: str, tenant: str, key: int, group: int, load: float | None) -> About:
    if tenant and not all("!" <= c <= "~" and c not in ",=" for c in tenant):
        raise ValueError(f"tenant {tenant!r}: no spaces, commas or equals signs")
    if not 0 <= key < 1 << 64 or not 0 <= group < 1 << 64:
        raise ValueError("key and group are 64 bits")
    if load is not None and not (math.isfinite(load) and 0 <= load <= 1e9):
        raise ValueError("load is 0 to 1e9 ms of work a second")
    return About(cls, tenant, key, group, load)
