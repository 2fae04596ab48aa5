"""A client's core with a hand-made network: time moves only by `at`, and balancers say only what the test
says.

The rig checks what must hold in every test: one connection a session, no try begun after a request's time, no
wake-up that lies in the past.
"""

from __future__ import annotations

from typing import Any

from walkloom.client.commands import Connect, Disconnect, Write
from walkloom.client.core import ClientCore
from walkloom.client.errors import ClientError
from walkloom.client.session import Session, SessionState
from walkloom.client.settings import ClassPolicy, Limits

VIEW = ClassPolicy("tile-view", aim_ms=300, give_up_ms=1200)
EDIT = ClassPolicy("label-edit", aim_ms=300, give_up_ms=1200, worth=2.0)
ONE, TWO = ("10.0.0.1", 9000), ("10.0.0.2", 9000)


class CoreHarness:
    def __init__(self, *balancers: tuple[str, int], seed: int = 1, **limits: Any) -> None:
        limits = {"return_first_ms": 0.0} | limits
        self.core = ClientCore(balancers or (ONE,), (VIEW, EDIT), Limits(**limits), seed)
        self.now = 1000.0
        self.connects: list[tuple[float, Connect]] = []
        self.lines: dict[int, list[bytes]] = {}  # written, by session
        self.open_connections: dict[int, int] = {}  # connections that stand or are made, by session
        self.disconnects: list[tuple[float, int]] = []

    def open(self, cls: str = "tile-view", **attributes: Any) -> Session:
        session = self.core.open(self.now, cls, **attributes)
        self.step()
        return session

    def rejected(self, cls: str = "tile-view") -> ClientError:
        """What opening raises at once."""
        try:
            self.core.open(self.now, cls)
        except ClientError as error:
            self.step()
            return error
        raise AssertionError("it was not rejected")

    def step(self) -> None:
        for command in self.core.poll(self.now):
            match command:
                case Connect(session, conn):
                    assert session.session_id not in self.open_connections, "two connections at once"
                    assert self.now < session.request_deadline, "a try after the give-up time"
                    self.open_connections[session.session_id] = conn
                    self.connects.append((self.now, command))
                case Disconnect(session, conn):
                    assert self.open_connections.pop(session.session_id) == conn
                    self.disconnects.append((self.now, session.session_id))
                case Write(session, conn, data):
                    assert self.open_connections[session.session_id] == conn
                    self.lines.setdefault(session.session_id, []).append(data)
        assert self.core.next_wake_at() > self.now, "a wake-up in the past: the driver would spin"

    def at(self, ms: float) -> None:
        """Time passes; the core is polled whenever it wants to be."""
        end = self.now + ms
        while (wake := self.core.next_wake_at()) <= end:
            self.now = wake
            self.step()
        self.now = end
        self.step()

    def accept(self, session: Session) -> None:
        self.core.connection_made(session, session.connection_id, self.now)
        self.step()

    def say(self, session: Session, text: str, conn: int | None = None) -> None:
        data = text.encode()
        self.core.data_received(session, session.connection_id if conn is None else conn, data, self.now)
        self.step()

    def answer(self, session: Session, text: str) -> None:
        self.accept(session)
        self.say(session, text + "\r\n")

    def end(self, session: Session, why: str = "") -> None:
        self.core.connection_ended(session, session.connection_id, self.now, why)
        self.step()

    def connect_failed(self, session: Session) -> None:
        self.core.connect_failed(session, session.connection_id, self.now, "nobody there")
        self.step()

    def established(self, cls: str = "tile-view", **attributes: Any) -> Session:
        session = self.open(cls, **attributes)
        self.answer(session, "UP 7")
        assert session.state is SessionState.ESTABLISHED
        return session

    def send(self, session: Session, line: str) -> None:
        assert self.core.may_send(session)
        self.core.send(session, line, self.now)
        self.step()

    def take(self, session: Session) -> str | None:
        assert self.core.has_pending(session)
        return self.core.take_pending(session)

    def newest_address(self, session: Session) -> tuple[str, int]:
        """Whom the session's newest try went to."""
        return next(connect.address for _, connect in reversed(self.connects) if connect.session is session)
