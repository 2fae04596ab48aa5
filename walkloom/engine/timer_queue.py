"""The policy's timers: a queue ordered by due time, and the loop that fires them.

Timers cannot be cancelled; the policy ignores the token of a timer that no longer matters.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

import trio


class _Timer(NamedTuple):
    # Absolute time, ms; first, so that the heap orders timers by it.
    fires_at: float

    # Identifies the timer to the policy.
    token: int


class TimerQueue:
    """Fires each timer once its time has come, earliest first, and by token where times are equal."""

    def __init__(self, now: Callable[[], float], fire: Callable[[int], None]) -> None:
        """Create an empty queue.

        now: the clock of the due times, ms. fire: called with the token of each timer that is due; it may
        add timers.
        """
        self._now = now
        self._fire = fire
        self._heap: list[_Timer] = []
        self._added = trio.Event()

    def add(self, fires_at: float, token: int) -> None:
        """Add a timer that fires at an absolute time, ms; at once where that has passed."""
        heappush(self._heap, _Timer(fires_at, token))
        self._added.set()

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            # Replaced before the wait is computed, with no checkpoint between the two: a timer that was
            # added before counts in the wait, and one that is added after sets the event that is awaited.
            self._added = trio.Event()
            with trio.move_on_after(self._wait_s()):
                await self._added.wait()
            self._fire_due()

    def _wait_s(self) -> float:
        if not self._heap:
            return math.inf
        return max((self._heap[0].fires_at - self._now()) / 1000.0, 0.0)

    def _fire_due(self) -> None:
        # The clock and the heap are read anew each time: firing may take time and may add timers.
        while self._heap and self._heap[0].fires_at <= self._now():
            timer = heappop(self._heap)
            self._fire(timer.token)
