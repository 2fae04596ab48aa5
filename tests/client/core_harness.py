"""A client's core with a hand-made network: time moves only by `at`, and balancers say only what the test
says.

The rig checks what must hold in every test: one connection a session, no try begun after a request's time, no
wake-up that lies in the past.
"""

from __future__ import annotations

from typing import Any

from walkloom.client import core as c
from walkloom.client.errors import ClientError
from walkloom.client.session import Session, State
from walkloom.client.settings import ClassPolicy, Limits

VIEW = ClassPolicy("tile-view", aim_ms=300, give_up_ms=1200)
EDIT = ClassPolicy("label-edit", aim_ms=300, give_up_ms=1200, worth=2.0)
ONE, TWO = ("10.0.0.1", 9000), ("10.0.0.2", 9000)


class Rig:
    def __init__(self, *balancers: tuple[str, int], seed: int = 1, **limits: Any) -> None:
        limits = {"return_first_ms": 0.0} | limits
        self.core = c.ClientCore(balancers or (ONE,), (VIEW, EDIT), Limits(**limits), seed)
        self.now = 1000.0
        self.dials: list[tuple[float, c.Dial]] = []
        self.lines: dict[int, list[bytes]] = {}  # written, by session
        self.live: dict[int, int] = {}  # connections that stand or are made, by session
        self.hung: list[tuple[float, int]] = []

    def open(self, cls: str = "tile-view", **about: Any) -> Session:
        session = self.core.open(self.now, cls, **about)
        self.step()
        return session

    def refused(self, cls: str = "tile-view") -> ClientError:
        """What opening raises at once."""
        try:
            self.core.open(self.now, cls)
        except ClientError as error:
            self.step()
            return error
        raise AssertionError("it was not refused")

    def step(self) -> None:
        for command in self.core.poll(self.now):
            match command:
                case c.Dial(session, conn):
                    assert session.number not in self.live, "two connections at once"
                    assert self.now < session.until, "a try after the give-up time"
                    self.live[session.number] = conn
                    self.dials.append((self.now, command))
                case c.Hang(session, conn):
                    assert self.live.pop(session.number) == conn
                    self.hung.append((self.now, session.number))
                case c.Write(session, conn, data):
                    assert self.live[session.number] == conn
                    self.lines.setdefault(session.number, []).append(data)
        assert self.core.wake_at() > self.now, "a wake-up in the past: the driver would spin"

    def at(self, ms: float) -> None:
        """Time passes; the core is polled whenever it wants to be."""
        end = self.now + ms
        while (wake := self.core.wake_at()) <= end:
            self.now = wake
            self.step()
        self.now = end
        self.step()

    def accept(self, session: Session) -> None:
        self.core.connected(session, session.conn, self.now)
        self.step()

    def say(self, session: Session, text: str, conn: int | None = None) -> None:
        data = text.encode()
        self.core.received(session, session.conn if conn is None else conn, data, self.now)
        self.step()

    def answer(self, session: Session, text: str) -> None:
        self.accept(session)
        self.say(session, text + "\r\n")

    def end(self, session: Session, why: str = "") -> None:
        self.core.ended(session, session.conn, self.now, why)
        self.step()

    def dead(self, session: Session) -> None:
        self.core.not_connected(session, session.conn, self.now, "nobody there")
        self.step()

    def up(self, cls: str = "tile-view", **about: Any) -> Session:
        session = self.open(cls, **about)
        self.answer(session, "UP 7")
        assert session.state is State.UP
        return session

    def send(self, session: Session, line: str) -> None:
        assert self.core.may_send(session)
        self.core.send(session, line, self.now)
        self.step()

    def take(self, session: Session) -> str | None:
        assert self.core.has_news(session)
        return self.core.take(session)

    def asked(self, session: Session) -> tuple[str, int]:
        """Whom the session's newest try went to."""
        return next(dial.address for _, dial in reversed(self.dials) if dial.session is session)
