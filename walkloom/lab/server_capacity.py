"""What a stub server can do: connections, setups one after another, and the slow start after a restart.

No I/O; every method takes the time in ms as an argument.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

SETUP_RATE_WINDOW_MS = 1000.0  # load reports tell setups a second


@dataclass(frozen=True, slots=True)
class StubServerSettings:
    """The sizes of a stub server."""

    max_connections: int = 400
    # work of one setup at full capacity
    setup_ms: float = 1.0
    # work that waits, beyond which new connections are rejected
    max_queue_ms: float = 1000.0
    # what a connection adds to the load (1.0: all the server can do); 0.0: one in `max_connections`
    load_per_connection: float = 0.0
    # share of its capacity right after a cold start, and the time until it has all
    slow_start_min_capacity: float = 1.0
    slow_start_ms: float = 0.0


class ServerCapacity:
    """The present capacity of a server, and the setups that wait for it."""

    def __init__(self, settings: StubServerSettings) -> None:
        self.settings = settings
        self._cold_started_ms = -math.inf
        self._setups_done_ms = -math.inf
        self._recent_setups_ms = deque[float]()

    def start(self, now_ms: float, is_cold: bool) -> None:
        """Begin with no work that waits; cold after a restart."""
        self._setups_done_ms = -math.inf
        self._cold_started_ms = now_ms if is_cold else -math.inf

    def share(self, now_ms: float) -> float:
        """Return the share of its full capacity that a server has: it grows evenly from a cold start."""
        age_ms = now_ms - self._cold_started_ms
        if age_ms >= self.settings.slow_start_ms:
            return 1.0
        least = self.settings.slow_start_min_capacity
        return least + (1.0 - least) * age_ms / self.settings.slow_start_ms

    def load(self, connections: int, now_ms: float) -> float:
        """Return the load of so many connections over the present capacity."""
        load_per_connection = self.settings.load_per_connection or 1.0 / self.settings.max_connections
        return connections * load_per_connection / self.share(now_ms)

    def stall_until(self, time_ms: float) -> None:
        """Finish no setup before that time."""
        self._setups_done_ms = time_ms

    def queue_ms(self, now_ms: float) -> float:
        """Return how long a new setup waits before its work begins."""
        return max(now_ms, self._setups_done_ms) - now_ms

    def enqueue_setup(self, now_ms: float) -> float:
        """Add a setup to those that wait, and return the time until it is done."""
        begin_ms = max(now_ms, self._setups_done_ms)
        self._setups_done_ms = begin_ms + self.settings.setup_ms / self.share(now_ms)
        return self._setups_done_ms - now_ms

    def setup_finished(self, now_ms: float) -> None:
        """Count a connection that was established."""
        self._forget_old_setups(now_ms)
        self._recent_setups_ms.append(now_ms)

    def setups_per_s(self, now_ms: float) -> int:
        """Return the connections that were established within the last second."""
        self._forget_old_setups(now_ms)
        return len(self._recent_setups_ms)

    def _forget_old_setups(self, now_ms: float) -> None:
        while self._recent_setups_ms and self._recent_setups_ms[0] <= now_ms - SETUP_RATE_WINDOW_MS:
            self._recent_setups_ms.popleft()
