"""The platform: it starts balancers with the command of the deploy file, and ends them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import IO, Any

from stand_ins.record import Record

ROOT = Path(__file__).parents[2]

# Class: aim ms, give-up time ms, worth, message aim ms, as in the brief of porto-alegre-main.
CLASSES = {
    "tile-view": (300.0, 1200.0, 1.0, 60.0),
    "sheet-list": (500.0, 2000.0, 1.0, 60.0),
    "label-edit": (300.0, 1200.0, 2.0, 100.0),
    "det-update": (500.0, 3000.0, 2.0, 60.0),
}


def settings(instances: int, **changes: Any) -> dict[str, Any]:
    """Return settings like those of porto-alegre-main; times are ms. `changes` replace whole keys."""
    base = {
        "family": "conn",
        "tick": 2.0,
        "instances": instances,
        "me": 0,
        "membership-mode": "ask",
        "azs": ["poa-centro"],
        "my-zone": 0,
        "kinds": ["fast-node", "std-node"],
        "weights": "nominal",
        "accounts": [{"name": "herb-ufsul", "quota-per-s": 1.0, "share": 1.0}],
        "callers": {"marks-retry": True},
        "classes": [
            {
                "name": name,
                "goal-time": aim,
                "hard-limit": limit,
                "importance": worth,
                "late-share": 0.0,
                "repeat": "idempotent",
                "dedup-scope": "all",
                "dedup-window": 5000.0,
                "stream": True,
            }
            for name, (aim, limit, worth, _) in CLASSES.items()
        ],
        "family-info": {
            "groups": True,
            "message-aim": [message for *_, message in CLASSES.values()],
            "mode": "proxy",
            "tells-delay": True,
            "tells-load": True,
        },
        "stats": {"how": "pull", "fields": ["served_ps", "busy_reqs", "x0"]},
        "guarantees": {
            "ask-within": 10_000.0,
            "cold": 7700.0,
            "cold-from": 0.37,
            "drain-grace": 500.0,
            "grace-to-answer": 8.0,
            "overload-factor": 4.0,
            "overload-for": 1000.0,
        },
        "limits": {
            "cancel": True,
            "connect-timeout": 60.0,
            "idle-close": 60_000.0,
            "max-attempts": 3,
            "max-retry-after": 1500.0,
            "may-probe": True,
            "parallel-tries": False,
            "retry-after": True,
        },
    }
    return base | changes


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class Balancer:
    """One balancer process."""

    def __init__(self, name: str, folder: Path, record: Record, configuration: dict[str, Any]) -> None:
        """`configuration`: the keys discovery, known and settings of the file that GW_CONFIG names."""
        self.name = name
        self.port = free_port()
        self._record = record
        self._path = folder / f"{name}.json"
        self._log: IO[bytes] = (folder / f"{name}.log").open("ab")
        self.log_path = folder / f"{name}.log"
        self.configuration = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **configuration,
        }
        self.process: asyncio.subprocess.Process | None = None

    def write_configuration(self, **changes: Any) -> None:
        """Replace the configuration file as a whole."""
        self.configuration |= changes
        new = self._path.with_suffix(".new")
        new.write_text(json.dumps(self.configuration))
        new.replace(self._path)

    async def start(self, timeout_s: float = 30.0) -> None:
        """Start with the command `run` of the deploy file; return once PING is answered.

        Raises TimeoutError if it is not ready in time.
        """
        self.write_configuration()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "GW_NAME": self.name,
            "GW_LISTEN": self.configuration["listen"],
            "GW_DISCOVERY": self.configuration["discovery"],
            "GW_CONFIG": str(self._path),
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        self._record.write(f"balancer {self.name} started, pid {self.process.pid}")
        async with asyncio.timeout(timeout_s):
            while not await self._answers_ping():
                await asyncio.sleep(0.05)
        self._record.write(f"balancer {self.name} is ready")

    async def _answers_ping(self) -> bool:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"PING\r\n")
            answer = await reader.readline()
            writer.close()
            return answer == b"PONG\r\n"
        return False

    def send_signal(self, number: signal.Signals) -> float:
        """Send a signal to the program; return the time, s of the record."""
        assert self.process
        self.process.send_signal(number)
        return self._record.write(f"balancer {self.name} sent {number.name}")

    async def end(self) -> None:
        """End the process, whatever state it is in."""
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        self._log.close()
