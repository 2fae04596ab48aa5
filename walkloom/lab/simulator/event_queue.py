"""The virtual clock of a simulation."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

START_TIME_MS = (
    1e12  # Unix time at which every run starts, because the policy compares server start times with it
)


class EventQueue:
    """Runs callbacks in order of virtual time, and in order of scheduling where the time is the same."""

    def __init__(self) -> None:
        self.now_ms = START_TIME_MS
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled_count = 0

    @property
    def elapsed_ms(self) -> float:
        """Virtual time since the start of the run, in ms."""
        return self.now_ms - START_TIME_MS

    def schedule(self, time_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback(*args)` when the clock reaches `time_ms` (Unix time)."""
        self._scheduled_count += 1
        heappush(self._heap, (time_ms, self._scheduled_count, callback, args))

    def run_until(self, end_time_ms: float) -> None:
        """Run all callbacks that are due up to and including `end_time_ms` (Unix time)."""
        while self._heap and self._heap[0][0] <= end_time_ms:
            self.now_ms, _, callback, args = heappop(self._heap)
            callback(*args)
