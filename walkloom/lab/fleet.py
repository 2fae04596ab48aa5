"""A laboratory's fleet: discovery, tile servers, and real balancers, in this process or as processes of
their own.

Balancers in this process run on the caller's trio loop, and so on its clock: a test with a mock clock plays
seconds in no time. Balancers as processes are what is measured.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

import orjson
import trio

from walkloom import config
from walkloom.lab.invariant_checker import Ledger
from walkloom.lab.settings import configuration, settings
from walkloom.lab.stub_discovery import Discovery, Entry
from walkloom.lab.stub_server import TileServer
from walkloom.server import BalancerServer

START_S = 20.0  # a process that answers no PING by then has not started


class LabError(Exception):
    """The laboratory itself could not be set up; the text says what is missing."""


@dataclass
class InProcess:
    """A balancer on this loop."""

    server: BalancerServer
    scope: trio.CancelScope

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.server.address)

    async def stop(self) -> None:
        """A planned stop, as at SIGTERM."""
        await self.server.shut_down()
        self.scope.cancel()

    def kill(self) -> None:
        """Its connections end without a word."""
        self.scope.cancel()


@dataclass
class Process:
    """A balancer as a process of its own."""

    address: str
    popen: subprocess.Popen[bytes]

    @property
    def cpu_s(self) -> float:
        """CPU that it has used, user and system."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def rss_kib(self) -> int:
        for line in Path(f"/proc/{self.popen.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        raise LabError(f"process {self.popen.pid} is gone")

    async def stop(self) -> None:
        self.popen.send_signal(signal.SIGTERM)
        await trio.to_thread.run_sync(self.popen.wait, abandon_on_cancel=True)

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait()


@dataclass
class Fleet:
    """Set up by `start` in a nursery of the caller's, which ends it all."""

    nursery: trio.Nursery
    ledger: Ledger = field(default_factory=Ledger)
    tiles: dict[str, TileServer] = field(default_factory=dict)
    balancers: dict[str, InProcess | Process] = field(default_factory=dict)

    async def start(self, servers: int, delay_ms: float = 0.0, **tile: Any) -> Fleet:
        """tile: of each TileServer."""
        # the registry tells starts in Unix time, which balancers carry on monotonically as we do
        self._anchor = time.time() * 1000.0 - trio.current_time() * 1000.0
        self.discovery = Discovery(self.ledger, delay_ms)
        await self.nursery.start(self.discovery.serve)
        for number in range(servers):
            await self.add(f"s-{number}", **tile)
        return self

    async def add(self, name: str, cold: bool = False, **tile: Any) -> TileServer:
        """One more tile server, listed at once."""
        server = self.tiles[name] = TileServer(name, self.ledger, **tile)
        await self.nursery.start(server.serve, cold)
        self.discovery.set(Entry(name, server.address, "here", "std-node"))
        return server

    async def drain(self, name: str, over_ms: float = 0.0) -> None:
        """It drains and is listed so; its clients are sent away."""
        self.discovery.change(name, state="draining")
        await self.tiles[name].drain(over_ms)

    async def crash(self, name: str) -> None:
        """Its process dies and it is listed as gone."""
        await self.tiles[name].crash()
        self.discovery.change(name, state="removed")

    async def restart(self, name: str) -> None:
        """It comes back under its old name and address, cold."""
        await self.nursery.start(self.tiles[name].serve, True)
        self.discovery.change(name, state="up", started_ms=self._anchor + trio.current_time() * 1000.0)

    def _configuration(self, name: str, listen: str, **changes: Any) -> dict[str, Any]:
        """changes: of its settings; `sockets`; `discovery` and `known` of a registry elsewhere."""
        sockets = changes.pop("sockets", 4096)
        if "discovery" in changes:
            address, known = changes.pop("discovery"), changes.pop("known")
        else:
            address, known = self.discovery.address, self.discovery.listed()
        return configuration(name, listen, address, known, settings(**changes), sockets)

    async def balancer(self, name: str, listen: str = "127.0.0.1:0", **changes: Any) -> InProcess:
        """One more balancer on this loop. changes: of its settings, and `sockets`."""
        conf = config.parse(self._configuration(name, listen, **changes), name)
        scope = trio.CancelScope()

        async def run(task_status: trio.TaskStatus[BalancerServer]) -> None:
            with scope:
                await BalancerServer.serve(conf, None, task_status)

        server: BalancerServer = await self.nursery.start(run)
        made = self.balancers[name] = InProcess(server, scope)
        return made

    async def process(
        self, name: str, listen: str | None = None, log: IO[bytes] | None = None, **changes: Any
    ) -> Process:
        """One more balancer as a process, in its own working folder; it is killed with the nursery."""
        with tempfile.TemporaryDirectory() as folder:
            listen = listen or f"127.0.0.1:{_free_port()}"
            path = Path(folder) / "config.json"
            path.write_bytes(orjson.dumps(self._configuration(name, listen, **changes)))
            root = Path(__file__).parents[2]
            popen = subprocess.Popen(
                [sys.executable, "-m", "walkloom"],
                cwd=folder,
                env={**os.environ, "GW_CONFIG": str(path), "PYTHONPATH": str(root)},
                stderr=log or subprocess.DEVNULL,
            )
            made = self.balancers[name] = Process(listen, popen)
            self.nursery.start_soon(_kill_at_the_end, popen)
            await _until_ready(made)
        return made


async def _kill_at_the_end(popen: subprocess.Popen[bytes]) -> None:
    """Guards the machine against processes that outlive a laboratory that was cut off."""
    try:
        await trio.sleep_forever()
    finally:
        popen.kill()
        popen.wait()


def _free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])


async def _until_ready(made: Process) -> None:
    host, _, port = made.address.rpartition(":")
    with trio.move_on_after(START_S):
        while made.popen.poll() is None:
            try:
                async with await trio.open_tcp_stream(host, int(port)) as stream:
                    await stream.send_all(b"PING\r\n")
                    if await stream.receive_some(16) == b"PONG\r\n":
                        return
            except OSError:
                await trio.sleep(0.02)
    raise LabError(f"the balancer at {made.address} did not start")
