"""The capacity of a stub server: connections, a queue of setups, and the slow start after a restart.

Setups run one after another. No I/O; every method takes the time in ms as an argument.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

SETUP_RATE_WINDOW_MS = 1000.0  # load reports give setups per second


@dataclass(frozen=True, slots=True)
class StubServerSettings:
    """The capacity limits and costs of a stub server."""

    max_connections: int = 400
    # duration of one setup at full capacity
    setup_ms: float = 1.0
    # new connections are rejected while the setup queue is longer than this
    max_queue_ms: float = 1000.0
    # load of one connection, where 1.0 is full load; 0.0: 1 / `max_connections`
    load_per_connection: float = 0.0
    # share of the capacity right after a cold start, and the time until the full capacity is available
    slow_start_min_capacity: float = 1.0
    slow_start_ms: float = 0.0


class ServerCapacity:
    """The present capacity of a server, and its queue of setups."""

    def __init__(self, settings: StubServerSettings) -> None:
        self.settings = settings
        self._cold_started_at_ms = -math.inf
        self._setups_done_at_ms = -math.inf
        self._recent_setups_at_ms = deque[float]()

    def start(self, now_ms: float, is_cold: bool) -> None:
        """Start with an empty setup queue; a cold server begins its slow start."""
        self._setups_done_at_ms = -math.inf
        self._cold_started_at_ms = now_ms if is_cold else -math.inf

    def available_share(self, now_ms: float) -> float:
        """Return the available share of the full capacity, which grows linearly during slow start."""
        age_ms = now_ms - self._cold_started_at_ms
        if age_ms >= self.settings.slow_start_ms:
            return 1.0
        min_share = self.settings.slow_start_min_capacity
        return min_share + (1.0 - min_share) * age_ms / self.settings.slow_start_ms

    def load(self, connections: int, now_ms: float) -> float:
        """Return the load of `connections` connections relative to the present capacity."""
        load_per_connection = self.settings.load_per_connection or 1.0 / self.settings.max_connections
        return connections * load_per_connection / self.available_share(now_ms)

    def stall_until(self, end_at_ms: float) -> None:
        """Finish no setup before `end_at_ms`."""
        self._setups_done_at_ms = end_at_ms

    def queue_delay_ms(self, now_ms: float) -> float:
        """Return how long in ms a new setup waits before it begins."""
        return max(now_ms, self._setups_done_at_ms) - now_ms

    def enqueue_setup(self, now_ms: float) -> float:
        """Add a setup to the queue, and return the time in ms until it is done."""
        begin_at_ms = max(now_ms, self._setups_done_at_ms)
        self._setups_done_at_ms = begin_at_ms + self.settings.setup_ms / self.available_share(now_ms)
        return self._setups_done_at_ms - now_ms

    def setup_finished(self, now_ms: float) -> None:
        """Record that a connection was established."""
        self._drop_old_setups(now_ms)
        self._recent_setups_at_ms.append(now_ms)

    def setups_per_s(self, now_ms: float) -> int:
        """Return the number of connections established within the last second."""
        self._drop_old_setups(now_ms)
        return len(self._recent_setups_at_ms)

    def _drop_old_setups(self, now_ms: float) -> None:
        while self._recent_setups_at_ms and self._recent_setups_at_ms[0] <= now_ms - SETUP_RATE_WINDOW_MS:
            self._recent_setups_at_ms.popleft()
