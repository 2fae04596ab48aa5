"""Measure what the data path costs beside a direct connection: python -m benchmarks.path.

One balancer as a process, stub servers as another, this process as the clients, all on loopback. In the same
run, through the balancer and straight to a server: set-ups one after another from several clients, lines back
and forth on established connections, and idle connections. CPU is the balancer's own, from the system.
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
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import trio

from walkloom.lab import Fleet
from walkloom.lab.balancers import BalancerProcess
from walkloom.lab.fleet import RegistrySource
from walkloom.transport.line_stream import LineStream

SERVER_COUNT = 4
SERVER_CONNECTIONS = 100_000  # of each server: never the limit
CLIENT_COUNT = 16  # that work at a time
SETUP_S = 4.0
LINE_S = 4.0
IDLE_S = 4.0
IDLE_CONNECTIONS = (1000, 3000, 9000)
IDLE_GROW_S = 25.0  # for connections to be established before the idle ones are measured
IDLE_SETTLE_S = 2.0  # after the last of them
CLOSE_SETTLE_S = 1.0  # for the connections of the previous measurement to close
RETRY_DELAY_S = 0.05  # after a rejection, while idle connections grow
RESERVED_DESCRIPTORS = 1000  # for all that is not a connection
DESCRIPTORS_PER_CONNECTION = 2  # a balancer has a client and an upstream connection for each
GROUP_COUNT = 1000
BALANCER_ID_OFFSET = 1 << 40  # keeps ids through the balancer apart from direct ones
REQUEST_LINE = "OPEN {0:016x} {0:016x} c=tile-view,t=herb-serra,d=1200,g={1:x}\r\n"


class Rate(NamedTuple):
    """One measurement; plain numbers, as the JSON file has them."""

    per_s: float
    cpu_each: float  # ms for a set-up, us for a line; NaN without a balancer


class IdleCost(NamedTuple):
    """What so many idle connections cost the balancer."""

    connections: int
    kib_each: float
    cpu_cores: float


@dataclass
class Results:
    """All measurements of a run, by route and kind of work."""

    rates: dict[str, list[Rate]] = field(default_factory=dict)
    idle: list[IdleCost] = field(default_factory=list)

    def add(self, route: str, work: str, rate: Rate) -> None:
        """Add one round's measurement."""
        self.rates.setdefault(f"{route} {work}", []).append(rate)

    def median(self, route: str, work: str) -> list[float]:
        """Return the medians over the rounds, in the order of `Rate`."""
        rounds = self.rates[f"{route} {work}"]
        return [statistics.median(values) for values in zip(*rounds, strict=True)]

    def ratio(self, work: str) -> float:
        """Return the rate through the balancer over the direct one, the median of the rounds."""
        rounds = zip(self.rates[f"balancer {work}"], self.rates[f"direct {work}"], strict=True)
        return statistics.median(balanced.per_s / direct.per_s for balanced, direct in rounds)

    def to_json(self) -> dict[str, object]:
        """Return the content of the JSON file."""
        medians = {name: self.median(*name.split(" ", 1)) for name in self.rates}
        ratios = {work: self.ratio(work) for work in ("set-ups", "lines")}
        return {"medians": medians, "ratios": ratios, "idle": self.idle}


@dataclass
class Route:
    """One way to the servers: direct, or through a balancer."""

    name: str
    addresses: list[str]
    balancer: BalancerProcess | None
    request_count: int = 0

    async def connect(self) -> LineStream | None:
        """Return an established connection, or None where the request was not served."""
        self.request_count += 1
        host, _, port = self.addresses[self.request_count % len(self.addresses)].rpartition(":")
        lines = LineStream(await trio.open_tcp_stream(host, int(port)))
        request_id = self.request_count + (BALANCER_ID_OFFSET if self.balancer else 0)
        group = self.request_count % GROUP_COUNT + 1
        await lines.send(REQUEST_LINE.format(request_id, group).encode())
        if (await lines.read_line()).startswith(b"UP"):
            return lines
        await lines.close()
        return None

    def cpu_s(self) -> float:
        """Return the balancer's CPU time; NaN without one."""
        return self.balancer.cpu_s if self.balancer else math.nan


def serve_stubs(pipe: multiprocessing.connection.Connection) -> None:
    """Serve stub servers and discovery until the process is killed; send their addresses."""

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            fleet = await Fleet(nursery).start(SERVER_COUNT, max_connections=SERVER_CONNECTIONS, setup_ms=0.0)
            addresses = [server.address for server in fleet.servers.values()]
            pipe.send((fleet.discovery.address, addresses))

    _raise_descriptor_limit()
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    trio.run(serve)


def _raise_descriptor_limit() -> int:
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    return hard_limit


async def measure_setups(route: Route) -> Rate:
    """Set up and close connections; CPU in ms for each."""
    count = 0
    start_cpu_s = route.cpu_s()
    start_s = trio.current_time()

    async def run_client() -> None:
        nonlocal count
        while trio.current_time() < start_s + SETUP_S:
            if lines := await route.connect():
                count += 1
                await lines.close()

    async with trio.open_nursery() as nursery:
        for _ in range(CLIENT_COUNT):
            nursery.start_soon(run_client)
    per_s = count / (trio.current_time() - start_s)
    return Rate(per_s, (route.cpu_s() - start_cpu_s) / max(count, 1) * 1000.0)


async def measure_lines(route: Route) -> Rate:
    """Send lines and wait for each answer; CPU in us for each pair."""
    count = 0
    connections = [lines for _ in range(CLIENT_COUNT) if (lines := await route.connect())]
    start_cpu_s = route.cpu_s()
    start_s = trio.current_time()

    async def run_client(lines: LineStream) -> None:
        nonlocal count
        while trio.current_time() < start_s + LINE_S:
            await lines.send(b"SHEET 17\r\n")
            if not await lines.read_line():
                raise RuntimeError("a connection ended")
            count += 1

    async with trio.open_nursery() as nursery:
        for lines in connections:
            nursery.start_soon(run_client, lines)
    per_s = count / (trio.current_time() - start_s)
    rate = Rate(per_s, (route.cpu_s() - start_cpu_s) / max(count, 1) * 1e6)
    for lines in connections:
        await lines.close()
    return rate


async def measure_idle(route: Route, max_connections: int) -> list[IdleCost]:
    """Measure a balancer's memory and CPU as the number of idle connections grows."""
    assert route.balancer
    await trio.sleep(CLOSE_SETTLE_S)
    costs: list[IdleCost] = []
    connections: list[LineStream] = []
    empty_kib = route.balancer.rss_kib
    for count in IDLE_CONNECTIONS:
        if count > max_connections:
            print(f"descriptors for {max_connections} connections: {count} left out", file=sys.stderr)
            break
        await _grow(route, connections, count)
        await trio.sleep(IDLE_SETTLE_S)
        start_cpu_s = route.cpu_s()
        await trio.sleep(IDLE_S)
        cpu_cores = (route.cpu_s() - start_cpu_s) / IDLE_S
        kib_each = (route.balancer.rss_kib - empty_kib) / len(connections)
        costs.append(IdleCost(len(connections), kib_each, cpu_cores))
    for lines in connections:
        await lines.close()
    return costs


async def _grow(route: Route, connections: list[LineStream], count: int) -> None:
    async def establish(missing: int) -> None:
        while missing > 0:
            if lines := await route.connect():
                connections.append(lines)
                missing -= 1
            else:
                await trio.sleep(RETRY_DELAY_S)

    with trio.move_on_after(IDLE_GROW_S) as scope:
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENT_COUNT):
                nursery.start_soon(establish, (count - len(connections)) // CLIENT_COUNT)
    if scope.cancelled_caught:
        came_up = f"{len(connections)} came up within {IDLE_GROW_S:.0f} s"
        print(f"of {count} connections {came_up}", file=sys.stderr)


async def measure(
    discovery: tuple[str, int], addresses: list[str], rounds: int, max_connections: int
) -> Results:
    """Measure both routes in turn, so that both see the machine as it is, then idle connections."""
    results = Results()
    known = [_known_endpoint(f"s-{n}", address) for n, address in enumerate(addresses)]
    async with trio.open_nursery() as nursery:
        balancer = await Fleet(nursery).start_balancer_process(
            "n0",
            sockets=(DESCRIPTORS_PER_CONNECTION + 1) * max_connections,
            registry=RegistrySource(discovery, known),
            load_reports_available=False,
        )
        direct = Route("direct", addresses, None)
        through_balancer = Route("balancer", [balancer.address], balancer)
        for _ in range(rounds):
            for route in (direct, through_balancer):
                results.add(route.name, "set-ups", await measure_setups(route))
                results.add(route.name, "lines", await measure_lines(route))
        results.idle = await measure_idle(through_balancer, max_connections)
        nursery.cancel_scope.cancel()
    return results


def _known_endpoint(name: str, address: str) -> dict[str, object]:
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "here",
        "machineType": "std-node",
        "lifecycle": "up",
    }


def table(results: Results) -> list[str]:
    """Return the results as Markdown, a line each."""
    return [
        "| | direct, a second | balancer, a second | ratio | balancer's CPU for each |",
        "|---|---|---|---|---|",
        _rate_row(results, "set-ups", "ms"),
        _rate_row(results, "lines", "us"),
        "",
        "| idle standing connections | KiB for each | cores |",
        "|---|---|---|",
        *_idle_rows(results.idle),
    ]


def _rate_row(results: Results, work: str, unit: str) -> str:
    direct = Rate(*results.median("direct", work))
    balanced = Rate(*results.median("balancer", work))
    ratio = results.ratio(work)
    cost = f"{balanced.cpu_each:.2f} {unit}"
    return f"| {work} | {direct.per_s:.0f} | {balanced.per_s:.0f} | {ratio:.2f} | {cost} |"


def _idle_rows(costs: Sequence[IdleCost]) -> list[str]:
    return [f"| {cost.connections} | {cost.kib_each:.1f} | {cost.cpu_cores:.2f} |" for cost in costs]


def main() -> None:
    """Run the benchmark from the command line."""
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    options.add_argument("--rounds", type=int, default=3)
    options.add_argument("--json", type=Path, help="write the figures there too")
    chosen = options.parse_args()
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    max_connections = (_raise_descriptor_limit() - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CONNECTION
    ours, theirs = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    stubs = context.Process(target=serve_stubs, args=(theirs,), daemon=True)
    stubs.start()
    try:
        discovery, addresses = ours.recv()
        results = trio.run(measure, discovery, addresses, chosen.rounds, max_connections)
    finally:
        stubs.kill()
    print("\n".join(table(results)))
    if chosen.json:
        chosen.json.write_text(json.dumps(results.to_json()))


if __name__ == "__main__":
    main()
