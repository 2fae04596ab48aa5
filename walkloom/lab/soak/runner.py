"""Executes one run: starts stand-ins and balancers, applies the schedule, and returns the history."""

from __future__ import annotations

import signal
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import trio

from walkloom.lab.settings import balancer_configuration
from walkloom.lab.soak import deployment as deployments
from walkloom.lab.soak import schedule as schedules
from walkloom.lab.soak.checker import check
from walkloom.lab.soak.client import ClientPlan, run_client
from walkloom.lab.soak.deployment import DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT_WITH_CROWD, Deployment
from walkloom.lab.soak.discovery import FaultyDiscovery
from walkloom.lab.soak.history import FaultInjected, HarnessStalled, History, Lifecycle
from walkloom.lab.soak.hosts import LoopbackHost
from walkloom.lab.soak.process import SoakProcess
from walkloom.lab.soak.schedule import Schedule, Step, StepKind
from walkloom.lab.soak.server import RecordingServer
from walkloom.lab.soak.violation import Violation

STALL_CHECK_INTERVAL_S = 0.01
# A delay of the stall check above this counts as a stall of the stand-ins.
MIN_STALL_S = 0.005
# Pause between the end of a process and the start of its replacement.
RESTART_GAP_S = 0.3
# Wait for late answers after the deadline of the last request.
FINAL_ANSWER_WAIT_S = 0.7
# Time for balancers to close connections of clients that left, before their resources are measured.
CLOSE_WAIT_S = 1.5
# Steps whose description names their count.
COUNTED_STEPS = (StepKind.FAIL_CALLS, StepKind.RELOAD, StepKind.KILL)


@dataclass(frozen=True, slots=True)
class RunPlan:
    """Everything that determines a run."""

    deployment: Deployment
    schedule: Schedule
    clients: tuple[ClientPlan, ...]
    seed: int = 1

    @classmethod
    def from_seed(cls, seed: int, *, small: bool = False) -> RunPlan:
        """Draw a run from its seed. small: few processes and requests."""
        deployment = deployments.draw(seed)
        if small:
            deployment = deployments.shrink(deployment)
        schedule = schedules.draw(seed, deployment)
        clients = schedules.draw_clients(seed, deployment, schedule.duration_s)
        return cls(deployment, schedule, tuple(clients), seed)


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of a run."""

    plan: RunPlan
    history: History
    violations: list[Violation]
    # Log output by balancer name.
    logs: dict[str, str]


async def execute_run(plan: RunPlan, source: Path | None = None) -> RunResult:
    """Execute a run. source: the folder that has the `walkloom` package to run; None: this checkout."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        run = _Run(plan, Path(folder), source)
        await run.execute()
        violations = check(plan.deployment, plan.clients, run.history)
        logs = {process.name: process.log_path.read_text(errors="replace") for process in run.processes}
        return RunResult(plan, run.history, violations, logs)


class _Run:
    """A run in progress: its stand-ins and processes."""

    def __init__(self, plan: RunPlan, folder: Path, source: Path | None) -> None:
        self._plan = plan
        self._folder = folder
        self._host = LoopbackHost()
        self._source = source
        self.history = History()
        self.processes: list[SoakProcess] = []
        self._servers: list[RecordingServer] = []
        self._discovery: FaultyDiscovery
        self._nursery: trio.Nursery
        self._is_stopping = False
        # Names of the processes that a step is restarting.
        self._restarting: set[str] = set()

    async def execute(self) -> None:
        """Execute the run, from the start of the stand-ins to the end of all processes."""
        with self._kill_processes_at_exit():
            async with trio.open_nursery() as self._nursery:
                self._nursery.start_soon(self._watch_for_stalls)
                self._start_stand_ins()
                await self._start_processes()
                async with trio.open_nursery() as work:
                    started_at = trio.current_time()
                    for step in self._plan.schedule.steps:
                        work.start_soon(self._run_step_at, started_at + step.offset_s, step)
                    work.start_soon(self._run_clients, started_at)
                await self._stop_processes()
                self._nursery.cancel_scope.cancel()

    @contextmanager
    def _kill_processes_at_exit(self) -> Iterator[None]:
        """Kill the processes that still run, however the run ends."""
        try:
            yield
        finally:
            for process in self.processes:
                if process.popen and process.is_running:
                    process.popen.kill()
                    process.popen.wait()

    async def _watch_for_stalls(self) -> None:
        while True:
            due_at = trio.current_time() + STALL_CHECK_INTERVAL_S
            await trio.sleep(STALL_CHECK_INTERVAL_S)
            now = trio.current_time()
            if now - due_at > MIN_STALL_S:
                self.history.add(HarnessStalled(now, due_at))

    def _start_stand_ins(self) -> None:
        deployment = self._plan.deployment
        self._discovery = FaultyDiscovery(
            self._host, self.history, self._nursery, is_pushed=deployment.is_pushed
        )
        for number in range(deployment.server_count):
            zone = deployment.zones[number % len(deployment.zones)]
            server = RecordingServer(f"s-{number}", self._host, self.history, self._nursery)
            server.start()
            self._servers.append(server)
            self._discovery.add_server(server.name, server.address, zone)

    async def _start_processes(self) -> None:
        deployment = self._plan.deployment
        for number in range(deployment.process_count):
            name = f"n{number}"
            folder = self._folder / name
            folder.mkdir()
            address = f"{self._host.address}:{self._host.next_port()}"
            host, _, port = self._discovery.listen_for(name).rpartition(":")
            zone = deployment.zones[number % len(deployment.zones)]
            configuration = balancer_configuration(
                name,
                address,
                (host, int(port)),
                [],
                deployment.settings(zone),
                DESCRIPTOR_LIMIT_WITH_CROWD if deployment.has_crowd else DESCRIPTOR_LIMIT,
                # The seed of this balancer's own random choices.
                self._plan.seed * 1000 + number,
            )
            process = SoakProcess(name, address, folder, configuration, self.history)
            if self._source:
                process.source = self._source
            self.processes.append(process)
            self._cache_present_list(process)
            process.start()
        async with trio.open_nursery() as nursery:
            for process in self.processes:
                nursery.start_soon(process.wait_until_ready)

    def _cache_present_list(self, process: SoakProcess) -> None:
        """Make the present list the one that the process gets at its next start."""
        process.configuration["known"] = self._discovery.registry.snapshot()
        process.known_generation = self._discovery.registry.generation

    async def _run_clients(self, started_at: float) -> None:
        async with trio.open_nursery() as nursery:
            for client in self._plan.clients:
                await trio.sleep_until(started_at + client.offset_s)
                address = self.processes[int(client.balancer[1:])].address
                nursery.start_soon(run_client, client, address, self.history)
            await trio.sleep(self._plan.deployment.longest_deadline_ms / 1000.0 + FINAL_ANSWER_WAIT_S)
            nursery.cancel_scope.cancel()

    async def _stop_processes(self) -> None:
        self._is_stopping = True
        await trio.sleep(CLOSE_WAIT_S)
        async with trio.open_nursery() as nursery:
            for process in self.processes:
                nursery.start_soon(self._stop_process, process)

    async def _stop_process(self, process: SoakProcess) -> None:
        """Send SIGTERM, then SIGKILL after the shortest delay that the platform allows."""
        if self._is_stopping:
            process.measure()
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(self._plan.deployment.sigkill_delay_s):
            await process.wait()
            return
        process.send_signal(signal.SIGKILL)
        await process.wait()

    # Steps of the schedule

    async def _run_step_at(self, at: float, step: Step) -> None:
        await trio.sleep_until(at)
        if self._is_stopping:
            return
        self.history.add(FaultInjected(trio.current_time(), _describe(step)))
        await self._apply_step(step)

    async def _apply_step(self, step: Step) -> None:
        match step.kind:
            case StepKind.DISCOVERY:
                await self._discovery.set_mode(step.discovery_mode)
            case StepKind.RESET_WATCHES:
                await self._discovery.reset_watches()
            case StepKind.SILENCE_WATCHES:
                self._discovery.silence_watches()
            case StepKind.FAIL_CALLS:
                self._discovery.fail_next_calls(step.count, step.seconds)
            case StepKind.SNAPSHOTS:
                self._discovery.sends_snapshots = bool(step.count)
            case _ if step.processes:
                async with trio.open_nursery() as nursery:
                    for number in step.processes:
                        nursery.start_soon(self._apply_process_step, self.processes[number], step)
            case _:
                for number in step.servers:
                    await self._apply_server_step(self._servers[number], step)

    async def _apply_server_step(self, server: RecordingServer, step: Step) -> None:
        match step.kind:
            case StepKind.DRAIN:
                self._discovery.set_lifecycle(server.name, Lifecycle.DRAINING)
            case StepKind.LEAVE:
                self._discovery.set_lifecycle(server.name, Lifecycle.REMOVED)
                await server.migrate_clients()
            case StepKind.RETURN:
                await server.crash()
                server.start()
                self._discovery.set_lifecycle(server.name, Lifecycle.READY, time.time() * 1000.0)
            case StepKind.SERVER_MODE:
                server.mode = step.server_mode
            case StepKind.RESET_SERVER:
                await server.reset_connections()
            case StepKind.CRASH:
                await server.crash()

    async def _apply_process_step(self, process: SoakProcess, step: Step) -> None:
        if process.name in self._restarting:
            return
        match step.kind:
            case StepKind.RELOAD:
                for _ in range(step.count):
                    process.send_signal(signal.SIGHUP)
            case StepKind.STOP:
                process.send_signal(signal.SIGSTOP)
                await trio.sleep(step.seconds)
                process.send_signal(signal.SIGCONT)
            case StepKind.WALL_CLOCK:
                process.set_wall_clock(step.seconds)
            case StepKind.SYSTEM_CALLS:
                process.set_system_call_fault(step.system_call_fault)
                await trio.sleep(step.seconds)
                process.set_system_call_fault(None)
            case StepKind.RESTART:
                await self._restart_process(process, lambda: self._stop_process(process))
            case StepKind.KILL:
                process.send_signal(signal.SIGKILL)
                await self._restart_process(process, process.wait, keeps_cached_list=bool(step.count))

    async def _restart_process(
        self, process: SoakProcess, stop: Callable[[], object], *, keeps_cached_list: bool = False
    ) -> None:
        self._restarting.add(process.name)
        try:
            await stop()  # type: ignore[misc]
            await trio.sleep(RESTART_GAP_S)
            if not keeps_cached_list:
                self._cache_present_list(process)
            process.start()
            await process.wait_until_ready()
        finally:
            self._restarting.discard(process.name)


def _describe(step: Step) -> str:
    fields = {
        "servers": step.servers,
        "processes": step.processes,
        "discovery": step.discovery_mode.value if step.kind is StepKind.DISCOVERY else "",
        "server_mode": step.server_mode.value if step.kind is StepKind.SERVER_MODE else "",
        "count": step.count if step.kind in COUNTED_STEPS else "",
        "seconds": step.seconds or "",
        "system_call": step.system_call_fault or "",
    }
    shown = " ".join(f"{name}={value}" for name, value in fields.items() if value != "" and value != ())
    return f"{step.kind.value} {shown}".strip()
