"""A client's core on a simulated network.

Time passes only by `advance`, and balancers send only what the test sends. The harness checks three
invariants in every test: one connection per session, no attempt after the deadline of its request, no
wake-up in the past.
"""

from __future__ import annotations

import re
from typing import Any

from walkloom.client.commands import Connect, Disconnect, Write
from walkloom.client.core import ClientCore
from walkloom.client.errors import ClientError
from walkloom.client.session import Session, SessionState
from walkloom.client.settings import ClassPolicy, Limits

VIEW = ClassPolicy("tile-view", aim_ms=300, give_up_ms=1200)
EDIT = ClassPolicy("label-edit", aim_ms=300, give_up_ms=1200, worth=2.0)
ONE = ("10.0.0.1", 9000)
TWO = ("10.0.0.2", 9000)


class CoreHarness:
    """Drives a core, and records its commands.

    limits: fields of `Limits`; sessions reconnect without an initial spread unless the test sets one.
    """

    def __init__(self, *balancers: tuple[str, int], seed: int = 1, **limits: Any) -> None:
        limits = {"return_first_ms": 0.0} | limits
        self.core = ClientCore(balancers or (ONE,), (VIEW, EDIT), Limits(**limits), seed)
        self.now = 1000.0
        self.connects: list[tuple[float, Connect]] = []  # with the time of each
        self.lines: dict[int, list[bytes]] = {}  # written, by session id
        self.open_connections: dict[int, int] = {}  # connection ids (open or being opened) by session id
        self.disconnects: list[tuple[float, int]] = []  # times and session ids

    # The driver

    def step(self) -> None:
        """Poll the core, and carry out its commands."""
        for command in self.core.poll(self.now):
            match command:
                case Connect(session, connection_id):
                    assert session.session_id not in self.open_connections, "two connections at once"
                    assert self.now < session.request_deadline, "an attempt after the deadline"
                    self.open_connections[session.session_id] = connection_id
                    self.connects.append((self.now, command))
                case Disconnect(session, connection_id):
                    assert self.open_connections.pop(session.session_id) == connection_id
                    self.disconnects.append((self.now, session.session_id))
                case Write(session, connection_id, data):
                    assert self.open_connections[session.session_id] == connection_id
                    self.lines.setdefault(session.session_id, []).append(data)
        assert self.core.next_wake_at() > self.now, "a wake-up in the past: the driver would spin"

    def advance(self, ms: float) -> None:
        """Let time pass; the core is polled at each wake-up time that it gives."""
        end = self.now + ms
        while (wake_at := self.core.next_wake_at()) <= end:
            self.now = wake_at
            self.step()
        self.now = end
        self.step()

    # The caller

    def open(self, cls: str = "tile-view", **attributes: Any) -> Session:
        """Open a session; its first attempt starts if the limits allow it."""
        session = self.core.open(self.now, cls, **attributes)
        self.step()
        return session

    def open_established(self, cls: str = "tile-view", **attributes: Any) -> Session:
        """Open a session and let its balancer accept it."""
        session = self.open(cls, **attributes)
        self.answer(session, "UP 7")
        assert session.state is SessionState.ESTABLISHED
        return session

    def open_rejected(self, cls: str = "tile-view") -> ClientError:
        """Return the error that opening a session raises at once."""
        try:
            self.core.open(self.now, cls)
        except ClientError as error:
            self.step()
            return error
        raise AssertionError("opening a session raised no error")

    def send(self, session: Session, line: str) -> None:
        """Send a line that the session has room for."""
        assert self.core.may_send(session)
        self.core.send(session, line, self.now)
        self.step()

    def take(self, session: Session) -> str | None:
        """Return the next line, or raise the next error, that is pending for the caller."""
        assert self.core.has_pending(session)
        return self.core.take_pending(session)

    # The network

    def accept(self, session: Session) -> None:
        """Open the session's newest connection."""
        self.core.connection_made(session, session.connection_id, self.now)
        self.step()

    def connect_failed(self, session: Session) -> None:
        """Fail the session's newest connection before it opens."""
        self.core.connect_failed(session, session.connection_id, self.now, "connection refused")
        self.step()

    def deliver(self, session: Session, text: str, connection_id: int | None = None) -> None:
        """Deliver text on a connection, the newest one by default."""
        if connection_id is None:
            connection_id = session.connection_id
        self.core.data_received(session, connection_id, text.encode(), self.now)
        self.step()

    def answer(self, session: Session, line: str) -> None:
        """Open the session's newest connection and deliver one line."""
        self.accept(session)
        self.deliver(session, line + "\r\n")

    def end_connection(self, session: Session, reason: str = "") -> None:
        """End the session's newest connection from the balancer's side."""
        self.core.connection_ended(session, session.connection_id, self.now, reason)
        self.step()

    def newest_address(self, session: Session) -> tuple[str, int]:
        """Return the balancer address of the session's newest attempt."""
        return next(connect.address for _, connect in reversed(self.connects) if connect.session is session)


def opening_fields(harness: CoreHarness, session: Session) -> dict[str, str]:
    """Return the fields of a session's newest opening line, with both ids as `id` and `key`."""
    line = next(line for line in reversed(harness.lines[session.session_id]) if line.startswith(b"OPEN "))
    match = re.fullmatch(r"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) (\S+)\r\n", line.decode())
    assert match
    fields = dict(field.split("=") for field in match[3].split(","))
    return {"id": match[1], "key": match[2]} | fields
