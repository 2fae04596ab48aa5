"""The virtual clock of a simulation."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

START_MS = 1e12  # Unix time of every run: the policy reads the start times of servers in it


class EventQueue:
    """Callbacks in the order of their virtual time; those of one time in the order of scheduling."""

    def __init__(self) -> None:
        self.now_ms = START_MS
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0

    @property
    def elapsed_ms(self) -> float:
        """Virtual time since the start of the run."""
        return self.now_ms - START_MS

    def schedule(self, time_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback(*args)` when the clock reaches `time_ms`."""
        self._scheduled += 1
        heappush(self._heap, (time_ms, self._scheduled, callback, args))

    def run_until(self, end_ms: float) -> None:
        """Run everything that is due up to and including `end_ms`."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, callback, args = heappop(self._heap)
            callback(*args)
