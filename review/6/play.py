"""A new process must not send to a server that drains, if the agent on its machine has that change."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from stand_ins_2.balancers import Balancer
from stand_ins_2.case import World, main
from stand_ins_2.settings import Deployment, RequestClass

DEPLOYMENT = Deployment(
    classes=(
        RequestClass("campaign-totals", 500.0, 3000.0),
        RequestClass("pledge-status", 300.0, 1200.0),
        RequestClass("payment-confirm", 300.0, 1800.0),
        RequestClass("receipt-feed", 500.0, 2000.0),
    ),
    zones=("amman-north", "amman-south"),
    balancers=2,
    pushed=True,
    may_probe=False,
    cold_from=0.12,
    cold_ms=23_000.0,
    overload_factor=2.5,
    overload_for_ms=2000.0,
    tenants=("hayat-relief", "nour-aid"),
)
SERVERS = 8
DRAINED = ("s-1", "s-2", "s-3", "s-4")
CLIENT_INTERVAL_S = 0.1
CLIENT_LIFE_S = 8.0
# In s after the start: the drain at the servers, the end of the old process, the drain in the list (it comes
# 2.3 to 4.9 s late), the outage, and the new process.
DRAINED_AT_S, KILLED_AT_S, LISTED_AT_S, DOWN_AT_S, STARTED_AT_S = 1.0, 2.0, 3.4, 4.4, 5.4
# Discovery is down for 8 s.
OUTAGE_S = 8.0
END_S = 2.0
# What the rules give on sockets: the grace, and 50 ms.
SLACK_S = 0.05


async def play(world: World) -> None:
    """Drain half of the servers, kill a balancer, begin an outage, and start the balancer again."""
    for number in range(SERVERS):
        zone = DEPLOYMENT.zones[number % len(DEPLOYMENT.zones)]
        await world.add_server(f"s-{number + 1}", zone)
    await world.start_balancers()
    began_at = world.record.now()
    first, second = world.balancers.values()
    traffic = asyncio.create_task(_send_clients(world, [first, second]))
    await _until(world, began_at + DRAINED_AT_S)
    for name in DRAINED:
        world.servers[name].drain()
    await _until(world, began_at + KILLED_AT_S)
    traffic.cancel()
    # The front has noticed the end before it deals out more clients: they go to the other balancer.
    first.send_signal(signal.SIGKILL)
    await first.wait_for_exit()
    # The last list of this process: it has no drain yet.
    first.known = world.discovery.whole_list()
    traffic = asyncio.create_task(_send_clients(world, [second]))
    await _until(world, began_at + LISTED_AT_S)
    versions = {name: world.discovery.set_lifecycle(name, "draining") for name in DRAINED}
    await _until(world, began_at + DOWN_AT_S)
    if world.has_trouble:
        world.discovery.set_down(True)
    await _until(world, began_at + STARTED_AT_S)
    first.start()
    await first.wait_until_ready()
    traffic.cancel()
    traffic = asyncio.create_task(_send_clients(world, [first, second]))
    await _until(world, began_at + DOWN_AT_S + OUTAGE_S)
    if world.has_trouble:
        world.discovery.set_down(False)
    await asyncio.sleep(END_S)
    traffic.cancel()
    _check(world, versions, first)


async def _until(world: World, at: float) -> None:
    await asyncio.sleep(max(at - world.record.now(), 0.0))


async def _send_clients(world: World, balancers: list[Balancer]) -> None:
    while True:
        for balancer in balancers:
            world.spawn(world.new_client(balancer, "receipt-feed", 2000).run(CLIENT_LIFE_S))
            await asyncio.sleep(CLIENT_INTERVAL_S)


def _check(world: World, versions: dict[str, int], restarted: Balancer) -> None:
    """Check the requests that the new process sent: the agent had each drain before the process began."""
    balancer_of = {client.id: client.balancer for client in world.clients}
    bound_s = DEPLOYMENT.drain_grace_ms / 1000.0 + SLACK_S
    for name, version in versions.items():
        told_at = max(world.discovery.had_at[version], restarted.started_at)
        for sent_at, client in world.servers[name].opens:
            if balancer_of.get(client) == restarted.name and sent_at > told_at + bound_s:
                world.break_rule(
                    f"{restarted.name} sent {client} to {name} at {sent_at:.3f}; its agent had the drain at "
                    f"{world.discovery.had_at[version]:.3f}, the process began at {restarted.started_at:.3f}"
                )


main(Path(__file__).resolve().parent / "record.txt", DEPLOYMENT, play)
