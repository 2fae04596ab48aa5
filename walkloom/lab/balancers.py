"""Handles for the balancers of a fleet: on the caller's trio loop, or in processes of their own."""

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

START_TIMEOUT_S = 20.0  # from the start of a process to its first answer to PING
START_POLL_INTERVAL_S = 0.02  # short compared with the start of an interpreter

# Indices of utime and stime in /proc/PID/stat, after the command name; both are in clock ticks (proc(5))
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


@dataclass
class InProcessBalancer:
    """A balancer on the caller's loop, which therefore uses the caller's clock."""

    server: BalancerServer
    cancel_scope: trio.CancelScope

    @property
    def address(self) -> str:
        """Host and port of the balancer's frontend."""
        return "{}:{}".format(*self.server.address)

    async def stop(self) -> None:
        """Shut the balancer down gracefully, as SIGTERM does."""
        await self.server.shut_down()
        self.cancel_scope.cancel()

    def kill(self) -> None:
        """Close all connections without sending a final line."""
        self.cancel_scope.cancel()


@dataclass
class BalancerProcess:
    """A balancer in a process of its own."""

    address: str
    popen: subprocess.Popen[bytes]

    @property
    def cpu_s(self) -> float:
        """User and system CPU time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
        return ticks / os.sysconf("SC_CLK_TCK")

    @property
    def rss_kib(self) -> int:
        """Resident memory in KiB; raises LabError if the process has exited."""
        for line in Path(f"/proc/{self.popen.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        raise LabError(f"balancer process {self.popen.pid} has exited: no VmRSS in its status")

    async def stop(self) -> None:
        """Shut the balancer down gracefully and wait for the process to exit."""
        self.popen.send_signal(signal.SIGTERM)
        await trio.to_thread.run_sync(self.popen.wait, abandon_on_cancel=True)

    def kill(self) -> None:
        """Kill the process and wait for it to exit."""
        self.popen.kill()
        self.popen.wait()

    async def kill_when_cancelled(self) -> None:
        """Kill the process when the nursery ends, so that it does not outlive an interrupted run."""
        try:
            await trio.sleep_forever()
        finally:
            self.kill()

    async def wait_until_ready(self) -> None:
        """Wait until the balancer answers PING.

        Raises LabError if the process exits or does not answer within START_TIMEOUT_S.
        """
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
        raise LabError(f"balancer at {self.address} exited or did not answer PING in time")


def find_free_port() -> int:
    """Return a loopback port that is not in use at present."""
    with socket.create_server(("127.0.0.1", 0)) as server_socket:
        return int(server_socket.getsockname()[1])
