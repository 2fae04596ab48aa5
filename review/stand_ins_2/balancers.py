"""Starts balancers as processes, with the command `run` of the deploy file, and signals them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from stand_ins_2.ports import HOST, free_port
from stand_ins_2.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 20.0
PING_INTERVAL_S = 0.02
EXIT_TIMEOUT_S = 5.0


class CannotRunError(Exception):
    """The case could not be played, so its result says nothing."""


class Balancer:
    """One balancer: its settings file, its address and its process, which may be started again."""

    def __init__(self, name: str, record: Record, folder: Path, settings: dict[str, Any]) -> None:
        """Choose a free port; raises OSError if there is none."""
        self.name = name
        self.port = free_port()
        self.discovery = ""
        self.known: dict[str, Any] = {}
        self.sockets = 1024
        self.started_at = 0.0
        self._record = record
        self._settings = settings
        self._folder = folder / name
        self._folder.mkdir()
        (self._folder / "tmp").mkdir()
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log(self) -> str:
        """Everything that the process has written so far."""
        return (self._folder / "log.txt").read_text(errors="replace")

    @property
    def pid(self) -> int:
        """The process id of the program that `run` started; raises CannotRunError before the start."""
        if self._process is None:
            raise CannotRunError(f"{self.name} was not started")
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while the process runs."""
        return self._process.poll() if self._process else None

    def write_settings(self) -> None:
        """Write the settings file, replacing it as a whole."""
        content = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": self.discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": self.known,
            "settings": self._settings,
        }
        new = self._folder / "config.new"
        new.write_text(json.dumps(content))
        new.replace(self._folder / "config.json")

    def start(self) -> None:
        """Start the process as the platform does; raises CannotRunError if the deploy file has no `run`."""
        self.write_settings()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file).get("run")
        if not command:
            raise CannotRunError("deploy/balancer.toml has no `run`")
        environment = {
            **os.environ,
            "GW_NAME": self.name,
            "GW_LISTEN": f"{HOST}:{self.port}",
            "GW_DISCOVERY": self.discovery,
            "GW_CONFIG": str(self._folder / "config.json"),
            "TMPDIR": str(self._folder / "tmp"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._folder / "log.txt").open("ab") as log:
            self.started_at = self._record.add(f"process {self.name} start")
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    async def wait_until_ready(self) -> None:
        """Return once the process answers PING; raises CannotRunError if it ends or takes too long."""
        deadline = self._record.now() + READY_TIMEOUT_S
        while self._record.now() < deadline:
            if self.exit_status is not None:
                raise CannotRunError(f"{self.name} ended with status {self.exit_status}:\n{self.log}")
            if await self._answers_ping():
                self._record.add(f"process {self.name} ready")
                return
            await asyncio.sleep(PING_INTERVAL_S)
        raise CannotRunError(f"{self.name} was not ready in {READY_TIMEOUT_S:.0f} s")

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(b"PING\r\n")
            return await asyncio.wait_for(reader.readline(), 1.0) == b"PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    def send_signal(self, number: signal.Signals) -> float:
        """Send a signal to the process if it runs; return the time, s."""
        at = self._record.add(f"process {self.name} {number.name}")
        if self._process and self._process.poll() is None:
            self._process.send_signal(number)
        return at

    async def wait_for_exit(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Return the exit status; raises CannotRunError if the process still runs after `timeout_s`."""
        deadline = self._record.now() + timeout_s
        while self.exit_status is None:
            if self._record.now() >= deadline:
                raise CannotRunError(f"{self.name} did not end")
            await asyncio.sleep(0.01)
        self._record.add(f"process {self.name} exit status={self.exit_status}")
        return int(self.exit_status or 0)

    def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self._process and self._process.poll() is None:
            self._process.kill()
        if self._process:
            self._process.wait()


class TemporaryFolder:
    """A folder under TMPDIR for the settings and logs of the balancers; removed at the end."""

    def __init__(self) -> None:
        """Make the folder; raises OSError if that is not possible."""
        self.path = Path(tempfile.mkdtemp(prefix="review-"))

    def remove(self) -> None:
        """Remove the folder with all its files."""
        shutil.rmtree(self.path, ignore_errors=True)
