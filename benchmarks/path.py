"""Compare the data path through a balancer with direct connections: python -m benchmarks.path.

The balancer and the stub servers run in a process each, the clients in this one, all on loopback. One run
measures both routes: connection set-ups by several concurrent clients, and lines exchanged on established
connections. It then measures idle connections through the balancer. CPU time is that of the balancer's
process, as the operating system reports it.
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
SERVER_MAX_CONNECTIONS = 100_000  # of each server; high enough never to be the limit
CLIENT_COUNT = 16  # concurrent clients
SETUP_DURATION_S = 4.0
LINE_DURATION_S = 4.0
IDLE_DURATION_S = 4.0
IDLE_CONNECTION_COUNTS = (1000, 3000, 9000)
IDLE_SETUP_TIMEOUT_S = 25.0  # to establish the connections of one measurement
IDLE_SETTLE_S = 2.0  # between the last set-up and the measurement
CLOSE_SETTLE_S = 1.0  # for the connections of the previous measurement to close
RETRY_DELAY_S = 0.05  # after a rejection, while idle connections are established
RESERVED_DESCRIPTORS = 1000  # for everything that is not a connection
DESCRIPTORS_PER_CONNECTION = 2  # a client connection and an upstream connection
AFFINITY_GROUP_COUNT = 1000
BALANCER_REQUEST_ID_OFFSET = 1 << 40  # keeps request ids of the two routes distinct
REQUEST_LINE = "OPEN {0:016x} {0:016x} c=tile-view,t=herb-serra,d=1200,g={1:x}\r\n"


class Rate(NamedTuple):
    """The rate of one measurement and its CPU cost; written to the JSON file as a plain list."""

    per_s: float
    cpu_per_operation: float  # ms for a set-up, us for a line; NaN without a balancer


class IdleCost(NamedTuple):
    """Memory and CPU that a balancer uses for a number of idle connections."""

    connections: int
    kib_per_connection: float
    cpu_cores: float


@dataclass
class Results:
    """All measurements of a run, by route ("direct", "balancer") and kind of work ("set-ups", "lines")."""

    rates: dict[str, list[Rate]] = field(default_factory=dict)
    idle: list[IdleCost] = field(default_factory=list)

    def add(self, route: str, work: str, rate: Rate) -> None:
        """Add the measurement of one round."""
        self.rates.setdefault(f"{route} {work}", []).append(rate)

    def median(self, route: str, work: str) -> list[float]:
        """Return the medians over the rounds, in the order of `Rate`."""
        rounds = self.rates[f"{route} {work}"]
        return [statistics.median(values) for values in zip(*rounds, strict=True)]

    def ratio(self, work: str) -> float:
        """Return the rate through the balancer divided by the direct one, the median over the rounds."""
        rounds = zip(self.rates[f"balancer {work}"], self.rates[f"direct {work}"], strict=True)
        return statistics.median(balanced.per_s / direct.per_s for balanced, direct in rounds)

    def to_json(self) -> dict[str, object]:
        """Return the content of the JSON file."""
        medians = {name: self.median(*name.split(" ", 1)) for name in self.rates}
        ratios = {work: self.ratio(work) for work in ("set-ups", "lines")}
        return {"medians": medians, "ratios": ratios, "idle": self.idle}


@dataclass
class Route:
    """A way to reach the servers: direct, or through a balancer."""

    name: str
    addresses: list[str]
    balancer: BalancerProcess | None
    request_count: int = 0

    async def connect(self) -> LineStream | None:
        """Return an established connection, or None where the request was not accepted."""
        self.request_count += 1
        host, _, port = self.addresses[self.request_count % len(self.addresses)].rpartition(":")
        line_stream = LineStream(await trio.open_tcp_stream(host, int(port)))
        request_id = self.request_count + (BALANCER_REQUEST_ID_OFFSET if self.balancer else 0)
        group = self.request_count % AFFINITY_GROUP_COUNT + 1
        await line_stream.send(REQUEST_LINE.format(request_id, group).encode())
        if (await line_stream.read_line()).startswith(b"UP"):
            return line_stream
        await line_stream.close()
        return None

    def cpu_s(self) -> float:
        """Return the CPU time of the balancer in s; NaN on the direct route."""
        return self.balancer.cpu_s if self.balancer else math.nan


def serve_stubs(pipe: multiprocessing.connection.Connection) -> None:
    """Run stub servers and discovery until the process is killed; send their addresses through the pipe."""

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            fleet = await Fleet(nursery).start(
                SERVER_COUNT, max_connections=SERVER_MAX_CONNECTIONS, setup_ms=0.0
            )
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
    """Set up and close connections; the CPU cost is in ms for each set-up."""
    count = 0
    cpu_before_s = route.cpu_s()
    started_at = trio.current_time()

    async def run_client() -> None:
        nonlocal count
        while trio.current_time() < started_at + SETUP_DURATION_S:
            if line_stream := await route.connect():
                count += 1
                await line_stream.close()

    async with trio.open_nursery() as nursery:
        for _ in range(CLIENT_COUNT):
            nursery.start_soon(run_client)
    per_s = count / (trio.current_time() - started_at)
    return Rate(per_s, (route.cpu_s() - cpu_before_s) / max(count, 1) * 1000.0)


async def measure_lines(route: Route) -> Rate:
    """Send lines and wait for each answer; the CPU cost is in us for each line with its answer.

    Raises RuntimeError if a connection ends.
    """
    count = 0
    connections = [line_stream for _ in range(CLIENT_COUNT) if (line_stream := await route.connect())]
    cpu_before_s = route.cpu_s()
    started_at = trio.current_time()

    async def run_client(line_stream: LineStream) -> None:
        nonlocal count
        while trio.current_time() < started_at + LINE_DURATION_S:
            await line_stream.send(b"SHEET 17\r\n")
            if not await line_stream.read_line():
                raise RuntimeError("a connection ended during the measurement of lines")
            count += 1

    async with trio.open_nursery() as nursery:
        for line_stream in connections:
            nursery.start_soon(run_client, line_stream)
    per_s = count / (trio.current_time() - started_at)
    rate = Rate(per_s, (route.cpu_s() - cpu_before_s) / max(count, 1) * 1e6)
    for line_stream in connections:
        await line_stream.close()
    return rate


async def measure_idle(route: Route, max_connections: int) -> list[IdleCost]:
    """Measure a balancer's memory and CPU as the number of idle connections grows."""
    assert route.balancer
    await trio.sleep(CLOSE_SETTLE_S)
    costs: list[IdleCost] = []
    connections: list[LineStream] = []
    baseline_kib = route.balancer.rss_kib
    for count in IDLE_CONNECTION_COUNTS:
        if count > max_connections:
            print(f"descriptors suffice for {max_connections} connections: {count} skipped", file=sys.stderr)
            break
        await _establish_connections(route, connections, count)
        await trio.sleep(IDLE_SETTLE_S)
        cpu_before_s = route.cpu_s()
        await trio.sleep(IDLE_DURATION_S)
        cpu_cores = (route.cpu_s() - cpu_before_s) / IDLE_DURATION_S
        kib_per_connection = (route.balancer.rss_kib - baseline_kib) / len(connections)
        costs.append(IdleCost(len(connections), kib_per_connection, cpu_cores))
    for line_stream in connections:
        await line_stream.close()
    return costs


async def _establish_connections(route: Route, connections: list[LineStream], count: int) -> None:
    async def establish(missing: int) -> None:
        while missing > 0:
            if line_stream := await route.connect():
                connections.append(line_stream)
                missing -= 1
            else:
                await trio.sleep(RETRY_DELAY_S)

    with trio.move_on_after(IDLE_SETUP_TIMEOUT_S) as scope:
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENT_COUNT):
                nursery.start_soon(establish, (count - len(connections)) // CLIENT_COUNT)
    if scope.cancelled_caught:
        summary = f"{len(connections)} were established within {IDLE_SETUP_TIMEOUT_S:.0f} s"
        print(f"of {count} connections {summary}", file=sys.stderr)


async def measure(
    discovery: tuple[str, int], addresses: list[str], rounds: int, max_connections: int
) -> Results:
    """Measure both routes in turn, so that the machine's load affects both alike, then idle connections.

    addresses: of the stub servers.
    """
    results = Results()
    known_endpoints = [_known_endpoint(f"s-{n}", address) for n, address in enumerate(addresses)]
    async with trio.open_nursery() as nursery:
        balancer = await Fleet(nursery).start_balancer_process(
            "n0",
            # One more for each connection, so that the descriptors that a balancer reserves do not limit it.
            sockets=(DESCRIPTORS_PER_CONNECTION + 1) * max_connections,
            registry=RegistrySource(discovery, known_endpoints),
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


def format_table(results: Results) -> list[str]:
    """Return the results as lines of Markdown."""
    return [
        "| | direct, per second | balancer, per second | ratio | balancer's CPU per operation |",
        "|---|---|---|---|---|",
        _rate_row(results, "set-ups", "ms"),
        _rate_row(results, "lines", "us"),
        "",
        "| idle connections | KiB per connection | cores |",
        "|---|---|---|",
        *_idle_rows(results.idle),
    ]


def _rate_row(results: Results, work: str, unit: str) -> str:
    direct = Rate(*results.median("direct", work))
    balanced = Rate(*results.median("balancer", work))
    ratio = results.ratio(work)
    cost = f"{balanced.cpu_per_operation:.2f} {unit}"
    return f"| {work} | {direct.per_s:.0f} | {balanced.per_s:.0f} | {ratio:.2f} | {cost} |"


def _idle_rows(costs: Sequence[IdleCost]) -> list[str]:
    return [
        f"| {cost.connections} | {cost.kib_per_connection:.1f} | {cost.cpu_cores:.2f} |" for cost in costs
    ]


def main() -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", type=Path, help="also write the figures to this file")
    arguments = parser.parse_args()
    logging.getLogger("walkloom").setLevel(logging.ERROR)
    max_connections = (_raise_descriptor_limit() - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CONNECTION
    parent_pipe, child_pipe = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    stubs = context.Process(target=serve_stubs, args=(child_pipe,), daemon=True)
    stubs.start()
    try:
        discovery, addresses = parent_pipe.recv()
        results = trio.run(measure, discovery, addresses, arguments.rounds, max_connections)
    finally:
        stubs.kill()
    print("\n".join(format_table(results)))
    if arguments.json:
        arguments.json.write_text(json.dumps(results.to_json()))


if __name__ == "__main__":
    main()
