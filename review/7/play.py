"""A tile server that comes back cold must not be pushed over by a burst of one group's clients."""

from __future__ import annotations

import asyncio
import math
import random
import time
from dataclasses import replace
from pathlib import Path

from stand_ins_2.balancers import Balancer
from stand_ins_2.case import World, main
from stand_ins_2.servers import TileServer
from stand_ins_2.settings import Deployment, RequestClass

DEPLOYMENT = Deployment(
    classes=(
        RequestClass("check-in", 500.0, 2000.0),
        RequestClass("sheet-view", 500.0, 3000.0),
        RequestClass("shift-fix", 300.0, 1800.0),
    ),
    zones=("korangi",),
    balancers=30,
    drain_grace_ms=250.0,
    cold_from=0.13,
    cold_ms=23_000.0,
    overload_factor=2.5,
    overload_for_ms=3000.0,
    max_attempts=6,
    connect_timeout_ms=200.0,
    tenants=(),
)
SERVERS = 10
# Four cores, each filled by 12 to 22 connections.
FULL = 68
# Load reports are refreshed after 0.57 to 1.4 s and show what was 0.052 to 0.5 s before: the middle.
REPORT_PERIOD_S = 0.985
REPORT_DELAY_S = 0.276
# Connections that were there before, spread over all servers by groups of their own.
EARLIER = 200
EARLIER_INTERVAL_S = 0.1
GROUP = 0x5C0F6E1A2B3D4C59
# A group has 30 to 62 members.
BURST = 60
# Clients that were moved or cut off come again within 94 to 1,800 ms.
BURST_S = (0.094, 1.8)
AWAY_S = 5.0
# The list tells of a start after 0.8 to 2.3 s.
ADD_S = 0.8
END_S = 2.0


async def play(world: World) -> None:
    """Restart the server that the group is placed on; then let the group's clients come."""
    for number in range(SERVERS):
        server = await world.add_server(f"s-{number + 1}", DEPLOYMENT.zones[0])
        server.full = FULL
        server.report_period_s = REPORT_PERIOD_S
        server.report_delay_s = REPORT_DELAY_S
        server.cold_from = DEPLOYMENT.cold_from
        server.cold_s = DEPLOYMENT.cold_ms / 1000.0
    await world.start_balancers()
    balancers = list(world.balancers.values())
    for number in range(EARLIER):
        world.spawn(_open(world, balancers[number % len(balancers)], random.getrandbits(64)))
        await asyncio.sleep(EARLIER_INTERVAL_S)
    first = world.new_client(balancers[0], "check-in", 2000, GROUP)
    await first.run(0.5)
    server = next(each for each in world.servers.values() if any(id_ == first.id for _, id_ in each.opens))
    entry = world.discovery.entry(server.name)
    version = world.discovery.generation
    if world.has_trouble:
        world.discovery.set_lifecycle(server.name, "removed")
        server.leave()
        await asyncio.sleep(AWAY_S)
        server.started_at = world.record.add(f"server {server.name} starts cold")
        started_at_ms = time.time() * 1000.0
        await server.start()
        await asyncio.sleep(ADD_S)
        version = world.discovery.put(replace(entry, startedAtMs=started_at_ms))
    else:
        await asyncio.sleep(AWAY_S + ADD_S)
    await asyncio.sleep(0.2)
    for number in range(BURST):
        delay_s = random.uniform(*BURST_S)
        world.spawn(_open(world, balancers[number % len(balancers)], GROUP, delay_s))
    await asyncio.sleep(BURST_S[1] + END_S)
    _check(world, server, version)


async def _open(world: World, balancer: Balancer, group: int, delay_s: float = 0.0) -> None:
    await asyncio.sleep(delay_s)
    await world.new_client(balancer, "check-in", 2000, group).run()


def _check(world: World, server: TileServer, version: int) -> None:
    """Compare each window with what the settings allow the server at its end, as long as it is cold."""
    balancer_of = {client.id: client.balancer for client in world.clients}
    window_s = DEPLOYMENT.overload_for_ms / 1000.0
    opens = [(at, id_) for at, id_ in server.opens if at > server.started_at]
    worst = 0
    for end, _ in opens:
        share = server.capacity_share(end)
        window = [(at, balancer_of[id_]) for at, id_ in opens if end - window_s < at <= end]
        told = sum(world.discovery.written_at.get((name, version), math.inf) <= at for at, name in window)
        # A cold server takes new connections no faster than fills it over its warm-up.
        rate = server.full / (DEPLOYMENT.cold_ms / 1000.0)
        allowed = DEPLOYMENT.overload_factor * share * rate * window_s
        limit = allowed + 3.0 * math.sqrt(allowed) + 3.0
        worst = max(worst, len(window))
        if share < 1.0 and len(window) > limit and told > 2.0 / 3.0 * len(window):
            world.break_rule(
                f"{server.name}: {len(window)} requests in the {window_s:.0f} s before {end:.3f}, {told} of "
                f"them from balancers told of its start; allowed {allowed:.1f}, with slack {limit:.1f}"
            )
            break
    world.record.add(f"{server.name}: {len(opens)} requests since its start, at most {worst} in a window")


main(Path(__file__).resolve().parent / "record.txt", DEPLOYMENT, play)
