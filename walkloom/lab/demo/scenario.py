"""Runs the demonstration: viewers that use the client library, a drain, a crash and a restart."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from walkloom.client import ClassPolicy, ClientError, Interrupted, Rejected
from walkloom.client.on_trio import Client
from walkloom.lab.balancers import InProcessBalancer
from walkloom.lab.demo.view import BalancerRow, DemoView, ServerRow
from walkloom.lab.fleet import Fleet
from walkloom.lab.settings import CLASSES, TENANTS

SERVER_COUNT = 5
BALANCER_COUNT = 2
VIEWER_COUNT = 80  # clients, each with one session at a time
GROUP_COUNT = 20
MEAN_SESSION_S = 12.0
LINE_INTERVAL_S = 1.0
VIEW_INTERVAL_S = 0.25  # between two redraws of the screen
RETRY_DELAY_S = 1.0  # after a failed request
DRAIN_DURATION_MS = 1000.0
MAX_EVENTS = 8  # the most recent ones, a line of the screen each
POLICIES = tuple(
    ClassPolicy(each.name, each.latency_objective_ms, each.deadline_ms, worth=each.priority_weight)
    for each in CLASSES
)


@dataclass
class Demo:
    """Runs for `duration_s` seconds, and calls `show` with each new view."""

    duration_s: float
    show: Callable[[DemoView], None]
    seed: int = 1
    events: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS))
    _server_states: dict[str, str] = field(default_factory=dict)
    _started_at_s: float = 0.0

    async def run(self) -> DemoView:
        """Run the demonstration, and return the last view."""
        # Log lines of the balancers would overwrite the screen, which shows their events anyway.
        logging.getLogger("walkloom").setLevel(logging.CRITICAL)
        self._started_at_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            fleet = await self._start_fleet(nursery)
            addresses = [balancer.address for balancer in fleet.balancers.values()]
            async with Client(addresses, POLICIES, seed=self.seed) as client:
                for number in range(VIEWER_COUNT):
                    nursery.start_soon(self._run_viewer, client, number)
                nursery.start_soon(self._inject_faults, fleet)
                while trio.current_time() - self._started_at_s < self.duration_s:
                    self.show(self._make_view(fleet, client))
                    await trio.sleep(VIEW_INTERVAL_S)
                last_view = self._make_view(fleet, client)
                nursery.cancel_scope.cancel()
        return last_view

    async def _start_fleet(self, nursery: trio.Nursery) -> Fleet:
        fleet = await Fleet(nursery).start(
            SERVER_COUNT, max_connections=60, setup_ms=8.0, slow_start_min_capacity=0.4, slow_start_ms=4000.0
        )
        self._server_states = dict.fromkeys(fleet.servers, "up")
        for number in range(BALANCER_COUNT):
            await fleet.start_balancer(f"n{number}", balancer_count=BALANCER_COUNT)
        self._log_event(f"{SERVER_COUNT} servers, {BALANCER_COUNT} balancers, {VIEWER_COUNT} viewers")
        return fleet

    # Viewers

    async def _run_viewer(self, client: Client, number: int) -> None:
        """Open sessions one after another until cancelled."""
        random = Random(f"{self.seed}/{number}")
        class_name = random.choices(CLASSES, [each.share for each in CLASSES])[0].name
        await trio.sleep(random.random() * self.duration_s / 8)
        while True:
            try:
                await self._run_session(client, class_name, random)
            except Rejected as error:
                await trio.sleep(error.retry_after / 1000.0)
            except ClientError:
                await trio.sleep(RETRY_DELAY_S)

    async def _run_session(self, client: Client, class_name: str, random: Random) -> None:
        """Open a session, send lines for a random time, then close it."""
        group = random.randrange(GROUP_COUNT) + 1
        async with await client.open(class_name, tenant=random.choice(TENANTS), group=group) as session:
            end_at_s = trio.current_time() + random.expovariate(1 / MEAN_SESSION_S)
            while trio.current_time() < end_at_s:
                try:
                    await session.send("SHEET 17")
                    await session.receive()
                except Interrupted:
                    continue
                await trio.sleep(LINE_INTERVAL_S)

    # Faults

    async def _inject_faults(self, fleet: Fleet) -> None:
        """Drain a server at a quarter of the run, crash another at half, restart it at three quarters."""
        _, drained, crashed, *_ = fleet.servers
        await trio.sleep_until(self._started_at_s + self.duration_s / 4)
        self._set_state(drained, "draining", f"{drained} drains: its clients are migrated within a second")
        await fleet.drain(drained, duration_ms=DRAIN_DURATION_MS)
        await trio.sleep_until(self._started_at_s + self.duration_s / 2)
        self._set_state(crashed, "crashed", f"{crashed} crashes: its connections are reset")
        await fleet.crash(crashed)
        await trio.sleep_until(self._started_at_s + self.duration_s * 3 / 4)
        self._set_state(crashed, "cold", f"{crashed} is back, cold")
        await fleet.restart(crashed)

    def _set_state(self, server: str, state: str, event: str) -> None:
        self._server_states[server] = state
        self._log_event(event)

    def _log_event(self, event: str) -> None:
        self.events.append(f"{trio.current_time() - self._started_at_s:5.1f} s  {event}")

    # Views

    def _make_view(self, fleet: Fleet, client: Client) -> DemoView:
        balancers = tuple(
            BalancerRow(name, balancer.server.engine.open_requests)
            for name, balancer in fleet.balancers.items()
            if isinstance(balancer, InProcessBalancer)
        )
        return DemoView(
            elapsed_s=min(trio.current_time() - self._started_at_s, self.duration_s),
            duration_s=self.duration_s,
            servers=tuple(self._server_row(fleet, name) for name in fleet.servers),
            balancers=balancers,
            events=tuple(self.events),
            figures=client.figures(),
            violations=tuple(fleet.invariants.violations),
        )

    def _server_row(self, fleet: Fleet, name: str) -> ServerRow:
        server = fleet.servers[name]
        state = self._server_states[name]
        if state == "cold" and server.capacity_share >= 1.0:
            state = "up"
        load = 0.0 if state == "crashed" else server.load
        return ServerRow(name, state, len(server.connections), load, server.setup_count)
