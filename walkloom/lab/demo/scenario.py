"""The demonstration: a small fleet on loopback, viewers with the client library, a drain and a crash on
the way."""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from walkloom.client import ClassPolicy, ClientError, Figures, Interrupted, Rejected
from walkloom.client.on_trio import Client
from walkloom.lab.balancers import InProcessBalancer
from walkloom.lab.fleet import Fleet
from walkloom.lab.settings import CLASSES, TENANTS

SERVERS, BALANCERS, VIEWERS = 5, 2, 80
LIFE_S, LINE_S, LOOK_S = 12.0, 1.0, 0.25
POLICIES = tuple(
    ClassPolicy(c.name, c.latency_objective_ms, c.deadline_ms, worth=c.priority_weight) for c in CLASSES
)
EVENTS_KEPT = 8


@dataclass(frozen=True, slots=True)
class Row:
    """One tile server as it is now."""

    name: str
    state: str
    connections: int
    load: float
    setups: int


@dataclass(frozen=True, slots=True)
class View:
    """One look at the demonstration; what a screen draws."""

    at_s: float
    of_s: float
    rows: tuple[Row, ...]
    balancers: tuple[tuple[str, int], ...]  # name, open requests
    events: tuple[str, ...]
    figures: Figures
    faults: tuple[str, ...]


@dataclass
class Demo:
    """Plays for `seconds`; `show` is called with every look."""

    seconds: float
    show: Callable[[View], None]
    seed: int = 1
    events: deque[str] = field(default_factory=lambda: deque(maxlen=EVENTS_KEPT))
    _states: dict[str, str] = field(default_factory=dict)

    async def run(self) -> View:
        # the balancers' log would be drawn over the screen; what they do is shown
        logging.getLogger("walkloom").setLevel(logging.CRITICAL)
        self._begin = trio.current_time()
        async with trio.open_nursery() as nursery:
            fleet = await Fleet(nursery).start(
                SERVERS, max_connections=60, setup_ms=8.0, slow_start_min_capacity=0.4, slow_start_ms=4000.0
            )
            self._states = dict.fromkeys(fleet.servers, "up")
            for number in range(BALANCERS):
                await fleet.start_balancer(f"n{number}", balancer_count=BALANCERS)
            addresses = [balancer.address for balancer in fleet.balancers.values()]
            self._note(f"{SERVERS} servers, {BALANCERS} balancers, {VIEWERS} viewers")
            async with Client(addresses, POLICIES, seed=self.seed) as client:
                for number in range(VIEWERS):
                    nursery.start_soon(self._viewer, client, number)
                nursery.start_soon(self._story, fleet)
                while trio.current_time() - self._begin < self.seconds:
                    self.show(self._look(fleet, client))
                    await trio.sleep(LOOK_S)
                last = self._look(fleet, client)
                nursery.cancel_scope.cancel()
        return last

    async def _viewer(self, client: Client, number: int) -> None:
        """Opens a session, sends a line a second, leaves after a while and comes again."""
        rng = Random(f"{self.seed}/{number}")
        cls = rng.choices(CLASSES, [c.share for c in CLASSES])[0].name
        await trio.sleep(rng.random() * self.seconds / 8)
        while True:
            try:
                group = rng.randrange(20) + 1
                async with await client.open(cls, tenant=rng.choice(TENANTS), group=group) as session:
                    end = trio.current_time() + rng.expovariate(1 / LIFE_S)
                    while trio.current_time() < end:
                        try:
                            await session.send("SHEET 17")
                            await session.receive()
                        except Interrupted:
                            continue
                        await trio.sleep(LINE_S)
            except Rejected as error:
                await trio.sleep(error.retry_after / 1000.0)
            except ClientError:
                await trio.sleep(1.0)

    async def _story(self, fleet: Fleet) -> None:
        """A drain, a crash, and the crashed one's return: at a quarter, a half and three quarters of the
        time."""
        at = self._begin
        names = list(fleet.servers)
        await trio.sleep_until(at + self.seconds / 4)
        self._tell(names[1], "draining", f"{names[1]} drains: its clients are sent away over a second")
        await fleet.drain(names[1], over_ms=1000.0)
        await trio.sleep_until(at + self.seconds / 2)
        self._tell(names[2], "crashed", f"{names[2]} crashes: its connections are reset")
        await fleet.crash(names[2])
        await trio.sleep_until(at + self.seconds * 3 / 4)
        self._tell(names[2], "cold", f"{names[2]} is back, cold")
        await fleet.restart(names[2])

    def _tell(self, name: str, state: str, text: str) -> None:
        self._states[name] = state
        self._note(text)

    def _note(self, text: str) -> None:
        self.events.append(f"{trio.current_time() - self._begin:5.1f} s  {text}")

    def _look(self, fleet: Fleet, client: Client) -> View:
        rows = []
        for name, tile in fleet.servers.items():
            state = self._states[name]
            if state == "cold" and tile.capacity_share >= 1.0:
                state = "up"
            load = 0.0 if state == "crashed" else tile.load
            rows.append(Row(name, state, len(tile.connections), load, tile.setup_count))
        balancers = tuple(
            (name, balancer.server.engine.open_requests)
            for name, balancer in fleet.balancers.items()
            if isinstance(balancer, InProcessBalancer)
        )
        at = trio.current_time() - self._begin
        return View(
            min(at, self.seconds),
            self.seconds,
            tuple(rows),
            balancers,
            tuple(self.events),
            client.figures(),
            tuple(fleet.invariants.violations),
        )


def summary(view: View) -> list[str]:
    """The closing words, a line each."""
    n = view.figures.counters
    setups = [spread.p99 for spread in view.figures.setup_times.values()]
    return [
        f"{n.requests} requests: {n.up} up, {n.refused} refused, {n.timed_out} timed out, {n.failed} failed",
        f"{n.moved} sessions were moved and {n.broken} broke; {n.returned} came back, {n.lost} were lost",
        f"set-up p99 {max(setups, default=math.nan):.0f} ms; {n.lines_sent} lines sent, "
        f"{n.lines_received} answered; {n.tries / max(n.up, 1):.2f} tries for each success",
        f"rules broken, as the servers saw it: {len(view.faults)}",
        *view.faults[:5],
    ]
