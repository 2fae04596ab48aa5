"""Balancer processes of a run: their files, signals, logs, and the shim of the wall clock."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import trio

from walkloom.lab.soak.history import (
    History,
    ProcessExited,
    ProcessMeasured,
    ProcessReady,
    ProcessSignalled,
    ProcessStarted,
)

ROOT = Path(__file__).parents[3]
SHIM = Path(__file__).parent / "shim"
READY_POLL_S = 0.03
PING_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class SystemCallFault:
    """A part of the calls of one kind fails."""

    # accept, connect, send, recv or socket.
    call: str

    # The number of an error, or "short": only a few bytes are taken or given.
    what: str

    share: float


@dataclass
class SoakProcess:
    """One balancer process; it keeps its name, address and log over restarts."""

    name: str
    address: str
    folder: Path
    configuration: dict[str, Any]
    history: History
    python: str = sys.executable
    source: Path = ROOT
    popen: subprocess.Popen[bytes] | None = None

    @property
    def log_path(self) -> Path:
        """The file that all its lives write their log to."""
        return self.folder / "log.txt"

    def write_configuration(self) -> None:
        """Write the file that GW_CONFIG names."""
        (self.folder / "config.json").write_bytes(orjson.dumps(self.configuration))

    def start(self, known_generation: int, wall_clock_step_s: float = 0.0) -> None:
        """Start it. wall_clock_step_s: how far its wall clock is ahead."""
        self.write_configuration()
        self.set_wall_clock(wall_clock_step_s)
        environment = {
            **os.environ,
            "GW_CONFIG": str(self.folder / "config.json"),
            "PYTHONPATH": f"{SHIM}:{self.source}",
            "SOAK_WALL_CLOCK": str(self.folder / "wall_clock"),
            "SOAK_SYSTEM_CALLS": str(self.folder / "system_calls"),
        }
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [self.python, "-m", "walkloom"],
                cwd=self.folder,
                env=environment,
                stderr=log,
                stdout=subprocess.DEVNULL,
            )
        self.history.add(ProcessStarted(trio.current_time(), self.name, known_generation))

    def set_wall_clock(self, step_s: float) -> None:
        """Step its wall clock, also while it runs."""
        (self.folder / "wall_clock").write_text(f"{step_s}")

    def set_system_call_fault(self, fault: SystemCallFault | None) -> None:
        """Let a part of one kind of its system calls fail, or none."""
        text = f"{fault.call} {fault.what} {fault.share}\n" if fault else ""
        # Replaced whole, as the process reads it at any time.
        new = self.folder / "system_calls.new"
        new.write_text(text)
        new.replace(self.folder / "system_calls")

    def measure(self) -> None:
        """Record how many descriptors and how much memory it holds."""
        if self.popen and self.is_running:
            with suppress(OSError):
                descriptors = len(os.listdir(f"/proc/{self.popen.pid}/fd"))
                status = Path(f"/proc/{self.popen.pid}/status").read_text()
                line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
                measured = ProcessMeasured(trio.current_time(), self.name, descriptors, int(line.split()[1]))
                self.history.add(measured)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self.popen and self.is_running:
            self.history.add(ProcessSignalled(trio.current_time(), self.name, number.name))
            with suppress(ProcessLookupError):
                self.popen.send_signal(number)

    async def wait(self) -> int:
        """Wait for its end; return its status."""
        assert self.popen
        while self.popen.poll() is None:
            await trio.sleep(READY_POLL_S / 3)
        status = self.popen.returncode
        self.history.add(ProcessExited(trio.current_time(), self.name, status))
        return status

    async def wait_until_ready(self) -> None:
        """Return once it answers PING, or has ended."""
        host, _, port = self.address.rpartition(":")
        while self.is_running:
            with trio.move_on_after(PING_TIMEOUT_S), suppress(OSError, trio.BrokenResourceError):
                async with await trio.open_tcp_stream(host, int(port)) as stream:
                    await stream.send_all(b"PING\r\n")
                    if await stream.receive_some(16) == b"PONG\r\n":
                        self.history.add(ProcessReady(trio.current_time(), self.name))
                        self.measure()
                        return
            await trio.sleep(READY_POLL_S)
