"""A fleet: stub discovery, stub servers, and real balancers.

Balancers on the caller's trio loop use its clock: with a mock clock, a test runs seconds of virtual time
almost at once. Balancers in processes of their own are for measurements.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any, NamedTuple

import orjson
import trio

from walkloom import config
from walkloom.lab.balancers import BalancerProcess, InProcessBalancer, find_free_port
from walkloom.lab.invariant_checker import InvariantChecker
from walkloom.lab.registry import RegistryEntry
from walkloom.lab.server_capacity import StubServerSettings
from walkloom.lab.settings import balancer_configuration, platform_settings
from walkloom.lab.stub_discovery import StubDiscovery
from walkloom.lab.stub_server import StubServer
from walkloom.server import BalancerServer

DEFAULT_SOCKET_LIMIT = 4096  # of a balancer; above what the laboratory's tests open
ZONE = "here"
SERVER_KIND = "std-node"


class RegistrySource(NamedTuple):
    """An external registry, and the endpoint list that a balancer starts with."""

    address: tuple[str, int]
    known_endpoints: Sequence[Mapping[str, object]]


@dataclass
class Fleet:
    """Stub servers and balancers that run in the caller's nursery and stop when it ends."""

    nursery: trio.Nursery
    invariants: InvariantChecker = field(default_factory=InvariantChecker)
    servers: dict[str, StubServer] = field(default_factory=dict)
    balancers: dict[str, InProcessBalancer | BalancerProcess] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.discovery = StubDiscovery(self.invariants)
        # The registry lists start times in Unix time; balancers too advance it with a monotonic clock.
        self._unix_time_offset_ms = 0.0

    async def start(
        self, server_count: int, discovery_delay_ms: float = 0.0, **server_settings: Any
    ) -> Fleet:
        """Start discovery and the servers; `server_settings` are fields of `StubServerSettings`."""
        self._unix_time_offset_ms = time.time() * 1000.0 - trio.current_time() * 1000.0
        self.discovery.delay_ms = discovery_delay_ms
        await self.nursery.start(self.discovery.serve)
        for number in range(server_count):
            await self.add_server(f"s-{number}", **server_settings)
        return self

    # Servers

    async def add_server(self, name: str, is_cold: bool = False, **server_settings: Any) -> StubServer:
        """Start another server and list it; `server_settings` are fields of `StubServerSettings`."""
        server = StubServer(name, self.invariants, StubServerSettings(**server_settings))
        self.servers[name] = server
        await self.nursery.start(server.serve, is_cold)
        self.discovery.put(RegistryEntry(name, server.address, ZONE, SERVER_KIND))
        return server

    async def drain(self, name: str, duration_ms: float = 0.0) -> None:
        """List a server as draining and migrate its clients, evenly over `duration_ms` (0: at once)."""
        self.discovery.update(name, lifecycle="draining")
        await self.servers[name].drain(duration_ms)

    async def crash(self, name: str) -> None:
        """Crash a server, then list it as removed."""
        await self.servers[name].crash()
        self.discovery.update(name, lifecycle="removed")

    async def restart(self, name: str) -> None:
        """Start a server again, cold, under the same name and address."""
        await self.nursery.start(self.servers[name].serve, True)
        started_at_ms = self._unix_time_offset_ms + trio.current_time() * 1000.0
        self.discovery.update(name, lifecycle="up", started_at_ms=started_at_ms)

    # Balancers

    async def start_balancer(
        self, name: str, listen: str = "127.0.0.1:0", sockets: int = DEFAULT_SOCKET_LIMIT, **settings: Any
    ) -> InProcessBalancer:
        """Start another balancer on this loop; `settings` are arguments of `platform_settings`."""
        configuration = config.parse(self._make_configuration(name, listen, sockets, None, settings), name)
        cancel_scope = trio.CancelScope()

        async def serve(task_status: trio.TaskStatus[BalancerServer]) -> None:
            with cancel_scope:
                await BalancerServer.serve(configuration, None, task_status)

        server: BalancerServer = await self.nursery.start(serve)
        balancer = InProcessBalancer(server, cancel_scope)
        self.balancers[name] = balancer
        return balancer

    async def start_balancer_process(
        self,
        name: str,
        listen: str | None = None,
        log: IO[bytes] | None = None,
        sockets: int = DEFAULT_SOCKET_LIMIT,
        registry: RegistrySource | None = None,
        **settings: Any,
    ) -> BalancerProcess:
        """Start another balancer in a process with its own working directory.

        The process is killed when the nursery ends. `settings` are arguments of `platform_settings`.
        Raises LabError if the process does not start.
        """
        listen = listen or f"127.0.0.1:{find_free_port()}"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_bytes(
                orjson.dumps(self._make_configuration(name, listen, sockets, registry, settings))
            )
            balancer = BalancerProcess(listen, _start_process(path, log))
            self.balancers[name] = balancer
            self.nursery.start_soon(balancer.kill_when_cancelled)
            await balancer.wait_until_ready()
        return balancer

    def _make_configuration(
        self, name: str, listen: str, sockets: int, registry: RegistrySource | None, settings: dict[str, Any]
    ) -> dict[str, Any]:
        if registry is None:
            registry = RegistrySource(self.discovery.address, self.discovery.endpoint_list())
        return balancer_configuration(
            name, listen, registry.address, registry.known_endpoints, platform_settings(**settings), sockets
        )


def _start_process(configuration: Path, log: IO[bytes] | None) -> subprocess.Popen[bytes]:
    project_root = Path(__file__).parents[2]
    return subprocess.Popen(
        [sys.executable, "-m", "walkloom"],
        cwd=configuration.parent,
        env={**os.environ, "GW_CONFIG": str(configuration), "PYTHONPATH": str(project_root)},
        stderr=log or subprocess.DEVNULL,
    )
