"""Case 2: open watches fall silent, a quarter of the servers begin to drain, and discovery goes down."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins.client import run_client  # noqa: E402
from stand_ins.discovery import Discovery, Registry  # noqa: E402
from stand_ins.platform import CLASSES, Balancer, settings  # noqa: E402
from stand_ins.record import Record  # noqa: E402
from stand_ins.runner import run_case  # noqa: E402
from stand_ins.server import Server  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BALANCERS = 3
SERVERS = 8
DRAINING = 2  # a quarter
CLIENTS_PER_S = 12.0
SILENT_S = 1.5
DOWN_S = 8.0
# Page STANDING: a change counts as told at the latest so long after discovery had it and could be reached.
TOLD_S = 6.0
DRAIN_GRACE_S = 0.5
SLACK_S = 0.05
# The record itself may be late by so much.
MEASURING_S = 0.05


async def main() -> int:
    """Run the case; return its exit status."""
    record = Record(FOLDER / "record.txt")
    registry = Registry()
    servers = [Server(f"s-{number}", record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
        registry.put(server.name, server.address)
    discovery = Discovery("discovery", registry, record)
    await discovery.start()
    with tempfile.TemporaryDirectory() as folder:
        configuration = {
            "discovery": discovery.address,
            "known": registry.whole(),
            "settings": settings(BALANCERS),
        }
        balancers = [
            Balancer(f"n{number}", Path(folder), record, configuration) for number in range(BALANCERS)
        ]
        try:
            await asyncio.gather(*(balancer.start() for balancer in balancers))
            return await play(record, registry, servers, discovery, balancers)
        finally:
            await asyncio.gather(*(balancer.end() for balancer in balancers))


async def play(
    record: Record, registry: Registry, servers: list[Server], discovery: Discovery, balancers: list[Balancer]
) -> int:
    """Play the events, and judge what the servers saw; return the exit status."""
    traffic = asyncio.create_task(send_traffic(balancers, record))
    await asyncio.sleep(5.0)
    if TROUBLE:
        discovery.silence_watches()
    await asyncio.sleep(0.5)
    draining = servers[:DRAINING]
    for server in draining:
        registry.put(server.name, server.address, "draining")
        server.drain()
    drained_at = record.now()
    await asyncio.sleep(SILENT_S - 0.5)
    if TROUBLE:
        discovery.go_down()
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        await discovery.start()
    await asyncio.sleep(2.0)
    traffic.cancel()
    bound = drained_at + TOLD_S + DRAIN_GRACE_S + SLACK_S + MEASURING_S
    late = sorted(
        (at, item.name, request) for item in draining for at, request in item.attempts if at > bound
    )
    for at, name, request in late:
        record.write(f"BROKEN drain: {name} got {request} {at - drained_at:.3f} s after the drain")
    sent = sum(len(server.attempts) for server in servers)
    record.write(f"attempts {sent}, late attempts at draining servers {len(late)}")
    has_ended = any(item.process and item.process.returncode is not None for item in balancers)
    if has_ended or sent < 50:
        return 2
    return 1 if late else 0


async def send_traffic(balancers: list[Balancer], record: Record) -> None:
    """Open connections at random times, until cancelled."""
    async with asyncio.TaskGroup() as clients:
        while True:
            await asyncio.sleep(random.expovariate(CLIENTS_PER_S))
            name = random.choice(list(CLASSES))
            port = random.choice(balancers).port
            clients.create_task(run_client(port, name, int(CLASSES[name][1]), record))


if __name__ == "__main__":
    run_case(main)
