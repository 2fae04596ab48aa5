"""Handles on the balancers of a laboratory's fleet: on the caller's trio loop, or as processes."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
from dataclasses import dataclass
from pathlib import Path

import trio

from walkloom.lab.errors import LabError
from walkloom.server import BalancerServer

START_TIMEOUT_S = 20.0  # a process that answers no PING by then has not started
START_POLL_INTERVAL_S = 0.02  # short against the start of an interpreter

# Fields of /proc/PID/stat after the command's name, in clock ticks (proc(5): utime, stime)
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


@dataclass
class InProcessBalancer:
    """A balancer on the caller's loop, and so on its clock."""

    server: BalancerServer
    scope: trio.CancelScope

    @property
    def address(self) -> str:
        """Host and port of its frontend."""
        return "{}:{}".format(*self.server.address)

    async def stop(self) -> None:
        """Shut it down gracefully, as SIGTERM does."""
        await self.server.shut_down()
        self.scope.cancel()

    def kill(self) -> None:
        """Close its connections without a last line."""
        self.scope.cancel()


@dataclass
class BalancerProcess:
    """A balancer as a process of its own."""

    address: str
    popen: subprocess.Popen[bytes]

    @property
    def cpu_s(self) -> float:
        """CPU time that it has used, user and system."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
        return ticks / os.sysconf("SC_CLK_TCK")

    @property
    def rss_kib(self) -> int:
        """Resident memory; raises LabError where the process has exited."""
        for line in Path(f"/proc/{self.popen.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        raise LabError(f"process {self.popen.pid} is gone")

    async def stop(self) -> None:
        """Shut it down gracefully, and wait for its exit."""
        self.popen.send_signal(signal.SIGTERM)
        await trio.to_thread.run_sync(self.popen.wait, abandon_on_cancel=True)

    def kill(self) -> None:
        """Kill it, and wait for its exit."""
        self.popen.kill()
        self.popen.wait()

    async def kill_when_cancelled(self) -> None:
        """Kill it at the end of the nursery, so that it does not outlive an interrupted run."""
        try:
            await trio.sleep_forever()
        finally:
            self.kill()

    async def wait_until_ready(self) -> None:
        """Wait until it answers PING; raises LabError where it exits or does not answer in time."""
        host, _, port = self.address.rpartition(":")
        with trio.move_on_after(START_TIMEOUT_S):
            while self.popen.poll() is None:
                try:
                    async with await trio.open_tcp_stream(host, int(port)) as stream:
                        await stream.send_all(b"PING\r\n")
                        if await stream.receive_some(16) == b"PONG\r\n":
                            return
                except OSError:
                    await trio.sleep(START_POLL_INTERVAL_S)
        raise LabError(f"the balancer at {self.address} did not start")


def free_port() -> int:
    """Return a loopback port that nobody uses now."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])
