"""What all cases share: the parts of a small deployment, the time limit and the exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins_2.balancers import Balancer, CannotRunError, TemporaryFolder
from stand_ins_2.clients import Client
from stand_ins_2.discovery import Discovery, Entry
from stand_ins_2.record import Record
from stand_ins_2.servers import TileServer
from stand_ins_2.settings import Deployment

EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
# If the stand-ins themselves did not run for so long, the machine was too busy for a verdict.
MAX_STALL_S = 0.25


class World:
    """A small deployment: discovery, tile servers and balancers, on loopback addresses."""

    def __init__(self, record: Record, folder: Path, deployment: Deployment) -> None:
        """Create an empty deployment; `has_trouble` is False where the environment has TROUBLE=0."""
        self.record = record
        self.deployment = deployment
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.discovery = Discovery(record)
        self.servers: dict[str, TileServer] = {}
        self.balancers: dict[str, Balancer] = {}
        self.clients: list[Client] = []
        # What broke the rule, one line for each time.
        self.broken: list[str] = []
        self._folder = folder
        self._tasks: set[asyncio.Task[None]] = set()

    async def add_server(self, name: str, zone: str, setup_s: float = 0.005) -> TileServer:
        """Start a tile server that has run for long, and list it. Raises OSError."""
        server = TileServer(name, self.record, setup_s)
        await server.start()
        self.servers[name] = server
        self.discovery.put(Entry(name, server.address, zone))
        return server

    def new_client(self, balancer: Balancer, request_class: str, wait_ms: int, group: int = 0) -> Client:
        """Return a new client of a balancer, which has not begun; wait_ms and group: as in Client."""
        client = Client(self.record, balancer.name, balancer.port, request_class, wait_ms, group)
        self.clients.append(client)
        return client

    async def start_balancers(self) -> None:
        """Start all balancers, one in each zone in turn, and wait until they are ready."""
        zones = self.deployment.zones
        for number in range(self.deployment.balancers):
            zone = zones[number % len(zones)]
            name = f"n{number + 1}"
            balancer = Balancer(name, self.record, self._folder, self.deployment.settings(zone, number))
            balancer.discovery = await self.discovery.listen_for(name)
            balancer.known = self.discovery.whole_list()
            self.balancers[name] = balancer
            balancer.start()
        for balancer in self.balancers.values():
            await balancer.wait_until_ready()
        # The start of many processes may hold the stand-ins up; nothing is judged until here.
        self.record.longest_stall_s = 0.0

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Run something beside the case; its errors end the case as one that could not run."""
        task: asyncio.Task[None] = asyncio.ensure_future(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        return task

    def check_tasks(self) -> None:
        """Raise the error of a task that failed."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and (error := task.exception()):
                raise error

    def break_rule(self, text: str) -> None:
        """Note that the rule was broken."""
        self.record.add(f"BROKEN {text}")
        self.broken.append(text)

    async def end(self) -> None:
        """End all processes and tasks of the deployment."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for balancer in self.balancers.values():
            balancer.end()


async def _play(world: World, play: Callable[[World], Awaitable[None]]) -> int:
    stalls = asyncio.create_task(world.record.watch_stalls())
    try:
        await asyncio.wait_for(play(world), TIME_LIMIT_S)
        world.check_tasks()
        died = [each for each in world.balancers.values() if each.exit_status not in (None, 0, -9)]
        if died:
            raise CannotRunError(f"{died[0].name} ended with {died[0].exit_status}:\n{died[0].log}")
    finally:
        stalls.cancel()
        await world.end()
    if world.record.longest_stall_s > MAX_STALL_S:
        raise CannotRunError(f"the stand-ins did not run for {world.record.longest_stall_s:.2f} s")
    return EXIT_BROKEN if world.broken else EXIT_HELD


def main(record_file: Path, deployment: Deployment, play: Callable[[World], Awaitable[None]]) -> None:
    """Play a case, write `record_file`, and exit with its status."""
    record = Record(record_file)
    folder = TemporaryFolder()
    status = EXIT_CANNOT_RUN
    verdict = "could not run"

    async def run() -> int:
        return await _play(World(record, folder.path, deployment), play)

    try:
        status = asyncio.run(run())
        verdict = "the rule was broken" if status == EXIT_BROKEN else "the rule held"
    except (CannotRunError, OSError, TimeoutError) as error:
        verdict = f"could not run: {error!r}"
    except Exception:  # noqa: BLE001 - a fault of the case itself must not look like a verdict
        verdict = f"could not run: {traceback.format_exc()}"
    record.add(f"{verdict}; longest stall of the stand-ins {record.longest_stall_s * 1000:.0f} ms")
    record.close()
    folder.remove()
    print(verdict)
    sys.exit(status)
