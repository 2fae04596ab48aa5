"""Injects machine faults into one process, whose interpreter loads this module through its PYTHONPATH.

Two environment variables name files that hold the current faults. SOAK_WALL_CLOCK: the offset of the wall
clock in seconds. SOAK_SYSTEM_CALLS: lines of a call (accept, connect, send, recv, socket), an errno number or
"short", and the share of these calls that fail. The monotonic clock is not changed.
"""

from __future__ import annotations

import os
import random
import socket
import time
from typing import Any

READ_INTERVAL_S = 0.02
SHORT = "short"
SHORT_BYTES = 7

_real_time = time.time


class _Faults:
    """The current faults of system calls; the file is read again at intervals."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._read_at = 0.0
        self._by_call: dict[str, tuple[str, float]] = {}
        self._random = random.Random(path)

    def apply(self, call: str) -> bool:
        """Raise the OSError that this call must fail with; return whether to limit it to a few bytes."""
        now = time.monotonic()
        if now - self._read_at > READ_INTERVAL_S:
            self._read_at = now
            self._read()
        error, share = self._by_call.get(call, ("", 0.0))
        if self._random.random() >= share:
            return False
        if error == SHORT:
            return True
        raise OSError(int(error), os.strerror(int(error)))

    def _read(self) -> None:
        self._by_call = {}
        try:
            with open(self._path, encoding="ascii") as file:
                for line in file:
                    call, error, share = line.split()
                    self._by_call[call] = (error, float(share))
        except (OSError, ValueError):
            return


_faults = _Faults(os.environ.get("SOAK_SYSTEM_CALLS", ""))


class _FaultySocket(socket.socket):
    """A socket whose calls fail as the faults require."""

    __slots__ = ()

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None:
            _faults.apply("socket")
        super().__init__(family, type, proto, fileno)

    def accept(self) -> Any:
        _faults.apply("accept")
        return super().accept()

    def connect(self, address: Any) -> None:
        _faults.apply("connect")
        super().connect(address)

    def send(self, data: Any, flags: int = 0) -> int:
        if _faults.apply("send"):
            data = memoryview(data)[:SHORT_BYTES]
        return super().send(data, flags)

    def recv(self, size: int, flags: int = 0) -> bytes:
        if _faults.apply("recv"):
            size = min(size, SHORT_BYTES)
        return super().recv(size, flags)


def _stepped_time() -> float:
    try:
        with open(os.environ["SOAK_WALL_CLOCK"], encoding="ascii") as file:
            return _real_time() + float(file.read() or 0.0)
    except (OSError, ValueError):
        return _real_time()


if "SOAK_WALL_CLOCK" in os.environ:
    time.time = _stepped_time
if "SOAK_SYSTEM_CALLS" in os.environ:
    socket.socket = _FaultySocket  # type: ignore[misc]
