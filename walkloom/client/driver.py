"""What every driver shares: Client and Session round the core, for any loop. A loop brings its clock, its
events
and its connections (`on_trio`, `on_asyncio`); the order of things is here."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Protocol, Self

from walkloom.client import core as c
from walkloom.client.errors import Failed
from walkloom.client.metrics import Figures
from walkloom.client.session import Session as Machine
from walkloom.client.session import State
from walkloom.client.settings import ClassPolicy, Limits, address
from walkloom.client.wire import encoded

LINGER_S = 1.0  # how long a connection that was closed gently may take to write its rest


class Event(Protocol):
    def set(self) -> None: ...
    async def wait(self) -> object: ...


class Connection(Protocol):
    """One connection, from its making to its end; it tells the core what happens to it."""

    conn: int

    def write(self, data: bytes) -> None: ...
    def read_on(self) -> None:
        """The caller has received: there may be room to read again."""

    def hang(self, gently: bool) -> None:
        """Ends it at once (gently: after what is unwritten), whatever it is about, and tells nothing more."""


class BaseClient(ABC):
    """A client of walkloom's balancers, as an async context manager; its end closes all its sessions.

    balancers: `host:port` each. classes: at least one. seed: of all that is drawn by chance.
    Exceptions: see `walkloom.client.errors`; ValueError for settings that make no sense.
    """

    def __init__(
        self,
        balancers: Sequence[str],
        classes: Sequence[ClassPolicy],
        limits: Limits | None = None,
        seed: int | None = None,
    ) -> None:
        self.limits = limits or Limits()
        self.core = c.ClientCore([address(b) for b in balancers], classes, self.limits, seed)
        self.connections: dict[int, Connection] = {}  # by their session's number
        self._waiting: dict[int, Event] = {}  # callers, by their session's number

    @abstractmethod
    async def __aenter__(self) -> Self: ...

    @abstractmethod
    async def __aexit__(self, *_: object) -> None: ...

    @abstractmethod
    def now(self) -> float:
        """Ms of the loop's monotonic clock."""

    @abstractmethod
    def _event(self) -> Event: ...

    @abstractmethod
    async def _checkpoint(self) -> None:
        """Lets others run, and a cancellation arrive."""

    @abstractmethod
    def _dial(self, session: Machine, conn: int, to: tuple[str, int]) -> Connection: ...

    @abstractmethod
    def _ring_at(self, at: float) -> None:
        """`step` is wanted at that time (infinite: not at all), instead of the time told before."""

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
        """A session that stands. Within the class's give-up time it is there, or an error is raised.

        key, group: 64 bits; they go with every try and every return. load: a guess, in ms of work a second.
        returns: whether it comes back by itself after a move or a break.
        Raises Refused, TimedOut, Failed or TooMany; ValueError for a class that the client does not know.
        """
        machine = self.core.open(
            self.now(), cls, tenant=tenant, group=group, key=key, load=load, returns=returns
        )
        try:
            self.step()
            while machine.state in (State.WAITING, State.TRYING):
                await self.changed(machine)
            await self._checkpoint()
        except BaseException:  # the caller waits no more, for whatever reason: nobody else would close it
            self.close(machine)
            raise
        if not machine.opened and machine.error:
            raise machine.error
        return Session(self, machine)

    def figures(self) -> Figures:
        """Counters and histograms since the client's start."""
        return self.core.figures()

    def step(self) -> None:
        """Does what the core wants done, and sees that it is asked again in time."""
        for command in self.core.poll(self.now()):
            match command:
                case c.Dial(machine, conn, to):
                    self.connections[machine.number] = self._dial(machine, conn, to)
                case c.Write(machine, conn, data):
                    if connection := self._find(machine, conn):
                        connection.write(data)
                case c.Hang(machine, conn, gently):
                    if connection := self._find(machine, conn):
                        del self.connections[machine.number]
                        connection.hang(gently)
                case c.Wake(machine):
                    self.wake(machine)
        self._ring_at(self.core.wake_at())

    def _find(self, machine: Machine, conn: int) -> Connection | None:
        connection = self.connections.get(machine.number)
        return connection if connection and connection.conn == conn else None

    def _hang_all(self) -> None:
        connections, self.connections = self.connections, {}
        for connection in connections.values():
            connection.hang(gently=False)

    async def changed(self, machine: Machine) -> None:
        if machine.number not in self._waiting:
            self._waiting[machine.number] = self._event()
        await self._waiting[machine.number].wait()

    def wake(self, machine: Machine) -> None:
        event = self._waiting.pop(machine.number, None)
        if event is not None:  # a trio event has no truth
            event.set()

    def close(self, machine: Machine) -> None:
        self.core.close(machine, self.now())
        self.step()

    async def send(self, machine: Machine, line: str) -> None:
        encoded(line)  # a wrong line is told at once, not when the session is back
        await self._checkpoint()
        while not self.core.may_send(machine):
            if machine.state is State.OVER:
                raise machine.error or Failed("the session is over")
            await self.changed(machine)
        self.core.send(machine, line, self.now())
        self.step()

    async def receive(self, machine: Machine) -> str | None:
        await self._checkpoint()
        while not self.core.has_news(machine):
            await self.changed(machine)
        try:
            return self.core.take(machine)
        finally:
            if connection := self.connections.get(machine.number):
                connection.read_on()


class Session:
    """A session, as `Client.open` returns it; an async context manager. One task may send, another
    receive."""

    def __init__(self, client: BaseClient, machine: Machine) -> None:
        self._client, self._machine = client, machine

    @property
    def receipt(self) -> str:
        """What the server's newest UP line told."""
        return self._machine.receipt

    @property
    def load(self) -> float | None:
        """The connection's load as its server told it last, in ms of work a second."""
        return self._machine.load

    @property
    def standing(self) -> bool:
        """Whether it is connected now; False while it comes back, and when it is over."""
        return self._machine.state is State.UP

    async def send(self, line: str) -> None:
        """Hands one line over, whole or (when cancelled) not at all. Waits while the session is coming
        back, or
        while as many lines as `Limits.lines_out` have no answer.

        Raises ValueError for what is no line, and what ended the session if it is over."""
        await self._client.send(self._machine, line)

    async def receive(self) -> str | None:
        """The next line from the server; None once it has ended the session in order.

        Raises Interrupted where lines were left without an answer; after that, receive goes on. Raises what
        ended the session if it is over for another reason."""
        return await self._client.receive(self._machine)

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> str:
        if (line := await self.receive()) is None:
            raise StopAsyncIteration
        return line

    async def aclose(self) -> None:
        """Ends the session; what was sent before is still on its way. Harmless when it is over."""
        self._client.close(self._machine)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        self._client.close(self._machine)
