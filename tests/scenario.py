"""The scenario language: one step per line, run against a frontend on loopback by stub peers.

    c send TEXT       a peer sends; clients (c, c2, ...) connect by their first send
    c part TEXT       the same without a line end
    s1 expect GLOB    the next input matches; s1: the first connection at any server, s2: the second
    c close | reset   ends the connection
    s1 flood          sends lines until no more are accepted; c flooded LAST reads them and then LAST
    wait MS           time passes, on the mock clock
    within MS STEP    the step completes within this time
    after MS STEP     the step does not complete before this time
    list STATE        every server is listed in this state (up, draining, removed)
    stop              the balancer begins to migrate its connections
    VERB ARGUMENT     a step that the builder of the scenario adds

A closed or reset connection reads as EOF or RESET.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from fnmatch import fnmatchcase
from typing import Any, Protocol

import trio
from trio.testing import MockClock

from tests.helpers import settings
from walkloom.engine.engine import Engine
from walkloom.messages import Endpoint, Lifecycle, UpdateKind

# Timeout of one step, in seconds of the mock clock.
STEP_LIMIT_S = 120

STATES = {"up": Lifecycle.READY, "draining": Lifecycle.DRAINING, "removed": Lifecycle.REMOVED}


class Peer(Protocol):
    """One end of a connection that a scenario controls: a client, or a connection at a server."""

    async def send(self, text: str) -> None:
        """Send a line or a datagram."""

    async def receive(self) -> str:
        """Return the next input; EOF or RESET at the end."""

    async def close(self) -> None:
        """End the connection gracefully."""

    async def reset(self) -> None:
        """End the connection with a reset."""


class World:
    """An engine with its tasks, and the peers of one scenario.

    The builder of the scenario sets `dial`, which connects a client, and `servers`; it may add steps to
    `verbs`.
    """

    def __init__(self, nursery: trio.Nursery, connect_timeout: float = 60.0, **changes: object) -> None:
        changes = {"max_attempts": 3, "max_retry_after_ms": 1500.0, "drain_grace_ms": 500.0} | changes
        self.engine = Engine(settings(**changes), 1)
        self.nursery = nursery
        self.connect_timeout = connect_timeout
        self.servers: tuple[str, ...] = ()
        # Listeners of the servers.
        self.listeners: list[trio.SocketListener] = []
        self.clients: dict[str, Any] = {}
        # Connections at the servers, in order of arrival.
        self.server_connections: list[Any] = []
        self._connection_arrived = trio.Event()
        self.dial: Callable[[str], Awaitable[Any]]
        self.verbs: dict[str, Callable[[str], Awaitable[None]]] = {}
        nursery.start_soon(self.engine.run_timers)
        nursery.start_soon(self.engine.run_latency_monitor)

    def update_list(self, state: str) -> None:
        """Pass the engine a list in which every server is in this state."""
        lines = (Endpoint(name, lifecycle=STATES[state]) for name in self.servers)
        self.engine.endpoint_list_received(UpdateKind.SNAPSHOT, lines)

    def add_server_connection(self, peer: Peer) -> None:
        """Record a new connection at a server."""
        self.server_connections.append(peer)
        self._connection_arrived.set()
        self._connection_arrived = trio.Event()

    async def peer(self, name: str) -> Peer:
        """Return the peer of this name; wait for a connection at a server, or connect a new client."""
        if name.startswith("s"):
            while len(self.server_connections) < int(name[1:]):
                await self._connection_arrived.wait()
            return self.server_connections[int(name[1:]) - 1]  # type: ignore[no-any-return]
        if name not in self.clients:
            self.clients[name] = await self.dial(name)
        return self.clients[name]  # type: ignore[no-any-return]

    async def play(self, script: str) -> None:
        """Run a script; an AssertionError names the step that failed."""
        for step in filter(None, map(str.strip, script.splitlines())):
            try:
                with trio.fail_after(STEP_LIMIT_S):
                    await self._step(step)
            except Exception as error:
                raise AssertionError(f"at step {step!r}: {error!r}") from error

    async def _step(self, step: str) -> None:
        name, _, rest = step.partition(" ")
        verb, _, argument = rest.partition(" ")
        if name == "within":
            with trio.fail_after(float(verb) / 1000.0):
                await self._step(argument)
        elif name == "after":
            with trio.move_on_after(float(verb) / 1000.0) as early:
                await self._step(argument)
            assert early.cancelled_caught, "completed too early"
            await self._step(argument)
        elif name == "wait":
            await trio.sleep(float(rest) / 1000.0)
        elif name in self.verbs:
            await self.verbs[name](rest)
        elif name == "list":
            self.update_list(rest)
        elif name == "stop":
            self.nursery.start_soon(self.engine.migrate_connections, 0.5, 1.5)
        else:
            await self._peer_step(await self.peer(name), verb, argument)

    async def _peer_step(self, peer: Any, verb: str, argument: str) -> None:
        if verb == "expect":
            got = await peer.receive()
            assert fnmatchcase(got, argument), f"got {got!r}"
        elif verb in ("send", "part", "flooded"):
            await getattr(peer, verb)(argument)
        else:
            await getattr(peer, verb)()


class BeforeStep(trio.abc.Instrument):
    """Runs an action once, right before the next step of a task, as if both were woken in the same tick."""

    def __init__(self, task: str, action: Callable[[], None]) -> None:
        """Wait for the next step of the task whose name ends with `task`."""
        self.task = task
        self.action = action
        trio.lowlevel.add_instrument(self)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Run the action once; trio calls this before each step of each task."""
        if task.name.endswith(self.task):
            trio.lowlevel.remove_instrument(self)
            self.action()


class ErrorLogHandler(logging.Handler):
    """Collects the errors that the program logs: it survives them, but a scenario must detect them."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Collect the message of the record."""
        self.messages.append(record.getMessage())


def run(
    script: str,
    build: Callable[[World], Awaitable[None]],
    expected_errors: tuple[str, ...] = (),
    **changes: Any,
) -> None:
    """Run a script in a world that `build` has set up.

    expected_errors: the expected log events at level ERROR, in order. changes: changed settings.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(nursery, **changes)
            await build(world)
            world.update_list("up")
            await world.play(script)
            nursery.cancel_scope.cancel()

    # Loopback delivers at once, so a program that is idle for 10 ms waits only for time to pass.
    handler = ErrorLogHandler()
    logging.getLogger("walkloom").addHandler(handler)
    try:
        trio.run(main, clock=MockClock(autojump_threshold=0.01))
    finally:
        logging.getLogger("walkloom").removeHandler(handler)
    assert tuple(line.split()[0] for line in handler.messages) == expected_errors, handler.messages
