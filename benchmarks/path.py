"""What the data path costs beside a direct connection: python -m benchmarks.path

One balancer as a process, stand-in tile servers as another, this process as the clients, all on loopback.
In the
same run, through the balancer and straight to a server: set-ups one after another from several clients,
lines back
and forth on standing connections, and idle standing connections. CPU is the balancer's own, from the system.
"""

from __future__ import annotations

import argparse
import json
import logging
import math
import multiprocessing
import multiprocessing.connection
import resource
import statistics
import sys
from dataclasses import dataclass
from pathlib import Path

import trio

from walkloom.lab import Fleet
from walkloom.lab.balancers import BalancerProcess
from walkloom.lab.fleet import RegistrySource
from walkloom.transport.line_stream import LineStream

SERVERS, CLIENTS = 4, 16  # clients that work at a time
SETUP_S, LINE_S, IDLE_S = 4.0, 4.0, 4.0
GROW_S = 25.0  # for connections to come up before the idle ones are looked at
OPEN = "OPEN {0:016x} {0:016x} c=tile-view,t=herb-serra,d=1200,g={1:x}\r\n"


def servers(port: multiprocessing.connection.Connection) -> None:
    """Tile servers and discovery in a process of their own, until it is killed."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            fleet = await Fleet(nursery).start(SERVERS, max_connections=100_000, setup_ms=0.0)
            port.send((fleet.discovery.address, [tile.address for tile in fleet.servers.values()]))

    _raise_descriptors()
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    trio.run(main)


def _raise_descriptors() -> int:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


@dataclass
class Way:
    """One way to the servers."""

    name: str
    addresses: list[str]
    balancer: BalancerProcess | None
    number: int = 0

    async def dial(self) -> LineStream | None:
        """A connection that stands, or None where it was not served."""
        self.number += 1
        host, _, port = self.addresses[self.number % len(self.addresses)].rpartition(":")
        lines = LineStream(await trio.open_tcp_stream(host, int(port)))
        salt = self.number + (1 << 40 if self.balancer else 0)
        await lines.send(OPEN.format(salt, self.number % 1000 + 1).encode())
        if (await lines.read_line()).startswith(b"UP"):
            return lines
        await lines.close()
        return None

    def cpu_s(self) -> float:
        return self.balancer.cpu_s if self.balancer else math.nan


async def set_ups(way: Way) -> tuple[float, float]:
    """A second, and ms of CPU for each."""
    count, cpu, begin = 0, way.cpu_s(), trio.current_time()

    async def client() -> None:
        nonlocal count
        while trio.current_time() < begin + SETUP_S:
            if lines := await way.dial():
                count += 1
                await lines.close()

    async with trio.open_nursery() as nursery:
        for _ in range(CLIENTS):
            nursery.start_soon(client)
    return count / (trio.current_time() - begin), (way.cpu_s() - cpu) / max(count, 1) * 1000.0


async def lines_of(way: Way) -> tuple[float, float]:
    """Lines and their answers a second, and us of CPU for each pair; one line on the way for each client."""
    count = 0
    standing = [lines for _ in range(CLIENTS) if (lines := await way.dial())]
    cpu, begin = way.cpu_s(), trio.current_time()

    async def client(lines: LineStream) -> None:
        nonlocal count
        while trio.current_time() < begin + LINE_S:
            await lines.send(b"SHEET 17\r\n")
            if not await lines.read_line():
                raise RuntimeError("a connection ended")
            count += 1

    async with trio.open_nursery() as nursery:
        for lines in standing:
            nursery.start_soon(client, lines)
    rate, cost = count / (trio.current_time() - begin), (way.cpu_s() - cpu) / max(count, 1) * 1e6
    for lines in standing:
        await lines.close()
    return rate, cost


async def idle(way: Way, most: int) -> list[tuple[int, float, float]]:
    """How many stood idle, KiB of the balancer for each, and its CPU in cores, as their number grows."""
    assert way.balancer
    await trio.sleep(1.0)
    out, standing, empty = [], list[LineStream](), way.balancer.rss_kib
    for count in (1000, 3000, 9000):
        if count > most:
            print(f"descriptors for {most} connections: {count} left out", file=sys.stderr)
            break

        async def some(n: int) -> None:
            while n > 0:
                if lines := await way.dial():
                    standing.append(lines)
                    n -= 1
                else:
                    await trio.sleep(0.05)

        with trio.move_on_after(GROW_S) as scope:
            async with trio.open_nursery() as nursery:
                for _ in range(CLIENTS):
                    nursery.start_soon(some, (count - len(standing)) // CLIENTS)
        if scope.cancelled_caught:
            print(f"of {count} connections {len(standing)} came up within {GROW_S:.0f} s", file=sys.stderr)
        await trio.sleep(2.0)
        cpu = way.cpu_s()
        await trio.sleep(IDLE_S)
        used = (way.cpu_s() - cpu) / IDLE_S
        out.append((len(standing), (way.balancer.rss_kib - empty) / len(standing), used))
    for lines in standing:
        await lines.close()
    return out


async def measure(
    discovery: tuple[str, int], addresses: list[str], rounds: int, most: int
) -> dict[str, object]:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery)
        known = [
            {
                "instanceId": f"s-{n}",
                "hostPort": a,
                "zone": "here",
                "machineType": "std-node",
                "lifecycle": "up",
            }
            for n, a in enumerate(addresses)
        ]
        balancer = await fleet.start_balancer_process(
            "n0", sockets=3 * most, registry=RegistrySource(discovery, known), load_reports_available=False
        )
        ways = [Way("direct", addresses, None), Way("balancer", [balancer.address], balancer)]
        pairs: dict[str, list[tuple[float, float]]] = {}
        for _ in range(rounds):  # in turn, so that both see the machine as it is
            for way in ways:
                pairs.setdefault(f"{way.name} set-ups", []).append(await set_ups(way))
                pairs.setdefault(f"{way.name} lines", []).append(await lines_of(way))
        grown = await idle(ways[1], most)
        nursery.cancel_scope.cancel()
    medians = {name: [statistics.median(x) for x in zip(*got, strict=True)] for name, got in pairs.items()}
    ratios = {
        what: statistics.median(
            b[0] / d[0] for b, d in zip(pairs[f"balancer {what}"], pairs[f"direct {what}"], strict=True)
        )
        for what in ("set-ups", "lines")
    }
    return {"medians": medians, "ratios": ratios, "idle": grown}


def table(result: dict[str, object]) -> list[str]:
    medians: dict[str, list[float]] = result["medians"]  # type: ignore[assignment]
    ratios: dict[str, float] = result["ratios"]  # type: ignore[assignment]
    grown: list[tuple[int, float, float]] = result["idle"]  # type: ignore[assignment]
    out = [
        "| | direct, a second | balancer, a second | ratio | balancer's CPU for each |",
        "|---|---|---|---|---|",
    ]
    for what, unit, factor in (("set-ups", "ms", 1.0), ("lines", "us", 1.0)):
        direct, through = medians[f"direct {what}"], medians[f"balancer {what}"]
        cost = f"{through[1] * factor:.2f} {unit}"
        out.append(f"| {what} | {direct[0]:.0f} | {through[0]:.0f} | {ratios[what]:.2f} | {cost} |")
    out += ["", "| idle standing connections | KiB for each | cores |", "|---|---|---|"]
    out += [f"| {count} | {kib:.1f} | {cores:.2f} |" for count, kib, cores in grown]
    return out


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    options.add_argument("--rounds", type=int, default=3)
    options.add_argument("--json", type=Path, help="write the figures there too")
    chosen = options.parse_args()
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    most = (_raise_descriptors() - 1000) // 2  # the balancer holds two for each
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=servers, args=(theirs,), daemon=True)
    process.start()
    try:
        discovery, addresses = ours.recv()
        result = trio.run(measure, discovery, addresses, chosen.rounds, most)
    finally:
        process.kill()
    print("\n".join(table(result)))
    if chosen.json:
        chosen.json.write_text(json.dumps(result))


if __name__ == "__main__":
    main()
