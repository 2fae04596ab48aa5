"""Case 3: a new configuration moves discovery, and the first call to the new address waits too long."""

from __future__ import annotations

import asyncio
import os
import random
import signal
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
CLIENTS_PER_S = 30.0
# The site file's longest wait of a call, [discovery] timeout_ms.
CALL_WAIT_S = 3.0
# Page LATER: what discovery has to tell counts as told so long after SIGHUP.
TOLD_AFTER_SIGHUP_S = 4.0
DRAIN_GRACE_S = 0.5
SLACK_S = 0.05
# A SIGHUP or a send of this program may itself be late by so much.
MEASURING_S = 0.05


async def main() -> int:
    """Run the case; return its exit status."""
    record = Record(FOLDER / "record.txt")
    registry = Registry()
    servers = [Server(f"s-{number}", record) for number in range(SERVERS + 1)]
    for server in servers:
        await server.start()
    for server in servers[:SERVERS]:
        registry.put(server.name, server.address)
    old, new = Discovery("old", registry, record), Discovery("new", registry, record)
    await old.start()
    await new.start()
    with tempfile.TemporaryDirectory() as folder:
        balancers = [
            Balancer(
                f"n{number}",
                Path(folder),
                record,
                {"discovery": old.address, "known": registry.whole(), "settings": settings(BALANCERS)},
            )
            for number in range(BALANCERS)
        ]
        try:
            await asyncio.gather(*(balancer.start() for balancer in balancers))
            return await play(record, registry, servers, old, new, balancers)
        finally:
            await asyncio.gather(*(balancer.end() for balancer in balancers))


async def play(
    record: Record,
    registry: Registry,
    servers: list[Server],
    old: Discovery,
    new: Discovery,
    balancers: list[Balancer],
) -> int:
    """Play the events, and judge what the servers saw; return the exit status."""
    traffic = asyncio.create_task(send_traffic(balancers, record))
    await asyncio.sleep(4.0)
    joined = servers[SERVERS]
    record.write(f"server {joined.name} joins")
    registry.put(joined.name, joined.address)
    await asyncio.sleep(0.3)
    if TROUBLE:
        new.refusals, new.refused_after_s = BALANCERS, CALL_WAIT_S
    for balancer in balancers:
        balancer.write_configuration(discovery=new.address)
    sighup_at = max(balancer.send_signal(signal.SIGHUP) for balancer in balancers)
    retiring = asyncio.create_task(old.retire())
    await asyncio.sleep(0.1)
    draining = servers[:DRAINING]
    for server in draining:
        registry.put(server.name, server.address, "draining")
        server.drain()
    await asyncio.sleep(9.0)
    traffic.cancel()
    await retiring
    bound = sighup_at + TOLD_AFTER_SIGHUP_S + DRAIN_GRACE_S + SLACK_S + MEASURING_S
    late = sorted(
        (at, item.name, request) for item in draining for at, request in item.attempts if at > bound
    )
    for at, name, request in late:
        record.write(f"BROKEN drain: {name} got {request} {at - sighup_at:.3f} s after SIGHUP")
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
