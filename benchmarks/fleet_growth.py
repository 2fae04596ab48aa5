"""The cost of one balancer with 200 and with 3,200 servers: `python -m benchmarks.fleet_growth`.

Both runs have the same traffic, and the endpoint list changes all the time. For both sizes the program prints
the CPU time in s, the peak memory in MB, the peak number of open descriptors, the connections made to servers
and the kB of endpoint lists sent to the balancer, and whether the larger fleet stays within the limits of the
platform's page "Standing test". All servers share the address of one stand-in; their names tell them apart.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import trio

from walkloom.lab.settings import balancer_configuration
from walkloom.lab.soak import schedule as schedules
from walkloom.lab.soak.client import run_client
from walkloom.lab.soak.deployment import DESCRIPTOR_LIMIT, Deployment
from walkloom.lab.soak.discovery import FaultyDiscovery
from walkloom.lab.soak.history import History, Lifecycle
from walkloom.lab.soak.hosts import LoopbackHost
from walkloom.lab.soak.process import SoakProcess
from walkloom.lab.soak.server import RecordingServer

SMALL_FLEET_SIZE, LARGE_FLEET_SIZE = 200, 3200
DURATION_S = 20.0
REQUEST_RATE = 20.0  # per second
# At each change one server starts to drain, and the previous one becomes ready again.
CHANGE_INTERVAL_S = 0.2
SAMPLE_INTERVAL_S = 0.2
_USER_TIME_FIELD = 11  # index of utime in /proc/PID/stat after the command name; stime follows


@dataclass(frozen=True, slots=True)
class Cost:
    """The resources that one balancer used."""

    cpu_s: float
    peak_memory_mb: float
    descriptors: int
    connections: int
    list_kb: float


# For each cost, the function that returns its limit for the larger fleet. The arguments are the same cost of
# the smaller fleet and the number of servers of the larger fleet, in thousands.
LIMITS: dict[str, Callable[[float, float], float]] = {
    "cpu_s": lambda small, thousand_servers: 1.4 * small + 0.02 + 0.12 * thousand_servers,
    "peak_memory_mb": lambda small, thousand_servers: 1.5 * small + 8.0 + 4.0 * thousand_servers,
    "descriptors": lambda small, _: 2.0 * small + 40.0,
    "connections": lambda small, _: 2.5 * small + 40.0,
    "list_kb": lambda small, thousand_servers: 2.0 * small + 64.0 + 500.0 * thousand_servers,
}


async def measure(server_count: int) -> Cost:
    """Run one balancer with that many servers in its endpoint list, and return its cost."""
    deployment = Deployment(
        balancer_count=200,  # as the configuration states; only one of them runs
        process_count=1,
        server_count=server_count,
        is_pushed=False,
        max_poll_interval_ms=10_000.0,
        drain_grace_ms=500.0,
        longest_deadline_ms=3000,
        load_reports=True,
        request_rate=REQUEST_RATE,
        has_crowd=False,
    )
    host, history = LoopbackHost(), History()
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            discovery = FaultyDiscovery(host, history, nursery, is_pushed=False)
            server = RecordingServer("s-0", host, history, nursery)
            server.start()
            for number in range(server_count):
                discovery.add_server(f"s-{number}", server.address, "here")
            process = _start_balancer(deployment, discovery, host, history, Path(folder))
            try:
                await process.wait_until_ready()
                cost = await _run_traffic(deployment, discovery, server, process, history)
            finally:
                process.popen.kill()  # type: ignore[union-attr]
            nursery.cancel_scope.cancel()
    return cost


def _start_balancer(
    deployment: Deployment, discovery: FaultyDiscovery, host: LoopbackHost, history: History, folder: Path
) -> SoakProcess:
    address = f"{host.address}:{host.next_port()}"
    discovery_host, _, port = discovery.listen_for("n0").rpartition(":")
    configuration = balancer_configuration(
        "n0", address, (discovery_host, int(port)), [], deployment.settings("here"), DESCRIPTOR_LIMIT
    )
    configuration["known"] = discovery.registry.snapshot()
    process = SoakProcess("n0", address, folder, configuration, history)
    process.start(discovery.registry.generation)
    return process


async def _run_traffic(
    deployment: Deployment,
    discovery: FaultyDiscovery,
    server: RecordingServer,
    process: SoakProcess,
    history: History,
) -> Cost:
    descriptors = 0

    async def change_list() -> None:
        number = 0
        while True:
            discovery.set_lifecycle(f"s-{number}", Lifecycle.READY)
            number = (number + 1) % deployment.server_count
            discovery.set_lifecycle(f"s-{number}", Lifecycle.DRAINING)
            await trio.sleep(CHANGE_INTERVAL_S)

    async def sample_descriptors() -> None:
        nonlocal descriptors
        while True:
            descriptors = max(descriptors, len(os.listdir(f"/proc/{_pid(process)}/fd")))
            await trio.sleep(SAMPLE_INTERVAL_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change_list)
        nursery.start_soon(sample_descriptors)
        started_at = trio.current_time()
        for client in schedules.draw_clients(1, deployment, DURATION_S):
            await trio.sleep_until(started_at + client.offset_s)
            nursery.start_soon(run_client, replace(client, balancer="n0"), process.address, history)
        cost = Cost(
            cpu_s=_cpu_s(process),
            peak_memory_mb=_peak_memory_mb(process),
            descriptors=descriptors,
            connections=server.connection_count,
            list_kb=discovery.written_bytes / 1000.0,
        )
        nursery.cancel_scope.cancel()
    return cost


def _pid(process: SoakProcess) -> int:
    assert process.popen
    return process.popen.pid


def _cpu_s(process: SoakProcess) -> float:
    fields = Path(f"/proc/{_pid(process)}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_USER_TIME_FIELD + 1])
    return ticks / os.sysconf("SC_CLK_TCK")


def _peak_memory_mb(process: SoakProcess) -> float:
    lines = Path(f"/proc/{_pid(process)}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:")) / 1024.0


def main() -> None:
    """Measure both fleet sizes and print the costs beside the limits."""
    small, large = trio.run(measure, SMALL_FLEET_SIZE), trio.run(measure, LARGE_FLEET_SIZE)
    print(
        f"| what | {SMALL_FLEET_SIZE} servers | {LARGE_FLEET_SIZE} servers | allowed | |\n"
        "|---|---|---|---|---|"
    )
    for name, limit in LIMITS.items():
        small_value, large_value = float(getattr(small, name)), float(getattr(large, name))
        allowed = limit(small_value, LARGE_FLEET_SIZE / 1000.0)
        result = "kept" if large_value <= allowed else "OVER"
        print(f"| {name} | {small_value:.2f} | {large_value:.2f} | {allowed:.2f} | {result} |")


if __name__ == "__main__":
    main()
