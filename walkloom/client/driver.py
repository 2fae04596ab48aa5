"""The part of the drivers that does not depend on the event loop: Client and Session around the core.

`on_trio` and `on_asyncio` add the clock, the events and the connections of their event loop.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Protocol, Self

from walkloom.client.commands import Connect, Disconnect, Notify, Write
from walkloom.client.core import ClientCore
from walkloom.client.errors import Failed
from walkloom.client.metrics import Figures
from walkloom.client.session import Session as CoreSession
from walkloom.client.session import SessionState
from walkloom.client.settings import ClassPolicy, Limits, parse_address
from walkloom.client.wire import encode_line

FLUSH_TIMEOUT_S = 1.0  # time to write the remaining bytes before a connection is closed


class Event(Protocol):
    """An event of the event loop; set once."""

    def set(self) -> None:
        """Wake all waiting tasks."""

    async def wait(self) -> object:
        """Wait until it is set."""


class Connection(Protocol):
    """One connection from its opening to its end; reports its events to the core."""

    connection_id: int

    def write(self, data: bytes) -> None:
        """Write the bytes, now or when the socket accepts them."""

    def resume_reading(self) -> None:
        """Read again if the inbox has room; called after the caller has received."""

    def disconnect(self, flush: bool) -> None:
        """Close the connection in any state, and report no further events.

        flush: write the remaining bytes first, within FLUSH_TIMEOUT_S.
        """


class BaseClient(ABC):
    """A client of walkloom's balancers; an async context manager whose exit closes all sessions.

    balancers: `host:port` of each. classes: at least one. seed: of all random draws.
    Raises InvalidArgumentError for invalid settings; see `walkloom.client.errors` for the other errors.
    """

    def __init__(
        self,
        balancers: Sequence[str],
        classes: Sequence[ClassPolicy],
        limits: Limits | None = None,
        seed: int | None = None,
    ) -> None:
        self.limits = limits or Limits()
        addresses = [parse_address(balancer) for balancer in balancers]
        self.core = ClientCore(addresses, classes, self.limits, seed)
        self.connections: dict[int, Connection] = {}  # by session id
        self._waiters: dict[int, Event] = {}  # by session id

    @abstractmethod
    async def __aenter__(self) -> Self: ...

    @abstractmethod
    async def __aexit__(self, *_: object) -> None: ...

    @abstractmethod
    def now(self) -> float:
        """Return the loop's monotonic clock in ms."""

    @abstractmethod
    def _create_event(self) -> Event:
        """Return a new event of the event loop."""

    @abstractmethod
    async def _checkpoint(self) -> None:
        """Let other tasks run, and let a cancellation take effect."""

    @abstractmethod
    def _connect(self, session: CoreSession, connection_id: int, address: tuple[str, int]) -> Connection:
        """Start to open a connection."""

    @abstractmethod
    def _schedule_step(self, at: float) -> None:
        """Call `step` at that time (ms; infinite for never). Replaces the time scheduled before."""

    async def open(
        self,
        cls: str,
        *,
        tenant: str = "",
        group: int = 0,
        key: int = 0,
        load: float | None = None,
        returns: bool = True,
    ) -> Session:
        """Open a session; returns once it is established, or raises within the timeout of its class.

        key, group: 64 bits each; sent with every attempt and every reconnect.
        load: the expected load of the connection, in ms of work per second.
        returns: whether the session reconnects automatically after a migration or a lost connection.
        Raises Rejected, TimedOut, Failed or TooMany; InvalidArgumentError for an unknown class.
        """
        session = self.core.open(
            self.now(), cls, tenant=tenant, group=group, key=key, load=load, returns=returns
        )
        try:
            self.step()
            while session.state in (SessionState.QUEUED, SessionState.CONNECTING):
                await self.wait_for_change(session)
            await self._checkpoint()
        except BaseException:  # cancellation included: the caller has no session object to close
            self.close(session)
            raise
        if not session.was_established and session.error:
            raise session.error
        return Session(self, session)

    def figures(self) -> Figures:
        """Return counters and histograms since the client's start."""
        return self.core.figures()

    def step(self) -> None:
        """Carry out the core's commands, and schedule the next step."""
        for command in self.core.poll(self.now()):
            match command:
                case Connect(session, connection_id, address):
                    self.connections[session.session_id] = self._connect(session, connection_id, address)
                case Write(session, connection_id, data):
                    if connection := self._find_connection(session, connection_id):
                        connection.write(data)
                case Disconnect(session, connection_id, flush):
                    if connection := self._find_connection(session, connection_id):
                        del self.connections[session.session_id]
                        connection.disconnect(flush)
                case Notify(session):
                    self.notify(session)
        self._schedule_step(self.core.next_wake_at())

    def _find_connection(self, session: CoreSession, connection_id: int) -> Connection | None:
        connection = self.connections.get(session.session_id)
        return connection if connection and connection.connection_id == connection_id else None

    def _disconnect_all(self) -> None:
        connections = self.connections
        self.connections = {}
        for connection in connections.values():
            connection.disconnect(flush=False)

    async def wait_for_change(self, session: CoreSession) -> None:
        """Wait for the session's next notification."""
        if session.session_id not in self._waiters:
            self._waiters[session.session_id] = self._create_event()
        await self._waiters[session.session_id].wait()

    def notify(self, session: CoreSession) -> None:
        """Wake the tasks that wait for the session."""
        event = self._waiters.pop(session.session_id, None)
        if event is not None:  # a trio event has no truth value
            event.set()

    def close(self, session: CoreSession) -> None:
        """End the session."""
        self.core.close(session, self.now())
        self.step()

    async def send(self, session: CoreSession, line: str) -> None:
        """Send a line when there is room for it; see `Session.send`."""
        encode_line(line)  # reports an invalid line at once, not after a reconnect
        await self._checkpoint()
        while not self.core.may_send(session):
            if session.state is SessionState.CLOSED:
                raise session.error or Failed("the session is closed")
            await self.wait_for_change(session)
        self.core.send(session, line, self.now())
        self.step()

    async def receive(self, session: CoreSession) -> str | None:
        """Wait for the next line; see `Session.receive`."""
        await self._checkpoint()
        while not self.core.has_pending(session):
            await self.wait_for_change(session)
        try:
            return self.core.take_pending(session)
        finally:
            if connection := self.connections.get(session.session_id):
                connection.resume_reading()


class Session:
    """A session, returned by `Client.open`; an async context manager.

    One task may send while another one receives.
    """

    def __init__(self, client: BaseClient, core_session: CoreSession) -> None:
        self._client = client
        self._core_session = core_session

    @property
    def receipt(self) -> str:
        """The text after `UP` in the latest answer that established the session."""
        return self._core_session.receipt

    @property
    def load(self) -> float | None:
        """The latest load that the server reported for the connection, in ms of work per second."""
        return self._core_session.load

    @property
    def established(self) -> bool:
        """Whether the session is established; False while it reconnects and after it is closed."""
        return self._core_session.state is SessionState.ESTABLISHED

    @property
    def standing(self) -> bool:
        """Former name of `established`, for one release."""
        return self.established

    async def send(self, line: str) -> None:
        """Send one line; if cancelled, either all of the line or nothing is sent.

        Waits while the session reconnects, while `Limits.lines_out` lines are unanswered, or while
        `Limits.bytes_out` bytes are unwritten. Raises InvalidArgumentError if the line is invalid, and the
        error that ended the session if it is closed.
        """
        await self._client.send(self._core_session, line)

    async def receive(self) -> str | None:
        """Return the next line from the server; None after the server has ended the session regularly.

        Raises Interrupted if the connection was lost with lines unanswered; call `receive` again to continue.
        Raises the error that ended the session if it is closed for another reason.
        """
        return await self._client.receive(self._core_session)

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> str:
        line = await self.receive()
        if line is None:
            raise StopAsyncIteration
        return line

    async def aclose(self) -> None:
        """End the session; lines sent before are still written. Does nothing if it is closed."""
        self._client.close(self._core_session)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        self._client.close(self._core_session)
