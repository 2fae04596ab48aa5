"""Balancer processes of a run: their files, signals and logs, and the shim that injects machine faults."""

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

REPOSITORY_ROOT = Path(__file__).parents[3]
SHIM_FOLDER = Path(__file__).parent / "shim"
READY_POLL_S = 0.03
PING_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class SystemCallFault:
    """A share of the system calls of one kind fails."""

    # One of accept, connect, send, recv, socket.
    call: str

    # An errno number, or "short": only a few bytes are sent or received.
    what: str

    share: float


@dataclass
class SoakProcess:
    """One balancer process; its name, address and log stay the same across restarts."""

    name: str
    address: str
    folder: Path
    configuration: dict[str, Any]
    history: History
    python: str = sys.executable
    source: Path = REPOSITORY_ROOT
    popen: subprocess.Popen[bytes] | None = None

    # The generation of the list in its configuration file.
    known_generation: int = 0

    @property
    def log_path(self) -> Path:
        """The log file, shared by all restarts."""
        return self.folder / "log.txt"

    def write_configuration(self) -> None:
        """Write the configuration file, which GW_CONFIG names."""
        (self.folder / "config.json").write_bytes(orjson.dumps(self.configuration))

    def start(self, wall_clock_step_s: float = 0.0) -> None:
        """Start the process; wall_clock_step_s: how far its wall clock is ahead."""
        self.write_configuration()
        self.set_wall_clock(wall_clock_step_s)
        environment = {
            **os.environ,
            "GW_CONFIG": str(self.folder / "config.json"),
            "PYTHONPATH": f"{SHIM_FOLDER}:{self.source}",
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
        self.history.add(ProcessStarted(trio.current_time(), self.name, self.known_generation))

    def set_wall_clock(self, step_s: float) -> None:
        """Set how far the process's wall clock is ahead; works while it runs."""
        (self.folder / "wall_clock").write_text(f"{step_s}")

    def set_system_call_fault(self, fault: SystemCallFault | None) -> None:
        """Make a share of one kind of its system calls fail; None: no call fails."""
        text = f"{fault.call} {fault.what} {fault.share}\n" if fault else ""
        # The file is replaced atomically, since the process may read it at any time.
        new_file = self.folder / "system_calls.new"
        new_file.write_text(text)
        new_file.replace(self.folder / "system_calls")

    def measure(self) -> None:
        """Record the number of open descriptors and the resident memory (KiB) of the process."""
        if self.popen and self.is_running:
            with suppress(OSError):
                descriptors = len(os.listdir(f"/proc/{self.popen.pid}/fd"))
                status = Path(f"/proc/{self.popen.pid}/status").read_text()
                line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
                measured = ProcessMeasured(trio.current_time(), self.name, descriptors, int(line.split()[1]))
                self.history.add(measured)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.popen and self.is_running:
            self.history.add(ProcessSignalled(trio.current_time(), self.name, number.name))
            with suppress(ProcessLookupError):
                self.popen.send_signal(number)

    async def wait(self) -> int:
        """Wait for the process to end; return its exit status."""
        assert self.popen
        # The exit is polled for three times as often as readiness.
        while self.popen.poll() is None:
            await trio.sleep(READY_POLL_S / 3)
        status = self.popen.returncode
        self.history.add(ProcessExited(trio.current_time(), self.name, status))
        return status

    async def wait_until_ready(self) -> None:
        """Return once the process answers PING or has ended."""
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
