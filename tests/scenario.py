"""The scenario language: a line a step, played against a front on loopback by stand-in peers.

    c send TEXT       a peer sends; clients (c, c2, ...) connect by their first send
    c part TEXT       the same without a line's end
    s1 expect GLOB    the next thing that comes matches; s1: the first connection at any server, s2: the next
    c close | reset   ends the connection
    s1 flood          sends lines until nothing more is taken; c flooded LAST takes them and another one
    wait MS           time passes, on the mock clock
    within MS STEP    the step takes no longer
    list STATE        every server is listed so (up, draining, removed)
    stop              the balancer begins to leave
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

STATES = {"up": Lifecycle.READY, "draining": Lifecycle.DRAINING, "removed": Lifecycle.REMOVED}


class Peer(Protocol):
    async def send(self, text: str) -> None: ...
    async def receive(self) -> str: ...
    async def close(self) -> None: ...
    async def reset(self) -> None: ...


class World:
    """An engine with run_timers running, and the peers of one scenario; `dial` makes a client."""

    def __init__(self, nursery: trio.Nursery, connect_timeout: float = 60.0, **changes: object) -> None:
        changes = {"max_attempts": 3, "max_retry_after_ms": 1500.0, "drain_grace_ms": 500.0} | changes
        self.engine = Engine(settings(**changes), 1)
        self.nursery, self.connect_timeout = nursery, connect_timeout
        self.servers: tuple[str, ...] = ()
        self.listeners: list[trio.SocketListener] = []  # of the servers
        self.clients: dict[str, Any] = {}
        self.taken: list[Any] = []  # connections at the servers, in the order in which they came
        self._came = trio.Event()
        self.dial: Callable[[str], Awaitable[Any]]
        self.verbs: dict[str, Callable[[str], Awaitable[None]]] = {}
        nursery.start_soon(self.engine.run_timers)
        nursery.start_soon(self.engine.run_latency_monitor)

    def listed(self, state: str) -> None:
        lines = (Endpoint(name, lifecycle=STATES[state]) for name in self.servers)
        self.engine.endpoint_list_received(UpdateKind.SNAPSHOT, lines)

    def take(self, peer: Peer) -> None:
        """A connection has come to a server."""
        self.taken.append(peer)
        self._came.set()
        self._came = trio.Event()

    async def peer(self, who: str) -> Peer:
        if who.startswith("s"):
            while len(self.taken) < int(who[1:]):
                await self._came.wait()
            return self.taken[int(who[1:]) - 1]  # type: ignore[no-any-return]
        if who not in self.clients:
            self.clients[who] = await self.dial(who)
        return self.clients[who]  # type: ignore[no-any-return]

    async def play(self, script: str) -> None:
        for step in filter(None, map(str.strip, script.splitlines())):
            try:
                with trio.fail_after(120):
                    await self._step(step)
            except Exception as error:
                raise AssertionError(f"at step {step!r}: {error!r}") from error

    async def _step(self, step: str) -> None:
        who, _, rest = step.partition(" ")
        if who == "within":
            limit, _, step = rest.partition(" ")
            with trio.fail_after(float(limit) / 1000.0):
                return await self._step(step)
        if who == "after":
            limit, _, step = rest.partition(" ")
            with trio.move_on_after(float(limit) / 1000.0) as early:
                await self._step(step)
            assert early.cancelled_caught, "came too early"
            return await self._step(step)
        verb, _, what = rest.partition(" ")
        if who == "wait":
            await trio.sleep(float(rest) / 1000.0)
        elif who in self.verbs:
            await self.verbs[who](rest)
        elif who == "list":
            self.listed(rest)
        elif who == "stop":
            self.nursery.start_soon(self.engine.migrate_connections, 0.5, 1.5)
        elif verb == "expect":
            got = await (await self.peer(who)).receive()
            assert fnmatchcase(got, what), f"got {got!r}"
        elif verb in ("send", "part", "flooded"):
            await getattr(await self.peer(who), verb)(what)
        else:
            await getattr(await self.peer(who), verb)()


class BeforeStep(trio.abc.Instrument):
    """Does something once, right before the next step of a task: both were woken in the same tick."""

    def __init__(self, task: str, do: Callable[[], None]) -> None:
        self.task, self.do = task, do
        trio.lowlevel.add_instrument(self)

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        if task.name.endswith(self.task):
            trio.lowlevel.remove_instrument(self)
            self.do()


class Faults(logging.Handler):
    """Keeps what the program calls a fault of its own: it survives them, and a scenario must see them."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.seen: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.seen.append(record.getMessage())


def run(
    script: str, build: Callable[[World], Awaitable[None]], faults: tuple[str, ...] = (), **changes: Any
) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(nursery, **changes)
            await build(world)
            world.listed("up")
            await world.play(script)
            nursery.cancel_scope.cancel()

    # loopback is delivered at once, so whatever is idle for 10 ms waits for time only
    handler = Faults()
    logging.getLogger("walkloom").addHandler(handler)
    try:
        trio.run(main, clock=MockClock(autojump_threshold=0.01))
    finally:
        logging.getLogger("walkloom").removeHandler(handler)
    assert tuple(x.split()[0] for x in handler.seen) == faults, handler.seen
