"""The scenario language: a line a step, played against a frontend on loopback by stub peers.

    c send TEXT       a peer sends; clients (c, c2, ...) connect by their first send
    c part TEXT       the same without a line's end
    s1 expect GLOB    the next thing that comes matches; s1: the first connection at any server, s2: the next
    c close | reset   ends the connection
    s1 flood          sends lines until nothing more is taken; c flooded LAST takes them and another one
    wait MS           time passes, on the mock clock
    within MS STEP    the step takes no longer
    after MS STEP     the step does not come earlier
    list STATE        every server is listed so (up, draining, removed)
    stop              the balancer begins to migrate its connections
    VERB WHAT         what the builder of the scenario adds

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

# How long one step may take, on the mock clock.
STEP_LIMIT_S = 120

STATES = {"up": Lifecycle.READY, "draining": Lifecycle.DRAINING, "removed": Lifecycle.REMOVED}


class Peer(Protocol):
    """One end of a connection, as a scenario drives it: a client, or a connection at a server."""

    async def send(self, text: str) -> None:
        """Send a line or a datagram."""

    async def receive(self) -> str:
        """Return the next thing that comes; EOF or RESET at the end."""

    async def close(self) -> None:
        """End the connection in order."""

    async def reset(self) -> None:
        """End the connection by a reset."""


class World:
    """An engine with its tasks, and the peers of one scenario.

    The builder of the scenario sets `dial`, which makes a client, `servers`, and `verbs` where it adds steps.
    """

    def __init__(self, nursery: trio.Nursery, connect_timeout: float = 60.0, **changes: object) -> None:
        changes = {"max_attempts": 3, "max_retry_after_ms": 1500.0, "drain_grace_ms": 500.0} | changes
        self.engine = Engine(settings(**changes), 1)
        self.nursery = nursery
        self.connect_timeout = connect_timeout
        self.servers: tuple[str, ...] = ()
        # Of the servers.
        self.listeners: list[trio.SocketListener] = []
        self.clients: dict[str, Any] = {}
        # Connections at the servers, in the order in which they came.
        self.taken: list[Any] = []
        self._came = trio.Event()
        self.dial: Callable[[str], Awaitable[Any]]
        self.verbs: dict[str, Callable[[str], Awaitable[None]]] = {}
        nursery.start_soon(self.engine.run_timers)
        nursery.start_soon(self.engine.run_latency_monitor)

    def listed(self, state: str) -> None:
        """Tell the engine a list in which every server is in this state."""
        lines = (Endpoint(name, lifecycle=STATES[state]) for name in self.servers)
        self.engine.endpoint_list_received(UpdateKind.SNAPSHOT, lines)

    def take(self, peer: Peer) -> None:
        """Note that a connection has come to a server."""
        self.taken.append(peer)
        self._came.set()
        self._came = trio.Event()

    async def peer(self, who: str) -> Peer:
        """Return the peer of a name; waits for a server's connection, and dials a client's first."""
        if who.startswith("s"):
            while len(self.taken) < int(who[1:]):
                await self._came.wait()
            return self.taken[int(who[1:]) - 1]  # type: ignore[no-any-return]
        if who not in self.clients:
            self.clients[who] = await self.dial(who)
        return self.clients[who]  # type: ignore[no-any-return]

    async def play(self, script: str) -> None:
        """Play a script; an AssertionError names the step that failed."""
        for step in filter(None, map(str.strip, script.splitlines())):
            try:
                with trio.fail_after(STEP_LIMIT_S):
                    await self._step(step)
            except Exception as error:
                raise AssertionError(f"at step {step!r}: {error!r}") from error

    async def _step(self, step: str) -> None:
        who, _, rest = step.partition(" ")
        verb, _, what = rest.partition(" ")
        if who == "within":
            with trio.fail_after(float(verb) / 1000.0):
                await self._step(what)
        elif who == "after":
            with trio.move_on_after(float(verb) / 1000.0) as early:
                await self._step(what)
            assert early.cancelled_caught, "came too early"
            await self._step(what)
        elif who == "wait":
            await trio.sleep(float(rest) / 1000.0)
        elif who in self.verbs:
            await self.verbs[who](rest)
        elif who == "list":
            self.listed(rest)
        elif who == "stop":
            self.nursery.start_soon(self.engine.migrate_connections, 0.5, 1.5)
        else:
            await self._peer_step(await self.peer(who), verb, what)

    async def _peer_step(self, peer: Any, verb: str, what: str) -> None:
        if verb == "expect":
            got = await peer.receive()
            assert fnmatchcase(got, what), f"got {got!r}"
        elif verb in ("send", "part", "flooded"):
            await getattr(peer, verb)(what)
        else:
            await getattr(peer, verb)()


class BeforeStep(trio.abc.Instrument):
    """Does something once, right before the next step of a task: both were woken in the same tick."""

    def __init__(self, task: str, do: Callable[[], None]) -> None:
        """Wait for the task whose name ends so."""
        self.task = task
        self.do = do
        trio.lowlevel.add_instrument(self)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Act once; trio calls this before each step of each task."""
        if task.name.endswith(self.task):
            trio.lowlevel.remove_instrument(self)
            self.do()


class Faults(logging.Handler):
    """Keeps what the program logs as an error of its own: it survives them, and a scenario must see them."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.seen: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the record's line."""
        self.seen.append(record.getMessage())


def run(
    script: str, build: Callable[[World], Awaitable[None]], faults: tuple[str, ...] = (), **changes: Any
) -> None:
    """Play a script against what `build` makes of the world.

    faults: the log events at level ERROR that are expected, in order. changes: of the settings.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(nursery, **changes)
            await build(world)
            world.listed("up")
            await world.play(script)
            nursery.cancel_scope.cancel()

    # Loopback is delivered at once, so whatever is idle for 10 ms waits for time only.
    handler = Faults()
    logging.getLogger("walkloom").addHandler(handler)
    try:
        trio.run(main, clock=MockClock(autojump_threshold=0.01))
    finally:
        logging.getLogger("walkloom").removeHandler(handler)
    assert tuple(line.split()[0] for line in handler.seen) == faults, handler.seen
